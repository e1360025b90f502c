package crowd

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/hazelworks/hazelworks/fleet/relay"
)

const (
	kib = 1 << 10
	mib = 1 << 20
)

// Limits in the settings of the tests.
const (
	smallMachineMiB  = 112
	largerMachineMiB = 284
	maxDescriptors   = 400
	maxBodyBytes     = 4 * mib
	maxHeaderBytes   = 16 * kib
	headerTimeoutMS  = 3000
	idleTimeoutMS    = 15000
)

// Sizes of the crowds.
const (
	bodySenders       = 60
	tinyChunkSenders  = 120
	silentClients     = 300
	headSenders       = 300
	unfinishedHead    = 15 * kib
	answerBytes       = 3 * mib
	tinyChunkedBytes  = 1 * mib
	farOverBytes      = 64 * mib
	pieceBytes        = 64 * kib
	requestsOfWhole   = 3
	clientsOfOnePort  = 200
	otherPortBytes    = 4 * mib
	calmRequests      = 12
	unreadBufferBytes = 16 * kib
)

// A crowd is a number of clients that all do the same.
type crowd struct {
	clients int
	// paths are the paths to which the clients send in turn; none means that they send nothing.
	paths []string
	// headBytes is the size of a head that is sent without its end; 0 means a whole head.
	headBytes int
	body      body
	// requests is the number of requests that a client sends one after the other.
	requests int
	// inTurn sends the pieces of all clients one after another.
	inTurn bool
	// unread leaves the answers unread.
	unread bool
}

// whole reports whether a client's request is complete once all is sent.
func (c crowd) whole() bool { return c.headBytes == 0 && c.body.whole() }

// Paths of the routes.
const (
	plainPath    = "/book/x"
	streamPath   = "/chat/x"
	publicPath   = "/open/x"
	filePath     = "/files/x"
	ordinaryPath = "/look/x"
)

var bodyPaths = []string{plainPath, streamPath, publicPath}

// Crowds at the port for callers.
var (
	largeBodies         = crowd{clients: bodySenders, paths: bodyPaths, body: announced(maxBodyBytes).short()}
	largeBodiesInPieces = crowd{clients: bodySenders, paths: bodyPaths, body: announced(maxBodyBytes).short().inPieces(pieceBytes), inTurn: true}
	largeChunks         = crowd{clients: bodySenders, paths: bodyPaths, body: chunked(maxBodyBytes, pieceBytes).short()}
	tinyChunks          = crowd{clients: tinyChunkSenders, paths: bodyPaths, body: chunked(tinyChunkedBytes, 1).short()}
	farOverAnnounced    = crowd{clients: bodySenders, paths: bodyPaths, body: announced(farOverBytes)}
	farOverSent         = crowd{clients: bodySenders, paths: bodyPaths, body: chunked(farOverBytes, pieceBytes)}
	wholeBodies         = crowd{clients: bodySenders, paths: bodyPaths, body: announced(maxBodyBytes), requests: requestsOfWhole}
	silent              = crowd{clients: silentClients}
	unfinishedHeads     = crowd{clients: headSenders, paths: bodyPaths, headBytes: unfinishedHead}
	unreadAnswers       = crowd{clients: bodySenders, paths: []string{filePath}, body: announced(0), unread: true}
)

// Crowds at the other ports of a host.
var (
	endlessToDirectory = crowd{clients: clientsOfOnePort / 2, paths: []string{"/-/resolve?name=h.example&region=r1&zone=z1"}, body: chunked(otherPortBytes, pieceBytes)}
	endlessToReady     = crowd{clients: clientsOfOnePort / 2, paths: []string{"/-/readyz"}, body: chunked(otherPortBytes, pieceBytes)}
	endlessToPeer      = crowd{clients: clientsOfOnePort / 2, paths: []string{lendPath, relay.ForwardPath}, body: chunked(otherPortBytes, pieceBytes)}
	silentAtOtherPort  = crowd{clients: clientsOfOnePort / 2}
)

// lendPath is the path of calls by which other hosts ask for prepaid tokens.
const lendPath = "/hazelworks.peer.v1.LendingService/Lend"

// Crowds at the chat gateway.
var (
	gatewayBodies = crowd{clients: bodySenders, paths: []string{chatPath}, body: announced(maxBodyBytes).short()}
	gatewayChunks = crowd{clients: bodySenders, paths: []string{chatPath}, body: chunked(maxBodyBytes, pieceBytes).short()}
)

// A body is the body of a request as it is sent.
type body struct {
	// length is the announced length; -1 means that the body is sent in chunks.
	length int64
	// unit is repeated until total bytes have been sent, which include the framing.
	unit  []byte
	total int64
	// end follows them.
	end string
	// piece is the number of bytes that are written at once.
	piece int
}

const writeBytes = 1 * mib

// announced returns a body that is sent with its length.
func announced(size int64) body {
	return body{length: size, unit: bytes.Repeat([]byte("x"), writeBytes), total: size, piece: writeBytes}
}

// chunked returns a body of a size in chunks of one size, without its end.
func chunked(size, chunk int64) body {
	frame := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", int(chunk)))
	n := size / chunk
	return body{length: -1, unit: []byte(strings.Repeat(frame, int(min(n, max(1, writeBytes/chunk/8))))), total: n * int64(len(frame)), piece: writeBytes}
}

// short leaves out the last byte.
func (b body) short() body {
	b.total--
	return b
}

// inPieces sets the number of bytes that are written at once.
func (b body) inPieces(size int) body {
	b.piece = size
	return b
}

// ended adds the end of a chunked body.
func (b body) ended() body {
	b.end = "0\r\n\r\n"
	return b
}

// framing returns the lines of a head that say how the body is sent, and the end of the head.
func (b body) framing() string {
	if b.length < 0 {
		return "Transfer-Encoding: chunked\r\n\r\n"
	}
	return fmt.Sprintf("Content-Length: %d\r\n\r\n", b.length)
}

// at returns the piece of the body at an offset, or nothing at its end.
func (b body) at(offset int64) []byte {
	if offset >= b.total {
		return []byte(b.end)[min(offset-b.total, int64(len(b.end))):]
	}
	rest := b.unit[offset%int64(len(b.unit)):]
	return rest[:min(int64(len(rest)), int64(b.piece), b.total-offset)]
}

// whole reports whether the request is complete once all is sent.
func (b body) whole() bool { return b.length == b.total || b.end != "" }
