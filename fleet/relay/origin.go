package relay

import (
	"context"
	"time"

	"github.com/hazelworks/hazelworks/core/balance"
	"github.com/hazelworks/hazelworks/core/knownfault"
	"github.com/hazelworks/hazelworks/core/origin"
	"github.com/hazelworks/hazelworks/core/routes"
	"github.com/hazelworks/hazelworks/fleet/balancer"
	"github.com/hazelworks/hazelworks/fleet/exchange"
	"github.com/hazelworks/hazelworks/fleet/origins"
)

// takesUp reports whether the caller takes up a stream that another answer has begun.
func (c *call) takesUp() bool { return c.route.Kind == routes.KindStream && c.req.ResumeAfter != "" }

// goesOn reports whether the caller has a part of the stream, from this or another answer.
func (c *call) goesOn() bool {
	return c.takesUp() || c.route.Kind == routes.KindStream && c.answerStarted
}

// query describes the upstream that the next attempt needs.
func (c *call) query() *balance.Query {
	return &balance.Query{
		Work: c.req.Work, Exclude: c.tried, Version: c.version,
		Resumable: c.route.Kind == routes.KindStream && c.route.Repeatable(), Noted: c.r.opt.Origins.Noted(),
	}
}

// findOrigin finds the version and the service that have begun the stream that the caller takes
// up. The error is [origins.ErrUnknown], or [balancer.ErrNoVersion] if the route has another
// service now.
func (c *call) findOrigin(ctx context.Context) error {
	if !c.takesUp() || knownfault.MixVersions {
		return nil
	}
	q := origins.Query{Service: c.service}
	if c.req.Resumes != "" {
		q.Key = origin.KeyOf(c.accountName(), c.req.Resumes)
	}
	if len(c.route.Targets) > 1 {
		q.Service = "" // any of them may have begun it
	}
	began := time.Now()
	v, err := c.r.opt.Origins.Find(ctx, q)
	if err == nil && !c.useServiceOf(v) {
		err = balancer.ErrNoVersion
	}
	if err != nil {
		c.r.failedLog.Info("Stream can't be taken up.", "request", c.req.ID, "resumes", c.req.Resumes, "after_event", c.req.ResumeAfter,
			"took", time.Since(began), "error", err.Error())
		return err
	}
	c.version = v
	return nil
}

// useServiceOf chooses that of the route's services which has a version.
func (c *call) useServiceOf(v origin.Version) bool {
	for _, t := range c.route.Targets {
		if c.r.opt.Balancer.HasVersion(t.Service, v) {
			c.service = t.Service
			return true
		}
	}
	return false
}

// recordOrigin records which version begins the stream, before its first part is passed on. The
// error is [origins.ErrNotNoted].
func (c *call) recordOrigin(ctx context.Context, resp *exchange.Response, lease *balancer.Lease) error {
	if c.goesOn() || !c.route.Repeatable() || knownfault.MixVersions {
		return nil
	}
	if err := c.r.opt.Origins.AwaitNoted(ctx, lease.Upstream); err != nil {
		return err
	}
	c.beganAt, c.beganConnAt = lease.Upstream, resp.OpenedAt
	c.version = origin.VersionOf(lease.Upstream)
	c.r.opt.Origins.Begun(origin.KeyOf(c.accountName(), c.req.ID), lease.Upstream, resp.OpenedAt)
	return nil
}

// confirmVersion checks, before another attempt, that the version is known if the caller has a
// part of the stream. The error is [origins.ErrUnknown].
func (c *call) confirmVersion() error {
	if !c.goesOn() || knownfault.MixVersions {
		return nil
	}
	if c.version != origin.Unknown && (c.takesUp() || c.r.opt.Origins.Certain(c.beganAt, c.beganConnAt)) {
		return nil
	}
	c.version = c.r.opt.Origins.Sole(c.service)
	if c.version == origin.Unknown {
		return origins.ErrUnknown
	}
	return nil
}

// openedBy returns the time by which the connection to an upstream must have been opened, or
// zero if any can be used. A stream goes on only where the software is certain; ok is false if
// it is not certain on any connection.
func (c *call) openedBy(lease *balancer.Lease) (at time.Time, ok bool) {
	if c.version == origin.Unknown || c.r.opt.Origins.Sole(c.service) == c.version {
		return time.Time{}, true
	}
	return c.r.opt.Origins.KnownUntil(lease.Upstream)
}

func (c *call) accountName() string { return accountName(c.account) }

// accountName returns the name of an account, or nothing for nil.
func accountName(a *routes.Account) string {
	if a == nil {
		return ""
	}
	return a.Name
}
