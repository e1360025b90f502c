package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/standin/engine"
)

// Callers announce more than all bodies may hold, send nearly all of it or little, and stay. An ordinary
// request is answered meanwhile, and a larger one too.
func TestBodiesThatStopLeaveRoomForOthers(t *testing.T) {
	const limit = 256 << 10
	for name, sent := range map[string]int{"nearly all": limit - 1, "little": 10} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, engine.Options{}, Limits{BodyBytes: limit, BodiesBytes: 4 * limit, BodyTimeout: time.Hour})
				for range 12 {
					conn, err := f.net.Dialer("caller")(context.Background(), "tcp", "10.0.0.1:80")
					require.NoError(t, err)
					defer conn.Close()
					go func() {
						_, _ = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
							testKey, limit, strings.Repeat(" ", sent))
					}()
				}
				time.Sleep(5 * time.Second)
				for _, padding := range []int{0, 60 << 10} {
					resp := f.send(f.client, chat("", chatBody("1", true)+strings.Repeat(" ", padding)))
					require.Equal(t, http.StatusOK, resp.StatusCode)
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
				f.gateway.bodies.mu.Lock()
				held := f.gateway.bodies.budget.Held()
				f.gateway.bodies.mu.Unlock()
				require.LessOrEqual(t, held, int64(4*limit))
			})
		})
	}
}

// pieces is a reader that returns a body in pieces of one size, then an error.
type pieces struct {
	rest []byte
	size int
	err  error
}

// Read implements io.Reader.
func (p *pieces) Read(to []byte) (int, error) {
	n := copy(to[:min(len(to), p.size)], p.rest)
	p.rest = p.rest[n:]
	if len(p.rest) == 0 {
		return n, p.err
	}
	return n, nil
}

func TestBodiesAreReadWhole(t *testing.T) {
	b := newBodies(1<<20, 1<<18, metrics.NilGauge{}, metrics.NilCounter{})
	for _, size := range []int{0, 1, 2, firstBlock - 1, firstBlock, firstBlock + 1, firstBlock + laterBlock, 1 << 18} {
		for _, piece := range []int{1, 3, 5000, 1 << 20} {
			for _, length := range []int64{-1, int64(size)} {
				want := bytes.Repeat([]byte("0123456"), size/7+1)[:size]
				body, err := b.read(&pieces{want, piece, io.EOF}, length, "a", func() {})
				require.NoError(t, err)
				require.True(t, bytes.Equal(want, body.data), "size %d, pieces of %d", size, piece)
				require.LessOrEqual(t, int64(size), b.budget.Held())
				body.free()
				require.Zero(t, b.budget.Held())
				_, err = b.read(&pieces{want, piece, errors.New("reset")}, length, "a", func() {})
				require.Error(t, err)
				require.Zero(t, b.budget.Held())
			}
		}
	}
}
