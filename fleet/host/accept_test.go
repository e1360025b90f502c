package host

import (
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// failingListener fails to accept some connections, as accept does.
type failingListener struct {
	net.Listener
	failed *atomic.Int64
}

// Accept implements net.Listener.
func (l failingListener) Accept() (net.Conn, error) {
	errs := []syscall.Errno{syscall.EMFILE, syscall.ECONNABORTED, syscall.ENOBUFS, syscall.EPROTO, syscall.EPERM}
	if n := l.failed.Add(1); n <= int64(len(errs)) {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errs[n-1])}
	}
	return l.Listener.Accept()
}

// A failed accept, on whichever port, doesn't end the host.
func TestFailedAcceptsDoNotEndTheHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 100_000)
		f.wrap = func(l net.Listener) net.Listener { return failingListener{l, new(atomic.Int64)} }
		f.start(len(f.hosts))
		h := f.hosts[len(f.hosts)-1]
		time.Sleep(5 * time.Second)
		require.Empty(t, h.ended)
		require.Equal(t, http.StatusOK, f.book(h, "b1").StatusCode)
		require.Equal(t, http.StatusOK, f.do(h, h.cfg.Listen.Admin, http.MethodGet, "/v1/status", testOperator, "", "").StatusCode)
		require.NoError(t, pingOver(f, h)())
	})
}
