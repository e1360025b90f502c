// Package loghttp serves the platform's interfaces of the stand-ins as JSON over
// HTTP, in the dialect that docs/INTERFACES.md describes.
package loghttp

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
)

const (
	maxRecordBytes = 4 << 20
	maxReadRecords = 1000
	maxWait        = 30 * time.Second
)

// Services are the platform services to serve. Nil ones are left out.
type Services struct {
	Log     platform.Log
	Hosts   platform.HostList
	Weights platform.WeightStore
}

// Handler returns the HTTP handler of the platform's services.
func Handler(s Services) http.Handler {
	mux := http.NewServeMux()
	if s.Log != nil {
		mux.HandleFunc("POST /v1/streams/{stream}/records", s.append)
		mux.HandleFunc("GET /v1/streams/{stream}/records", s.read)
		mux.HandleFunc("GET /v1/streams/{stream}", s.bounds)
	}
	if s.Hosts != nil {
		mux.HandleFunc("GET /v1/hosts", s.hosts)
	}
	if s.Weights != nil {
		mux.HandleFunc("POST /v1/weights/{model}/{version}/acquire", s.acquire)
	}
	return mux
}

type appendReply struct {
	Offset record.Offset `json:"offset"`
}

type readReply struct {
	Records []recordReply `json:"records"`
}

type recordReply struct {
	Offset     record.Offset `json:"offset"`
	TimeMillis int64         `json:"time_ms"`
	Data       []byte        `json:"data"`
}

type boundsReply struct {
	First record.Offset `json:"first"`
	Head  record.Offset `json:"head"`
}

type acquireReply struct {
	TransferMillis int64 `json:"transfer_ms"`
}

func (s Services) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	offset, err := s.Log.Append(r.Context(), r.PathValue("stream"), data)
	reply(w, appendReply{Offset: offset}, err)
}

func (s Services) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: not an offset", http.StatusBadRequest)
		return
	}
	limit, wait := readLimits(query.Get("limit"), query.Get("wait_ms"))
	entries, err := s.Log.Read(r.Context(), r.PathValue("stream"), record.Offset(from), limit, wait)
	out := readReply{Records: make([]recordReply, 0, len(entries))}
	for _, e := range entries {
		out.Records = append(out.Records, recordReply(e))
	}
	reply(w, out, err)
}

func readLimits(limitText, waitText string) (int, time.Duration) {
	limit, err := strconv.Atoi(limitText)
	if err != nil || limit <= 0 || limit > maxReadRecords {
		limit = maxReadRecords
	}
	waitMillis, err := strconv.Atoi(waitText)
	if err != nil || waitMillis < 0 {
		waitMillis = 0
	}
	return limit, min(time.Duration(waitMillis)*time.Millisecond, maxWait)
}

func (s Services) bounds(w http.ResponseWriter, r *http.Request) {
	bounds, err := s.Log.Bounds(r.Context(), r.PathValue("stream"))
	reply(w, boundsReply{First: bounds.First, Head: bounds.Head}, err)
}

func (s Services) hosts(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = 0
	}
	_, wait := readLimits("", r.URL.Query().Get("wait_ms"))
	hosts, err := s.Hosts.Hosts(r.Context(), after, wait)
	reply(w, hosts, err)
}

func (s Services) acquire(w http.ResponseWriter, r *http.Request) {
	transfer, err := s.Weights.Acquire(r.Context(), r.PathValue("model"), r.PathValue("version"))
	reply(w, acquireReply{TransferMillis: transfer.Milliseconds()}, err)
}

func reply(w http.ResponseWriter, body any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(body)
	case errors.Is(err, platform.ErrThrottled):
		w.Header().Set("Retry-After", "1")
		http.Error(w, err.Error(), http.StatusTooManyRequests)
	case errors.Is(err, platform.ErrUnavailable):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case errors.Is(err, platform.ErrTrimmed):
		http.Error(w, err.Error(), http.StatusGone)
	default:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}
