package relay

import (
	"bytes"
	"io"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

// stuckReader gives its data and then waits until it is interrupted.
type stuckReader struct {
	data *bytes.Reader
	stop chan struct{}
}

func (s *stuckReader) Read(p []byte) (int, error) {
	if s.data.Len() > 0 {
		return s.data.Read(p)
	}
	<-s.stop
	return 0, io.ErrUnexpectedEOF
}

// Small bodies that stop just short of their end, of strangers on a public route, don't get an ordinary caller's
// large body on a slow link refused: it arrives at 1.25 MB/s, steadily.
func TestSteadyBodyOnSlowLinkBesideStuckOnes(t *testing.T) {
	k := newBodies(112<<20, newMeters(metrics.NewRegistry()))
	const limit = 4 << 20
	stuck := 0
	// Large part is 10.5 MiB, an account's 8 MiB: one stuck body of 128 KiB after the other.
	stopped := make(chan struct{}, 10000)
	begin := func(size int) {
		s := &stuckReader{data: bytes.NewReader(make([]byte, size)), stop: make(chan struct{})}
		stuck++
		done := false
		go func() {
			_, _ = k.read(bodySource{Reader: s, length: int64(size) + 1, limit: limit, interrupt: func() {
				if !done {
					done = true
					close(s.stop)
				}
			}})
			stopped <- struct{}{}
		}()
	}
	finish := make(chan error, 1)
	pr, pw := io.Pipe()
	go func() {
		_, err := k.read(bodySource{Reader: pr, length: limit, limit: limit, interrupt: func() { _ = pr.CloseWithError(io.ErrClosedPipe) }})
		_ = pr.CloseWithError(io.ErrClosedPipe)
		finish <- err
	}()
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	chunk := make([]byte, 12500)
	sent, n := 0, 0
	for {
		select {
		case err := <-finish:
			require.NoError(t, err, "after %d bytes sent, beside %d stuck bodies", sent, stuck)
			return
		case <-tick.C:
		}
		if n++; n%2 == 0 {
			begin(128 << 10)
		}
		part := chunk[:min(len(chunk), limit-sent)]
		if len(part) == 0 {
			_ = pw.Close()
			continue
		}
		if _, err := pw.Write(part); err == nil {
			sent += len(part)
		}
	}
}

// One account has many small bodies whole, whose answers last. A request of another account still gets room
// for a body of 100 bytes.
func TestWholeSmallBodiesOfOneAccountLeaveRoomToOthers(t *testing.T) {
	k := newBodies(112<<20, newMeters(metrics.NewRegistry()))
	const limit = 4 << 20
	n := 0
	for range 448 {
		b, err := k.read(bodySource{Reader: bytes.NewReader(make([]byte, 64<<10)), length: 64 << 10, limit: limit, account: "a", interrupt: func() {}})
		if err != nil {
			break
		}
		defer b.release()
		n++
	}
	_, err := k.read(bodySource{Reader: bytes.NewReader(make([]byte, 100)), length: 100, limit: limit, account: "b", interrupt: func() {}})
	require.NoError(t, err, "beside %d whole bodies of 64 KiB of one account", n)
}
