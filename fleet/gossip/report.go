package gossip

import (
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/quarantine"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/roster"
)

// Report tells other hosts of crashes of upstreams, of quarantines, of this host's load and of the
// use by accounts. It is encoded as a map, so that hosts of earlier versions ignore it and later
// ones can add fields.
type Report struct {
	Host record.HostID `cbor:"1,keyasint"`
	// PassOn asks the receiver to relay the report.
	PassOn      bool                 `cbor:"2,keyasint,omitempty"`
	Crashes     []Crash              `cbor:"3,keyasint,omitempty"`
	Quarantines []Quarantine         `cbor:"4,keyasint,omitempty"`
	Lifted      []quarantine.Subject `cbor:"5,keyasint,omitempty"`
	// Load is the load of the sender, which full hosts send.
	Load *HostLoad    `cbor:"6,keyasint,omitempty"`
	Use  []ServiceUse `cbor:"7,keyasint,omitempty"`
	// Settings is the position up to which the sender has read the settings.
	Settings *SettingsPosition `cbor:"8,keyasint,omitempty"`
}

// SettingsPosition is a position in the stream of the settings.
type SettingsPosition struct {
	Era    platform.Era  `cbor:"1,keyasint"`
	Offset record.Offset `cbor:"2,keyasint"`
}

// ServiceUse is what the accounts have used of a service by the requests of one host, in millionths
// of a second of an upstream's time, a second.
type ServiceUse struct {
	// Service is the hash of the service, Accounts those of the accounts with the most use.
	// Micros has their use, in the same order.
	Service  uint32   `cbor:"1,keyasint"`
	Accounts []uint32 `cbor:"2,keyasint"`
	Micros   []uint64 `cbor:"3,keyasint"`
	// Rest is the number of other accounts, and RestMicros the sum of their use.
	Rest       int    `cbor:"4,keyasint,omitempty"`
	RestMicros uint64 `cbor:"5,keyasint,omitempty"`
}

// Encode returns the report as it is sent.
func (r Report) Encode() ([]byte, error) { return cbor.Marshal(&r) }

// DecodeReport decodes a report.
func DecodeReport(data []byte) (*Report, error) {
	var r Report
	if err := cbor.Unmarshal(data, &r); err != nil {
		return nil, fmt.Errorf("gossip: report: %w", err)
	}
	return &r, nil
}

// Crash is the end of one start of an upstream, as one host has seen it.
type Crash struct {
	_ struct{} `cbor:",toarray"`
	// Upstream is the hash of the upstream. Restarts is set if it is the same for all its
	// starts.
	Upstream uint64
	Restarts bool
	Service  string
	// Suspects are those of the requests that the upstream had begun to run.
	Suspects []quarantine.Suspect
}

// Quarantine is a quarantine with its times relative to now, as clocks of hosts differ.
type Quarantine struct {
	_       struct{} `cbor:",toarray"`
	Subject quarantine.Subject
	// LeftMillis is the time until it ends, AgeMillis the time since the first crash.
	LeftMillis int64
	AgeMillis  int64
	Terms      int
	// Account is the hash of the only account that is concerned, or zero.
	Account uint64
}

// NewQuarantine returns a quarantine as it is sent.
func NewQuarantine(q quarantine.Quarantine, now time.Time) Quarantine {
	return Quarantine{Subject: q.Subject, LeftMillis: q.Until.Sub(now).Milliseconds(), AgeMillis: now.Sub(q.Since).Milliseconds(), Terms: q.Terms, Account: q.Account}
}

// At returns the quarantine as it is received.
func (q Quarantine) At(now time.Time) quarantine.Quarantine {
	return quarantine.Quarantine{
		Subject: q.Subject,
		Until:   now.Add(time.Duration(q.LeftMillis) * time.Millisecond),
		Since:   now.Add(-time.Duration(q.AgeMillis) * time.Millisecond),
		Terms:   max(1, q.Terms),
		Account: q.Account,
	}
}

const (
	// reportRepeat is the time after which a report is sent a second time, because
	// datagrams are lost occasionally.
	reportRepeat = 100 * time.Millisecond
	// maxReportSuspects bounds the suspects of the crashes in a report, so that it fits into
	// one packet.
	maxReportSuspects = 36
	// cborMap is the major type of a map, in the highest three bits of the first byte.
	cborMap = 5
)

// pendingReport is a report that waits to be sent, to one host or to those that need it.
type pendingReport struct {
	report Report
	to     *roster.Host
}

// BroadcastReport sends a report twice to the hosts that need it. It does not block on the
// network.
func (g *Gossip) BroadcastReport(r Report) {
	for _, part := range splitReport(r) {
		g.addReport(pendingReport{report: part})
		time.AfterFunc(reportRepeat, func() { g.addReport(pendingReport{report: part}) })
	}
}

// BroadcastUse sends a report once to the hosts that serve requests, as another follows soon. It
// does not block on the network.
func (g *Gossip) BroadcastUse(r Report) { g.addReport(pendingReport{report: r}) }

// SendReportTo sends a report to one host. It does not block on the network.
func (g *Gossip) SendReportTo(to roster.Host, r Report) {
	g.addReport(pendingReport{report: r, to: &to})
}

// splitReport splits a crash with many suspects into several reports, which the receiver
// joins.
func splitReport(r Report) []Report {
	if len(r.Crashes) != 1 || len(r.Crashes[0].Suspects) <= maxReportSuspects {
		return []Report{r}
	}
	first, rest := r, r
	crash := r.Crashes[0]
	head, tail := crash, crash
	head.Suspects, tail.Suspects = crash.Suspects[:maxReportSuspects], crash.Suspects[maxReportSuspects:]
	first.Crashes, rest.Crashes = []Crash{head}, []Crash{tail}
	return append([]Report{first}, splitReport(rest)...)
}

func (g *Gossip) addReport(p pendingReport) {
	g.mu.Lock()
	g.reports = append(g.reports, p)
	g.mu.Unlock()
	g.signal()
}

func (g *Gossip) sendReports(conn net.PacketConn) {
	g.mu.Lock()
	reports := g.reports
	g.reports = nil
	g.mu.Unlock()
	for _, p := range reports {
		switch {
		case p.to != nil:
			g.sendReport(conn, p.report, []roster.Host{*p.to})
		case g.hasRelay:
			p.report.PassOn = true
			g.sendReport(conn, p.report, []roster.Host{g.relayFor})
		default:
			g.sendReport(conn, p.report, g.reportTargets(g.opt.Self, p.report))
		}
	}
}

// reportTargets returns the hosts that need a report. All need to know quarantines and newer settings, and those that
// serve requests the use by accounts. In a large fleet crashes are collected by a few hosts.
func (g *Gossip) reportTargets(from roster.Host, r Report) []roster.Host {
	if len(r.Use) > 0 {
		others := slices.DeleteFunc(slices.Clone(g.opt.Peers()), func(h roster.Host) bool { return h.ID == from.ID })
		return receivers(from, others, servingHosts)
	}
	if len(r.Quarantines) > 0 || len(r.Lifted) > 0 || r.Settings != nil {
		return g.opt.Peers()
	}
	if r.Load != nil {
		return g.loadTargets(r.Host)
	}
	return roster.CrashCollectors(g.opt.Self, g.opt.Peers(), g.opt.Alive())
}

func (g *Gossip) sendReport(conn net.PacketConn, r Report, to []roster.Host) {
	data, err := r.Encode()
	if err != nil {
		g.log.Error(err, "Report could not be encoded.")
		return
	}
	g.write(conn, data, to)
}

// passOnField is the number of [Report.PassOn].
const passOnField = 2

// passOn sends a received report on, with the fields that only later builds know.
func (g *Gossip) passOn(conn net.PacketConn, data []byte, to []roster.Host) {
	var fields map[uint64]cbor.RawMessage
	if err := cbor.Unmarshal(data, &fields); err != nil {
		g.malformed.Inc(1)
		return
	}
	delete(fields, passOnField)
	passed, err := cbor.Marshal(fields)
	if err != nil {
		g.log.Error(err, "Report could not be encoded.")
		return
	}
	g.write(conn, passed, to)
}

// receiveReport applies a report and reports whether data is one.
func (g *Gossip) receiveReport(conn net.PacketConn, data []byte) bool {
	if len(data) == 0 || data[0]>>5 != cborMap {
		return false
	}
	r, err := DecodeReport(data)
	if err != nil {
		g.malformed.Inc(1)
		return true
	}
	g.received.Inc(1)
	if r.PassOn {
		g.passOn(conn, data, g.reportTargets(g.sender(r.Host), *r))
	}
	g.opt.ReceiveReport(r)
	return true
}

// sender returns the host that has sent a report, or this host if it is not listed here.
func (g *Gossip) sender(id record.HostID) roster.Host {
	for _, h := range g.opt.Peers() {
		if h.ID == id {
			return h
		}
	}
	return g.opt.Self
}
