package settingsapi

import (
	"context"
	"encoding/json"
	"net/http"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	"github.com/hazelworks/hazelworks/core/findings"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/fleet/member"
	"github.com/hazelworks/hazelworks/fleet/peer/peerpb"
)

func (a *API) status(w http.ResponseWriter, r *http.Request) {
	state := a.watcher.State()
	self := a.view.Self()
	answer := Status{
		Host:        self.Host,
		Incarnation: self.Incarnation,
		Version:     state.Version,
		Log: LogHealth{
			Position:    state.Position,
			LastRead:    state.LastRead,
			Unsupported: state.Unsupported,
		},
		Figures: a.figures(),
		Hosts:   a.askHosts(r.Context()),
	}
	if state.LogErr != nil {
		answer.Log.Error = state.LogErr.Error()
	}
	setLag(answer.Hosts)
	writeJSON(w, http.StatusOK, answer)
}

// askHosts asks each host for its settings version and schema.
func (a *API) askHosts(ctx context.Context) []HostStatus {
	hosts := a.view.Hosts()
	statuses := make([]HostStatus, len(hosts))
	var group errgroup.Group
	group.SetLimit(statusParallel)
	for i, h := range hosts {
		group.Go(func() error {
			statuses[i] = a.askHost(ctx, h)
			return nil
		})
	}
	_ = group.Wait()
	return statuses
}

func (a *API) askHost(ctx context.Context, h member.Host) HostStatus {
	status := HostStatus{
		ID:            h.ID,
		FailureDomain: h.FailureDomain,
		State:         string(h.ObservedState),
		Version:       h.SettingsVersion,
	}
	self := a.view.Self()
	if h.ID == self.Host {
		status.Version, status.Schema, status.Answers = a.watcher.Version(), settings.SupportedSchema, true
		return status
	}
	client, ok := a.view.Client(h.ID)
	if !ok {
		return status
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request := &peerpb.PingRequest{
		Host:            string(self.Host),
		Incarnation:     uint64(self.Incarnation),
		SettingsVersion: uint64(a.watcher.Version()),
		Leaving:         a.leaving(),
	}
	response, err := client.Ping(ctx, connect.NewRequest(request))
	if err != nil {
		return status
	}
	status.Version, status.Answers = record.Offset(response.Msg.SettingsVersion), true
	status.Schema = int(response.Msg.SettingsSchema)
	return status
}

// leaving reports whether this host is leaving the fleet.
func (a *API) leaving() bool {
	self := a.view.Self().Host
	for _, h := range a.view.Hosts() {
		if h.ID == self {
			return h.ObservedState == member.StateLeaving
		}
	}
	return false
}

// checkSchema returns an error if a change raises the schema of the tree above what
// some answering host supports. Such a host would keep its last settings from then on.
func (a *API) checkSchema(ctx context.Context, change *Change) error {
	wanted := 0
	for _, e := range change.Edits {
		if e.Path == "schema" {
			_ = json.Unmarshal(e.Value, &wanted)
		}
	}
	if wanted <= 1 {
		return nil
	}
	var list findings.List
	for _, h := range a.askHosts(ctx) {
		if h.Answers && h.Schema < wanted {
			list.Addf(findings.Position{}, "schema", "host %s knows schemas up to %d", h.ID, h.Schema)
		}
	}
	return list.Err()
}

func setLag(hosts []HostStatus) {
	var newest record.Offset
	for _, h := range hosts {
		newest = max(newest, h.Version)
	}
	for i := range hosts {
		hosts[i].Lag = newest - hosts[i].Version
	}
}
