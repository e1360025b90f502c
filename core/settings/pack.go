package settings

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"

	"github.com/hazelworks/hazelworks/core/record"
)

// Formats of a packed record, stored in its first byte.
const (
	formatPlain   = 1
	formatDeflate = 2
)

// minDeflateBytes is the size from which records are compressed.
const minDeflateBytes = 1024

// ErrFormat is returned for records that are empty or in an unknown format.
var ErrFormat = errors.New("settings: unknown record format")

// pack prefixes data with its format byte and compresses it from minDeflateBytes
// on. It fails if data exceeds maxPlainRecordBytes.
func pack(data []byte) ([]byte, error) {
	if len(data) > maxPlainRecordBytes {
		return nil, fmt.Errorf("settings: record has %d bytes, at most %d are allowed", len(data), maxPlainRecordBytes)
	}
	packed := append([]byte{formatPlain}, data...)
	if len(data) >= minDeflateBytes {
		packed = deflate(data)
	}
	return packed, nil
}

// packRecord packs data for the log and fails if the result exceeds
// [record.MaxBatchBytes].
func packRecord(data []byte) ([]byte, error) {
	packed, err := pack(data)
	if err == nil && len(packed) > record.MaxBatchBytes {
		return nil, fmt.Errorf("settings: packed record has %d bytes, at most %d are allowed", len(packed), record.MaxBatchBytes)
	}
	return packed, err
}

func deflate(data []byte) []byte {
	var buf bytes.Buffer
	buf.WriteByte(formatDeflate)
	w, err := flate.NewWriter(&buf, flate.DefaultCompression)
	if err != nil {
		panic(err) // the level is a constant
	}
	_, _ = w.Write(data) // writes to a bytes.Buffer never fail
	_ = w.Close()
	return buf.Bytes()
}

// unpack reverses pack. Records that inflate to more than maxPlainRecordBytes are
// an error.
func unpack(packed []byte) ([]byte, error) {
	if len(packed) == 0 {
		return nil, ErrFormat
	}
	switch packed[0] {
	case formatPlain:
		return packed[1:], nil
	case formatDeflate:
		return inflate(packed[1:])
	default:
		return nil, fmt.Errorf("%w %d", ErrFormat, packed[0])
	}
}

func inflate(data []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	plain, err := io.ReadAll(io.LimitReader(r, maxPlainRecordBytes+1))
	if err != nil {
		return nil, fmt.Errorf("settings: inflate: %w", err)
	}
	if len(plain) > maxPlainRecordBytes {
		return nil, fmt.Errorf("settings: record inflates to more than %d bytes", maxPlainRecordBytes)
	}
	return plain, nil
}
