// Package weights is a fake of the platform's rate-limited weight store.
package weights

import (
	"context"
	"sync"
	"time"

	"github.com/hazelworks/hazelworks/core/platform"
)

// Store admits a bounded number of transfers at a time.
type Store struct {
	transfer time.Duration
	parallel int

	mu   sync.Mutex
	ends []time.Time
}

// New returns a store that admits parallel transfers, each lasting transfer.
func New(parallel int, transfer time.Duration) *Store {
	return &Store{transfer: transfer, parallel: parallel}
}

var _ platform.WeightStore = (*Store)(nil)

// Acquire admits a transfer or returns ErrThrottled.
func (s *Store) Acquire(context.Context, string, string) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	running := s.ends[:0]
	for _, end := range s.ends {
		if end.After(now) {
			running = append(running, end)
		}
	}
	s.ends = running
	if len(s.ends) >= s.parallel {
		return 0, platform.ErrThrottled
	}
	s.ends = append(s.ends, now.Add(s.transfer))
	return s.transfer, nil
}
