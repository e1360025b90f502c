package hostmeter

const (
	// headerBytes is the size of the headers of a packet: Ethernet, IP, and TCP with time stamps. An
	// event of a stream is hardly larger.
	headerBytes = 66
	// segmentBytes is the largest payload of a packet.
	segmentBytes = 1448
	// packetsPerAck is the number of packets that one acknowledgement answers.
	packetsPerAck = 2
	// connectionPackets is the number of packets in each direction that open and close a connection.
	connectionPackets = 4
)

// packets returns the number of packets of a read or write.
func packets(n int) int64 { return int64((n + segmentBytes - 1) / segmentBytes) }

// acks returns the bytes of the acknowledgements of a number of packets.
func acks(count int64) int64 { return (count + packetsPerAck - 1) / packetsPerAck * headerBytes }

// addReceived counts what a read has taken of the link.
func (m *Meter) addReceived(n int) {
	if n <= 0 {
		return
	}
	count := packets(n)
	m.in.Add(int64(n) + count*headerBytes)
	m.out.Add(acks(count))
}

// addSent counts what a write takes of the link.
func (m *Meter) addSent(n int) {
	if n <= 0 {
		return
	}
	count := packets(n)
	m.out.Add(int64(n) + count*headerBytes)
	m.in.Add(acks(count))
}

// addConnection counts what opening and closing a connection takes of the link.
func (m *Meter) addConnection() {
	m.in.Add(connectionPackets * headerBytes)
	m.out.Add(connectionPackets * headerBytes)
}
