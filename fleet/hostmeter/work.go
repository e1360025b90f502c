package hostmeter

import (
	"runtime/metrics"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/hazelworks/hazelworks/core/hostload"
)

// workInterval is the time between two log lines about the work of a host that is busy or full.
const workInterval = time.Second

// collections is the runtime's count of garbage collections.
const collections = "/gc/cycles/total:gc-cycles"

// workLog logs what a loaded host does, so that the load can be told from its causes.
type workLog struct {
	at     time.Time
	before map[string]int64
	// timedOut is the count of connections that timed out at the last look.
	timedOut int64
}

// due reports whether a line is due: the host is loaded, or connections that it opens time out.
func (w *workLog) due(now time.Time, level hostload.Level, timedOut int64) bool {
	if now.Sub(w.at) < workInterval {
		return false
	}
	failing := timedOut > w.timedOut
	w.timedOut = timedOut
	return level != hostload.Calm || failing
}

// logWork logs how much was done since the last line. It is called by Run only.
func (m *Meter) logWork(now time.Time, level hostload.Level, use hostload.Use, rejected float64) {
	if !m.work.due(now, level, m.timedOut.Load()) {
		return
	}
	counts := m.counts()
	before, elapsed := m.work.before, now.Sub(m.work.at)
	m.work.at, m.work.before = now, counts
	if before == nil || elapsed >= 2*workInterval {
		return // the host was calm meanwhile
	}
	fields := []any{"level", level.String(), "processor", use.Processor, "link_in", use.In, "link_out", use.Out, "run_queue", use.RunQueue, "rejected", rejected, "elapsed", elapsed}
	for _, name := range append([]string{countRequests, countAccepted, countDialled, countTimedOut, countLogIn, countLogOut, countCollections}, m.opt.Counters...) {
		fields = append(fields, name, counts[name]-before[name])
	}
	m.log.Info("Work of this host.", fields...)
}

// Names of the meter's own counts in the log.
const (
	countRequests    = "requests"
	countAccepted    = "connections_accepted"
	countDialled     = "connections_dialled"
	countTimedOut    = "connections_timed_out"
	countLogIn       = "log_bytes_in"
	countLogOut      = "log_bytes_out"
	countCollections = "garbage_collections"
)

// counts returns the counts since the start of the process.
func (m *Meter) counts() map[string]int64 {
	sample := []metrics.Sample{{Name: collections}}
	metrics.Read(sample)
	out := map[string]int64{
		countRequests: m.requests.Load(), countAccepted: m.accepted.Load(), countDialled: m.dialled.Load(),
		countTimedOut: m.timedOut.Load(), countLogIn: m.opt.Log.In(), countLogOut: m.opt.Log.Out(),
		countCollections: int64(sample[0].Value.Uint64()),
	}
	for _, name := range m.opt.Counters {
		out[name] = gometrics.GetOrRegisterCounter(name, m.opt.Metrics).Count()
	}
	return out
}
