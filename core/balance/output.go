package balance

import "math"

const (
	// outputWeight is the weight of the newest answer in the learned ratios of an answer's length
	// to its hint and to its maximum.
	outputWeight = 0.05
	// minOutputRatio and maxOutputRatio bound what one answer says.
	minOutputRatio = 0.05
	maxOutputRatio = 20
	// memoryMargin is the part of an upstream's memory that is left free, for answers that are
	// longer than expected and for requests that this host doesn't know of yet.
	memoryMargin = 0.08
)

// outputs learns how long answers are. Hints are right in the median and often far off.
type outputs struct {
	// perHint and perMax are the mean ratios, or zero if they are not known.
	perHint, perMax float64
}

// ObserveOutput records the tokens of a complete answer.
func (p *Pool) ObserveOutput(work *Work, tokens int64) {
	if work == nil || tokens <= 0 {
		return
	}
	learnRatio(&p.outputs.perHint, tokens, work.Hint)
	learnRatio(&p.outputs.perMax, tokens, work.MaxOutput)
}

func learnRatio(ratio *float64, tokens, of int64) {
	if of <= 0 {
		return
	}
	seen := min(max(float64(tokens)/float64(of), minOutputRatio), maxOutputRatio)
	if *ratio == 0 {
		*ratio = seen
		return
	}
	*ratio += outputWeight * (seen - *ratio)
}

// expectedOutput returns the tokens of an answer that are to be reckoned with: the maximum, until
// answers have shown less.
func (p *Pool) expectedOutput(work *Work) int64 {
	ratio, of := p.outputs.perMax, work.MaxOutput
	if work.Hint > 0 && p.outputs.perHint > 0 {
		ratio, of = p.outputs.perHint, work.Hint
	}
	if ratio == 0 {
		return work.MaxOutput
	}
	return min(work.MaxOutput, int64(math.Ceil(ratio*float64(of))))
}

// hasMemory reports whether an engine can hold a request beside those that it holds. Cached parts
// of prompts yield. A request that is alone may fill the memory.
func (p *Pool) hasMemory(u *upstreamState, work *Work) bool {
	if work == nil || p.engine.CacheTokens <= 0 || p.usualSpeeds {
		return true
	}
	need := work.Input + p.expectedOutput(work)
	if u.tokens == 0 {
		return !p.exceedsMemory(work)
	}
	return float64(u.tokens+need) <= (1-memoryMargin)*float64(p.engine.CacheTokens)
}

// exceedsMemory reports whether a request is larger than the memory of an engine.
func (p *Pool) exceedsMemory(work *Work) bool {
	return work != nil && p.engine.CacheTokens > 0 && !p.usualSpeeds && work.Input > p.engine.CacheTokens
}
