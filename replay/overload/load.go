package main

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/hazelworks/hazelworks/core/admission"
	"github.com/hazelworks/hazelworks/core/balance"
)

// Kind describes one kind of request. The values model a fleet that serves a
// 70-billion-parameter model from nine engines.
type Kind struct {
	Name string
	// Rank is the urgency; 0 is the most urgent.
	Rank int
	// Objective is the target time to the first event. Timeout is the time from
	// arrival until the caller disconnects.
	Objective, Timeout time.Duration
	// Pause is the longest pause between events of an answer that is in time, or zero if any is.
	Pause time.Duration
	// PerSecond is the usual arrival rate in requests per second.
	PerSecond float64
	// SharedTokens is the length of the prompt part that all requests of a group
	// share. SessionTokens is the mean length of the rest: SessionShare of it is shared by
	// the requests of a session, what is left is new in each request.
	SharedTokens, SessionTokens, SessionShare float64
	// Groups and Sessions are the numbers of groups and of sessions.
	Groups, Sessions int
	// Output is the mean length of the answer in tokens.
	Output float64
	// Credit is earned by a complete answer whose first event meets the objective,
	// LateCredit by one whose first event is later.
	Credit, LateCredit float64
}

// usualEngines is the number of engines that the usual load is sized for.
const usualEngines = 9

// usualKinds returns the request kinds with their rates at a load of 1.
func usualKinds() []Kind {
	return []Kind{
		{Name: "urgent", Rank: 0, Objective: 500 * time.Millisecond, Timeout: 4 * time.Second, PerSecond: 14,
			SharedTokens: 340, SessionTokens: 1700, SessionShare: 2.0 / 3, Groups: 20, Sessions: 120, Output: 22, Credit: 1.8, LateCredit: 0.55},
		{Name: "large", Rank: 1, Objective: 600 * time.Millisecond, Timeout: 6 * time.Second, PerSecond: 20,
			SharedTokens: 2500, SessionTokens: 6500, SessionShare: 2.0 / 3, Groups: 4, Sessions: 170, Output: 52, Credit: 3.4, LateCredit: 1},
		{Name: "chat", Rank: 2, Objective: 400 * time.Millisecond, Timeout: 15 * time.Second, PerSecond: 20,
			SharedTokens: 100, SessionTokens: 600, SessionShare: 2.0 / 3, Groups: 20, Sessions: 115, Output: 280, Credit: 0.46, LateCredit: 0.14},
	}
}

// sizeDeviation is the standard deviation of the logarithm of sizes.
const sizeDeviation = 0.8

// Request is a caller's request, including its retry.
type Request struct {
	ID      uint64
	Kind    *Kind
	Arrived time.Duration
	Work    balance.Work
	// Output is the length of the full answer in tokens.
	Output int64

	// retried is set once the request was shed; the next attempt is a retry.
	retried bool
	engine  int
	host    int
	choice  balance.Choice
	sentAt  time.Duration
	firstAt time.Duration
	// pause is the longest pause between two events.
	pause    time.Duration
	doneAt   time.Duration
	finished bool
}

// wavePeriod is the time in which the load rises and falls once.
const wavePeriod = 11 * time.Second

// generateRequests returns the requests that arrive during length at a multiple of
// the usual load, with Poisson arrivals for each kind.
func generateRequests(kinds []Kind, load, wave float64, length time.Duration, rng *rand.Rand) []*Request {
	var out []*Request
	for k := range kinds {
		kind := &kinds[k]
		at := 0.0
		for {
			at += rng.ExpFloat64() / (kind.PerSecond * load * (1 + wave*math.Sin(2*math.Pi*at/wavePeriod.Seconds())))
			if at > length.Seconds() {
				break
			}
			out = append(out, newRequest(kind, k, time.Duration(at*float64(time.Second)), rng))
		}
	}
	return out
}

func newRequest(kind *Kind, index int, at time.Duration, rng *rand.Rand) *Request {
	group := rng.IntN(kind.Groups)
	session := rng.IntN(kind.Sessions)
	base := uint64(index+1) << 40
	shared := balance.Part{ID: base | 1<<32 | uint64(group), Tokens: int64(kind.SharedTokens)}
	own := balance.Part{ID: base | 2<<32 | uint64(session), Tokens: int64(kind.SessionTokens * kind.SessionShare)}
	last := drawSize(kind.SessionTokens*(1-kind.SessionShare), rng)
	output := drawSize(kind.Output, rng)
	r := &Request{
		ID: rng.Uint64(), Kind: kind, Arrived: at, Output: output,
		Work: balance.Work{
			Input: shared.Tokens + own.Tokens + last, MaxOutput: 4 * int64(kind.Output) * 2, Rank: admission.Urgency(kind.Rank, false),
			Hint: drawSize(float64(output), rng), Parts: []balance.Part{shared, own},
		},
	}
	return r
}

// drawSize draws a log-normal size with the given mean, at least 1.
func drawSize(mean float64, rng *rand.Rand) int64 {
	return max(1, int64(mean*math.Exp(sizeDeviation*rng.NormFloat64()-sizeDeviation*sizeDeviation/2)))
}
