package gossip

import (
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/hazelworks/hazelworks/core/balance"
	"github.com/hazelworks/hazelworks/core/catalog"
	"github.com/hazelworks/hazelworks/core/origin"
)

// EventKind is the kind of an [Event].
type EventKind uint8

// Kinds of events. The numbers are sent to other hosts.
const (
	Begun      EventKind = 1 // The request was sent.
	FirstEvent EventKind = 2 // The answer has started.
	Ended      EventKind = 3 // The request has ended at the upstream.
	// Stalled means that the answer did not start in time.
	Stalled EventKind = 4
	// Leaving means that the upstream states in an answer that it will stop.
	Leaving EventKind = 5
	// Limited means that the upstream states a limit in an answer, Unlimited that it has
	// none any more.
	Limited   EventKind = 6
	Unlimited EventKind = 7
	// TokenTaken means that a request was sent to an upstream that has a limit.
	TokenTaken EventKind = 8
	// StreamBegun means that a stream has begun, which may go on at another upstream.
	StreamBegun EventKind = 9
	// Brittle means that the upstream states in an answer how many rejections it bears, Robust
	// that it bears any number.
	Brittle EventKind = 10
	Robust  EventKind = 11
)

// audience is the set of hosts to which an event matters.
type audience int

const (
	// servingHosts are those that have served requests recently.
	servingHosts audience = iota
	// limitGroup are those that share a part of an upstream's limit: all hosts of a small fleet.
	limitGroup
	// anyHosts are both: the next request to an upstream may come from any of them.
	anyHosts
	audiences
)

func (k EventKind) audience() audience {
	switch k {
	case TokenTaken, StreamBegun:
		return limitGroup
	case Leaving, Limited, Unlimited, Brittle, Robust:
		return anyHosts
	}
	return servingHosts
}

// Event is one event of a request that this host has sent to an upstream.
type Event struct {
	_    struct{} `cbor:",toarray"`
	Kind EventKind
	// Seq is the number of the request. If Kind is Limited, it is [balance.Limit.Steps],
	// so that hosts of earlier versions can read the event. If it is StreamBegun, it is the
	// [origin.Key] of the stream; if it is Brittle, the number of rejections a second.
	Seq uint64
	// Upstream is the [UpstreamHash] of the upstream. If Kind is StreamBegun, it is the
	// [origin.Version].
	Upstream uint32
	// Outcome is set if Kind is Ended.
	Outcome balance.Outcome
	// Begun is set if Kind is Begun.
	Begun *RequestInfo
}

// LeavingEvent returns the event for an upstream that is leaving.
func LeavingEvent(up catalog.Upstream) Event { return Event{Kind: Leaving, Upstream: UpstreamHash(up)} }

// LimitEvent returns the event for a limit that an upstream has stated or lifted.
func LimitEvent(up catalog.Upstream, limit balance.Limit) Event {
	e := Event{Kind: Unlimited, Upstream: UpstreamHash(up)}
	if limit.State == balance.LimitPresent {
		e.Kind, e.Seq = Limited, limit.Steps()
	}
	return e
}

// BrittleEvent returns the event for what an upstream has stated of rejections.
func BrittleEvent(up catalog.Upstream, b balance.Brittleness) Event {
	e := Event{Kind: Robust, Upstream: UpstreamHash(up)}
	if b.State == balance.LimitPresent {
		e.Kind, e.Seq = Brittle, uint64(b.PerSecond)
	}
	return e
}

// StreamEvent returns the event for a stream that has begun.
func StreamEvent(key origin.Key, v origin.Version) Event {
	return Event{Kind: StreamBegun, Seq: uint64(key), Upstream: uint32(v)}
}

// Stream returns the stream that has begun, or false if the event is about something else.
func (e Event) Stream() (origin.Key, origin.Version, bool) {
	return origin.Key(e.Seq), origin.Version(e.Upstream), e.Kind == StreamBegun
}

// Notice returns what an upstream has stated to the sender of the event, or false if the
// event is about a request.
func (e Event) Notice() (balance.Notice, bool) {
	switch e.Kind {
	case Leaving:
		return balance.Notice{Leaving: true}, true
	case Limited:
		return balance.Notice{Limit: balance.LimitOfSteps(e.Seq)}, true
	case Unlimited:
		return balance.Notice{Limit: balance.Limit{State: balance.LimitAbsent}}, true
	case Brittle:
		return balance.Notice{Brittle: balance.Brittleness{State: balance.LimitPresent, PerSecond: uint32(min(e.Seq, math.MaxUint32))}}, true
	case Robust:
		return balance.Notice{Brittle: balance.Brittleness{State: balance.LimitAbsent}}, true
	}
	return balance.Notice{}, false
}

// RequestInfo describes a request that was sent.
type RequestInfo struct {
	_ struct{} `cbor:",toarray"`
	// ReadMillis is the estimated time that the upstream needs to read the prompt, in
	// milliseconds.
	ReadMillis uint32
	// Work is nil for plain services.
	Work *balance.Work
}

// UpstreamHash returns the hash that identifies one start of an upstream in events.
func UpstreamHash(up catalog.Upstream) uint32 {
	return uint32(xxhash.Sum64String(up.ID + "/" + strconv.FormatInt(up.Started, 10)))
}
