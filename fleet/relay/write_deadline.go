package relay

import (
	"net/http"
	"time"
)

// lateAnswerTime is how long after the request's time an answer may be written that is ready late.
const lateAnswerTime = 5 * time.Second

// boundWrites ends the writes of an answer some time after the limit of its request, which is zero if there is
// none. The end of the request's context does not interrupt a write that the caller does not take. The HTTP
// server resets the deadline after the answer.
func boundWrites(w http.ResponseWriter, arrived time.Time, limit time.Duration) {
	if limit > 0 {
		// A writer without a connection has no deadline, and none is needed there.
		_ = http.NewResponseController(w).SetWriteDeadline(arrived.Add(limit + lateAnswerTime))
	}
}
