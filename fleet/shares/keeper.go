// Package shares keeps which part of each service's room the client accounts have used of late, in
// the requests of all hosts. Hosts tell each other while requests have to wait.
package shares

import (
	"context"
	"maps"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/shares"
	"github.com/hazelworks/hazelworks/fleet/gossip"
)

const (
	// reportInterval is the time between two reports of a host while requests wait. A report
	// of 24 accounts has some 300 bytes.
	reportInterval = 500 * time.Millisecond
	// scarceTime is how long after the last long wait of a request reports are sent.
	scarceTime = 3 * time.Second
	// logInterval is the least time between two lines about the standing of one account.
	logInterval = time.Second
	// microsPerUnit is the number of steps in one unit of use in a report.
	microsPerUnit = 1e6
)

// Options configure a [Keeper].
type Options struct {
	Host record.HostID
	// Broadcast sends a report to the hosts that serve requests.
	Broadcast func(gossip.Report)
	Logger    logr.Logger
	Metrics   metrics.Registry
}

// Keeper knows the use of all services. It is safe for concurrent use.
type Keeper struct {
	opt     Options
	log     logr.Logger
	shorter metrics.Counter

	mu       sync.Mutex
	services map[uint32]*service
	wake     chan struct{}
}

type service struct {
	table *shares.Table
	// scarceAt is when a request last had to wait for long.
	scarceAt time.Time
	loggedAt map[shares.AccountID]time.Time
}

// New returns a keeper that knows no use.
func New(opt Options) *Keeper {
	return &Keeper{opt: opt, log: opt.Logger.WithName("shares"), services: make(map[uint32]*service), wake: make(chan struct{}, 1),
		shorter: metrics.GetOrRegisterCounter("shares.shorter_waits", opt.Metrics)}
}

func hashOf(service string) uint32 { return uint32(xxhash.Sum64String(service)) }

// service returns the state of a service. The caller holds mu.
func (k *Keeper) service(hash uint32) *service {
	s, ok := k.services[hash]
	if !ok {
		s = &service{table: shares.NewTable(), loggedAt: make(map[shares.AccountID]time.Time)}
		k.services[hash] = s
	}
	return s
}

// Factor returns the part of the usual wait that a request of an account has. wait is the time for
// which it would wait for the service, and objective its latency objective.
func (k *Keeper) Factor(serviceName, account string, wait, objective time.Duration) float64 {
	if k == nil || account == "" || !shares.Scarce(wait, objective) {
		return 1
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	s, now := k.service(hashOf(serviceName)), time.Now()
	if now.Sub(s.scarceAt) > scarceTime {
		k.signal()
	}
	s.scarceAt = now
	id := shares.IDOf(account)
	standing := s.table.Standing(id, nil, now)
	if standing.Factor >= 1 {
		return 1
	}
	k.shorter.Inc(1)
	if now.Sub(s.loggedAt[id]) >= logInterval {
		maps.DeleteFunc(s.loggedAt, func(_ shares.AccountID, at time.Time) bool { return now.Sub(at) >= logInterval })
		s.loggedAt[id] = now
		k.log.Info("Account has used more than its share.", "account", account, "service", serviceName, "shares", standing.Used,
			"factor", standing.Factor, "accounts", standing.Accounts, "wait", wait)
	}
	return standing.Factor
}

// Record records that this host has sent a request of an account. room is the time for which the
// request keeps an upstream busy.
func (k *Keeper) Record(serviceName, account string, room time.Duration) {
	if k == nil || account == "" {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.service(hashOf(serviceName)).table.Record(shares.IDOf(account), room.Seconds(), time.Now())
}

// Receive applies the report of another host.
func (k *Keeper) Receive(r *gossip.Report) {
	if k == nil || len(r.Use) == 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, u := range r.Use {
		k.service(u.Service).table.Apply(string(r.Host), decode(u), time.Now())
	}
}

func (k *Keeper) signal() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Run sends reports while requests wait, until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	for {
		use := k.due()
		for _, u := range use {
			k.opt.Broadcast(gossip.Report{Host: k.opt.Host, Use: []gossip.ServiceUse{u}})
		}
		var next <-chan time.Time
		if k.scarce() {
			next = time.After(reportInterval)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-k.wake:
		case <-next:
		}
	}
}

func (k *Keeper) scarce() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range k.services {
		if time.Since(s.scarceAt) <= scarceTime {
			return true
		}
	}
	return false
}

// due returns this host's use of the services for which requests wait.
func (k *Keeper) due() []gossip.ServiceUse {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []gossip.ServiceUse
	now := time.Now()
	for hash, s := range k.services {
		if now.Sub(s.scarceAt) > scarceTime {
			continue
		}
		if r := s.table.Own(now); len(r.Largest) > 0 {
			out = append(out, encode(hash, r))
		}
	}
	return out
}

func encode(service uint32, r shares.Report) gossip.ServiceUse {
	u := gossip.ServiceUse{Service: service, Rest: r.Rest, RestMicros: micros(r.RestPerSecond)}
	for _, a := range r.Largest {
		u.Accounts = append(u.Accounts, uint32(a.Account))
		u.Micros = append(u.Micros, micros(a.PerSecond))
	}
	return u
}

func micros(perSecond float64) uint64 {
	return uint64(min(math.Ceil(perSecond*microsPerUnit), math.MaxInt64))
}

func decode(u gossip.ServiceUse) shares.Report {
	r := shares.Report{Rest: u.Rest, RestPerSecond: float64(u.RestMicros) / microsPerUnit}
	for i := range min(len(u.Accounts), len(u.Micros)) {
		r.Largest = append(r.Largest, shares.Use{Account: shares.AccountID(u.Accounts[i]), PerSecond: float64(u.Micros[i]) / microsPerUnit})
	}
	return r
}
