// Package stream reads and writes server-sent events and keeps the answers of
// requests, so that a caller that lost its connection gets the rest.
package stream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// Done is the data of the event that ends a chat-completions stream.
const Done = "[DONE]"

// MaxEventBytes bounds the data of one event.
const MaxEventBytes = 256 << 10

// readerBytes is the read buffer of a stream. The connection below it has a
// larger one of its own.
const readerBytes = 1 << 10

// ErrEventTooLarge is returned for an event above [MaxEventBytes].
var ErrEventTooLarge = errors.New("stream: event is too large")

// Message is a server-sent event as read from a connection.
type Message struct {
	// Index is the number in the event's id field, if HasIndex.
	Index    uint64
	HasIndex bool
	// Name is the event field; empty means "message".
	Name string
	// Data is valid until the next call of Next.
	Data []byte
}

// Reader reads server-sent events.
type Reader struct {
	src  *bufio.Reader
	data []byte
	long []byte
	// Activity, if set, is called for every event and comment that arrives, and
	// for the parts of long lines.
	Activity func()
}

// NewReader returns a reader of r.
func NewReader(r io.Reader) *Reader {
	return &Reader{src: bufio.NewReaderSize(r, readerBytes)}
}

// Next returns the next event that has data. It returns io.EOF at a clean end
// between events and io.ErrUnexpectedEOF inside one.
func (r *Reader) Next() (Message, error) {
	var m Message
	hasData := false
	r.data = r.data[:0]
	for {
		line, err := r.line()
		if err != nil {
			return Message{}, endOf(err, hasData || len(line) > 0)
		}
		if len(line) == 0 || line[0] == ':' {
			r.touch()
		}
		if len(line) == 0 {
			if hasData {
				m.Data = r.data
				return m, nil
			}
			m = Message{}
			continue
		}
		name, value := splitField(line)
		switch string(name) {
		case "data":
			if hasData {
				r.data = append(r.data, '\n')
			}
			r.data = append(r.data, value...)
			hasData = true
		case "id":
			m.Index, err = strconv.ParseUint(string(value), 10, 63)
			m.HasIndex = err == nil
		case "event":
			m.Name = string(value)
		}
		if len(r.data) > MaxEventBytes {
			return Message{}, ErrEventTooLarge
		}
	}
}

func endOf(err error, inside bool) error {
	if errors.Is(err, io.EOF) && inside {
		return io.ErrUnexpectedEOF
	}
	return err
}

// line returns the next line without its end. The slice is valid until the
// next call.
func (r *Reader) line() ([]byte, error) {
	part, err := r.src.ReadSlice('\n')
	if err == nil {
		return trimEnd(part), nil
	}
	r.long = append(r.long[:0], part...)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(r.long) > MaxEventBytes {
			return nil, ErrEventTooLarge
		}
		r.touch()
		part, err = r.src.ReadSlice('\n')
		r.long = append(r.long, part...)
	}
	if err != nil {
		return r.long, err
	}
	return trimEnd(r.long), nil
}

func (r *Reader) touch() {
	if r.Activity != nil {
		r.Activity()
	}
}

func trimEnd(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}

// splitField returns the name and value of a line; a comment has no name.
func splitField(line []byte) (name, value []byte) {
	name, value, _ = bytes.Cut(line, []byte(":"))
	return name, bytes.TrimPrefix(value, []byte(" "))
}
