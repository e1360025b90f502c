package gateway

import "bytes"

// contentField precedes the text of an event.
var contentField = []byte(`"content":"`)

// chunkShape recognizes, without decoding, events that equal an earlier one in all
// but their text. Nearly all events of a stream do.
type chunkShape struct {
	prefix []byte
	suffix []byte
}

// learn stores the shape of a decoded event with this text.
func (s *chunkShape) learn(event []byte, text string) {
	at := bytes.Index(event, contentField)
	if at < 0 || bytes.Count(event, contentField) != 1 {
		return
	}
	start := at + len(contentField)
	rest, ok := bytes.CutPrefix(event[start:], []byte(text))
	if !ok || !bytes.HasPrefix(rest, []byte(`"`)) {
		return
	}
	s.prefix = append(s.prefix[:0], event[:start]...)
	s.suffix = append(s.suffix[:0], rest...)
}

// matches reports whether an event has the shape and a text without escapes.
func (s *chunkShape) matches(event []byte) bool {
	if s.prefix == nil || len(event) <= len(s.prefix)+len(s.suffix) {
		return false
	}
	if !bytes.HasPrefix(event, s.prefix) || !bytes.HasSuffix(event, s.suffix) {
		return false
	}
	for _, b := range event[len(s.prefix) : len(event)-len(s.suffix)] {
		if b < ' ' || b == '"' || b == '\\' {
			return false
		}
	}
	return true
}
