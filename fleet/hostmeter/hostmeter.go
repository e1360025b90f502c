// Package hostmeter measures the load of this host for core/hostload.
package hostmeter

import (
	"context"
	"math/rand/v2"
	"runtime/metrics"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	gometrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"

	"github.com/hazelworks/hazelworks/core/hostload"
)

// Options configure a [Meter].
type Options struct {
	// TurnAway is true if the host turns callers away that it can't carry. Otherwise it rejects
	// requests that its processor can't carry.
	TurnAway bool
	Limits   hostload.Limits
	// Processor returns the processor time that the process has used, Memory its memory in
	// bytes. They may be nil: then that is not known.
	Processor func() time.Duration
	Memory    func() int64
	// RunQueue returns how long what was ready to run waited for the processor lately. It may be
	// nil: then that is not known.
	RunQueue func() time.Duration
	// Changed is called when the host begins or ceases to turn callers away, and twice a second
	// while it does. It may be nil.
	Changed func(full bool)
	// Loaded is called when the host becomes busy or full, and when it is calm again. It may be nil.
	Loaded func(loaded bool)
	// Log counts the bytes of the connections to the platform's log. It may be nil.
	Log *Traffic
	// Counters are the names of counters in Metrics whose growth is logged while the host is
	// loaded.
	Counters []string
	Logger   logr.Logger
	Metrics  gometrics.Registry
}

// Meter measures the load of this host. It is safe for concurrent use.
type Meter struct {
	opt      Options
	log      logr.Logger
	in, out  atomic.Int64
	requests atomic.Int64
	// accepted and dialled count the connections that others have opened to this host, and the
	// attempts of this host to open one. timedOut counts those of them that timed out.
	accepted, dialled, timedOut atomic.Int64
	// answers counts the reads from connections that this host has opened.
	answers atomic.Int64
	work    workLog

	processor, link, memory, late, level, refused, rejected gometrics.Gauge

	mu      sync.Mutex
	monitor *hostload.Monitor
	door    hostload.Door
	// turnedAway counts the connections that were closed unread.
	turnedAway int64
	toldAt     time.Time
	connects   connects
	timeouts   timeouts
	// dialledAt is when this host last tried to open a connection.
	dialledAt time.Time
	// answersAt holds the counts of answers at the samples of the last connectWindow, oldest first.
	answersAt [connectWindow / hostload.Interval]int64
	// logAnsweredAt is when the log last answered a call at once.
	logAnsweredAt time.Time
	// probed holds the addresses to which probes are under way.
	probed map[string]bool
}

// New returns a meter; Run takes the samples.
func New(opt Options) *Meter {
	gauge := func(name string) gometrics.Gauge { return gometrics.GetOrRegisterGauge(name, opt.Metrics) }
	return &Meter{
		opt: opt, log: opt.Logger.WithName("load"), monitor: hostload.NewMonitor(opt.Limits), probed: make(map[string]bool),
		processor: gauge("host_load_processor_percent"), link: gauge("host_load_link_percent"), memory: gauge("host_load_memory_percent"),
		rejected: gauge("host_load_rejected_percent"), late: gauge("host_load_late_us"), level: gauge("host_load_level"), refused: gauge("host_load_connections_closed"),
	}
}

// ProcessorTime returns the processor time that the process has used.
func ProcessorTime() time.Duration {
	var used unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &used) != nil {
		return 0
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// MemoryInUse returns the memory that the Go runtime holds, in bytes.
func MemoryInUse() int64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64() - samples[1].Value.Uint64())
}

// Run takes samples until ctx ends.
func (m *Meter) Run(ctx context.Context) error {
	timer := time.NewTimer(hostload.Interval)
	defer timer.Stop()
	due := time.Now().Add(hostload.Interval)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		now := time.Now()
		m.sample(now, now.Sub(due))
		due = now.Add(hostload.Interval)
		timer.Reset(hostload.Interval)
	}
}

func (m *Meter) sample(now time.Time, late time.Duration) {
	s := hostload.Sample{At: now, In: m.in.Load() + m.opt.Log.In(), Out: m.out.Load() + m.opt.Log.Out(), Requests: m.requests.Load(), Late: max(0, late)}
	if m.opt.Processor != nil {
		s.Processor = m.opt.Processor()
	}
	if m.opt.Memory != nil {
		s.Memory = m.opt.Memory()
	}
	if m.opt.RunQueue != nil {
		s.RunQueue = m.opt.RunQueue()
	}
	m.mu.Lock()
	s.Connect, s.Probe = m.connects.shortest(now, false), m.connects.shortest(now, true)
	s.Connect = max(s.Connect, m.stuck(now))
	before := m.monitor.Level()
	_, wasLimited := m.taken()
	changed := m.monitor.Add(s)
	level, use, rejected := m.monitor.Level(), m.monitor.Use(), m.monitor.Rejected()
	bearable, limited := m.taken()
	m.door.SetRate(bearable, limited, now)
	turnedAway := m.turnedAway
	tell := limited != wasLimited || limited && now.Sub(m.toldAt) >= tellInterval
	if tell {
		m.toldAt = now
	}
	m.mu.Unlock()
	m.updateGauges(use, level, turnedAway)
	m.rejected.Update(int64(percent * rejected))
	m.logWork(now, level, use, rejected)
	if changed || limited != wasLimited {
		m.log.Info("Load of this host changed.", "level", level.String(), "before", before.String(), "processor", use.Processor, "link_in", use.In,
			"link_out", use.Out, "memory", use.Memory, "late", use.Late, "run_queue", use.RunQueue, "requests_per_s", use.Requests, "limited", limited, "taken_per_s", bearable, "closed_unread", turnedAway)
	}
	if m.opt.Loaded != nil && (before == hostload.Calm) != (level == hostload.Calm) {
		m.opt.Loaded(level != hostload.Calm)
	}
	if tell && m.opt.Changed != nil {
		m.opt.Changed(limited)
	}
}

// taken returns the requests per second that the host takes, and false if it takes all. The caller
// holds mu.
func (m *Meter) taken() (perSecond float64, limited bool) {
	perSecond, limited = m.monitor.Bearable()
	return perSecond, limited && m.opt.TurnAway
}

// tellInterval is the time between two reports of a full host.
const tellInterval = 500 * time.Millisecond

const percent = 100

func (m *Meter) updateGauges(use hostload.Use, level hostload.Level, turnedAway int64) {
	m.processor.Update(int64(percent * use.Processor))
	m.link.Update(int64(percent * max(use.In, use.Out)))
	m.memory.Update(int64(percent * use.Memory))
	m.late.Update(use.Late.Microseconds())
	m.level.Update(int64(level))
	m.refused.Update(turnedAway)
}

// Late reports whether this host's timeouts in the span before now prove nothing about others.
func (m *Meter) Late(span time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.monitor.Late(time.Now(), span)
}

// Level returns the level.
func (m *Meter) Level() hostload.Level {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.monitor.Level()
}

// Request counts a request on an open connection. It reports whether the connection is kept after
// the answer.
func (m *Meter) Request() (keep bool) {
	m.requests.Add(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.door.Request(time.Now())
}

// Takes reports whether a new request of a rank is begun; 0 is the most urgent. A host that turns callers
// away begins all that it has let in.
func (m *Meter) Takes(rank int) bool {
	if m.opt.TurnAway {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.monitor.Takes(rank, rand.Float64())
}

// ClosedFor returns the time for which no new connection of a caller is taken.
func (m *Meter) ClosedFor() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.door.ClosedFor(time.Now())
}

// Connect counts a caller's new connection, with the request that it brings, and reports whether
// it is taken.
func (m *Meter) Connect() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.door.Connect(time.Now()) {
		m.requests.Add(1)
		return true
	}
	m.turnedAway++
	return false
}
