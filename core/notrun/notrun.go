// Package notrun decides which answers may tell a caller that its request has not run. Callers
// repeat a request that must run once after such an answer, so that it must be certain.
package notrun

import "net/http"

// States reports whether a status tells callers that the request has not run and never will.
func States(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Status returns the status with which an answer reaches the caller: status itself, or 502 if that
// promises that the request has not run though it may have.
func Status(status int, mayHaveRun bool) int {
	if mayHaveRun && States(status) {
		return http.StatusBadGateway
	}
	return status
}
