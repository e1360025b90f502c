package balance

import (
	"slices"

	"github.com/hazelworks/hazelworks/core/quarantine"
	"github.com/hazelworks/hazelworks/core/rendezvous"
)

// Work is the work that a request gives an engine.
type Work struct {
	_ struct{} `cbor:",toarray"`
	// Input and MaxOutput are in tokens.
	Input     int64
	MaxOutput int64
	// Hint is the number of tokens that the caller expects in the answer, or zero.
	Hint int64
	// Parts are the parts of the prompt, in order.
	Parts []Part
	// Rank is the urgency by which the engine orders its queue; 0 is served first.
	Rank int
}

// maxWorkTokens bounds the tokens of a prompt or an answer that estimates reckon with. It is more
// than any engine holds; the times of ten thousand such requests fit into a time.Duration.
const maxWorkTokens = 1 << 24

// Bounded returns the work with each number between zero and what estimates can reckon with. A hint
// beyond that says nothing and is left out, and the parts are no longer than the prompt. w may be
// nil.
func (w *Work) Bounded() *Work {
	if w == nil {
		return nil
	}
	out := *w
	out.Input, out.MaxOutput = boundedTokens(w.Input), boundedTokens(w.MaxOutput)
	if w.Hint < 0 || w.Hint > maxWorkTokens {
		out.Hint = 0
	}
	left := out.Input
	out.Parts = slices.Clone(w.Parts)
	for i := range out.Parts {
		out.Parts[i].Tokens = min(max(0, out.Parts[i].Tokens), left)
		left -= out.Parts[i].Tokens
	}
	return &out
}

func boundedTokens(n int64) int64 { return min(max(0, n), maxWorkTokens) }

// Subjects returns the parts of the prompt that other requests may have too: all but the last
// one, which belongs to the request or its session. w may be nil.
func (w *Work) Subjects() []quarantine.Subject {
	if w == nil || len(w.Parts) < 2 {
		return nil
	}
	out := make([]quarantine.Subject, 0, len(w.Parts)-1)
	for _, part := range w.Parts[:len(w.Parts)-1] {
		out = append(out, quarantine.Subject{Kind: quarantine.PromptPart, ID: part.ID})
	}
	return out
}

// Suspects returns the request's subjects as those of a request that an upstream had begun to
// run when it crashed. own is the suspect that the request itself is. w may be nil.
func (w *Work) Suspects(own quarantine.Suspect) []quarantine.Suspect {
	subjects := w.Subjects()
	if len(subjects) == 0 {
		return nil
	}
	request := rendezvous.Mix(own.Request, w.Parts[len(w.Parts)-1].ID)
	out := make([]quarantine.Suspect, 0, len(subjects))
	for _, s := range subjects {
		out = append(out, quarantine.Suspect{Subject: s, Request: request, Account: own.Account})
	}
	return out
}
