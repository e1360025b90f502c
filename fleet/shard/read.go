package shard

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/shardfold"
)

// Read returns a copy of a shard's fold for reading: the owner's if it can be
// reached, else one that this host folds from the log.
func (s *Service) Read(ctx context.Context, id record.ShardID) (*shardfold.Fold, error) {
	host := s.route(id)
	if host != s.opts.Self.Host {
		data, err := s.peerState(ctx, host, id)
		if err == nil {
			return shardfold.Restore(data)
		}
		s.opts.Logger.V(1).Info("owner's copy not read", "shard", id, "host", host, "error", err.Error())
	}
	return s.readOwn(ctx, id)
}

func (s *Service) readOwn(ctx context.Context, id record.ShardID) (*shardfold.Fold, error) {
	r, err := s.replica(id)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	r.touch(now)
	if err := s.waitLoaded(ctx, r); err != nil {
		return nil, err
	}
	r.mu.Lock()
	data, err := r.fold.Snapshot(now)
	r.mu.Unlock()
	if err != nil {
		return nil, fmt.Errorf("shard %d: %w", id, err)
	}
	return shardfold.Restore(data)
}

// ReadAll returns copies of all shards' folds that can be read, by shard. The
// error joins the reasons for those that can't.
func (s *Service) ReadAll(ctx context.Context) (map[record.ShardID]*shardfold.Fold, error) {
	folds := make(map[record.ShardID]*shardfold.Fold)
	var errs []error
	for id := record.ShardID(0); id < record.ShardID(s.opts.Shards()); id++ {
		fold, err := s.Read(ctx, id)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		folds[id] = fold
	}
	return folds, errors.Join(errs...)
}
