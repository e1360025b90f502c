// Package reach asks other hosts whether they reach an upstream that this host does not reach. A
// cut between this host and an upstream looks like the upstream's end from here, but not from
// there.
package reach

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"github.com/hazelworks/hazelworks/core/roster"
)

// State is what a host finds when it opens a connection to an upstream.
type State string

// States of an upstream as one host finds it.
const (
	Accepts State = "accepts"
	Refuses State = "refuses"
	// Silent means that nothing answers.
	Silent State = "silent"
)

const (
	// connectTimeout bounds the connection that a host opens to an upstream.
	connectTimeout = 300 * time.Millisecond
	// askTimeout bounds a call to another host, which opens such a connection.
	askTimeout = connectTimeout + 100*time.Millisecond
	// maxAsked is the number of other hosts that are asked. Some may be behind the same cut.
	maxAsked = 4
)

// Options configure a [Prober].
type Options struct {
	Self roster.Host
	// Alive returns the other hosts with recent heartbeats.
	Alive func() []roster.Host
	// Dial opens connections to upstreams.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// ReachedAgo returns the time since this host's last contact with an upstream of a service,
	// or false if it was not shortly before.
	ReachedAgo func(service string) (time.Duration, bool)
	// Client calls other hosts.
	Client *http.Client
	Logger logr.Logger
}

// Prober opens connections to upstreams, from this and from other hosts.
type Prober struct {
	opt Options
	log logr.Logger
}

// New returns a prober.
func New(opt Options) *Prober { return &Prober{opt: opt, log: opt.Logger.WithName("reach")} }

// Own opens and closes a connection from this host.
func (p *Prober) Own(ctx context.Context, upstream netip.AddrPort) State {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := p.opt.Dial(ctx, "tcp", upstream.String())
	switch {
	case err == nil:
		_ = conn.Close()
		return Accepts
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return Refuses
	}
	return Silent
}

// Word is what other hosts find.
type Word struct {
	// Hosts is the number of other hosts. Accepts, Refuses and Silent count those that were
	// asked and have answered.
	Hosts, Accepts, Refuses, Silent int
}

// Others asks other hosts, those of other failure domains first, to open a connection.
func (p *Prober) Others(ctx context.Context, upstream netip.AddrPort) Word {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	hosts, all := p.askedHosts()
	word := Word{Hosts: all}
	answers := p.askAll(ctx, hosts, Path, url.Values{paramAddress: {upstream.String()}})
	for range hosts {
		switch (<-answers).State {
		case Accepts:
			word.Accepts++
			return word // no other answer matters
		case Refuses:
			word.Refuses++
		case Silent:
			word.Silent++
		}
	}
	return word
}

// OthersReached returns the time since the last contact of another host with an upstream of a
// service, or false if none of those that are asked had any shortly before.
func (p *Prober) OthersReached(ctx context.Context, service string) (ago time.Duration, ok bool) {
	hosts, _ := p.askedHosts()
	answers := p.askAll(ctx, hosts, ServicePath, url.Values{paramService: {service}})
	for range hosts {
		if a := <-answers; a.ReachedMillis != nil {
			if d := time.Duration(*a.ReachedMillis) * time.Millisecond; !ok || d < ago {
				ago, ok = d, true
			}
		}
	}
	return ago, ok
}

// askedHosts returns the hosts that are asked, and the number of all other hosts.
func (p *Prober) askedHosts() (asked []roster.Host, all int) {
	hosts := slices.Clone(p.opt.Alive())
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	slices.SortStableFunc(hosts, func(a, b roster.Host) int { return cmp.Compare(p.sameDomain(a), p.sameDomain(b)) })
	return hosts[:min(len(hosts), maxAsked)], len(hosts)
}

// askAll asks hosts at once and returns their answers, a zero one for each that does not answer.
func (p *Prober) askAll(ctx context.Context, hosts []roster.Host, path string, query url.Values) <-chan answer {
	answers := make(chan answer, len(hosts))
	for _, h := range hosts {
		go func() {
			a, err := p.ask(ctx, h, path, query)
			if err != nil && !errors.Is(err, context.Canceled) {
				p.log.Info("Host did not tell what it reaches.", "host", h.ID, "error", err.Error())
			}
			answers <- a
		}()
	}
	return answers
}

// sameDomain returns 1 for a host of this host's failure domain.
func (p *Prober) sameDomain(h roster.Host) int {
	if h.FailureDomain == p.opt.Self.FailureDomain {
		return 1
	}
	return 0
}

// HTTP paths at which a host tells whether it reaches an upstream, and whether it has had contact
// with any upstream of a service.
const (
	Path        = "/reach/v1/upstream"
	ServicePath = "/reach/v1/service"
)

const (
	paramAddress = "address"
	paramService = "service"
)

// answer is that of another host at [Path] or [ServicePath].
type answer struct {
	State State `json:"state,omitempty"`
	// ReachedMillis is the time since the host's last contact, or nil if it had none shortly
	// before.
	ReachedMillis *int64 `json:"reached_ms,omitempty"`
}

func (p *Prober) ask(ctx context.Context, h roster.Host, path string, query url.Values) (answer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.Peer.String()+path+"?"+query.Encode(), nil)
	if err != nil {
		return answer{}, fmt.Errorf("reach: %w", err)
	}
	resp, err := p.opt.Client.Do(req)
	if err != nil {
		return answer{}, fmt.Errorf("reach: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	var a answer
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil || resp.StatusCode != http.StatusOK {
		return answer{}, fmt.Errorf("reach: status %d: %w", resp.StatusCode, err)
	}
	return a, nil
}

// ServeHTTP answers other hosts at [Path] and [ServicePath].
func (p *Prober) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var a answer
	if r.URL.Path == ServicePath {
		if ago, ok := p.opt.ReachedAgo(r.URL.Query().Get(paramService)); ok {
			ms := ago.Milliseconds()
			a.ReachedMillis = &ms
		}
	} else {
		upstream, err := netip.ParseAddrPort(r.URL.Query().Get(paramAddress))
		if err != nil {
			http.Error(w, paramAddress+" is not an IP address and port", http.StatusBadRequest)
			return
		}
		a.State = p.Own(r.Context(), upstream)
	}
	w.Header().Set("Content-Type", "application/json")
	// The error is ignored: a host that has left needs no answer.
	_ = json.NewEncoder(w).Encode(a)
}
