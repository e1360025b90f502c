package relay

import (
	"bytes"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

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
