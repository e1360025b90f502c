package crowd

import (
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/platform/standin"
)

// troubleTime is how long callers send requests while a host is in trouble. A host that stops takes them for
// longer than that.
const troubleTime = 1500 * time.Millisecond

// Requests that arrive whole while the budget for bodies is full, and the host is in trouble besides, are
// answered, and refused as not run only if they have not run.
func TestTroubleBesideLargeBodies(t *testing.T) {
	for name, trouble := range map[string]func(*testing.T, *host){
		"stop": func(t *testing.T, h *host) { require.NoError(t, h.cmd.Process.Signal(syscall.SIGTERM)) },
		"store away": func(_ *testing.T, h *host) {
			_ = h.store.Close()
		},
		"upstreams gone": func(_ *testing.T, h *host) {
			for _, u := range h.upstreams {
				u.Crash()
			}
		},
		"upstreams silent for seconds": func(_ *testing.T, h *host) {
			for _, u := range h.upstreams {
				u.SetBehaviour(standin.Behaviour{Delay: 2 * troubleTime})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := startHost(t, smallMachineMiB)
			m := h.gather(largeBodies)
			m.awaitSettled(sendTime)
			h.awaitQuiet(quietTime)
			trouble(t, h)
			h.requireAnswersToAll(troubleTime)
			if name == "stop" {
				h.stop(graceTime)
			} else {
				h.requireAlive("in trouble")
			}
			m.leave()
			h.checkUsage()
			h.checkRefusals()
		})
	}
}

// A host that stops while strangers hold all of its connections answers what it has read, and ends in time.
func TestStopAtTheLimitOfConnections(t *testing.T) {
	h := startHost(t, smallMachineMiB)
	kept := make([]net.Conn, 5)
	for i := range kept {
		conn, err := net.DialTimeout("tcp", h.address(standin.CallerPort), time.Second)
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		kept[i] = conn
	}
	h.upstreams["desk"].SetBehaviour(standin.Behaviour{Delay: troubleTime})
	answers := make(chan int, len(kept))
	for _, conn := range kept {
		go func() {
			resp, _, err := exchange(conn, platformHead(plainPath, nextRequestID()), announcedText("a request"))
			if err != nil {
				t.Log(err)
				answers <- 0
				return
			}
			answers <- resp.StatusCode
		}()
	}
	time.Sleep(troubleTime / 3)
	m := h.gather(silent, unfinishedHeads)
	m.awaitSettled(troubleTime / 3)
	require.NoError(t, h.cmd.Process.Signal(syscall.SIGTERM))
	for range kept {
		assert.Equal(t, http.StatusOK, <-answers)
	}
	h.stop(graceTime)
	m.leave()
	h.checkUsage()
	h.checkRefusals()
}

// requireAnswersToAll sends requests for a time, each on a connection of its own, and requires an answer to
// each.
func (h *host) requireAnswersToAll(within time.Duration) {
	h.t.Helper()
	statuses := make(map[int]int)
	type outcome struct {
		status int
		err    error
	}
	outcomes := make(chan outcome)
	sent := 0
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(retryPause / 2) {
		sent++
		go func() {
			status, _, err := h.try(announcedText("a request"))
			outcomes <- outcome{status, err}
		}()
	}
	for range sent {
		o := <-outcomes
		assert.NoError(h.t, o.err)
		statuses[o.status]++
	}
	h.t.Logf("answers by status in trouble: %v", statuses)
}
