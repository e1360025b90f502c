// Package route decides which upstream gets a request. A [Pool] holds what one
// host knows of the upstreams of one service: what they serve, the requests
// that this host has in flight there, their last load reports, their health and
// hints about their prompt caches. It does no I/O, reads no clock and is not
// safe for concurrent use; callers pass the time in and hold a lock.
package route
