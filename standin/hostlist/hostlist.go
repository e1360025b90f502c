// Package hostlist is a fake of the platform's list of hosts. Changes show up
// after a lag.
package hostlist

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
)

// List is a lagging host list. It is safe for concurrent use.
type List struct {
	lag time.Duration

	mu      sync.Mutex
	down    bool
	version uint64
	hosts   map[record.HostID]platform.Host
	changed chan struct{}
}

// New returns an empty list whose changes show after lag.
func New(lag time.Duration) *List {
	return &List{
		lag:     lag,
		hosts:   make(map[record.HostID]platform.Host),
		changed: make(chan struct{}),
	}
}

var _ platform.HostList = (*List)(nil)

// Put adds or replaces a host.
func (l *List) Put(host platform.Host) {
	l.later(func() { l.hosts[host.ID] = host })
}

// Remove takes a host off the list.
func (l *List) Remove(id record.HostID) {
	l.later(func() { delete(l.hosts, id) })
}

// SetState marks a host as live or leaving.
func (l *List) SetState(id record.HostID, state platform.HostState) {
	l.later(func() {
		host, ok := l.hosts[id]
		if !ok {
			return
		}
		host.State = state
		l.hosts[id] = host
	})
}

// SetDown starts or ends an outage of the list.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	l.wake()
}

// Hosts returns the list once its version exceeds after or wait has passed.
func (l *List) Hosts(ctx context.Context, after uint64, wait time.Duration) (platform.Hosts, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		hosts, changed, err := l.now()
		if err != nil || hosts.Version > after {
			return hosts, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return hosts, nil
		case <-ctx.Done():
			return platform.Hosts{}, ctx.Err()
		}
	}
}

func (l *List) now() (platform.Hosts, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return platform.Hosts{}, nil, platform.ErrUnavailable
	}
	out := platform.Hosts{Version: l.version, Hosts: make([]platform.Host, 0, len(l.hosts))}
	for _, h := range l.hosts {
		out.Hosts = append(out.Hosts, h)
	}
	sort.Slice(out.Hosts, func(i, j int) bool { return out.Hosts[i].ID < out.Hosts[j].ID })
	return out, l.changed, nil
}

func (l *List) later(change func()) {
	apply := func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		change()
		l.version++
		l.wake()
	}
	if l.lag <= 0 {
		apply()
		return
	}
	time.AfterFunc(l.lag, apply)
}

func (l *List) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}
