package stream

import (
	"net/http"
	"strconv"
	"time"
)

// ContentType is the media type of server-sent events.
const ContentType = "text/event-stream"

// Writer sends server-sent events to a caller. Each flush has a deadline, which
// detects a caller that has stopped reading.
type Writer struct {
	w       http.ResponseWriter
	ctrl    *http.ResponseController
	timeout time.Duration
	line    []byte
	// deadlineSet is true while the deadline for the next flush is set.
	deadlineSet bool
}

// NewWriter returns a writer whose flushes fail after timeout.
func NewWriter(w http.ResponseWriter, timeout time.Duration) *Writer {
	return &Writer{w: w, ctrl: http.NewResponseController(w), timeout: timeout}
}

// WriteEvent buffers an event; its index is sent as the id field.
func (w *Writer) WriteEvent(index uint64, data []byte) error {
	w.line = append(w.line[:0], "id: "...)
	w.line = strconv.AppendUint(w.line, index, 10)
	w.line = append(w.line, "\ndata: "...)
	w.line = appendData(w.line, data)
	w.line = append(w.line, "\n\n"...)
	return w.write()
}

// WriteDone buffers the event that ends a chat-completions stream.
func (w *Writer) WriteDone() error {
	w.line = append(w.line[:0], "data: "+Done+"\n\n"...)
	return w.write()
}

// WritePing buffers a comment, which clients skip.
func (w *Writer) WritePing() error {
	w.line = append(w.line[:0], ": ping\n\n"...)
	return w.write()
}

// Flush sends the buffered events and comments.
func (w *Writer) Flush() error {
	w.deadlineSet = false
	return w.ctrl.Flush()
}

// Close clears the deadline, so that the connection can be reused.
func (w *Writer) Close() error {
	return w.ctrl.SetWriteDeadline(time.Time{})
}

func (w *Writer) write() error {
	// The deadline is set before the write, since a write that fills the
	// response's own buffer blocks too.
	if !w.deadlineSet {
		if err := w.ctrl.SetWriteDeadline(time.Now().Add(w.timeout)); err != nil {
			return err
		}
		w.deadlineSet = true
	}
	_, err := w.w.Write(w.line)
	return err
}

// appendData appends data and repeats the field name at the start of each further
// line.
func appendData(dst, data []byte) []byte {
	for _, b := range data {
		dst = append(dst, b)
		if b == '\n' {
			dst = append(dst, "data: "...)
		}
	}
	return dst
}
