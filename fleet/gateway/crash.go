package gateway

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/cespare/xxhash/v2"

	corequarantine "github.com/hazelworks/hazelworks/core/quarantine"
	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/fleet/exchange"
	"github.com/hazelworks/hazelworks/fleet/problem"
	"github.com/hazelworks/hazelworks/fleet/quarantine"
)

// crashStartTime is the time from the first byte of an answer in which a crash may be due to
// the request.
const crashStartTime = time.Second

// setSuspects sets what the request has in common with others that may crash upstreams: the
// messages of its prompt but the last, and itself.
func (c *call) setSuspects(messages []uint64, whole bool) {
	c.accountHash = corequarantine.AccountHash(c.req.Account)
	own := binary.BigEndian.Uint64(c.req.Fingerprint[:])
	for i := range max(0, len(messages)-1) {
		subject := corequarantine.Subject{Kind: corequarantine.PromptPart, ID: messages[i]}
		c.suspects = append(c.suspects, corequarantine.Suspect{Subject: subject, Request: own, Account: c.accountHash})
	}
	if whole {
		subject := corequarantine.RequestSubject(c.req.Account, "", c.req.Service, "", c.req.Fingerprint[:])
		c.suspects = append(c.suspects, corequarantine.Suspect{Subject: subject, Request: subject.ID, Account: c.accountHash})
	}
	for _, s := range c.suspects {
		c.subjects = append(c.subjects, s.Subject)
	}
}

// quarantineProblem returns a problem if the request must not be sent to an upstream, or nil.
func (c *call) quarantineProblem() *problem.Problem {
	err := c.g.opts.Quarantine.Check(c.subjects, c.accountHash)
	if err == nil {
		return nil
	}
	c.g.metrics.quarantined.Inc(1)
	return quarantinedProblem(err)
}

func quarantinedProblem(err error) *problem.Problem {
	p := problem.New(http.StatusServiceUnavailable, problem.CodeQuarantined, "%v", err)
	if q, ok := err.(*quarantine.Error); ok {
		p = p.WithRetryAfter(q.Remaining)
	}
	return p
}

// reportCrash reports an attempt whose connection the upstream closed at the start of its
// answer. Upstreams that leave may do so.
func (a *attempt) reportCrash(ctx context.Context, res attemptResult) {
	up := a.lease.Upstream()
	if res.kind != resultLost || ctx.Err() != nil || up.Leaving || a.c.g.opts.Dial == nil || !exchange.IsClosedByPeer(res.err) {
		return
	}
	if len(a.c.suspects) == 0 {
		return
	}
	if !a.firstByteAt.IsZero() && time.Since(a.firstByteAt) >= crashStartTime {
		return
	}
	crashed := quarantine.Upstream{ID: up.ID, Service: a.c.service.Name}
	crashed.Hash, crashed.Restarts = xxhash.Sum64String(up.ID+" "+up.URL), true
	a.c.g.crashes.BrokenOff(crashed, a.c.suspects, func(ctx context.Context) error { return a.c.g.connect(ctx, up) })
}

// connect opens and closes a connection to an upstream.
func (g *Gateway) connect(ctx context.Context, up settings.Upstream) error {
	u, err := url.Parse(up.URL)
	if err != nil {
		return fmt.Errorf("gateway: upstream %s: %w", up.ID, err)
	}
	port := u.Port()
	if port == "" {
		port = map[string]string{"http": "80", "https": "443"}[u.Scheme]
	}
	conn, err := g.opts.Dial(ctx, "tcp", net.JoinHostPort(u.Hostname(), port))
	if err != nil {
		return err
	}
	return conn.Close()
}
