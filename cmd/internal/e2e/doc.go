// Package e2e tests the binaries as separate processes that are killed, frozen
// and stopped while requests run.
package e2e
