package dispatch

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// HeaderLoad is the response header in which an upstream reports its load, in
// the form "running=3, waiting=1, slots=8, kv=0.42".
const HeaderLoad = "Hazel-Load"

// LoadReport is the load that an upstream reports. It is outdated by the time it
// arrives.
type LoadReport struct {
	// Running is the number of requests in its batch.
	Running int
	// Waiting is the number of requests in its queue.
	Waiting int
	// Slots is the number of requests that it can run at once; zero if unknown.
	Slots int
	// KVUsed is the share of its key-value cache memory in use, 0 to 1.
	KVUsed float64
}

// String returns the header form.
func (r LoadReport) String() string {
	return fmt.Sprintf("running=%d, waiting=%d, slots=%d, kv=%.2f", r.Running, r.Waiting, r.Slots, r.KVUsed)
}

// LoadFromHeader returns the load reported in h, or nil if there is none or it
// cannot be parsed. Unknown fields are ignored.
func LoadFromHeader(h http.Header) *LoadReport {
	text := h.Get(HeaderLoad)
	if text == "" {
		return nil
	}
	var r LoadReport
	for field := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(field), "=")
		if !ok || !r.setField(name, value) {
			return nil
		}
	}
	return &r
}

func (r *LoadReport) setField(name, value string) bool {
	var err error
	switch name {
	case "running":
		r.Running, err = parseCount(value)
	case "waiting":
		r.Waiting, err = parseCount(value)
	case "slots":
		r.Slots, err = parseCount(value)
	case "kv":
		r.KVUsed, err = parseShare(value)
	}
	return err == nil
}

func parseCount(s string) (int, error) {
	n, err := strconv.ParseUint(s, 10, 31)
	return int(n), err
}

func parseShare(s string) (float64, error) {
	f, err := strconv.ParseFloat(s, 64)
	if err == nil && !(f >= 0 && f <= 1) {
		err = fmt.Errorf("share %v is not between 0 and 1", f)
	}
	return f, err
}
