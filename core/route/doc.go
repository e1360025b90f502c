// Package route decides which upstream serves a request. A [Pool] is one host's view of
// the upstreams of one service: the models that they serve, this host's requests in
// flight, the last load reports, the health and the hints about prompt caches. It does no
// I/O, reads no clock and is not safe for concurrent use. Callers pass in the time and
// hold a lock.
package route
