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

// Limits bounds the log volume of a process.
type Limits struct {
	// PerSecond is the number of lines with the same message that are written in
	// a second. Lines about failed requests are counted separately, with the same
	// limit.
	PerSecond int
	// Buffered is the number of lines that are queued for a slow reader. Further
	// lines are dropped: logging never blocks.
	Buffered int
}

// DefaultLimits returns limits with which the log of a busy host costs less than
// a hundredth of a processor core.
func DefaultLimits() Limits {
	return Limits{PerSecond: 100, Buffered: 2048}
}

// dropReportInterval is the time between log lines that report dropped lines.
const dropReportInterval = 5 * time.Second

// Bounded is a logger with a bounded volume. Close it to flush what is queued.
type Bounded struct {
	Logger logr.Logger
	out    *queueWriter
	// overRate counts the lines dropped since the last report because their message
	// exceeded Limits.PerSecond.
	overRate atomic.Int64
	stop     chan struct{}
	stopped  chan struct{}
}

// NewBounded returns a logger that writes JSON lines to out. Level is "error",
// "info" or "debug".
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

// reportDropped periodically logs the number of dropped lines. Its own lines are
// not limited.
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

// Close reports the last dropped lines and writes the queue, for at most
// closeTimeout.
func (b *Bounded) Close() {
	close(b.stop)
	<-b.stopped
	b.out.close()
}

// closeTimeout bounds the wait for a slow reader in Close.
const closeTimeout = 200 * time.Millisecond

// queueWriter queues lines and writes them in the background.
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

// Write implements zapcore.WriteSyncer. It never blocks: it drops the line if the
// queue is full.
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

// run writes queued lines in batches. After close it returns once the queue is
// empty.
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
		// A failed write of the log can't be logged.
		_, _ = out.Write(batch)
	}
}

// maxBatchBytes is the size of a batch from which no more lines are added.
const maxBatchBytes = 32 << 10

// appendQueued appends the queued lines to batch until it has maxBatchBytes.
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
