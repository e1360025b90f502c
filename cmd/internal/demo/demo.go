// Package demo runs a small fleet with stand-ins for the platform and the
// upstreams, all in one process on loopback addresses.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/fleet/host"
)

// Values that the demo's pages name.
const (
	accountKey     = "demo-key"
	budgetID       = record.BudgetID("demo/main")
	operatorSecret = "demo-operator-secret"
	peerSecret     = "demo-peer-secret-value"
	modelName      = "demo-model"
	prepaid        = record.Tokens(100_000)
)

const (
	startTimeout = 20 * time.Second
	stopTimeout  = 20 * time.Second
	entryTTL     = time.Second
)

// Options configures a demo.
type Options struct {
	// Hosts is the number of hosts.
	Hosts int
	// Duration ends the demo after this time; zero means when its context ends.
	Duration time.Duration
	// Once sends one model request and one plain request, checks them and ends.
	Once   bool
	Out    io.Writer
	Logger logr.Logger
}

// Demo is a running fleet.
type Demo struct {
	opts     Options
	standins *standins
	hosts    []*runningHost
	client   *http.Client
}

// runningHost is a host with the end of its run.
type runningHost struct {
	host   *host.Host
	caller string
	admin  string
	cancel context.CancelFunc
	ended  chan error
}

// Run starts the demo and returns when it has ended.
func Run(ctx context.Context, opts Options) error {
	d := &Demo{opts: opts, client: &http.Client{Timeout: startTimeout}}
	if err := d.start(ctx); err != nil {
		return errors.Join(err, d.stop())
	}
	err := d.use(ctx)
	return errors.Join(err, d.stop())
}

func (d *Demo) use(ctx context.Context) error {
	if d.opts.Once {
		return d.once(ctx)
	}
	d.printUse()
	if d.opts.Duration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d.opts.Duration)
		defer cancel()
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-d.firstEnd(ctx):
		return err
	}
}

// firstEnd reports a host that ends by itself.
func (d *Demo) firstEnd(ctx context.Context) <-chan error {
	out := make(chan error, len(d.hosts))
	for _, h := range d.hosts {
		go func() {
			select {
			case err := <-h.ended:
				h.ended <- err
				out <- fmt.Errorf("host %s ended: %w", h.host.Self(), err)
			case <-ctx.Done():
			}
		}()
	}
	return out
}

func (d *Demo) start(ctx context.Context) error {
	var err error
	if d.standins, err = startStandins(); err != nil {
		return err
	}
	for i := range d.opts.Hosts {
		h, err := d.startHost(i)
		if err != nil {
			return err
		}
		d.hosts = append(d.hosts, h)
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.publishSettings(ctx); err != nil {
		return err
	}
	if err := d.awaitReady(ctx); err != nil {
		return err
	}
	return d.topUp(ctx)
}

func (d *Demo) awaitReady(ctx context.Context) error {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for _, h := range d.hosts {
		for h.host.Ready() != nil {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return fmt.Errorf("host %s is not ready: %w", h.host.Self(), h.host.Ready())
			}
		}
	}
	return nil
}

// stop ends the hosts as a graceful stop does, then the stand-ins.
func (d *Demo) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	results := make(chan error, len(d.hosts))
	for _, h := range d.hosts {
		go func() { results <- h.stop(ctx) }()
	}
	var errs []error
	for range d.hosts {
		errs = append(errs, <-results)
	}
	d.client.CloseIdleConnections()
	if d.standins != nil {
		d.standins.stop()
	}
	return errors.Join(errs...)
}

func (h *runningHost) stop(ctx context.Context) error {
	err := h.host.Shutdown(ctx)
	h.cancel()
	return errors.Join(err, <-h.ended)
}

func (d *Demo) printUse() {
	h := d.hosts[0]
	_, _ = fmt.Fprintf(d.opts.Out, `%d hosts are running. Callers ask any of them which to use:

  curl -s -H 'Authorization: Bearer %[2]s' %[3]s/v1/entry

A streamed answer:

  curl -sN -H 'Authorization: Bearer %[2]s' -H 'Content-Type: application/json' \
    -d '{"model":"%[4]s","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"Write a cut sheet."}]}' \
    %[3]s/v1/chat/completions

A booking, which runs at most once however often it is sent:

  curl -s -H 'Authorization: Bearer %[2]s' -H 'Idempotency-Key: booking-1' -d '{"slab":17}' \
    %[3]s/v1/services/demo/bookings/slabs

The budget, from the log:

  HAZEL_OPERATOR_SECRET=%[5]s hazelctl --admin %[6]s budget show %[7]s

Ctrl-C ends the demo.
`, len(d.hosts), accountKey, h.caller, modelName, operatorSecret, h.admin, budgetID)
}
