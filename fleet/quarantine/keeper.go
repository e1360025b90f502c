// Package quarantine keeps the fleet's quarantines: it passes crashes of upstreams on to the
// other hosts, stops requests that must not be sent any more, and keeps the quarantines in the
// platform's log for hosts that start later.
package quarantine

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"github.com/hazelworks/hazelworks/core/knownfault"
	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/quarantine"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/fleet/gossip"
)

// ErrQuarantined is the cause with which requests in flight are cancelled.
var ErrQuarantined = errors.New("quarantine: requests like this one crash upstreams")

// Error reports that a request is rejected because one of its subjects is quarantined.
type Error struct {
	Subject quarantine.Subject
	// Remaining is the time until the quarantine ends.
	Remaining time.Duration
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("quarantine: requests with %s crash upstreams; rejected for another %v", e.Subject, e.Remaining.Round(time.Second))
}

// Is makes errors.Is match ErrQuarantined.
func (e *Error) Is(target error) bool { return target == ErrQuarantined }

// Options configure a [Keeper].
type Options struct {
	Host record.HostID
	// Broadcast sends a report to the other hosts by gossip.
	Broadcast func(gossip.Report)
	// Log and Stream are where quarantines are kept; without a log they are not.
	Log     platform.KeyedLog
	Stream  string
	Logger  logr.Logger
	Metrics metrics.Registry
}

// Keeper is one host's view of the quarantines. It is safe for concurrent use. It calls
// neither Broadcast nor the log while it holds its lock.
type Keeper struct {
	opt     Options
	log     logr.Logger
	started metrics.Counter
	lifted  metrics.Counter
	stopped metrics.Counter
	active  metrics.Gauge

	mu      sync.Mutex
	tracker *quarantine.Tracker
	flights map[*Flight]struct{}
	// logged are the quarantines in the log, and due the times at which the log is
	// brought in line with the tracker.
	logged map[quarantine.Subject]logged
	due    map[quarantine.Subject]time.Time
	loaded bool
	wake   chan struct{}
}

// New returns a keeper; [Keeper.Run] writes its quarantines to the log.
func New(opt Options) *Keeper {
	return &Keeper{
		opt:     opt,
		log:     opt.Logger.WithName("quarantine"),
		started: metrics.GetOrRegisterCounter("quarantine_started", opt.Metrics),
		lifted:  metrics.GetOrRegisterCounter("quarantine_lifted", opt.Metrics),
		stopped: metrics.GetOrRegisterCounter("quarantine_stopped_requests", opt.Metrics),
		active:  metrics.GetOrRegisterGauge("quarantine_active", opt.Metrics),
		tracker: quarantine.NewTracker(),
		flights: make(map[*Flight]struct{}),
		logged:  make(map[quarantine.Subject]logged),
		due:     make(map[quarantine.Subject]time.Time),
		wake:    make(chan struct{}, 1),
	}
}

// Check returns an [*Error] if one of the subjects is quarantined for requests of the account,
// a [quarantine.AccountHash].
func (k *Keeper) Check(subjects []quarantine.Subject, account uint64) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if q, ok := k.tracker.Find(subjects, account, now); ok && !knownfault.SendCrashing {
		return &Error{Subject: q.Subject, Remaining: q.Until.Sub(now)}
	}
	return nil
}

// Flight is a request in flight.
type Flight struct {
	keeper   *Keeper
	subjects []quarantine.Subject
	account  uint64
	cancel   func(error)
}

// Enter registers a request in flight. cancel is called with [ErrQuarantined] if one of its
// subjects is quarantined before [Flight.Leave].
func (k *Keeper) Enter(subjects []quarantine.Subject, account uint64, cancel func(error)) *Flight {
	f := &Flight{keeper: k, subjects: subjects, account: account, cancel: cancel}
	if len(subjects) == 0 {
		return f
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.flights[f] = struct{}{}
	return f
}

// Leave ends the registration. It may be called more than once.
func (f *Flight) Leave() {
	f.keeper.mu.Lock()
	defer f.keeper.mu.Unlock()
	delete(f.keeper.flights, f)
}

// CountAnswer records that a service has answered a request of any host, with the subjects.
func (k *Keeper) CountAnswer(service string, subjects []quarantine.Subject) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.tracker.CountAnswer(service)
	k.tracker.Answered(subjects, time.Now())
}

// Answered records that a request of this host with the subjects was answered.
func (k *Keeper) Answered(subjects []quarantine.Subject) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.tracker.Answered(subjects, time.Now())
}

// Crashed records that an upstream has crashed while it began to run requests of this host,
// and tells the other hosts.
func (k *Keeper) Crashed(up Upstream, suspects []quarantine.Suspect) {
	crash := gossip.Crash{Upstream: up.Hash, Restarts: up.Restarts, Service: up.Service, Suspects: suspects}
	k.opt.Broadcast(gossip.Report{Host: k.opt.Host, Crashes: []gossip.Crash{crash}})
	k.applyCrashes(k.opt.Host, []gossip.Crash{crash})
}

// Receive applies a report of another host.
func (k *Keeper) Receive(r *gossip.Report) {
	k.applyCrashes(r.Host, r.Crashes)
	k.applyQuarantines(r.Host, r.Quarantines)
	for _, s := range r.Lifted {
		k.lift(s, "another host has seen an answer", r.Host)
	}
}

func (k *Keeper) applyCrashes(by record.HostID, crashes []gossip.Crash) {
	var begun []quarantine.Quarantine
	var lifted []quarantine.Subject
	now := time.Now()
	k.mu.Lock()
	for _, c := range crashes {
		change := k.tracker.Crashed(quarantine.Upstream{Hash: c.Upstream, Restarts: c.Restarts}, c.Service, c.Suspects, now)
		begun, lifted = append(begun, change.Begun...), append(lifted, change.Lifted...)
		k.log.Info("Crash of an upstream recorded.", "service", c.Service, "upstream_hash", c.Upstream, "reported_by", by, "suspects", len(c.Suspects))
	}
	for _, q := range begun {
		k.begin(q, by, "crashes", ownWriteDelay)
	}
	k.mu.Unlock()
	for _, s := range lifted {
		k.logLift(s, "another subject explains its crashes", by)
	}
	if len(begun)+len(lifted) > 0 {
		r := k.report(begun, now)
		r.Lifted = lifted
		k.opt.Broadcast(r)
	}
}

// applyQuarantines applies quarantines that another host has begun.
func (k *Keeper) applyQuarantines(by record.HostID, quarantines []gossip.Quarantine) {
	now := time.Now()
	var refuted []quarantine.Subject
	k.mu.Lock()
	for _, g := range quarantines {
		q := g.At(now)
		if applied, isNew := k.apply(q, now); !applied {
			refuted = append(refuted, q.Subject)
		} else if isNew {
			k.begin(q, by, "reported by another host", othersWriteDelay)
		}
	}
	k.mu.Unlock()
	for _, s := range refuted {
		k.lift(s, "an answer refutes it", by)
	}
	if len(refuted) > 0 {
		k.opt.Broadcast(gossip.Report{Host: k.opt.Host, Lifted: refuted})
	}
}

// apply applies a quarantine. It returns whether it was not refuted, and whether it concerns
// requests that none did before. The caller holds mu.
func (k *Keeper) apply(q quarantine.Quarantine, now time.Time) (applied, isNew bool) {
	before, known := k.tracker.Get(q.Subject, now)
	if !k.tracker.Apply(q, now) {
		return false, false
	}
	after, active := k.tracker.Get(q.Subject, now)
	return true, active && (!known || before.Account != after.Account)
}

// begin logs a quarantine and stops the requests in flight that it concerns. The caller
// holds mu.
func (k *Keeper) begin(q quarantine.Quarantine, by record.HostID, reason string, writeDelay time.Duration) {
	k.started.Inc(1)
	k.schedule(q.Subject, writeDelay)
	stopped := 0
	for f := range k.flights {
		if _, ok := k.tracker.Find(f.subjects, f.account, time.Now()); ok {
			stopped++
			f.cancel(ErrQuarantined)
			delete(k.flights, f)
		}
	}
	k.stopped.Inc(int64(stopped))
	now := time.Now()
	k.active.Update(int64(len(k.tracker.Active(now))))
	k.log.Info("Quarantine begun.", "subject", q.Subject.String(), "reason", reason, "reported_by", by, "term", q.Terms, "all_accounts", q.Account == 0,
		"for", q.Until.Sub(now), "first_crash_ago", now.Sub(q.Since), "stopped", stopped)
}

// lift ends a quarantine.
func (k *Keeper) lift(s quarantine.Subject, reason string, by record.HostID) {
	k.mu.Lock()
	lifted := k.tracker.Lift(s, time.Now())
	k.mu.Unlock()
	if lifted {
		k.logLift(s, reason, by)
	}
}

// logLift logs that a quarantine was lifted, and schedules the deletion of its record.
func (k *Keeper) logLift(s quarantine.Subject, reason string, by record.HostID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.logged[s]; ok {
		k.schedule(s, ownWriteDelay)
	}
	k.lifted.Inc(1)
	k.active.Update(int64(len(k.tracker.Active(time.Now()))))
	k.log.Info("Quarantine lifted.", "subject", s.String(), "reason", reason, "reported_by", by)
}

// Report returns a report of all quarantines, for a host that has just started. It returns
// false if there are none.
func (k *Keeper) Report() (gossip.Report, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	active := k.tracker.Active(now)
	return k.report(active, now), len(active) > 0
}

func (k *Keeper) report(quarantines []quarantine.Quarantine, now time.Time) gossip.Report {
	r := gossip.Report{Host: k.opt.Host}
	for _, q := range quarantines {
		r.Quarantines = append(r.Quarantines, gossip.NewQuarantine(q, now))
	}
	return r
}

// Delays, at most, of writes to the log, each drawn at random. Several hosts come to the same
// conclusion at once; the others need not write what is in the log by then.
const (
	ownWriteDelay    = 200 * time.Millisecond
	othersWriteDelay = 3 * time.Second
	// cleanDelay is the time after which a quarantine that has ended is deleted.
	cleanDelay = 2 * time.Minute
)

// schedule schedules a comparison of the log with the tracker. The caller holds mu.
func (k *Keeper) schedule(s quarantine.Subject, within time.Duration) {
	at := time.Now().Add(rand.N(within))
	if old, ok := k.due[s]; ok && old.Before(at) {
		return
	}
	if k.opt.Log == nil {
		return
	}
	k.due[s] = at
	select {
	case k.wake <- struct{}{}:
	default:
	}
}
