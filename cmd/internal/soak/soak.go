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
	Out    io.Writer
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
	startWait = time.Second
	// recoveryWait is how long hosts get after the last fault: a start, an outage's end
	// and a heartbeat of the upstreams.
	recoveryWait = 5 * time.Second
	// applyWait is how long a change may take to be in force.
	applyWait = 2 * time.Second
	// meanFaultInterval is the mean time between faults, which overlap.
	meanFaultInterval = 350 * time.Millisecond
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
	tb, err := newTestbed(dir, opt.Binary, prepaidTokens)
	if err != nil {
		return Result{}, fmt.Errorf("soak: %w", err)
	}
	defer tb.close()
	time.Sleep(startWait)

	c := &callers{tb: tb, seed: opt.Seed}
	callCtx, stopCalls := context.WithCancel(ctx)
	callersDone := make(chan struct{})
	go func() {
		defer close(callersDone)
		c.run(callCtx)
	}()
	faultCount := injectFaults(ctx, tb, opt)
	tb.changeConfig(func(cfg standin.Config) { cfg.SetKeys(validKey) })
	time.Sleep(recoveryWait)
	stopCalls()
	<-callersDone
	// The budget is mostly spent by now.
	tb.changeConfig(func(cfg standin.Config) {
		tb.prepaid += prepaidTokens
		cfg.SetPrepaid(tb.prepaid)
	})
	time.Sleep(applyWait)
	recoveryFindings := checkRecovery(tb, c)
	outcomes := c.recorded()
	result := Result{Seed: opt.Seed, Requests: len(outcomes), Faults: faultCount, Findings: append(checkOutcomes(tb, outcomes), recoveryFindings...)}
	result.Findings = append(result.Findings, tb.errors()...)
	for i := range outcomes {
		if outcomes[i].status == 200 && outcomes[i].err == nil {
			result.Answered++
		}
	}
	if len(result.Findings) > 0 && opt.LogDir != "" {
		return result, tb.saveLogs(opt.LogDir, opt.Seed)
	}
	return result, nil
}

// injectFaults lets faults come for a time and waits until all have ended.
func injectFaults(ctx context.Context, tb *testbed, opt Options) int {
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
		if end := f.start(tb, rng); end != nil {
			duration := time.Duration(rng.Float64() * float64(f.maxDuration))
			tb.goFault(func() {
				time.Sleep(duration)
				end()
			})
		}
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(meanFaultInterval)))
	}
	tb.activeFaults.Wait()
	return count
}

// saveLogs keeps what the hosts have written, and what callers did.
func (tb *testbed) saveLogs(dir string, seed uint64) error {
	for _, h := range tb.hosts {
		name := filepath.Join(dir, fmt.Sprintf("soak-%d-%s.log", seed, h.name))
		if err := os.WriteFile(name, h.logs.text(), 0o600); err != nil {
			return fmt.Errorf("soak: keep the logs: %w", err)
		}
	}
	return nil
}
