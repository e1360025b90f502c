// Package e2e tests the binaries as separate processes that are killed, paused
// and stopped while requests are in flight.
package e2e
