// Package admission decides when a waiting request may proceed and which one is
// next. It has a fair queue between firms and their client accounts, an adaptive
// concurrency limit for each upstream, a retry budget, backoff and load shedding.
// It does no I/O and reads no clock. Callers pass in the time and hold a lock.
package admission
