package origins

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/admission"
	"github.com/hazelworks/hazelworks/core/build"
	"github.com/hazelworks/hazelworks/core/catalog"
	"github.com/hazelworks/hazelworks/core/origin"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/roster"
	"github.com/hazelworks/hazelworks/fleet/follow"
	"github.com/hazelworks/hazelworks/fleet/gossip"
	"github.com/hazelworks/hazelworks/standin/memkeyed"
)

const (
	notesStream = "keyed.versions"
	historyHost = 3 // hosts of a random history
	// historySeeds is the number of random histories.
	historySeeds = 100
)

// history is a random history of a small fleet: versions come and go, streams begin, and hosts,
// the log and the paths to it fail.
type history struct {
	t   *testing.T
	rng *rand.Rand
	log *memkeyed.Log
	// mu guards what follows against the goroutines of the hosts.
	mu    sync.Mutex
	hosts []*historyKeeper
	// listed are the versions that upstreams are listed with.
	listed  []string
	next    int
	streams []historyStream
	// kills counts the losses of all hosts.
	kills int
	// oneVersion histories have no releases and no drills: any stream may go on.
	oneVersion bool
	// known counts the streams that were taken up and of which something should be known,
	// goneOn those that went on.
	known  int
	goneOn int
}

type historyKeeper struct {
	*Keeper
	link   *memkeyed.Link
	cancel context.CancelFunc
	// view is the list of upstreams as this host has read it.
	view []catalog.Upstream
}

type historyStream struct {
	key     origin.Key
	version origin.Version
	at      time.Time
	kills   int
}

func historyUpstream(version string) catalog.Upstream {
	return catalog.Upstream{ID: "u-" + version, Started: 1, Service: "llm", Version: version}
}

// running returns the hosts that run, but for one.
func (h *history) running(but *historyKeeper) []*historyKeeper {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(h.hosts), func(o *historyKeeper) bool { return o == nil || o == but })
}

// setListed changes the versions that are listed.
func (h *history) setListed(versions []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listed = slices.Clone(versions)
}

// startHost starts the nth host. It remembers nothing.
func (h *history) startHost(n int) {
	self := roster.Host{ID: record.HostID(fmt.Sprintf("h%d", n)), Peer: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:1", n+1))}
	host := &historyKeeper{link: h.log.Link(h.rng.Uint64())}
	others := func() []roster.Host {
		var out []roster.Host
		for _, o := range h.running(host) {
			out = append(out, o.opt.Self)
		}
		return out
	}
	host.Keeper = New(Options{
		Self: self, Peers: others, Alive: others, Log: host.link, Stream: notesStream, Logger: logr.Discard(), Metrics: metrics.NewRegistry(),
		ReadInterval: func() time.Duration { return 1400 * time.Millisecond },
		LowestBuild:  func() (build.Level, bool) { return build.Stated, true },
		Ask: func(_ context.Context, to roster.Host, q Query) (Answer, error) {
			for _, o := range h.running(host) {
				if o.opt.Self.ID == to.ID {
					return o.local(q), nil
				}
			}
			return Answer{}, ErrUnknown
		},
		Broadcast: func(e gossip.Event) {
			for _, o := range h.running(host) {
				if rand.IntN(10) > 0 { // some datagrams are lost
					o.Receive(&gossip.Message{Events: []gossip.Event{e}})
				}
			}
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	host.cancel = cancel
	h.mu.Lock()
	h.hosts[n] = host
	h.mu.Unlock()
	pauses := rand.New(rand.NewPCG(h.rng.Uint64(), 1))
	notes := follow.New(follow.Options{
		Log: host.link, Stream: notesStream, Wait: 10 * time.Second, Pause: func() time.Duration { return 400 * time.Millisecond },
		Retry:  admission.Backoff{Initial: 250 * time.Millisecond, Max: time.Second},
		Logger: logr.Discard(), Snapshot: host.Snapshot, Records: host.Records, Read: host.NotesRead, Position: host.Position,
	})
	go func() { _ = notes.Run(ctx) }()
	go func() { _ = host.Run(ctx) }()
	go func() {
		for ctx.Err() == nil {
			if _, _, err := host.link.Newest(ctx, "servers"); err == nil && ctx.Err() == nil {
				var view []catalog.Upstream
				h.mu.Lock()
				for _, v := range h.listed {
					view = append(view, historyUpstream(v))
				}
				host.view = view
				h.mu.Unlock()
				host.SetUpstreams(view)
				host.ListRead()
			}
			time.Sleep(400*time.Millisecond + time.Duration(pauses.Int64N(int64(time.Second))))
		}
	}()
}

func (h *history) killAll() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.kills++
	for i, host := range h.hosts {
		if host != nil {
			host.cancel()
		}
		h.hosts[i] = nil
	}
}

func (h *history) sleep(atMost time.Duration) { time.Sleep(time.Duration(h.rng.Int64N(int64(atMost)))) }

// release lists a new version, beside those of before or in place of them, and begins streams.
func (h *history) release() {
	h.next++
	version := fmt.Sprintf("v%d", h.next)
	if h.rng.IntN(2) == 0 {
		h.setListed([]string{version})
	} else {
		h.setListed(append(slices.Clone(h.listed), version))
	}
	for range h.rng.IntN(10) {
		h.sleep(300 * time.Millisecond)
		h.begin()
	}
}

// begin begins a stream at a host and upstream, if its first event may leave the host.
func (h *history) begin() {
	h.mu.Lock()
	defer h.mu.Unlock()
	host := h.hosts[h.rng.IntN(len(h.hosts))]
	if host == nil || len(host.view) == 0 {
		return
	}
	up := host.view[h.rng.IntN(len(host.view))]
	key := origin.Key(h.rng.Uint64())
	go func() {
		if host.AwaitNoted(context.Background(), up) != nil {
			return
		}
		host.Begun(key, up, time.Now())
		h.mu.Lock()
		defer h.mu.Unlock()
		h.streams = append(h.streams, historyStream{key: key, version: origin.VersionOf(up), at: time.Now(), kills: h.kills})
	}()
}

// takeUp takes some streams up at any host.
func (h *history) takeUp() {
	h.mu.Lock()
	streams := h.streams
	h.mu.Unlock()
	for range min(8, len(streams)) {
		s := streams[h.rng.IntN(len(streams))]
		host := h.hosts[h.rng.IntN(len(h.hosts))]
		if host == nil || time.Since(s.at) >= origin.Lifetime {
			continue
		}
		v, err := host.Find(context.Background(), Query{Key: s.key, Service: "llm"})
		known := h.oneVersion || s.kills == h.kills
		if known {
			h.known++
		}
		if err == nil {
			if known {
				h.goneOn++
			}
			require.Equal(h.t, s.version, v, "a stream of %v ago", time.Since(s.at))
		}
	}
}

// step does what happens next.
func (h *history) step() {
	n := h.rng.IntN(100)
	switch {
	case h.oneVersion && (n < 24 || n >= 29 && n < 32):
		h.begin()
	case n < 10: // a release
		h.release()
	case n < 24 && len(h.listed) > 1:
		i := h.rng.IntN(len(h.listed))
		h.setListed(slices.Delete(slices.Clone(h.listed), i, i+1))
	case n < 29: // all hosts are lost, often within seconds after a release
		before := h.listed
		if h.rng.IntN(2) == 0 && !h.oneVersion {
			copied := h.log.Copy()
			if h.rng.IntN(2) == 0 {
				for _, host := range h.hosts {
					host.link.Set(memkeyed.Faults{Late: 1, LateBy: 4 * time.Second})
				}
			}
			h.release()
			if h.rng.IntN(4) == 0 {
				h.log.Restore(copied)
			}
		}
		h.killAll()
		h.sleep(3 * time.Second)
		if h.rng.IntN(2) == 0 {
			h.setListed(before[:1])
		}
		for i := range h.hosts {
			h.startHost(i)
		}
	case n < 32: // a drill
		copied := h.log.Copy()
		for range h.rng.IntN(3) {
			h.release()
		}
		h.log.Restore(copied)
	case n < 38: // the log is away for one host or all, or takes writes late
		fault := []memkeyed.Faults{{Unavailable: true}, {Silent: true}, {Late: 1, LateBy: 2 * time.Second}, {LoseAnswer: 1}, {}}[h.rng.IntN(5)]
		one := h.rng.IntN(2 * len(h.hosts))
		for i, host := range h.hosts {
			if host != nil && (one >= len(h.hosts) || i == one) {
				host.link.Set(fault)
			}
		}
	case n < 50:
		for _, host := range h.hosts {
			if host != nil {
				host.link.Set(memkeyed.Faults{})
			}
		}
	default:
		h.begin()
	}
	h.takeUp()
	h.sleep(600 * time.Millisecond)
}

// No stream goes on at another version than the one that began it, whatever happens, and also
// in a fleet that has lost all of its hosts at once.
func TestStreamsKeepTheirVersionInRandomHistories(t *testing.T) {
	var known, goneOn [2]int // in histories of several versions and of one
	for seed := range uint64(historySeeds) {
		synctest.Test(t, func(t *testing.T) {
			h := &history{t: t, rng: rand.New(rand.NewPCG(seed, 39)), log: memkeyed.New(), hosts: make([]*historyKeeper, historyHost), listed: []string{"v0"}, oneVersion: seed%2 == 1}
			defer func() {
				if t.Failed() {
					t.Logf("seed %d", seed)
				}
				h.killAll()
				time.Sleep(time.Minute)
			}()
			for i := range h.hosts {
				h.startHost(i)
			}
			for range 150 {
				h.step()
			}
			known[seed%2] += h.known
			goneOn[seed%2] += h.goneOn
		})
	}
	for i := range known {
		t.Logf("%d of %d streams that were taken up went on", goneOn[i], known[i])
		require.Greater(t, goneOn[i], known[i]/2)
	}
}
