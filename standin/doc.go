// Package standin holds small fakes of the platform's services and of the
// upstreams, for tests, the demo and replay.
package standin
