package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
)

// AccountHash returns the hash of a client account in suspects and quarantines, which is not
// zero.
func AccountHash(account string) uint64 {
	sum := sha256.Sum256([]byte(account))
	return max(1, binary.BigEndian.Uint64(sum[:]))
}

// RequestSubject returns the subject of one request of a client account. Its ID is a
// cryptographic hash, so that no caller can find a request with the ID of another one.
func RequestSubject(account, method, host, target string, body []byte) Subject {
	h := sha256.New()
	for _, field := range [][]byte{[]byte(account), []byte(method), []byte(host), []byte(target), body} {
		// Writing to a hash does not fail.
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field))))
		_, _ = h.Write(field)
	}
	return Subject{Kind: Request, ID: binary.BigEndian.Uint64(h.Sum(nil))}
}
