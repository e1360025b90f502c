package crowd

import (
	"fmt"
	"testing"
	"time"

	"github.com/hazelworks/hazelworks/platform/standin"
)

// endureCrowds checks that a host on a machine of a size endures crowds.
func endureCrowds(t *testing.T, memoryMiB int, crowds ...crowd) {
	t.Helper()
	h := startHost(t, memoryMiB)
	h.endure(h.gather(crowds...))
}

// Bodies of legal size that stay just short of their end must not fill the memory.
func TestLargeBodies(t *testing.T) { endureCrowds(t, smallMachineMiB, largeBodies) }

// The same on a machine of another size.
func TestLargeBodiesOnALargerMachine(t *testing.T) { endureCrowds(t, largerMachineMiB, largeBodies) }

// Bodies that grow piece by piece must not pass where bodies at once are refused.
func TestLargeBodiesInPieces(t *testing.T) { endureCrowds(t, smallMachineMiB, largeBodiesInPieces) }

// Bodies without an announced length must not fill the memory.
func TestLargeChunks(t *testing.T) { endureCrowds(t, smallMachineMiB, largeChunks) }

// The framing of tiny chunks must not take more memory than the bodies.
func TestTinyChunks(t *testing.T) { endureCrowds(t, smallMachineMiB, tinyChunks) }

// Announced bodies far over the limit must not be taken in.
func TestFarOverTheLimitAnnounced(t *testing.T) {
	endureCrowds(t, smallMachineMiB, farOverAnnounced)
}

// Chunked bodies far over the limit must not be taken in.
func TestFarOverTheLimitSent(t *testing.T) { endureCrowds(t, smallMachineMiB, farOverSent) }

// Whole bodies that wait for a slow upstream must not fill the memory.
func TestWholeBodies(t *testing.T) {
	h := startHost(t, smallMachineMiB)
	h.upstreams["llm"].SetBehaviour(standin.Behaviour{Events: 3, Delay: time.Second})
	h.upstreams["desk"].SetBehaviour(standin.Behaviour{Delay: time.Second})
	h.endure(h.gather(wholeBodies))
}

// Connections without a whole head must not use up the descriptors.
func TestSilentConnectionsAndUnfinishedHeads(t *testing.T) {
	endureCrowds(t, smallMachineMiB, silent, unfinishedHeads)
}

// Answers that nobody reads must not fill the memory.
func TestUnreadAnswers(t *testing.T) { endureCrowds(t, smallMachineMiB, unreadAnswers) }

// A stop must not wait for bodies that never end.
func TestCrowdDuringAStop(t *testing.T) {
	h := startHost(t, smallMachineMiB)
	m := h.gather(largeBodies)
	m.awaitSettled(sendTime)
	h.awaitQuiet(quietTime)
	h.requireAlive("while the crowd is there")
	h.stop(graceTime)
	m.leave()
	h.checkUsage()
	h.checkRefusals()
}

// Crowds at the ports of the directory, of the readiness checks and of other hosts must not use up
// what callers need.
func TestCrowdsAtOtherPorts(t *testing.T) {
	h := startHost(t, smallMachineMiB)
	m := newMembers(&h.refusals, func(path, _ string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/proto\r\n", path, h.ip)
	})
	t.Cleanup(m.leave)
	for port, endless := range map[int]crowd{standin.DirectoryPort: endlessToDirectory, standin.ReadyPort: endlessToReady, peerPort: endlessToPeer} {
		m.start(endless, h.address(port))
		m.start(silentAtOtherPort, h.address(port))
	}
	h.endure(m)
	h.requireReachable("after the crowd has left")
}

// A single request inside the limits must still be served, however small the machine is.
func TestLargeBodyIsServedInCalm(t *testing.T) {
	h := startHost(t, smallMachineMiB)
	for i := range calmRequests {
		b := announced(maxBodyBytes)
		if i%2 == 1 {
			b = chunked(maxBodyBytes, pieceBytes).ended()
		}
		h.requireServedAtOnce(b)
	}
	h.check()
}
