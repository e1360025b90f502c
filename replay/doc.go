// Package replay runs recorded traces against real hosts and small fakes and
// compares what the fakes saw with the outcomes that the trace states.
package replay
