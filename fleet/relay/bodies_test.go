package relay

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/iotest"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/intake"
)

const (
	testMemory  = 16 << 20
	testMaxBody = 256 << 10
)

func newTestBodies() *bodies { return newBodies(testMemory, newMeters(metrics.NewRegistry())) }

// pattern returns a body that differs from others at each place.
func pattern(seed uint64, size int) []byte {
	out := make([]byte, size)
	rng := rand.NewChaCha8([32]byte{byte(seed), byte(seed >> 8)})
	_, _ = rng.Read(out)
	return out
}

func TestBodiesAreReadWhole(t *testing.T) {
	for _, size := range []int{1, 2, 1 << 10, 1<<10 + 1, 4 << 10, 16 << 10, intake.SmallBytes, intake.SmallBytes + 1, testMaxBody - 1, testMaxBody} {
		want := pattern(1, size)
		for name, source := range map[string]bodySource{
			"at once":       {Reader: bytes.NewReader(want), length: -1},
			"with a length": {Reader: bytes.NewReader(want), length: int64(size)},
			"end with data": {Reader: iotest.DataErrReader(bytes.NewReader(want)), length: int64(size)},
			"byte by byte":  {Reader: iotest.OneByteReader(bytes.NewReader(want)), length: -1},
		} {
			k := newTestBodies()
			source.limit = testMaxBody
			b, err := k.read(source)
			require.NoError(t, err, "%d %s", size, name)
			require.Equal(t, want, slices.Concat(b.parts()...), "%d %s", size, name)
			require.LessOrEqual(t, k.held(), int64(max(4*size, 1<<10)), "a small body takes little")
			b.release()
			require.Zero(t, k.held())
		}
	}
	_, err := newTestBodies().read(bodySource{Reader: bytes.NewReader(pattern(1, testMaxBody+1)), length: -1, limit: testMaxBody})
	require.ErrorIs(t, err, errBodyTooLarge)
	_, err = newTestBodies().read(bodySource{Reader: iotest.TimeoutReader(iotest.OneByteReader(bytes.NewReader(pattern(1, 9)))), length: 9})
	require.ErrorIs(t, err, iotest.ErrTimeout)
}

// Requests share blocks one after the other. None sees what another one wrote, their sum stays within the
// budget, and all of it comes back.
func TestBlocksAreNeverSharedAtATime(t *testing.T) {
	k := newTestBodies()
	var group sync.WaitGroup
	for worker := range 24 {
		group.Go(func() {
			rng := rand.New(rand.NewPCG(1, uint64(worker)))
			for range 60 {
				want := pattern(rng.Uint64(), 1+rng.IntN(testMaxBody))
				b, err := k.read(bodySource{Reader: iotest.HalfReader(bytes.NewReader(want)), length: -1, limit: testMaxBody, interrupt: func() {}})
				if errors.Is(err, errBodyYields) {
					continue
				}
				if err != nil || k.held() > testMemory/8 {
					t.Errorf("%d held: %v", k.held(), err)
					return
				}
				b.use()
				b.release() // the request ends before it is written
				if !bytes.Equal(want, slices.Concat(b.parts()...)) {
					t.Error("the body has changed")
				}
				b.release()
			}
		})
	}
	group.Wait()
	require.Zero(t, k.held())
	require.LessOrEqual(t, len(k.free)*blockBytes, testMemory/8)
}
