package relay

// sendResult is the result of one attempt.
type sendResult int

const (
	// resultAnswered means that the caller has the complete answer, which may be an
	// upstream's failure that is not retried.
	resultAnswered sendResult = iota
	// resultNotSent means that no byte of the request was sent.
	resultNotSent
	// resultNotRun means that the upstream states that it did not run it.
	resultNotRun
	// resultFailed means that the upstream answered with a failure that another
	// upstream may not have.
	resultFailed
	// resultLost means that the request may have run, but its answer was lost.
	resultLost
	// resultWithheld means that the upstream has answered, but that the caller may not have
	// the answer, since it could not be taken up safely.
	resultWithheld
)

// String returns the name of the result in logs.
func (r sendResult) String() string {
	switch r {
	case resultAnswered:
		return "answered"
	case resultNotSent:
		return "not sent"
	case resultNotRun:
		return "not run"
	case resultFailed:
		return "failed"
	case resultLost:
		return "lost"
	case resultWithheld:
		return "withheld"
	}
	return "unknown"
}
