// Package soak runs host processes against stand-ins of the platform, injects random
// faults into their surroundings, and checks the fleet's guarantees against what
// callers and upstreams observed.
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
	// Length is the time during which faults start.
	Length time.Duration
	// LogDir is the directory to which a run with findings writes the hosts' logs;
	// "" means that none are written.
	LogDir string
	Out    io.Writer
}

// Result is the outcome of a run.
type Result struct {
	Seed     uint64
	Requests int
	Answered int
	Faults   int
	Findings []string
}

// Times and amounts of a run.
const (
	startWait = time.Second
	// recoveryWait is the time for hosts to recover after the last fault. It covers a
	// host's start, the end of an outage and a heartbeat of the upstreams.
	recoveryWait = 5 * time.Second
	// applyWait is the time within which a configuration change must take effect.
	applyWait = 2 * time.Second
	// meanFaultInterval is the mean time between the starts of faults. Faults overlap.
	meanFaultInterval = 350 * time.Millisecond
	// prepaidTokens lasts a few seconds, so that budgets run out during faults.
	prepaidTokens = 120_000
)

// Run runs the soak with one seed. It returns an error if the soak itself fails;
// broken guarantees are in Result.Findings.
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
	// Most of the budget is spent; checkRecovery needs more.
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

// injectFaults starts random faults for opt.Length, waits until all have ended and
// returns their number.
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

// saveLogs writes the hosts' logs to files in dir.
func (tb *testbed) saveLogs(dir string, seed uint64) error {
	for _, h := range tb.hosts {
		name := filepath.Join(dir, fmt.Sprintf("soak-%d-%s.log", seed, h.name))
		if err := os.WriteFile(name, h.logs.text(), 0o600); err != nil {
			return fmt.Errorf("soak: keep the logs: %w", err)
		}
	}
	return nil
}
