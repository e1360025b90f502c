package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/route"
	"github.com/hazelworks/hazelworks/fleet/dispatch"
)

// PathLoad is the path that is polled for the load of an upstream.
const PathLoad = "/v1/load"

// Bounds of polling.
const (
	// maxReportAge is the age of the last load report or poll at which an
	// upstream is polled.
	maxReportAge = 2500 * time.Millisecond
	// maxServingAge is the age of the last poll at which an upstream is polled
	// for what it serves, even if its responses keep its load report fresh.
	maxServingAge = 15 * time.Second
	// minPollInterval is the least time between two polls of this host. With more
	// hosts the interval is pollIntervalPerHost for each host, to stay within the
	// budget of bytes for control traffic.
	minPollInterval     = 160 * time.Millisecond
	pollIntervalPerHost = time.Millisecond
	pollTimeout         = 2 * time.Second
	maxPollBytes        = 64 << 10
	// listWait is the longest wait of a long poll of the platform's list. Half
	// of it is the delay after an error.
	listWait = 2 * time.Second
)

// LoadResponse is the body of the response to a load poll. Its load has the units
// of [dispatch.LoadReport].
type LoadResponse struct {
	Running int     `json:"running"`
	Waiting int     `json:"waiting"`
	Slots   int     `json:"slots,omitempty"`
	KVUsed  float64 `json:"kv,omitempty"`
	Leaving bool    `json:"leaving,omitempty"`
	// Serving lists what is loaded and ready. It is nil if the engine does not
	// report it.
	Serving *[]Serving `json:"serving,omitempty"`
}

// Serving is a model version that an upstream has loaded.
type Serving struct {
	Model    string   `json:"model"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
}

// observeHeaders applies what an upstream reports in the headers of a response.
func (s *service) observeHeaders(id string, h headerReport) {
	now := time.Now()
	s.mu.Lock()
	u, ok := s.upstreams[id]
	if !ok {
		s.mu.Unlock()
		return
	}
	if h.load != nil {
		u.reportedAt = now
		s.observe(id, *h.load, now)
	}
	changed := h.leaving != nil && u.reportsLeaving != *h.leaving
	if changed {
		u.reportsLeaving = *h.leaving
	}
	s.mu.Unlock()
	if changed {
		s.pool.log.Info("Upstream reported whether it is leaving.", "service", s.name, "upstream", id, "leaving", *h.leaving)
		s.resync()
	}
}

// resync updates the routing state after a change of an upstream, and dispatches
// queued requests.
func (s *service) resync() {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.syncRouter(now)
	s.dispatch(now)
}

// pollLoop starts a poll of one upstream at each interval, if one is due.
func (p *Pool) pollLoop(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-time.After(p.pollInterval()):
			if s, id := p.pollTarget(now); s != nil {
				p.metrics.polls.Inc(1)
				wg.Go(func() { s.poll(ctx, id) })
			}
		}
	}
}

// pollInterval returns the time between two polls of this host.
func (p *Pool) pollInterval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(minPollInterval, time.Duration(len(p.hosts))*pollIntervalPerHost)
}

// pollTarget returns an ejected upstream that is due for a probe, or else the
// upstream with the oldest report among those that are due for a poll. The
// service is nil if none is due.
func (p *Pool) pollTarget(now time.Time) (*service, string) {
	var target *service
	var id string
	var oldest time.Time
	for _, s := range p.sortedServices() {
		candidate, at := s.pollTarget(now)
		if candidate != "" && (target == nil || at.Before(oldest)) {
			target, id, oldest = s, candidate, at
		}
	}
	if target != nil {
		target.markPolled(id, now)
	}
	return target, id
}

// pollTarget returns the upstream to poll next and the time of its last report or
// poll; zero for a probe. The ID is empty if none is due.
func (s *service) pollTarget(now time.Time) (id string, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, due := range s.router.ProbesDue(now) {
		if now.Sub(s.upstreams[due].polledAt) >= pollTimeout {
			return due, time.Time{}
		}
	}
	for _, r := range s.router.Watched() {
		u := s.upstreams[r.ID()]
		last := u.reportedAt
		if u.polledAt.After(last) {
			last = u.polledAt
		}
		due := now.Sub(last) >= maxReportAge || now.Sub(u.polledAt) >= maxServingAge
		if due && (id == "" || last.Before(at)) {
			id, at = r.ID(), last
		}
	}
	return id, at
}

// markPolled records the start of a poll, so that the upstream is not due again
// at once.
func (s *service) markPolled(id string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u, ok := s.upstreams[id]; ok {
		u.polledAt = now
	}
}

// poll requests the load of an upstream and applies the response.
func (s *service) poll(ctx context.Context, id string) {
	s.mu.Lock()
	u, ok := s.upstreams[id]
	if !ok {
		s.mu.Unlock()
		return
	}
	url := u.up.URL
	s.mu.Unlock()
	load, err := fetchLoad(ctx, u, url)
	if ctx.Err() != nil {
		return
	}
	s.applyPoll(id, u, load, err)
}

// applyPoll applies the result of a poll. The response is nil if there was none
// that could be decoded; err is nil if the poll counts as a successful probe.
func (s *service) applyPoll(id string, u *upstreamState, a *LoadResponse, err error) {
	now := time.Now()
	s.mu.Lock()
	before, after := route.StateLive, route.StateLive
	if r, ok := s.router.Upstream(id); ok {
		before = r.State()
		s.router.Probed(id, err == nil, now)
		after = r.State()
	}
	changed := false
	if a != nil {
		changed = s.applyLoad(id, u, a, now)
	}
	s.mu.Unlock()
	if before != after {
		s.pool.logState(s.name, id, before, after)
	}
	if changed || before != after {
		s.resync()
	}
}

// applyLoad applies a load response. It reports whether the response changes
// which requests the upstream can serve. The caller holds s.mu.
func (s *service) applyLoad(id string, u *upstreamState, a *LoadResponse, now time.Time) bool {
	u.reportedAt = now
	s.observe(id, dispatch.LoadReport{Running: a.Running, Waiting: a.Waiting, Slots: a.Slots}, now)
	changed := u.reportsLeaving != a.Leaving
	u.reportsLeaving = a.Leaving
	if a.Serving == nil {
		return changed
	}
	serving := make([]route.Serving, len(*a.Serving))
	for i, x := range *a.Serving {
		serving[i] = route.Serving(x)
	}
	if !sameServing(u.reportedServing, serving) {
		u.reportedServing = serving
		changed = true
	}
	return changed
}

func sameServing(a, b []route.Serving) bool {
	if len(a) != len(b) || (a == nil) != (b == nil) {
		return false
	}
	for i := range a {
		if fmt.Sprint(a[i]) != fmt.Sprint(b[i]) {
			return false
		}
	}
	return true
}

// fetchLoad polls the load of an upstream. It returns nil without an error if the
// upstream responds below status 500 but without a load that can be decoded. A
// failed connection is an error and resets the transport.
func fetchLoad(ctx context.Context, u *upstreamState, url string) (*LoadResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+PathLoad, nil)
	if err != nil {
		return nil, err
	}
	resp, err := u.transport.RoundTrip(req)
	if err != nil {
		u.transport.reset()
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPollBytes))
	if err != nil {
		u.transport.reset()
		return nil, err
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return nil, fmt.Errorf("load poll: status %d", resp.StatusCode)
	}
	var a LoadResponse
	if resp.StatusCode != http.StatusOK || json.Unmarshal(body, &a) != nil {
		return nil, nil
	}
	return &a, nil
}

// followHostList follows the platform's list by long polls and applies which
// upstreams it lists as leaving.
func (p *Pool) followHostList(ctx context.Context) {
	var version uint64
	for ctx.Err() == nil {
		list, err := p.opt.UpstreamHosts.Hosts(ctx, version, listWait)
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(listWait / 2):
			}
			continue
		}
		version = list.Version
		p.setListedLeaving(list)
	}
}

func (p *Pool) setListedLeaving(list platform.Hosts) {
	listed := make(map[string]bool)
	for _, h := range list.Hosts {
		if h.State == platform.HostLeaving {
			listed[string(h.ID)] = true
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listedLeaving = listed
	if p.current != nil {
		p.apply(time.Now())
	}
}
