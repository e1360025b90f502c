package crowd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/platform/standin"
)

const (
	// pageDescriptors is the limit on descriptors in the example of DEPLOY.md.
	pageDescriptors = 4100
	// pipeliners is more than the connections of callers that a host on a small machine keeps open.
	pipeliners = 500
	// pipelinedBytes is what each of them sends after a request, unless the host takes less.
	pipelinedBytes = 8 * mib
	// fastUploads is the number of bodies that a pipeliner sends before. The kernel lets a connection
	// hold more that arrives fast and is read.
	fastUploads     = 4
	fastUploadBytes = 256 * kib
)

// Bytes that were received and not read must not fill the memory beside what the process holds.
func TestPipelinedBytes(t *testing.T) {
	h := startHostOn(t, bounds{smallMachineMiB, pageDescriptors})
	h.upstreams["llm"].SetBehaviour(standin.Behaviour{Events: 3, Delay: crowdTimeout})
	m := newMembers(&h.refusals, platformHead)
	t.Cleanup(m.leave)
	for range pipeliners {
		m.all.Go(func() { pipeline(m, h.address(standin.CallerPort)) })
	}
	h.checkQueues(sendTime + quietTime)
	m.leave()
	h.requireAnswer("after the crowd has left")
	h.check()
}

// checkQueues fails the test if the memory of the process, and what the kernel holds of its connections,
// pass the memory of the machine within a time.
func (h *host) checkQueues(within time.Duration) {
	h.t.Helper()
	most, unread, unacknowledged := 0, 0, 0
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * sampleInterval) {
		received, sent := h.queuedBytes()
		most = max(most, h.measure().residentKiB<<10+received+sent)
		unread, unacknowledged = max(unread, received), max(unacknowledged, sent)
	}
	h.t.Logf("at most %d KiB were received and not read, %d KiB written and not acknowledged, and %d KiB both with the memory of the process",
		unread>>10, unacknowledged>>10, most>>10)
	assert.LessOrEqual(h.t, most, h.bounds.memoryMiB*mib)
}

// Answers that nobody reads must not fill the memory by what the kernel holds of them.
func TestUnreadAnswersInTheKernel(t *testing.T) {
	h := startHostOn(t, bounds{smallMachineMiB, pageDescriptors})
	c := unreadAnswers
	c.clients = pipeliners
	m := h.gather(c)
	h.checkQueues(sendTime + quietTime)
	m.leave()
	h.requireAnswer("after the crowd has left")
	h.check()
}

// pipeline uploads some bodies, sends a request whose answer takes long, and goes on to send.
func pipeline(m *members, address string) {
	conn, err := (&net.Dialer{}).DialContext(m.ctx, "tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(m.ctx, func() { _ = conn.Close() })()
	reader := bufio.NewReader(conn)
	for range fastUploads {
		if !upload(m, conn, reader) {
			break
		}
	}
	b := announcedText("a request")
	_, _ = io.WriteString(conn, m.head(streamPath, nextRequestID())+b.framing()+string(b.unit))
	_, _ = conn.Write(make([]byte, pipelinedBytes))
	<-m.ctx.Done()
}

// upload reports whether a body was sent and its request answered on a connection that stays open.
func upload(m *members, conn net.Conn, reader *bufio.Reader) bool {
	b := announced(fastUploadBytes)
	_, err := io.WriteString(conn, m.head(publicPath, nextRequestID())+b.framing()+string(b.at(0)))
	if err != nil {
		return false
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && !resp.Close
}

// queuedBytes returns the bytes of the process's TCP connections that it has not read, and those that it has
// written and the other end has not acknowledged.
func (p *process) queuedBytes() (received, sent int) {
	own := p.sockets()
	file, err := os.Open("/proc/net/tcp")
	require.NoError(p.t, err)
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		const state, queues, inode, listening = 3, 4, 9, "0A"
		fields := strings.Fields(lines.Text())
		if len(fields) <= inode || !own[fields[inode]] || fields[state] == listening {
			continue
		}
		var out, in int
		_, err := fmt.Sscanf(fields[queues], "%x:%x", &out, &in)
		require.NoError(p.t, err)
		received, sent = received+in, sent+out
	}
	return received, sent
}

// sockets returns the inodes of the process's sockets.
func (p *process) sockets() map[string]bool {
	dir := fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)
	names, err := os.ReadDir(dir)
	require.NoError(p.t, err)
	inodes := make(map[string]bool)
	for _, name := range names {
		target, _ := os.Readlink(filepath.Join(dir, name.Name())) // it may be closed meanwhile
		if inode, ok := strings.CutPrefix(target, "socket:["); ok {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return inodes
}
