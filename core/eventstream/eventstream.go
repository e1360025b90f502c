// Package eventstream finds the events in a stream of server-sent events
// (text/event-stream, as the HTML standard defines it) without changing its bytes. A line ends
// with CR LF, LF or CR alone, and an empty line ends an event. It is the only place that knows
// where a line and an event end.
package eventstream

import "bytes"

// byteOrderMark may precede the first line of a stream. It belongs to no line.
var byteOrderMark = []byte("\xEF\xBB\xBF")

// LeadingMark returns the length of the byte order mark at the start of a stream, or zero if it
// has none. ok is false while data is too short to tell.
func LeadingMark(data []byte) (n int, ok bool) {
	switch {
	case bytes.HasPrefix(data, byteOrderMark):
		return len(byteOrderMark), true
	case bytes.HasPrefix(byteOrderMark, data):
		return 0, false
	}
	return 0, true
}

// CutLine returns the length of the first line of data, and with its line end as total. ok is
// false if the line has no end yet. openCR is true if it ends with a CR that is the last byte of
// data: an LF that follows belongs to the same line end.
func CutLine(data []byte) (line, total int, openCR, ok bool) {
	line = bytes.IndexAny(data, "\r\n")
	switch {
	case line < 0:
		return 0, 0, false, false
	case data[line] == '\n':
		return line, line + 1, false, true
	case line+1 == len(data):
		return line, line + 1, true, true
	case data[line+1] == '\n':
		return line, line + 2, false, true
	}
	return line, line + 1, false, true
}

// CutField returns the name and the value of a line that is not empty. The name of a comment is
// empty.
func CutField(line []byte) (name, value []byte) {
	name, value, _ = bytes.Cut(line, []byte(":"))
	return name, bytes.TrimPrefix(value, []byte(" "))
}

// Resume is the point at which another stream can go on.
type Resume struct {
	// ID is the last event ID. It is empty before the first one.
	ID string
	// Certain is false if an event has followed that no ID names: a stream that goes on after ID
	// would repeat it.
	Certain bool
}

// Scanner finds the events in a stream as its bytes arrive. Use [NewScanner].
type Scanner struct {
	begun  bool
	openCR bool
	events int64
	resume Resume
}

// NewScanner returns a scanner for a stream that goes on after a point. At the start of a stream,
// the ID is empty and certain.
func NewScanner(after Resume) *Scanner { return &Scanner{resume: after} }

// Events returns the number of events in what Scan has accepted. Comments and lines without data
// are no events.
func (s *Scanner) Events() int64 { return s.events }

// Resume returns the point up to which Scan has accepted the stream.
func (s *Scanner) Resume() Resume { return s.resume }

// Scan accepts the start of data that ends outside any event: after the end of an event, or after
// a comment between two. It returns how many bytes that is. The next call must begin with the
// rest of data, which may be empty.
func (s *Scanner) Scan(data []byte) int {
	at, ok := s.skipMark(data)
	if !ok {
		return 0
	}
	accepted := 0
	if s.openCR && len(data) > 0 {
		s.openCR = false
		if data[0] == '\n' {
			at, accepted = 1, 1
		}
	}
	var open event
	for {
		line, total, openCR, ok := CutLine(data[at:])
		if !ok {
			return accepted
		}
		if line == 0 {
			s.end(open)
			open = event{}
		} else {
			open.add(data[at : at+line])
		}
		at += total
		if !open.begun {
			accepted, s.begun, s.openCR = at, true, openCR
		}
	}
}

// skipMark returns where the first line of data begins. ok is false while that is not certain.
func (s *Scanner) skipMark(data []byte) (at int, ok bool) {
	if s.begun {
		return 0, true
	}
	return LeadingMark(data)
}

// end records the end of an event.
func (s *Scanner) end(e event) {
	if e.hasID {
		s.resume = Resume{ID: e.id, Certain: e.id != ""}
	} else if e.hasData {
		s.resume.Certain = false
	}
	if e.hasData {
		s.events++
	}
}

// event is what the lines since the last empty one say.
type event struct {
	// begun is true once there is a line that is not a comment.
	begun   bool
	hasData bool
	hasID   bool
	id      string
}

func (e *event) add(line []byte) {
	name, value := CutField(line)
	if line[0] == ':' {
		return
	}
	e.begun = true
	switch string(name) {
	case "data":
		e.hasData = true
	case "id":
		// An ID with a zero byte is ignored, by the format. Spaces around one are not kept in the
		// header in which it is sent back.
		if bytes.IndexByte(value, 0) < 0 {
			e.hasID, e.id = true, string(bytes.TrimSpace(value))
		}
	}
}
