package relayhost

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/hazelworks/hazelworks/core/build"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/roster"
)

// HostsPath is the path on the metrics address that lists the hosts and their builds.
const HostsPath = "/v1/hosts"

// HostStatus is one host as another one knows it.
type HostStatus struct {
	Host          record.HostID `json:"host"`
	FailureDomain string        `json:"failure_domain"`
	Alive         bool          `json:"alive"`
	Leaving       bool          `json:"leaving"`
	// Build is zero if the host's build states none.
	Build build.Info `json:"build"`
}

// HostList is the answer at [HostsPath].
type HostList struct {
	LowestLevel build.Level  `json:"lowest_level"`
	Hosts       []HostStatus `json:"hosts"`
}

// noteLowestBuild logs the fleet's lowest build if it has changed. It is called once the list has
// been read, and with each change of it. The caller holds mu.
func (h *hostWatch) noteLowestBuild() {
	lowest := h.table.LowestBuild()
	h.lowestBuild.Update(int64(lowest.Build.Level))
	if h.lowestKnown && h.lowest == lowest.Build {
		return
	}
	h.log.Info("Lowest build of the fleet changed.", "level", lowest.Build.Level, "revision", lowest.Build.Revision,
		"host", lowest.ID, "own_level", build.Current, "hosts", h.table.Len())
	h.lowest, h.lowestKnown = lowest.Build, true
}

// lowestLevel returns the fleet's lowest build level, or false if the list has not been read yet.
func (h *hostWatch) lowestLevel() (build.Level, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lowest.Level, h.lowestKnown
}

// list returns all hosts, ordered by ID.
func (h *hostWatch) list(now time.Time) HostList {
	h.mu.Lock()
	defer h.mu.Unlock()
	alive := make(map[record.HostID]bool)
	for _, o := range h.table.Alive(now) {
		alive[o.ID] = true
	}
	out := HostList{LowestLevel: h.table.LowestBuild().Build.Level}
	for _, o := range append([]roster.Host{h.table.Self()}, h.table.Peers()...) {
		out.Hosts = append(out.Hosts, HostStatus{
			Host: o.ID, FailureDomain: o.FailureDomain, Alive: alive[o.ID], Leaving: o.Leaving || o.State.Leaving, Build: o.Build,
		})
	}
	return out
}

func (h *Host) serveHosts(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// The error is ignored: an operator who has disconnected needs no answer.
	_ = json.NewEncoder(w).Encode(h.hosts.list(time.Now()))
}

// operatorHandler returns the handler of the metrics address.
func (h *Host) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+HostsPath, h.serveHosts)
	mux.HandleFunc("/", h.serveMetrics)
	return mux
}
