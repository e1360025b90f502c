// Package origins keeps, for the whole fleet, which software version has begun each stream, so
// that any host can have it go on there. Hosts tell each other by gossip when a stream begins,
// and ask each other when a caller takes one up that they don't know.
package origins

import (
	"context"
	"errors"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"github.com/hazelworks/hazelworks/core/build"
	"github.com/hazelworks/hazelworks/core/catalog"
	"github.com/hazelworks/hazelworks/core/origin"
	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/roster"
	"github.com/hazelworks/hazelworks/fleet/gossip"
)

// readMargin is how much later than usual the list of upstreams may be read and still tell
// which software an upstream runs.
const readMargin = 500 * time.Millisecond

// ErrUnknown reports that the software version that has begun a stream is not known.
var ErrUnknown = errors.New("origins: the software version that began the stream is not known")

// Options configure a [Keeper].
type Options struct {
	Self roster.Host
	// Peers returns the other hosts, Alive those with recent heartbeats.
	Peers func() []roster.Host
	Alive func() []roster.Host
	// Ask asks another host for the origin of a stream.
	Ask func(ctx context.Context, h roster.Host, q Query) (Answer, error)
	// Broadcast sends an event to all hosts of a small fleet, SendTo to one host.
	Broadcast func(gossip.Event)
	SendTo    func(roster.Host, []gossip.Event)
	// ReadInterval returns the longest usual time between two reads of the list of upstreams.
	ReadInterval func() time.Duration
	// LowestBuild returns the lowest build level of all listed hosts, or false if the list of hosts
	// has not been read yet. It is called often.
	LowestBuild func() (build.Level, bool)
	// Log is the platform's log, and Stream the stream of the versions that services have.
	Log     platform.KeyedLog
	Stream  string
	Logger  logr.Logger
	Metrics metrics.Registry
}

// Keeper knows the origins of streams. It is safe for concurrent use.
type Keeper struct {
	opt       Options
	log       logr.Logger
	asked     metrics.Counter
	unknown   metrics.Counter
	uncertain metrics.Counter

	mu        sync.Mutex
	table     *origin.Table
	histories map[string]*origin.History
	// listed are the upstreams in the list, by ID, as of readAt.
	listed map[string]catalog.Upstream
	readAt time.Time
	// ended has, for the starts of upstreams that have left the list, when the list was last
	// read with them.
	ended map[startID]time.Time
	// doubts has the last time at which a start of an upstream has closed a connection.
	doubts map[startID]time.Time
	// unconfirmed are the streams that this host has seen begin on connections that were opened
	// after the last read of the list.
	unconfirmed []begun
	// watchedSince is when the list was first read, or read again after a gap. knewAt is when
	// this host last knew all versions that can have begun a stream.
	watchedSince time.Time
	knewAt       time.Time
	// notes are the versions in the log, by key, as read in an era. followEra is the era of the
	// records that are read next.
	notes     map[string]note
	notedAt   time.Time
	notesEra  platform.Era
	followEra platform.Era
	// rewoundAt is when the log came back from an older copy. vouches is true if this host
	// knew all versions then.
	rewoundAt time.Time
	vouches   bool
	// buildsKnownAt is when the builds of the listed hosts were first known, earlierAt when a host
	// of an earlier build was last seen among them.
	buildsKnownAt time.Time
	earlierAt     time.Time
	// appliedWhole is what the histories were last told of the notes as a whole.
	appliedWhole bool
	// noted are the versions in the notes.
	noted atomic.Pointer[map[origin.Version]bool]
	// texts has the text of each version.
	texts map[origin.Version]note
	// waiting counts the streams that wait for the note of a version. changed is closed when
	// the notes change.
	waiting map[origin.Version]int
	changed chan struct{}
	// now and soon ask for a comparison of the notes.
	now  chan struct{}
	soon chan struct{}
}

// startID identifies one start of an upstream.
type startID struct {
	id      string
	started int64
}

func startOf(up catalog.Upstream) startID { return startID{id: up.ID, started: up.Started} }

// begun is a stream and where it began.
type begun struct {
	key      origin.Key
	up       catalog.Upstream
	openedAt time.Time
	// published is true if other hosts were told.
	published bool
}

// New returns a keeper that knows nothing yet.
func New(opt Options) *Keeper {
	return &Keeper{
		opt: opt, log: opt.Logger.WithName("origins"),
		asked:     metrics.GetOrRegisterCounter("origins.asked", opt.Metrics),
		unknown:   metrics.GetOrRegisterCounter("origins.unknown", opt.Metrics),
		uncertain: metrics.GetOrRegisterCounter("origins.uncertain", opt.Metrics),
		table:     origin.NewTable(), histories: make(map[string]*origin.History),
		listed: make(map[string]catalog.Upstream), ended: make(map[startID]time.Time), doubts: make(map[startID]time.Time),
		notes: make(map[string]note), texts: make(map[origin.Version]note), waiting: make(map[origin.Version]int),
		changed: make(chan struct{}), now: make(chan struct{}, 1), soon: make(chan struct{}, 1),
	}
}

// SetUpstreams applies the list of upstreams.
func (k *Keeper) SetUpstreams(ups []catalog.Upstream) {
	for _, v := range k.setUpstreams(ups) {
		k.wake(k.writesFirst(v))
	}
}

// setUpstreams applies the list of upstreams and returns the versions without a note.
func (k *Keeper) setUpstreams(ups []catalog.Upstream) (unnoted []origin.Version) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if k.watchedSince.IsZero() {
		k.watchedSince = now
	}
	listed := make(map[string]catalog.Upstream, len(ups))
	versions := make(map[string][]origin.Version)
	for _, up := range ups {
		listed[up.ID] = up
		v := origin.VersionOf(up)
		versions[up.Service] = append(versions[up.Service], v)
		k.texts[v] = note{Service: up.Service, Version: up.Version}
	}
	for id, up := range k.listed {
		if now, ok := listed[id]; !ok || !now.SameStart(up) || now.Lapsed && !up.Lapsed {
			k.ended[startOf(up)] = k.readAt
		}
	}
	tooOld := func(_ startID, at time.Time) bool { return now.Sub(at) > origin.Lifetime }
	maps.DeleteFunc(k.ended, tooOld)
	maps.DeleteFunc(k.doubts, func(start startID, _ time.Time) bool {
		up, ok := listed[start.id]
		return !ok || startOf(up) != start
	})
	k.listed = listed
	for service := range versions {
		k.history(service)
	}
	for service, h := range k.histories {
		h.Observe(versions[service], now)
		unnoted = append(unnoted, h.Unnoted(now)...)
	}
	return unnoted
}

// history returns the history of a service. The caller holds mu.
func (k *Keeper) history(service string) *origin.History {
	h, ok := k.histories[service]
	if !ok {
		h = origin.NewHistory(k.watchedSince)
		k.histories[service] = h
		k.applyNotes(service)
	}
	return h
}

// maxAge is the age up to which the list tells which software upstreams run.
func (k *Keeper) maxAge() time.Duration { return k.opt.ReadInterval() + readMargin }

// ListRead records that the list of upstreams was read and applied.
func (k *Keeper) ListRead() {
	k.mu.Lock()
	now := time.Now()
	k.observeBuilds(now)
	if !k.readAt.IsZero() && now.Sub(k.readAt) > k.maxAge() {
		k.watchedSince = now
		for _, h := range k.histories {
			h.Gap(now)
		}
	} else if k.knows(now) {
		k.knewAt = now
	}
	k.readAt = now
	if k.notedAt.Before(k.watchedSince) || k.notesEra < k.opt.Log.Era() {
		k.wake(true)
	}
	streams := k.unconfirmed
	k.unconfirmed = nil
	var confirmed, wrong []begun
	for _, s := range streams {
		until, ok := k.knownUntil(s.up)
		certain := ok && !s.openedAt.After(until)
		switch {
		case certain && !s.published:
			confirmed = append(confirmed, s)
		case !certain && s.published:
			wrong = append(wrong, s)
		}
	}
	k.mu.Unlock()
	for _, s := range confirmed {
		k.publish(s.key, origin.VersionOf(s.up))
	}
	for _, s := range wrong {
		k.log.Info("Origin of a stream withdrawn.", "upstream", s.up.ID, "version", s.up.Version, "reason", "the upstream has started again")
		k.publish(s.key, origin.Unknown)
	}
}

// Doubt records that an upstream has closed or refused a connection. It may start again with
// other software at any time. An upstream writes its entry before it accepts connections, so
// that a later one is certain once the list was read after it was opened.
func (k *Keeper) Doubt(up catalog.Upstream) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.doubts[startOf(up)] = time.Now()
}

// KnownUntil returns the time by which a connection to an upstream must have been opened so
// that the software at its other end is certain to be the listed one. It returns false if there
// is none.
func (k *Keeper) KnownUntil(up catalog.Upstream) (time.Time, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.knownUntil(up)
}

func (k *Keeper) knownUntil(up catalog.Upstream) (time.Time, bool) {
	if at, ok := k.ended[startOf(up)]; ok {
		return at, !at.IsZero()
	}
	if k.readAt.IsZero() {
		return time.Time{}, false
	}
	until := k.readAt.Add(k.maxAge())
	if at, doubted := k.doubts[startOf(up)]; doubted && at.Before(until) {
		until = at
		if k.readAt.After(at) {
			until = k.readAt
		}
	}
	return until, true
}

// Certain reports whether the software at the other end of a connection to an upstream is
// certain to be the listed one. While a service has one version only, it is.
func (k *Keeper) Certain(up catalog.Upstream, openedAt time.Time) bool {
	until, ok := k.KnownUntil(up)
	return ok && !openedAt.After(until) || k.Sole(up.Service) == origin.VersionOf(up)
}

// Begun records that a stream begins at an upstream, over a connection that was opened at a
// time, and tells other hosts, as soon as the version is certain. It must be called before the
// first event is passed on to the caller.
func (k *Keeper) Begun(key origin.Key, up catalog.Upstream, openedAt time.Time) {
	certain := k.Certain(up, openedAt)
	k.mu.Lock()
	if !certain || openedAt.After(k.readAt) {
		k.unconfirmed = append(k.unconfirmed, begun{key: key, up: up, openedAt: openedAt, published: certain})
	}
	k.mu.Unlock()
	if !certain {
		k.uncertain.Inc(1)
		return
	}
	k.publish(key, origin.VersionOf(up))
}

// publish records the version that has begun a stream and tells other hosts.
func (k *Keeper) publish(key origin.Key, v origin.Version) {
	k.record(key, v)
	e := gossip.StreamEvent(key, v)
	holders, all := roster.StreamHolders(k.opt.Self, k.opt.Peers(), k.opt.Alive(), uint64(key))
	if all {
		k.opt.Broadcast(e)
		return
	}
	for _, h := range holders {
		k.opt.SendTo(h, []gossip.Event{e})
	}
}

func (k *Keeper) record(key origin.Key, v origin.Version) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.Record(key, v, time.Now())
}

// Receive applies the events of another host.
func (k *Keeper) Receive(m *gossip.Message) {
	for _, e := range m.Events {
		if key, v, ok := e.Stream(); ok {
			k.record(key, v)
		}
	}
}

// Sole returns the version of all upstreams that can have begun a stream of a service, or
// [origin.Unknown].
func (k *Keeper) Sole(service string) origin.Version {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	h, ok := k.histories[service]
	if !ok || now.Sub(k.readAt) > k.maxAge() {
		return origin.Unknown
	}
	return h.Sole(now)
}

// Query asks for the origin of a stream that a service has begun. The key is zero if the
// caller doesn't say which stream it is.
type Query struct {
	Key     origin.Key
	Service string
}

// Answer is what a host knows of the origin of a stream.
type Answer struct {
	// Recorded is the version that has begun the stream, Sole that of all upstreams that can
	// have. Each may be [origin.Unknown].
	Recorded origin.Version `json:"recorded,omitempty"`
	Sole     origin.Version `json:"sole,omitempty"`
}

// local returns what this host knows.
func (k *Keeper) local(q Query) Answer {
	k.mu.Lock()
	recorded := origin.Unknown
	if q.Key != 0 {
		recorded = k.table.Lookup(q.Key, time.Now())
	}
	k.mu.Unlock()
	return Answer{Recorded: recorded, Sole: k.Sole(q.Service)}
}

// Find returns the version that has begun a stream. It asks other hosts if this one doesn't
// know. The error is [ErrUnknown].
func (k *Keeper) Find(ctx context.Context, q Query) (origin.Version, error) {
	own := k.local(q)
	switch {
	case own.Recorded != origin.Unknown:
		return own.Recorded, nil
	case own.Sole != origin.Unknown:
		return own.Sole, nil
	}
	if v := k.askOthers(ctx, q); v != origin.Unknown {
		return v, nil
	}
	k.unknown.Inc(1)
	return origin.Unknown, ErrUnknown
}
