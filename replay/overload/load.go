package main

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/hazelworks/hazelworks/core/balance"
)

// Kind is a kind of request. Its figures are those of a fleet that serves a
// 70-billion-parameter model from nine engines.
type Kind struct {
	Name string
	// Rank is the urgency; 0 is first.
	Rank int
	// Objective is the time to the first event, Timeout that to the end.
	Objective, Timeout time.Duration
	// PerSecond is the usual rate of requests.
	PerSecond float64
	// SharedTokens and SessionTokens are the mean lengths, in tokens, of the part of the prompt
	// that requests of a group share and of the part of one session.
	SharedTokens, SessionTokens float64
	// Groups and Sessions are the numbers of them.
	Groups, Sessions int
	// Output is the mean length of the answer in tokens.
	Output float64
	// Credit is the credit of an answer in time, LateCredit that of a late one.
	Credit, LateCredit float64
}

// usualEngines is the number of engines that the usual load is for.
const usualEngines = 9

// usualKinds returns the load at 1 times the usual.
func usualKinds() []Kind {
	return []Kind{
		{Name: "urgent", Rank: 0, Objective: 500 * time.Millisecond, Timeout: 4 * time.Second, PerSecond: 14,
			SharedTokens: 340, SessionTokens: 1700, Groups: 20, Sessions: 120, Output: 22, Credit: 1.8, LateCredit: 0.55},
		{Name: "large", Rank: 1, Objective: 600 * time.Millisecond, Timeout: 6 * time.Second, PerSecond: 20,
			SharedTokens: 2500, SessionTokens: 6500, Groups: 4, Sessions: 170, Output: 52, Credit: 3.4, LateCredit: 1},
		{Name: "chat", Rank: 2, Objective: 400 * time.Millisecond, Timeout: 15 * time.Second, PerSecond: 20,
			SharedTokens: 100, SessionTokens: 600, Groups: 20, Sessions: 115, Output: 280, Credit: 0.46, LateCredit: 0.14},
	}
}

// sizeDeviation is the deviation of the logarithm of sizes.
const sizeDeviation = 0.8

// Request is one request of a caller, over all its attempts.
type Request struct {
	ID      uint64
	Kind    *Kind
	Arrived time.Duration
	Work    balance.Work
	// Output is the number of tokens that the answer will have.
	Output int64

	// retried is true once the caller was turned away.
	retried  bool
	engine   int
	host     int
	choice   balance.Choice
	sentAt   time.Duration
	firstAt  time.Duration
	doneAt   time.Duration
	finished bool
}

// generateRequests makes the requests of a time at a multiple of the usual load.
func generateRequests(kinds []Kind, load float64, length time.Duration, rng *rand.Rand) []*Request {
	var out []*Request
	for k := range kinds {
		kind := &kinds[k]
		at := 0.0
		for {
			at += rng.ExpFloat64() / (kind.PerSecond * load)
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
	own := balance.Part{ID: base | 2<<32 | uint64(session), Tokens: int64(kind.SessionTokens * 2 / 3)}
	last := drawSize(kind.SessionTokens/3, rng)
	output := drawSize(kind.Output, rng)
	r := &Request{
		ID: rng.Uint64(), Kind: kind, Arrived: at, Output: output,
		Work: balance.Work{
			Input: shared.Tokens + own.Tokens + last, MaxOutput: 4 * int64(kind.Output) * 2, Rank: kind.Rank,
			Hint: drawSize(float64(output), rng), Parts: []balance.Part{shared, own},
		},
	}
	return r
}

// drawSize draws a length with a mean.
func drawSize(mean float64, rng *rand.Rand) int64 {
	return max(1, int64(mean*math.Exp(sizeDeviation*rng.NormFloat64()-sizeDeviation*sizeDeviation/2)))
}
