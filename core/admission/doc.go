// Package admission decides when a waiting request may go on and which one is
// next: a fair queue between members and their client accounts, an adaptive
// limit of concurrency for each upstream and a budget for retries. It does no
// I/O and reads no clock; callers pass the time in and hold a lock.
package admission
