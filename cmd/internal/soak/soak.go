// Package soak runs real host processes against stand-ins of the platform, spoils
// everything around them at random, and checks the promises from what callers and
// workers see.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"github.com/hazelworks/hazelworks/platform/standin"
)

// Options configure a run.
type Options struct {
	// Binary is the program to run.
	Binary string
	Seed   uint64
	// Length is the time for which faults come.
	Length time.Duration
	// LogDir is the directory that gets the hosts' logs of a run with findings; ""
	// means none.
	LogDir string
	Out  io.Writer
}

// Result is what a run found.
type Result struct {
	Seed     uint64
	Requests int
	Answered int
	Faults   int
	Findings []string
}

// Times of a run.
const (
	startTime = time.Second
	// calmTime is how long hosts get after the last fault: a start, an outage's end
	// and a heartbeat of the upstreams.
	calmTime = 5 * time.Second
	// applyTime is how long a change may take to be in force.
	applyTime = 2 * time.Second
	// faultGap is the mean time between faults, which overlap.
	faultGap = 350 * time.Millisecond
	// prepaidTokens lasts for a few seconds, so that budgets end in the trouble.
	prepaidTokens = 120_000
)

// Run plays one seed.
func Run(ctx context.Context, opt Options) (Result, error) {
	dir, err := os.MkdirTemp("", "hazelworks-soak")
	if err != nil {
		return Result{}, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	w, err := newWorld(dir, opt.Binary, prepaidTokens)
	if err != nil {
		return Result{}, fmt.Errorf("soak: %w", err)
	}
	defer w.close()
	time.Sleep(startTime)

	c := &callers{w: w, seed: opt.Seed}
	calling, stopCalling := context.WithCancel(ctx)
	called := make(chan struct{})
	go func() {
		defer close(called)
		c.run(calling)
	}()
	count := trouble(ctx, w, opt)
	w.changeConfig(func(cfg standin.Config) { cfg.SetKeys(goodKey) })
	time.Sleep(calmTime)
	stopCalling()
	<-called
	// The budget is mostly spent by now.
	w.changeConfig(func(cfg standin.Config) {
		w.prepaid += prepaidTokens
		cfg.SetPrepaid(w.prepaid)
	})
	time.Sleep(applyTime)
	calm := checkCalm(w, c)
	outcomes := c.all()
	result := Result{Seed: opt.Seed, Requests: len(outcomes), Faults: count, Findings: append(check(w, outcomes), calm...)}
	result.Findings = append(result.Findings, w.errors()...)
	for i := range outcomes {
		if outcomes[i].status == 200 && outcomes[i].err == nil {
			result.Answered++
		}
	}
	if len(result.Findings) > 0 && opt.LogDir != "" {
		return result, w.saveLogs(opt.LogDir, opt.Seed)
	}
	return result, nil
}

// trouble lets faults come for a time and waits until all have ended.
func trouble(ctx context.Context, w *world, opt Options) int {
	rng := rand.New(rand.NewPCG(opt.Seed, 1000))
	all := faults()
	deadline := time.Now().Add(opt.Length)
	count := 0
	for time.Now().Before(deadline) && ctx.Err() == nil {
		f := all[rng.IntN(len(all))]
		count++
		if opt.Out != nil {
			_, _ = fmt.Fprintf(opt.Out, "  %s %s\n", time.Now().UTC().Format("15:04:05.000"), f.name)
		}
		if end := f.begin(w, rng); end != nil {
			last := time.Duration(rng.Float64() * float64(f.longest))
			w.later(func() {
				time.Sleep(last)
				end()
			})
		}
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(faultGap)))
	}
	w.ongoing.Wait()
	return count
}

// saveLogs keeps what the hosts have written, and what callers did.
func (w *world) saveLogs(dir string, seed uint64) error {
	for _, h := range w.hosts {
		name := filepath.Join(dir, fmt.Sprintf("soak-%d-%s.log", seed, h.name))
		if err := os.WriteFile(name, h.logs.text(), 0o600); err != nil {
			return fmt.Errorf("soak: keep the logs: %w", err)
		}
	}
	return nil
}
