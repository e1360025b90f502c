package shard

import (
	"context"
	"errors"
	"fmt"

	"connectrpc.com/connect"

	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/shardfold"
	"github.com/hazelworks/hazelworks/fleet/peer/peerpb"
)

const (
	// maxSnapshotsRead is the number of newest snapshots that are read. Several are
	// needed since a snapshot appended late may cover less than those before it.
	maxSnapshotsRead = 4
	// maxPeersAsked is the number of highest-ranked hosts that are asked for their state
	// of a shard.
	maxPeersAsked = 16
)

// errNoSnapshot is returned if needed records are trimmed and neither a snapshot nor
// another host covers them.
var errNoSnapshot = errors.New("shard: records are trimmed and no snapshot covers them")

// load advances the fold to an offset from which the log can still be read: its own
// offset, that of the newest snapshot in the log, or that of another host. The highest
// offset wins; the fold never goes back.
func (r *replica) load(ctx context.Context) error {
	bounds, err := r.svc.opts.Log.Bounds(ctx, r.stream)
	if err != nil {
		return r.loadInOutage(ctx, err)
	}
	if r.canResume(bounds) {
		r.finishLoad("log")
		return nil
	}
	if err := r.loadFromLog(ctx); err != nil {
		r.svc.opts.Logger.Info("cannot read the snapshots", "shard", r.id, "error", err.Error())
	}
	if r.canResume(bounds) {
		r.finishLoad("snapshot")
		return nil
	}
	r.loadFromPeers(ctx)
	if r.canResume(bounds) {
		r.svc.opts.Logger.Info("shard loaded from another host: snapshots are trimmed", "shard", r.id, "offset", r.offset())
		r.finishLoad("peer")
		return nil
	}
	return fmt.Errorf("%w: shard %d has offset %d, first kept is %d", errNoSnapshot, r.id, r.offset(), bounds.First)
}

// canResume reports whether the log still has the records after the fold's offset.
func (r *replica) canResume(bounds platform.Bounds) bool {
	return r.offset()+1 >= bounds.First
}

// loadInOutage loads the fold from another host while the log is unreachable, and returns
// cause. The fold can then be read, but it counts as loaded only after the log confirms
// that it still has the records after it.
func (r *replica) loadInOutage(ctx context.Context, cause error) error {
	if r.offset() == 0 && r.loadFromPeers(ctx) {
		r.svc.opts.Logger.Info("shard loaded from another host: the log is unreachable", "shard", r.id, "offset", r.offset())
	}
	return cause
}

func (r *replica) finishLoad(source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.loaded {
		return
	}
	r.loaded = true
	r.svc.opts.Logger.Info("shard followed", "shard", r.id, "from", source, "offset", r.fold.Offset())
	close(r.ready)
}

func (r *replica) loadFromLog(ctx context.Context) error {
	stream := record.StreamOfShardSnapshots(r.id)
	bounds, err := r.svc.opts.Log.Bounds(ctx, stream)
	if err != nil {
		return err
	}
	if bounds.Head < bounds.First {
		return nil
	}
	from := bounds.First
	if bounds.Head >= bounds.First+maxSnapshotsRead {
		from = bounds.Head - maxSnapshotsRead + 1
	}
	entries, err := r.svc.opts.Log.Read(ctx, stream, from, maxSnapshotsRead, 0)
	if err != nil {
		return err
	}
	var errs []error
	for _, entry := range entries {
		errs = append(errs, r.restoreNewer(entry.Data))
	}
	return errors.Join(errs...)
}

// restoreNewer replaces the fold by a snapshot, if the snapshot covers more.
func (r *replica) restoreNewer(snapshot []byte) error {
	fold, err := shardfold.Restore(snapshot)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if fold.Offset() <= r.fold.Offset() {
		return nil
	}
	r.fold = fold
	r.updateEpoch()
	return nil
}

// loadFromPeers asks other hosts for their state and reports whether the fold advanced.
func (r *replica) loadFromPeers(ctx context.Context) bool {
	before := r.offset()
	for i, host := range r.svc.ranked(r.id) {
		if i == maxPeersAsked {
			break
		}
		if host == r.svc.opts.Self.Host {
			continue
		}
		if err := r.loadFromPeer(ctx, host); err != nil {
			r.svc.opts.Logger.V(1).Info("cannot load the shard from another host", "shard", r.id, "host", host, "error", err.Error())
		}
	}
	return r.offset() > before
}

func (r *replica) loadFromPeer(ctx context.Context, host record.HostID) error {
	data, err := r.svc.fetchPeerState(ctx, host, r.id)
	if err != nil {
		return err
	}
	return r.restoreNewer(data)
}

// fetchPeerState returns the snapshot of another host's replica of a shard.
func (s *Service) fetchPeerState(ctx context.Context, host record.HostID, id record.ShardID) ([]byte, error) {
	client, ok := s.opts.View.Client(host)
	if !ok {
		return nil, fmt.Errorf("shard: host %s is not known", host)
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.PeerTimeout)
	defer cancel()
	res, err := client.ShardState(ctx, connect.NewRequest(&peerpb.ShardStateRequest{Shard: uint32(id)}))
	if err != nil {
		return nil, err
	}
	return res.Msg.GetSnapshot(), nil
}
