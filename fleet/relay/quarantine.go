package relay

import (
	"net/http"
	"time"

	"github.com/hazelworks/hazelworks/core/quarantine"
)

// quarantineRefusal returns the answer to a request that is not sent to an upstream any more.
func (c *call) quarantineRefusal(reason error, retryAfter time.Duration) refusal {
	if c.runs > 0 {
		return refusal{status: http.StatusBadGateway, reason: reason.Error()}
	}
	return refusal{status: http.StatusServiceUnavailable, reason: reason.Error(), retryAfter: retryAfter}
}

// startTime is the time from the first event of an answer in which a crash may be due to the
// request.
const startTime = time.Second

// brokenOffAtStart reports whether the upstream closed the connection before or just after it
// began to answer.
func (c *call) brokenOffAtStart(result sendResult) bool {
	if result != resultLost || !c.closedByPeer {
		return false
	}
	return c.attemptStartedAt.IsZero() || time.Since(c.attemptStartedAt) < startTime
}

// requestSubject returns the subject of this request and all its repeats, and the hash of its
// account.
func (c *call) requestSubject() (own quarantine.Subject, accountHash uint64) {
	account := ""
	if c.account != nil {
		account = c.account.Name
	}
	return quarantine.RequestSubject(account, c.req.Method, c.req.Host, c.req.Target, c.req.body.parts()...), quarantine.AccountHash(account)
}

func (c *call) suspects() []quarantine.Suspect {
	own := quarantine.Suspect{Subject: c.own, Request: c.own.ID, Account: c.accountHash}
	return append(c.req.Work.Suspects(own), own)
}
