package logging

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Limits bound what a process logs.
type Limits struct {
	// PerSecond is the number of lines of each kind, that is of each message,
	// that are written in a second, and as many again about failed requests.
	PerSecond int
	// Buffered is the number of lines that wait for a slow reader. Lines beyond
	// it are left out: logging never blocks.
	Buffered int
}

// DefaultLimits returns limits that a busy host keeps below a hundredth of a
// processor core.
func DefaultLimits() Limits {
	return Limits{PerSecond: 100, Buffered: 2048}
}

// dropReportInterval is the time between reports of lines that were left out.
const dropReportInterval = 5 * time.Second

// Bounded is a logger whose volume is bounded. Close ends it.
type Bounded struct {
	Logger logr.Logger
	out    *queueWriter
	// overRate counts the lines beyond the budget of their kind.
	overRate atomic.Int64
	stop     chan struct{}
	stopped  chan struct{}
}

// NewBounded returns a logger that writes JSON lines to out.
func NewBounded(out io.Writer, level string, limits Limits) (*Bounded, error) {
	encoder, err := newEncoder("json")
	if err != nil {
		return nil, err
	}
	minLevel, err := parseLevel(level)
	if err != nil {
		return nil, err
	}
	b := &Bounded{out: newQueueWriter(out, limits.Buffered), stop: make(chan struct{}), stopped: make(chan struct{})}
	core := zapcore.NewCore(encoder, b.out, minLevel)
	newSampler := func() zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, time.Second, limits.PerSecond, 0, zapcore.SamplerHook(b.countOverRate))
	}
	b.Logger = zapr.NewLogger(zap.New(&splitCore{Core: newSampler(), failed: newSampler()}))
	go b.reportDropped(zapr.NewLogger(zap.New(core)).WithName("logging"))
	return b, nil
}

func (b *Bounded) countOverRate(_ zapcore.Entry, decision zapcore.SamplingDecision) {
	if decision&zapcore.LogDropped != 0 {
		b.overRate.Add(1)
	}
}

// reportDropped tells how many lines were left out.
func (b *Bounded) reportDropped(log logr.Logger) {
	defer close(b.stopped)
	tick := time.NewTicker(dropReportInterval)
	defer tick.Stop()
	for {
		select {
		case <-b.stop:
			b.logDropped(log)
			return
		case <-tick.C:
			b.logDropped(log)
		}
	}
}

func (b *Bounded) logDropped(log logr.Logger) {
	overRate, readerSlow := b.overRate.Swap(0), b.out.dropped.Swap(0)
	if overRate+readerSlow > 0 {
		log.Info("Lines left out.", "over_budget", overRate, "reader_slow", readerSlow)
	}
}

// Close writes what is buffered, for at most a moment.
func (b *Bounded) Close() {
	close(b.stop)
	<-b.stopped
	b.out.close()
}

// closeTimeout bounds the wait for a slow reader at the end.
const closeTimeout = 200 * time.Millisecond

// queueWriter passes lines on to a writer in the background.
type queueWriter struct {
	lines   chan []byte
	quit    chan struct{}
	done    chan struct{}
	dropped atomic.Int64
}

func newQueueWriter(out io.Writer, size int) *queueWriter {
	w := &queueWriter{lines: make(chan []byte, size), quit: make(chan struct{}), done: make(chan struct{})}
	go w.run(out)
	return w
}

// Write implements zapcore.WriteSyncer. It never blocks.
func (w *queueWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (w *queueWriter) Sync() error { return nil }

// run writes what has gathered in one go, until all is written after the end.
func (w *queueWriter) run(out io.Writer) {
	defer close(w.done)
	for {
		var batch []byte
		select {
		case batch = <-w.lines:
		case <-w.quit:
		}
		batch = w.appendQueued(batch)
		if len(batch) == 0 {
			return
		}
		// There is nobody to tell of a failed write of the log.
		_, _ = out.Write(batch)
	}
}

// maxBatchBytes bounds the bytes of one write.
const maxBatchBytes = 32 << 10

// appendQueued adds the lines that wait to a batch.
func (w *queueWriter) appendQueued(batch []byte) []byte {
	for len(batch) < maxBatchBytes {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

func (w *queueWriter) close() {
	close(w.quit)
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}
