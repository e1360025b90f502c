package balance

import (
	"time"
)

const (
	// plainWorkWeight is the weight of the newest answer in the usual work time of a plain
	// service, once there were as many.
	plainWorkWeight = 0.02
	// hiddenLoadTime is the time constant with which requests that only the upstream's statement
	// shows are assumed to end.
	hiddenLoadTime = 200 * time.Millisecond
	// placesWeight is the weight of the newest rejection in the number of places, which regrows by
	// placesRegrowth a second: hosts hear late of each other's requests, so that the number
	// that is known at a rejection is too small or too large.
	placesWeight   = 0.2
	placesRegrowth = 0.1
)

// plainWork learns the usual time of an answer of a plain service.
type plainWork struct {
	// took and works are means over the answers: of their time, and of the number of works that
	// each had to wait for, including its own.
	took, works float64
	n           float64
}

func (w *plainWork) observe(took time.Duration, works float64) {
	w.n++
	weight := max(1/w.n, plainWorkWeight)
	w.took += weight * (took.Seconds() - w.took)
	w.works += weight * (works - w.works)
}

func (w *plainWork) mean() time.Duration {
	if w.n == 0 {
		return 0
	}
	return time.Duration(w.took / w.works * float64(time.Second))
}

// places is how many requests a plain upstream takes at once, running or waiting, as its
// rejections show. The zero value knows of none.
type places struct {
	taken   float64
	takenAt time.Time
}

// reject records that an upstream with n requests has rejected another. It is assumed to take as
// many as it runs at once.
func (p *places) reject(n float64, slots int, now time.Time) {
	if n < float64(slots) {
		return
	}
	if p.taken == 0 {
		p.taken = n
	}
	p.taken, p.takenAt = p.now(now)+placesWeight*(n-p.taken), now
}

// full reports whether an upstream with n requests would probably reject another.
func (p *places) full(n float64, now time.Time) bool {
	return p.taken > 0 && n >= p.now(now)
}

func (p *places) now(now time.Time) float64 {
	return p.taken * (1 + placesRegrowth*now.Sub(p.takenAt).Seconds())
}

// atUpstream returns the number of requests at an upstream: those that are known, and those that
// only its last statement shows.
func (u *upstreamState) atUpstream(now time.Time) float64 {
	n := float64(len(u.running))
	if u.hidden > 0 {
		n += u.hidden * decay(now.Sub(u.hiddenAt), hiddenLoadTime)
	}
	return n
}

// applyLoad applies what an upstream states of its load. It counts the request that it answers.
func (u *upstreamState) applyLoad(l Load, now time.Time) {
	if !l.Known {
		return
	}
	u.speed.state(l.Percent, now)
	u.hidden, u.hiddenAt = max(0, float64(l.Running+l.Waiting-len(u.running))), now
}

// estimatePlain fills in the estimates for a plain request: it waits until one of the requests
// that are there frees a slot for it.
func (p *Pool) estimatePlain(c *Choice, u *upstreamState, now time.Time) {
	if p.plain.n == 0 {
		return
	}
	c.Slowness = p.slowness(u, now)
	c.UsualRead = p.plain.mean()
	c.Read = scale(c.UsualRead, c.Slowness)
	works := worksAhead(u.atUpstream(now), u.up.Slots)
	c.UsualWait, c.Wait = scale(c.UsualRead, works), scale(c.Read, works)
}

// worksAhead returns the time, in works, until n requests have freed a slot for another one.
func worksAhead(n float64, slots int) float64 {
	if slots <= 0 || n < float64(slots) {
		return 0
	}
	return (n + 1 - float64(slots)) / float64(slots)
}

// observePlain records the answer of an upstream to a plain request.
func (p *Pool) observePlain(u *upstreamState, r *runningRequest, now time.Time) {
	took := now.Sub(r.begun)
	if took <= 0 {
		return
	}
	works := 1 + worksAhead(r.ahead, u.up.Slots)
	p.plain.observe(took, works)
	u.speed.observe(took, scale(p.plain.mean(), works), p.plain.mean(), now)
}

// hasPlaces reports whether a plain upstream probably takes another request.
func (p *Pool) hasPlaces(u *upstreamState, now time.Time) bool {
	return p.usualSpeeds || !u.places.full(u.atUpstream(now), now)
}

// plainSample is the number of upstreams, of this host's failure domain and of all, among which a
// plain request is placed.
const plainSample = 2

// sample returns the candidates for a plain request: some at random, the faster ones more often.
// Hosts hear late of each other's requests. If all chose the best, they would choose the same one.
func (p *Pool) sample(candidates []*upstreamState, now time.Time) []*upstreamState {
	if p.usualSpeeds || len(candidates) <= plainSample {
		return candidates
	}
	own := make([]*upstreamState, 0, len(candidates))
	for _, u := range candidates {
		if u.up.FailureDomain == p.domain {
			own = append(own, u)
		}
	}
	out := p.draw(candidates, now)
	if len(own) < len(candidates) {
		out = append(out, p.draw(own, now)...)
	}
	return out
}

// draw draws plainSample different candidates, each with a weight of its slots by its slowness.
func (p *Pool) draw(from []*upstreamState, now time.Time) []*upstreamState {
	if len(from) <= plainSample {
		return from
	}
	weights, sum := make([]float64, len(from)), 0.0
	for i, u := range from {
		weights[i] = float64(max(1, u.up.Slots)) / p.slowness(u, now)
		sum += weights[i]
	}
	out := make([]*upstreamState, 0, 2*plainSample)
	for len(out) < plainSample {
		at, i := p.rng.Float64()*sum, 0
		for ; i < len(from)-1 && at >= weights[i]; i++ {
			at -= weights[i]
		}
		for weights[i] == 0 {
			i = (i + 1) % len(from) // rounding
		}
		out = append(out, from[i])
		sum -= weights[i]
		weights[i] = 0
	}
	return out
}
