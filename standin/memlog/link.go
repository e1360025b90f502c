package memlog

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
)

// ErrReplyLost is returned for an append that took effect but whose reply was lost.
var ErrReplyLost = errors.New("memlog: reply lost")

// Link is one client's path to a log. Faults on it touch only that client.
type Link struct {
	log platform.Log

	mu         sync.Mutex
	cut        bool
	loseReply  func() bool
	delay      time.Duration
	beforeSend func()
}

// NewLink returns a healthy path to log.
func NewLink(log platform.Log) *Link {
	return &Link{log: log}
}

var _ platform.Log = (*Link)(nil)

// SetCut cuts or heals the path. Calls on a cut path fail with ErrUnavailable.
func (l *Link) SetCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

// SetLoseReply sets a function that decides whether the reply of an append is
// lost after the append has taken effect. Nil loses none.
func (l *Link) SetLoseReply(lose func() bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loseReply = lose
}

// SetAppendDelay makes each append take effect after a delay, even if its
// caller has given up meanwhile.
func (l *Link) SetAppendDelay(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = delay
}

// SetBeforeSend sets a function that is called before each append is sent. It
// may block, as a paused process would.
func (l *Link) SetBeforeSend(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.beforeSend = f
}

// Append adds one record unless the path is cut.
func (l *Link) Append(ctx context.Context, stream string, data []byte) (record.Offset, error) {
	l.mu.Lock()
	hook := l.beforeSend
	l.mu.Unlock()
	if hook != nil {
		hook()
	}
	l.mu.Lock()
	cut, delay := l.cut, l.delay
	l.mu.Unlock()
	if cut {
		return 0, platform.ErrUnavailable
	}
	if delay > 0 {
		return l.appendLate(ctx, stream, data, delay)
	}
	return l.appendNow(ctx, stream, data)
}

func (l *Link) appendNow(ctx context.Context, stream string, data []byte) (record.Offset, error) {
	offset, err := l.log.Append(ctx, stream, data)
	if err != nil {
		return 0, err
	}
	l.mu.Lock()
	lose := l.loseReply
	l.mu.Unlock()
	if lose != nil && lose() {
		return 0, ErrReplyLost
	}
	return offset, nil
}

func (l *Link) appendLate(ctx context.Context, stream string, data []byte, delay time.Duration) (record.Offset, error) {
	type result struct {
		offset record.Offset
		err    error
	}
	done := make(chan result, 1)
	late := context.WithoutCancel(ctx)
	go func() {
		time.Sleep(delay)
		offset, err := l.appendNow(late, stream, data)
		done <- result{offset: offset, err: err}
	}()
	select {
	case r := <-done:
		return r.offset, r.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// Read reads unless the path is cut.
func (l *Link) Read(ctx context.Context, stream string, from record.Offset, limit int, wait time.Duration) ([]record.Entry, error) {
	if l.isCut() {
		return nil, platform.ErrUnavailable
	}
	entries, err := l.log.Read(ctx, stream, from, limit, wait)
	if l.isCut() {
		return nil, platform.ErrUnavailable
	}
	return entries, err
}

// Bounds asks for the bounds unless the path is cut.
func (l *Link) Bounds(ctx context.Context, stream string) (platform.Bounds, error) {
	if l.isCut() {
		return platform.Bounds{}, platform.ErrUnavailable
	}
	return l.log.Bounds(ctx, stream)
}

func (l *Link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}
