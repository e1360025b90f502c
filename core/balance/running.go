package balance

import (
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
	r := &runningRequest{work: work}
	if work != nil {
		r.rank, r.read = work.Rank, read
		r.tokens = work.Input + work.MaxOutput
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
	for t, id := range p.requests[host] {
		if t.Run == run && t.Seq >= oldest {
			continue
		}
		u := p.upstreams[id]
		p.remove(u, t, u.running[t], now)
	}
}

func (p *Pool) remove(u *upstreamState, t AttemptID, r *runningRequest, now time.Time) {
	u.markAnswering(r, now)
	u.tokens -= r.tokens
	delete(u.running, t)
	delete(p.requests[t.Host], t)
}
