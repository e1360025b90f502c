package settingswatch

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/fleet/member"
	"github.com/hazelworks/hazelworks/fleet/peer/peerpb"
)

const (
	// peerInterval is the time between two comparisons with the versions of other
	// hosts.
	peerInterval = time.Second
	// maxPeerInterval is the longest interval, for a host that cannot use the
	// responses, such as one whose program is too old for the tree.
	maxPeerInterval = time.Minute
	// peerCallTimeout is the timeout of one call for settings.
	peerCallTimeout = 2 * time.Second
	// maxPeerTries is the maximum number of hosts that are asked in one interval.
	maxPeerTries = 3
)

// followPeers requests missing changes from other hosts. The log comes first: other
// hosts are asked only if they were ahead for a whole interval. While the responses
// bring no progress, the interval doubles up to maxPeerInterval.
func (w *Watcher) followPeers(ctx context.Context) error {
	wait := peerInterval
	var lastVersion record.Offset
	wasBehind, noProgress := false, 0
	for {
		if err := sleep(ctx, wait); err != nil {
			return err
		}
		wait = peerInterval
		ahead := w.hostsAhead()
		switch {
		case w.Current() == nil:
			w.startFromPeers(ctx, ahead)
		case wasBehind && len(ahead) > 0 && w.Version() == lastVersion:
			answered, helped := w.askPeers(ctx, ahead)
			if answered && !helped {
				noProgress++
				wait = min(peerInterval<<min(noProgress, 10), maxPeerInterval)
				continue
			}
		}
		noProgress = 0
		wasBehind, lastVersion = len(ahead) > 0, w.Version()
	}
}

// hostsAhead returns the hosts to ask, the newest version first. A host without
// settings may ask any other.
func (w *Watcher) hostsAhead() []record.HostID {
	own := w.Version()
	self := w.opts.View.Self().Host
	hosts := slices.DeleteFunc(w.opts.View.Hosts(), func(h member.Host) bool {
		return h.ID == self || (own > 0 && h.SettingsVersion <= own)
	})
	w.jitter.shuffle(len(hosts), func(i, k int) { hosts[i], hosts[k] = hosts[k], hosts[i] })
	slices.SortStableFunc(hosts, func(a, b member.Host) int {
		return cmp.Or(cmp.Compare(b.SettingsVersion, a.SettingsVersion), cmp.Compare(suspectedRank(a), suspectedRank(b)))
	})
	ids := make([]record.HostID, 0, maxPeerTries)
	for _, h := range hosts[:min(len(hosts), maxPeerTries)] {
		ids = append(ids, h.ID)
	}
	return ids
}

// startFromPeers gets the settings for a host that starts while the log is
// unreachable. It asks several hosts, since one may itself be cut off from the log,
// and uses the newest settings.
func (w *Watcher) startFromPeers(ctx context.Context, hosts []record.HostID) {
	if w.State().LogErr == nil {
		return
	}
	answers := 0
	for _, id := range hosts {
		if err := w.askPeer(ctx, id, w.State().Position); err != nil {
			w.recordPeerError(id, err)
			continue
		}
		answers++
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.caughtUp || answers == 0 || w.fold.Position() == 0 {
		return
	}
	w.caughtUp = true
	w.publishLocked()
	w.logger.Info("started with the settings of other hosts because the log is unreachable", "version", w.fold.Version())
}

// suspectedRank is a sort key that puts hosts that are suspected to have failed last.
func suspectedRank(h member.Host) int {
	if h.ObservedState == member.StateSuspected {
		return 1
	}
	return 0
}

// askPeers asks hosts in turn until a response advances the position. It reports
// whether any host answered, and whether one helped.
func (w *Watcher) askPeers(ctx context.Context, hosts []record.HostID) (answered, helped bool) {
	for _, id := range hosts {
		before := w.State().Position
		err := w.askPeer(ctx, id, before)
		if w.State().Position > before {
			w.meters.peerUpdates.Inc(1)
			return true, true
		}
		answered = answered || !isUnreachable(err)
		if err != nil {
			w.recordPeerError(id, err)
		}
	}
	return answered, false
}

// isUnreachable reports whether a call failed because the host did not answer.
func isUnreachable(err error) bool {
	code := connect.CodeOf(err)
	return err != nil && (code == connect.CodeUnavailable || code == connect.CodeDeadlineExceeded || errors.Is(err, context.DeadlineExceeded))
}

func (w *Watcher) recordPeerError(id record.HostID, err error) {
	w.meters.peerErrors.Inc(1)
	w.logger.V(1).Info("cannot get settings from a host", "host", id, "error", err.Error())
}

func (w *Watcher) askPeer(ctx context.Context, id record.HostID, after record.Offset) error {
	client, ok := w.opts.View.Client(id)
	if !ok {
		return fmt.Errorf("host %s is not known", id)
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	response, err := client.Settings(ctx, connect.NewRequest(&peerpb.SettingsRequest{After: uint64(after)}))
	if err != nil {
		return fmt.Errorf("ask %s for settings: %w", id, err)
	}
	if len(response.Msg.Snapshot) == 0 {
		return nil
	}
	update, err := settings.DecodeUpdate(response.Msg.Snapshot)
	if err != nil {
		return fmt.Errorf("settings from %s: %w", id, err)
	}
	return w.applyUpdate(update, string(id))
}

func (w *Watcher) applyUpdate(update *settings.Update, from string) error {
	if update.Snapshot != nil {
		if err := w.restore(update.Snapshot, from); err != nil {
			return err
		}
	}
	if len(update.Entries) == 0 {
		return nil
	}
	return w.applyEntries(update.Entries, from)
}

// Settings returns the changes after an offset to another host: the entries if they
// are all kept here, else a snapshot. Both are absent if there are none.
func (w *Watcher) Settings(_ context.Context, r *connect.Request[peerpb.SettingsRequest]) (*connect.Response[peerpb.SettingsResponse], error) {
	update, version := w.updateAfter(record.Offset(r.Msg.After))
	out := &peerpb.SettingsResponse{Version: uint64(version)}
	if update != nil {
		data, err := settings.EncodeUpdate(update)
		if err != nil {
			return nil, connect.NewError(connect.CodeInternal, err)
		}
		out.Snapshot = data
	}
	return connect.NewResponse(out), nil
}

// updateAfter returns the update for a host that has read up to an offset, or nil if
// it has nothing to get, and the version of this host.
func (w *Watcher) updateAfter(offset record.Offset) (*settings.Update, record.Offset) {
	w.mu.Lock()
	defer w.mu.Unlock()
	version := w.fold.Version()
	if offset >= w.fold.Position() {
		return nil, version
	}
	if entries, ok := w.tail.after(offset); ok {
		return &settings.Update{Entries: entries}, version
	}
	return &settings.Update{Snapshot: w.fold.Snapshot()}, version
}
