package gossip

import (
	"net"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/quarantine"
	"github.com/hazelworks/hazelworks/core/roster"
)

// sentPackets records what is sent.
type sentPackets struct {
	net.PacketConn
	data [][]byte
}

func (s *sentPackets) WriteTo(data []byte, _ net.Addr) (int, error) {
	s.data = append(s.data, data)
	return len(data), nil
}

// A relay passes on the fields of a report that only later builds know.
func TestRelayKeepsUnknownFieldsOfReports(t *testing.T) {
	g := New(Options{
		Peers:         func() []roster.Host { return fleetOf(2) },
		ReceiveReport: func(*Report) {}, Logger: logr.Discard(), Metrics: metrics.NewRegistry(),
	})
	data, err := Report{Host: "h1", PassOn: true, Lifted: []quarantine.Subject{{Kind: 1, ID: 2}}}.Encode()
	require.NoError(t, err)
	var fields map[uint64]any
	require.NoError(t, cbor.Unmarshal(data, &fields))
	fields[99] = []any{uint64(1), "later"}
	data, err = cbor.Marshal(fields)
	require.NoError(t, err)

	var conn sentPackets
	require.True(t, g.receiveReport(&conn, data))
	require.Len(t, conn.data, 2)
	delete(fields, 2)
	var passed map[uint64]any
	require.NoError(t, cbor.Unmarshal(conn.data[0], &passed))
	require.Equal(t, fields, passed)
}
