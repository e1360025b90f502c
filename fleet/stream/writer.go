package stream

import (
	"net/http"
	"strconv"
	"time"
)

// ContentType is the media type of server-sent events.
const ContentType = "text/event-stream"

// Writer sends server-sent events to a caller. Each flush has a deadline, so
// that a caller that stopped reading is noticed.
type Writer struct {
	w       http.ResponseWriter
	ctrl    *http.ResponseController
	timeout time.Duration
	line    []byte
	// deadlineSet is true while the deadline of the next flush is set.
	deadlineSet bool
}

// NewWriter returns a writer whose flushes take at most timeout.
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

// Flush sends what is buffered.
func (w *Writer) Flush() error {
	w.deadlineSet = false
	return w.ctrl.Flush()
}

// Close lifts the deadline, so that the connection can be used again.
func (w *Writer) Close() error {
	return w.ctrl.SetWriteDeadline(time.Time{})
}

func (w *Writer) write() error {
	// The deadline also covers writes that fill the response's own buffer.
	if !w.deadlineSet {
		if err := w.ctrl.SetWriteDeadline(time.Now().Add(w.timeout)); err != nil {
			return err
		}
		w.deadlineSet = true
	}
	_, err := w.w.Write(w.line)
	return err
}

// appendData appends data, repeating the field name on each further line.
func appendData(dst, data []byte) []byte {
	for _, b := range data {
		dst = append(dst, b)
		if b == '\n' {
			dst = append(dst, "data: "...)
		}
	}
	return dst
}
