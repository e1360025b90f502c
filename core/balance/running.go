package balance

import (
	"slices"
	"time"
)

type runningRequest struct {
	// work is nil for plain services.
	work *Work
	rank int
	read time.Duration
	// keys are the chain keys of the prompt's parts.
	keys      []uint64
	tokens    int64
	answering bool
	// begun is when this host was told of the request, and ahead the number of requests that
	// were at the upstream then.
	begun time.Time
	ahead float64
}

// AttemptID identifies, in the whole fleet, a request that a host sent to an upstream.
type AttemptID struct {
	Host string
	Run  uint64
	Seq  uint64
}

// Begin records a request that is sent to an upstream. read is the estimated time to read
// its prompt there.
func (p *Pool) Begin(t AttemptID, id string, work *Work, read time.Duration, now time.Time) {
	u, ok := p.upstreams[id]
	if !ok {
		return
	}
	r := &runningRequest{work: work, begun: now, ahead: u.atUpstream(now)}
	if work != nil {
		r.rank, r.read = work.Rank, read
		r.tokens = work.Input + p.expectedOutput(work)
		r.keys = chainKeys(work.Parts)
		u.cache.add(r.keys, work.Parts)
		u.queue.add(r.rank, r.read, now)
		u.tokens += r.tokens
	} else {
		r.answering = true
	}
	if t.Host == p.self {
		p.countColdSend(u, now)
	}
	u.running[t] = r
	if p.requests[t.Host] == nil {
		p.requests[t.Host] = make(map[AttemptID]string)
	}
	p.requests[t.Host][t] = id
}

// FirstEvent records that the answer to a request has started.
func (p *Pool) FirstEvent(t AttemptID, id string, now time.Time) {
	u, ok := p.upstreams[id]
	if !ok {
		return
	}
	if r, ok := u.running[t]; ok {
		if !r.answering {
			// The engine has read this prompt since it was sent, or since the prompt before.
			took := min(now.Sub(r.begun), now.Sub(u.queue.readingSince))
			p.overhead.observe(r.read, took)
			u.speed.observe(took, p.overhead.expected(r.read), p.overhead.expected(p.overhead.meanRead()), now)
		}
		u.markAnswering(r, now)
		u.cache.markRead(r.keys)
	}
}

func (u *upstreamState) markAnswering(r *runningRequest, now time.Time) {
	if r.answering {
		return
	}
	r.answering = true
	u.queue.remove(r.rank, r.read, now)
}

// End records that a request has ended at its upstream, and its outcome. It reports
// whether the upstream has answered the request, and returns its work.
func (p *Pool) End(t AttemptID, id string, o Outcome, now time.Time) (work *Work, answered bool) {
	u, ok := p.upstreams[id]
	if !ok {
		return nil, false
	}
	r, ok := u.running[t]
	if !ok {
		return nil, false
	}
	answering := r.answering
	switch {
	case r.work == nil && o == Succeeded:
		p.observePlain(u, r, now)
	case r.work == nil && o == Refused:
		u.places.reject(u.atUpstream(now)-1, u.up.Slots, now)
	}
	if o == Refused {
		u.brittle.reject(len(u.running)-1, u.up.Slots, now)
	}
	u.health.record(o, now)
	p.remove(u, t, r, now)
	return r.work, answering && o == Succeeded
}

// Stall counts a failure of an upstream because a request waits much longer than
// estimated for its answer.
func (p *Pool) Stall(id string, now time.Time) {
	if u, ok := p.upstreams[id]; ok {
		u.health.record(Failed, now)
	}
}

// DropEnded drops requests of a host that have ended: those of the given run with a sequence
// number below oldest, and those of other runs.
func (p *Pool) DropEnded(host string, run, oldest uint64, now time.Time) {
	if len(p.requests[host]) > 0 {
		p.heardAt[host] = now
	}
	for t, id := range p.requests[host] {
		if t.Run == run && t.Seq >= oldest {
			continue
		}
		u := p.upstreams[id]
		p.remove(u, t, u.running[t], now)
	}
}

const (
	// expireInterval is the time between two looks for requests without news.
	expireInterval = time.Second
	// lostHostAge is the age from which the requests of a host are dropped that serves few requests
	// and has not been heard of for as long, and maxForeignAge that for all other hosts: the message
	// of the end may be lost.
	lostHostAge   = 5 * time.Second
	maxForeignAge = time.Minute
)

// expire drops old requests of other hosts, which have probably ended without news. Counted on,
// they would take places and memory of their upstreams.
func (p *Pool) expire(now time.Time) {
	if now.Sub(p.expiredAt) < expireInterval || p.self == "" {
		return
	}
	p.expiredAt = now
	for host, attempts := range p.requests {
		if host == p.self {
			continue
		}
		limit := maxForeignAge
		if !slices.Contains(p.sharers, host) && now.Sub(p.heardAt[host]) > lostHostAge {
			limit = lostHostAge
		}
		for t, id := range attempts {
			if u := p.upstreams[id]; now.Sub(u.running[t].begun) > limit {
				p.remove(u, t, u.running[t], now)
			}
		}
		if len(attempts) == 0 {
			delete(p.heardAt, host)
		}
	}
}

func (p *Pool) remove(u *upstreamState, t AttemptID, r *runningRequest, now time.Time) {
	u.markAnswering(r, now)
	u.tokens -= r.tokens
	delete(u.running, t)
	delete(p.requests[t.Host], t)
}
