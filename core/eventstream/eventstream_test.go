package eventstream_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/eventstream"
)

// scan passes a stream to a scanner in pieces that end at the given offsets. It returns the
// scanner and what it has accepted.
func scan(text string, ends ...int) (*eventstream.Scanner, string) {
	s := eventstream.NewScanner(eventstream.Resume{Certain: true})
	var buf []byte
	accepted, from := "", 0
	for _, end := range append(ends, len(text)) {
		buf = append(buf, text[from:end]...)
		from = end
		n := s.Scan(buf)
		accepted += string(buf[:n])
		buf = buf[n:]
	}
	return s, accepted
}

func TestEventsEndAsTheFormatDefines(t *testing.T) {
	certain := func(id string) eventstream.Resume { return eventstream.Resume{ID: id, Certain: true} }
	cases := []struct {
		name, text, rest string
		events           int64
		resume           eventstream.Resume
	}{
		{"lf", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "", 2, certain("2")},
		{"cr lf", "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", "", 2, certain("2")},
		{"cr", "id: 1\rdata: a\r\rid: 2\rdata: b\r\r", "", 2, certain("2")},
		{"mixed", "id: 1\rdata: a\n\r\nid: 2\r\ndata: b\r\r\n", "", 2, certain("2")},
		{"cut inside", "id: 1\ndata: a\n\nid: 2\ndata: b\n", "id: 2\ndata: b\n", 1, certain("1")},
		{"cut in a cr lf", "data: a\r\nid: 1\r\n\r", "", 1, certain("1")},
		{"comments", ": hello\n\nid: 1\ndata: a\n\n: ping\n", "", 1, certain("1")},
		{"comment inside", "id: 1\n: note\n", "id: 1\n: note\n", 0, certain("")},
		{"no id", "id: 1\ndata: a\n\ndata: b\n\n", "", 2, eventstream.Resume{ID: "1"}},
		{"empty id", "id: 1\ndata: a\n\nid\ndata: b\n\n", "", 2, eventstream.Resume{}},
		{"id alone", "id: 1\ndata: a\n\nid: 2\n\n", "", 1, certain("2")},
		{"several ids", "id: 1\nid: 2\ndata: a\n\n", "", 1, certain("2")},
		{"zero byte", "id: 1\ndata: a\n\nid: 2\x00\ndata: b\n\n", "", 2, eventstream.Resume{ID: "1"}},
		{"another name", "idx: 1\ndata: a\n\n", "", 1, eventstream.Resume{}},
		{"byte order mark", "\xEF\xBB\xBFid: 1\ndata: a\n\n", "", 1, certain("1")},
		{"part of a mark", "\xEF\xBB", "\xEF\xBB", 0, certain("")},
		{"empty lines", "\n\r\n\r\r", "", 0, certain("")},
		{"no space, two spaces", "id:7\ndata:a\n\nid:  8\ndata\n\n", "", 2, certain("8")},
		{"first line of another field", "weight-versions: 3\nid: 4\ndata: a\n\n", "", 1, certain("4")},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, accepted := scan(c.text)
			require.Equal(t, strings.TrimSuffix(c.text, c.rest), accepted)
			require.Equal(t, c.events, s.Events())
			require.Equal(t, c.resume, s.Resume())
		})
	}
}

// TestEventIsAcceptedBeforeItsLineFeed checks that an event whose last line end may be CR alone or
// CR LF does not wait for the next byte.
func TestEventIsAcceptedBeforeItsLineFeed(t *testing.T) {
	s := eventstream.NewScanner(eventstream.Resume{Certain: true})
	require.Equal(t, 9, s.Scan([]byte("data: a\r\r")))
	require.Equal(t, int64(1), s.Events())
	require.Equal(t, 1, s.Scan([]byte("\ndata: b")))
	require.Equal(t, 9, s.Scan([]byte("data: b\r\r")))
	require.Equal(t, int64(2), s.Events())
}

// reference reads a whole stream line by line, as the format's definition does.
func reference(text string) (events int64, resume eventstream.Resume) {
	text = strings.TrimPrefix(text, "\xEF\xBB\xBF")
	text = strings.NewReplacer("\r\n", "\n", "\r", "\n").Replace(text)
	lines := strings.Split(text, "\n")
	resume.Certain = true
	data, id, hasID := false, "", false
	for _, line := range lines[:len(lines)-1] {
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case line == "" && hasID:
			resume = eventstream.Resume{ID: id, Certain: id != ""}
		case line == "" && data:
			resume.Certain = false
		case name == "data":
			data = true
		case name == "id" && !strings.Contains(value, "\x00"):
			id, hasID = strings.TrimSpace(value), true
		}
		if line == "" {
			if data {
				events++
			}
			data, hasID = false, false
		}
	}
	return events, resume
}

// FuzzScanner checks that the events don't depend on where reads split the stream, that nothing is
// accepted twice or left out, and that they are those of a line by line reading.
func FuzzScanner(f *testing.F) {
	f.Add("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", 3, 16)
	f.Add("id: 1\rdata: a\r\r\ndata: b\n\n: c\r", 14, 15)
	f.Add("\xEF\xBB\xBFid: 1\n\n\r\r\ndata\r\n\r", 1, 2)
	f.Add("data: a\n\nid\n\n\xEF\xBB\xBFid: 3\ndata:\n\n", 9, 10)
	f.Fuzz(func(t *testing.T, text string, first, second int) {
		first = max(0, min(first, len(text)))
		second = max(first, min(second, len(text)))
		whole, accepted := scan(text)
		split, acceptedSplit := scan(text, first, second)
		require.True(t, strings.HasPrefix(text, accepted))
		require.Equal(t, accepted, acceptedSplit)
		require.Equal(t, whole.Events(), split.Events())
		require.Equal(t, whole.Resume(), split.Resume())
		events, resume := reference(text)
		require.Equal(t, events, whole.Events())
		require.Equal(t, resume, whole.Resume())
	})
}
