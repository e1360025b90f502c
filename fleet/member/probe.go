package member

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/hazelworks/hazelworks/core/membership"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/fleet/peer/peerpb"
)

// probeLoop probes all hosts that this host watches once per probeInterval. It
// starts after a random part of the interval, so that hosts that start together do
// not probe at the same time.
func (m *Members) probeLoop(ctx context.Context) error {
	if err := sleep(ctx, m.randomDelay(probeInterval)); err != nil {
		return err
	}
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		m.mu.Lock()
		targets := m.table.Targets()
		m.mu.Unlock()
		for _, id := range targets {
			go m.probe(ctx, id, hedgeDelay)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (m *Members) randomDelay(limit time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(m.rand.Int64N(int64(limit)))
}

// probe pings a host and records the result. It also tries a new connection after
// delay, since the open one may have gone silent. It does nothing if a probe of the
// host is in flight. A failed probe does not count if this process was paused.
func (m *Members) probe(ctx context.Context, id record.HostID, delay time.Duration) {
	if !m.beginProbe(id) {
		return
	}
	defer m.endProbe(id)
	start := time.Now()
	response, err := m.hedgedPing(ctx, id, delay)
	if ctx.Err() != nil {
		return
	}
	m.meters.probes.Inc(1)
	if err == nil {
		m.applyResponse(ctx, response)
		return
	}
	m.meters.probeErrors.Inc(1)
	if time.Since(start) > probeTimeout+pauseSlack {
		m.logger.Info("ignored a failed probe, this process was paused", "host", id)
		return
	}
	m.logger.V(1).Info("a host did not answer a probe", "peer", id, "error", err.Error())
	m.update(func(now time.Time) { m.table.CallFailed(id, now) })
	m.requestPush()
}

func (m *Members) beginProbe(id record.HostID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.probing[id] {
		return false
	}
	m.probing[id] = true
	return true
}

func (m *Members) endProbe(id record.HostID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.probing, id)
}

// applyResponse applies a host's answer to a ping.
func (m *Members) applyResponse(ctx context.Context, r *peerpb.PingResponse) {
	status := membership.SelfStatus{
		Host:        record.HostID(r.Host),
		Incarnation: record.Incarnation(r.Incarnation),
		Leaving:     r.Leaving,
		Version:     record.Offset(r.SettingsVersion),
	}
	m.update(func(now time.Time) { m.table.CallAnswered(status, now) })
	m.receiveReports(ctx, r.Suspicions)
}

// receiveReports applies the reports of another host. It probes the reported hosts
// that this host watches and pushes new reports to others.
func (m *Members) receiveReports(ctx context.Context, suspicions []*peerpb.Suspicion) {
	if len(suspicions) == 0 {
		return
	}
	var toProbe []record.HostID
	anyNew := false
	m.update(func(now time.Time) {
		toProbe, anyNew = m.table.ReceiveReports(decodeReports(suspicions), now)
	})
	for _, id := range toProbe {
		go m.probe(ctx, id, reportedHedgeDelay)
	}
	if anyNew {
		m.requestPush()
	}
}

// pingResult is the result of a ping over one connection.
type pingResult struct {
	response *peerpb.PingResponse
	err      error
	conn     *peerConn
}

// hedgedPing pings over the open connection and, if that fails or no answer arrives
// within delay, over a new one too. It returns the first answer. If that came over
// the new connection, it replaces the open one.
func (m *Members) hedgedPing(ctx context.Context, id record.HostID, delay time.Duration) (*peerpb.PingResponse, error) {
	open := m.conn(id)
	if open == nil {
		return nil, errUnknownHost
	}
	ctx, cancel := context.WithTimeout(context.WithValue(ctx, probeKey{}, true), probeTimeout)
	defer cancel()
	results := make(chan pingResult, 2)
	go m.tryPing(ctx, open, results)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var first pingResult
	select {
	case first = <-results:
		if first.err == nil {
			return first.response, nil
		}
		results <- first
	case <-timer.C:
	}
	fresh := m.newPeerConn(id, open.addr)
	go m.tryPing(ctx, fresh, results)
	for range 2 {
		first = <-results
		if first.err == nil {
			break
		}
	}
	if first.err == nil && first.conn == fresh {
		m.replaceSilentConn(id, open, fresh)
		return first.response, nil
	}
	fresh.http.CloseIdleConnections()
	return first.response, first.err
}

func (m *Members) tryPing(ctx context.Context, conn *peerConn, results chan<- pingResult) {
	response, err := conn.client.Ping(ctx, connect.NewRequest(m.pingRequest()))
	if err != nil {
		results <- pingResult{err: err, conn: conn}
		return
	}
	results <- pingResult{response: response.Msg, conn: conn}
}

func (m *Members) pingRequest() *peerpb.PingRequest {
	status, reports := m.statusAndReports()
	return &peerpb.PingRequest{
		Host:            string(status.Host),
		Incarnation:     uint64(status.Incarnation),
		SettingsVersion: uint64(status.Version),
		Leaving:         status.Leaving,
		Suspicions:      reports,
	}
}

func (m *Members) statusAndReports() (membership.SelfStatus, []*peerpb.Suspicion) {
	m.mu.Lock()
	defer m.mu.Unlock()
	status := m.table.SelfStatus()
	status.Version = m.settingsVersion()
	return status, encodeReports(m.table.TakeReports(maxReports))
}

// Ping answers another host's probe or push.
func (m *Members) Ping(_ context.Context, r *connect.Request[peerpb.PingRequest]) (*connect.Response[peerpb.PingResponse], error) {
	status := membership.SelfStatus{
		Host:        record.HostID(r.Msg.Host),
		Incarnation: record.Incarnation(r.Msg.Incarnation),
		Leaving:     r.Msg.Leaving,
		Version:     record.Offset(r.Msg.SettingsVersion),
	}
	m.update(func(now time.Time) { m.table.ReceiveStatus(status, now) })
	m.mu.Lock()
	ctx := m.runContext
	m.mu.Unlock()
	m.receiveReports(ctx, r.Msg.Suspicions)
	own, reports := m.statusAndReports()
	return connect.NewResponse(&peerpb.PingResponse{
		Host:            string(own.Host),
		Incarnation:     uint64(own.Incarnation),
		SettingsVersion: uint64(own.Version),
		Leaving:         own.Leaving,
		Suspicions:      reports,
		SettingsSchema:  settings.SupportedSchema,
	}), nil
}

func decodeReports(suspicions []*peerpb.Suspicion) []membership.Report {
	reports := make([]membership.Report, 0, min(len(suspicions), maxReports))
	for _, s := range suspicions[:min(len(suspicions), maxReports)] {
		reports = append(reports, membership.Report{
			Host:        record.HostID(s.Host),
			Incarnation: record.Incarnation(s.Incarnation),
			By:          record.HostID(s.By),
			Seq:         s.Seq,
			Cleared:     s.Cleared,
		})
	}
	return reports
}

func encodeReports(reports []membership.Report) []*peerpb.Suspicion {
	if len(reports) == 0 {
		return nil
	}
	suspicions := make([]*peerpb.Suspicion, len(reports))
	for i, r := range reports {
		suspicions[i] = &peerpb.Suspicion{
			Host:        string(r.Host),
			Incarnation: uint64(r.Incarnation),
			By:          string(r.By),
			Seq:         r.Seq,
			Cleared:     r.Cleared,
		}
	}
	return suspicions
}

// requestPush makes pushLoop push new reports soon. It never blocks.
func (m *Members) requestPush() {
	select {
	case m.pushRequests <- struct{}{}:
	default:
	}
}

// pushLoop sends new reports to other hosts without waiting for the next probes.
func (m *Members) pushLoop(ctx context.Context) error {
	for {
		select {
		case <-m.pushRequests:
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := sleep(ctx, pushDelay); err != nil {
			return err
		}
		m.pushReports(ctx)
	}
}

func (m *Members) pushReports(ctx context.Context) {
	m.mu.Lock()
	reports := m.table.PeekReports(maxReports)
	targets := m.pushTargets(reports)
	m.mu.Unlock()
	if len(reports) == 0 {
		return
	}
	for _, id := range targets {
		conn := m.conn(id)
		if conn == nil {
			continue
		}
		m.meters.pushes.Inc(1)
		go m.pushTo(ctx, conn)
	}
}

func (m *Members) pushTo(ctx context.Context, conn *peerConn) {
	callCtx, cancel := context.WithTimeout(context.WithValue(ctx, probeKey{}, true), pushTimeout)
	defer cancel()
	response, err := conn.client.Ping(callCtx, connect.NewRequest(m.pingRequest()))
	if err != nil {
		return // probes detect whether the host has failed
	}
	m.applyResponse(ctx, response.Msg)
}

// pushTargets returns the hosts to which reports are pushed, without suspected ones.
// These are the hosts that this host probes, to which connections are open, and the
// other watchers of the hosts that this host reports, which can confirm the report.
// The hosts that each host probes form rings, so pushes along them reach every host.
func (m *Members) pushTargets(reports []membership.Report) []record.HostID {
	self := m.opts.Self.Host
	var targets []record.HostID
	add := func(id record.HostID) {
		if id != self && !slices.Contains(targets, id) {
			targets = append(targets, id)
		}
	}
	for _, r := range reports {
		if r.By != self || r.Cleared || r.Host == self {
			continue
		}
		for _, w := range m.table.Watchers(r.Host) {
			add(w)
		}
	}
	for _, id := range m.table.Targets() {
		add(id)
	}
	return slices.DeleteFunc(targets, func(id record.HostID) bool {
		state, known := m.table.State(id)
		return !known || state == membership.StateSuspected
	})
}
