// Package stream reads and writes server-sent events and buffers the answers of
// requests, so that a caller that lost its connection can resume its answer.
package stream

import (
	"bufio"
	"errors"
	"io"
	"strconv"

	"github.com/hazelworks/hazelworks/core/eventstream"
)

// Done is the data of the event that ends a chat-completions stream.
const Done = "[DONE]"

// MaxEventBytes is the largest size of the data of one event.
const MaxEventBytes = 256 << 10

// readerBytes is the size of the read buffer of a stream. It is small because the
// connection below has a larger buffer of its own.
const readerBytes = 1 << 10

// ErrEventTooLarge is returned for an event larger than [MaxEventBytes].
var ErrEventTooLarge = errors.New("stream: event is too large")

// Event is a server-sent event as read from a connection.
type Event struct {
	// Index is the number in the event's id field; valid if HasIndex is true.
	Index    uint64
	HasIndex bool
	// Name is the value of the event field; empty means "message".
	Name string
	// Data is valid until the next call of [Reader.Next].
	Data []byte
}

// Reader reads server-sent events.
type Reader struct {
	src      *bufio.Reader
	data     []byte
	longLine []byte
	// begun is false before the first line, which may follow a byte order mark. openCR is true
	// after a line that ended with CR: an LF that follows belongs to it.
	begun, openCR bool
	// OnActivity, if set, is called for every event and comment that arrives, and
	// for each part of a line that is longer than the read buffer.
	OnActivity func()
}

// NewReader returns a reader of r.
func NewReader(r io.Reader) *Reader {
	return &Reader{src: bufio.NewReaderSize(r, readerBytes)}
}

// Next returns the next event that has data. It returns [io.EOF] if the stream
// ends between events, [io.ErrUnexpectedEOF] if it ends inside one, and
// [ErrEventTooLarge]. Other errors come from the underlying reader.
func (r *Reader) Next() (Event, error) {
	var m Event
	hasData := false
	r.data = r.data[:0]
	for {
		line, err := r.readLine()
		if err != nil {
			return Event{}, eofError(err, hasData || len(line) > 0)
		}
		if len(line) == 0 || line[0] == ':' {
			r.notifyActivity()
		}
		if len(line) == 0 {
			if hasData {
				m.Data = r.data
				return m, nil
			}
			m = Event{}
			continue
		}
		name, value := eventstream.CutField(line)
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
			return Event{}, ErrEventTooLarge
		}
	}
}

// eofError replaces io.EOF inside an event by io.ErrUnexpectedEOF.
func eofError(err error, inside bool) error {
	if errors.Is(err, io.EOF) && inside {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readLine returns the next line without its line end. The slice is valid until the
// next call.
func (r *Reader) readLine() ([]byte, error) {
	r.longLine = r.longLine[:0]
	if err := r.skipLeading(); err != nil {
		return nil, err
	}
	for {
		buffered, _ := r.src.Peek(r.src.Buffered())
		line, total, openCR, ok := eventstream.CutLine(buffered)
		if ok {
			r.openCR = openCR
			_, _ = r.src.Discard(total) // these bytes are buffered
			if len(r.longLine) == 0 {
				return buffered[:line], nil
			}
			r.longLine = append(r.longLine, buffered[:line]...)
			return r.longLine, nil
		}
		if len(buffered) == r.src.Size() {
			if len(r.longLine) > MaxEventBytes {
				return nil, ErrEventTooLarge
			}
			r.notifyActivity()
			r.longLine = append(r.longLine, buffered...)
			_, _ = r.src.Discard(len(buffered))
		}
		if _, err := r.src.Peek(r.src.Buffered() + 1); err != nil {
			return append(r.longLine, buffered...), err
		}
	}
}

// skipLeading reads past what may stand before a line: a byte order mark at the start of the
// stream, or the LF of a line end whose CR has been read.
func (r *Reader) skipLeading() error {
	if !r.begun {
		for n := 1; ; n++ {
			head, err := r.src.Peek(n)
			mark, ok := eventstream.LeadingMark(head)
			if ok {
				_, _ = r.src.Discard(mark)
				break
			}
			if err != nil {
				break // the line that has been cut off is reported by the caller
			}
		}
		r.begun = true
	}
	if !r.openCR {
		return nil
	}
	next, err := r.src.Peek(1)
	if err != nil {
		return err
	}
	if next[0] == '\n' {
		_, _ = r.src.Discard(1)
	}
	r.openCR = false
	return nil
}

func (r *Reader) notifyActivity() {
	if r.OnActivity != nil {
		r.OnActivity()
	}
}
