package balance

import (
	"math"
	"time"
)

// Initial estimates of engine speed, for a 70-billion-parameter model on one current
// accelerator. A correction factor is learned from the answers.
const (
	readTokensPerMilli = 40.0
	// millisPerMillionPairs is the attention time, in milliseconds, for a million pairs
	// of a token that is read and a token before it.
	millisPerMillionPairs = 0.6
	// An engine reads prompts in chunks of chunkTokens. Each chunk runs beside one
	// decoding step of the answers in progress, which takes stepTime.
	chunkTokens = 2048
	stepTime    = 6 * time.Millisecond
	// fetchSetupTime is the time to start a transfer between caches.
	fetchSetupTime = 2 * time.Millisecond
	// minFetchTokens is the smallest number of tokens that is worth a transfer.
	minFetchTokens = 256
)

// cached returns the number of prompt tokens in the upstream's cache. At least one token
// of a prompt is always read.
func (u *upstreamState) cached(keys []uint64, work *Work) int64 {
	return max(0, min(u.cache.cached(keys, work.Parts), work.Input-1))
}

func (p *Pool) estimate(u *upstreamState, work *Work, keys []uint64, source fetchSource, now time.Time) Choice {
	c := Choice{Upstream: u.up, Running: len(u.running), Delay: u.limit.delay(now), Held: u.tokens}
	if work == nil {
		p.estimatePlain(&c, u, now)
		return c
	}
	c.Slowness = p.slowness(u, now)
	c.Wait = u.queue.wait(work.Rank, c.Slowness, now)
	c.UsualWait = c.Wait
	if c.Slowness != 1 {
		c.UsualWait = u.queue.wait(work.Rank, 1, now)
	}
	c.Generate = p.generateTime(work)
	c.Cached = u.cached(keys, work)
	c.UsualRead = p.readTime(work.Input, c.Cached)
	c.Read = scale(c.UsualRead, c.Slowness)
	p.fetchPart(&c, u, work, source)
	if !p.usualSpeeds {
		c.Imposed = u.queue.imposed(work.Rank, c.Wait, c.Read, now)
	}
	return c
}

// fetchPart lets the upstream fetch a part of the prompt from the source, if that is faster than
// reading it.
func (p *Pool) fetchPart(c *Choice, u *upstreamState, work *Work, source fetchSource) {
	extra := source.tokens - c.Cached
	if source.upstream == nil || source.upstream == u || extra < minFetchTokens {
		return
	}
	fetch, rest := p.fetchTime(extra), p.readTime(work.Input, source.tokens)
	if fetchAndRead := fetch + scale(rest, c.Slowness); fetchAndRead < c.Read {
		c.Read, c.UsualRead = fetchAndRead, fetch+rest
		c.FetchFrom, c.Fetched = source.upstream.up.Addr, extra
	}
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

// fetchTime returns the time to fetch tokens from another upstream's cache.
func (p *Pool) fetchTime(tokens int64) time.Duration {
	if p.engine.LinkBits <= 0 || p.engine.TokenBytes <= 0 {
		return time.Hour // not possible
	}
	seconds := float64(tokens) * p.engine.TokenBytes * 8 / p.engine.LinkBits
	return fetchSetupTime + time.Duration(seconds*float64(time.Second))
}

// readTime returns the time to read a prompt of input tokens, of which some are cached.
func (p *Pool) readTime(input, cached int64) time.Duration {
	unread := float64(input - cached)
	pairs := unread * (float64(cached) + unread/2) / 1e6
	reading := time.Duration((unread/readTokensPerMilli + pairs*millisPerMillionPairs) * float64(time.Millisecond))
	steps := time.Duration((input-cached+chunkTokens-1)/chunkTokens) * stepTime
	return time.Duration(float64(reading+steps) * p.latencyFactor)
}

// latencyFactorWeight is the weight of the newest answer in the learned latency factor,
// which minLatencyFactor and maxLatencyFactor bound.
const (
	latencyFactorWeight = 0.02
	minLatencyFactor    = 0.25
	maxLatencyFactor    = 4
)

// ObserveLatency updates the latency factor with the time that an answer took to start.
// c has the estimates. Choices without an estimate are ignored.
func (p *Pool) ObserveLatency(c Choice, took time.Duration) {
	expected := c.UsualWait + c.UsualRead
	if c.UsualRead <= 0 || expected <= 0 || took <= 0 {
		return
	}
	ratio := min(max(took.Seconds()/expected.Seconds(), 1.0/maxLatencyFactor), maxLatencyFactor)
	p.latencyFactor = min(max(p.latencyFactor*math.Pow(ratio, latencyFactorWeight), minLatencyFactor), maxLatencyFactor)
}

// eventIntervalWeight is the weight of the newest answer in the learned interval. A dozen
// or so answers show a change of load.
const eventIntervalWeight = 0.1

// ObserveEventInterval updates the learned interval with the mean time between the events
// of one answer.
func (p *Pool) ObserveEventInterval(interval time.Duration) {
	p.eventInterval += time.Duration(eventIntervalWeight * float64(interval-p.eventInterval))
}

// generateTime returns the time from the start to the end of an answer.
func (p *Pool) generateTime(work *Work) time.Duration {
	tokens := min(work.Hint, work.MaxOutput)
	return p.eventInterval * time.Duration(tokens) / time.Duration(max(1, p.engine.EventTokens))
}
