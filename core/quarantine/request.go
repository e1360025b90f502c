package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
)

// AccountHash returns the hash of a client account in suspects and quarantines, which is not
// zero.
func AccountHash(account string) uint64 {
	sum := sha256.Sum256([]byte(account))
	return max(1, binary.BigEndian.Uint64(sum[:]))
}

// RequestSubject returns the subject of one request of a client account. Its ID is a
// cryptographic hash, so that no caller can find a request with the ID of another one. The body is in
// any number of parts.
func RequestSubject(account, method, host, target string, body ...[]byte) Subject {
	h := sha256.New()
	// Writing to a hash does not fail.
	begin := func(size int) { _, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(size))) }
	for _, field := range []string{account, method, host, target} {
		begin(len(field))
		_, _ = io.WriteString(h, field)
	}
	size := 0
	for _, part := range body {
		size += len(part)
	}
	begin(size)
	for _, part := range body {
		_, _ = h.Write(part)
	}
	return Subject{Kind: Request, ID: binary.BigEndian.Uint64(h.Sum(nil))}
}
