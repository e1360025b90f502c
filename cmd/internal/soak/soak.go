// Package soak runs host processes against stand-ins of the platform, injects random
// faults into their surroundings, and checks the fleet's guarantees against what
// callers and upstreams observed.
package soak

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/hazelworks/hazelworks/platform/standin"
)

// Options configure a run.
type Options struct {
	// Binary is the program to run.
	Binary string
	Seed   uint64
	// OtherBinary is a program of another build, or "". Hosts are then replaced one after the
	// other from one to the other and back. OtherLacks are the features that it lacks.
	OtherBinary string
	OtherLacks  []string
	// Length is the time during which faults start.
	Length time.Duration
	// Hosts is the number of host processes; 0 means the default.
	Hosts int
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
	// calmTime follows the check of the recovery. Limits must be kept in it, an emptied failure
	// domain must get nothing, and planned stops, calmWarmUp after its begin, must cut off
	// nothing.
	calmTime   = 6 * time.Second
	calmWarmUp = time.Second
	// applyWait is the time within which a configuration change must take effect.
	applyWait = 2 * time.Second
	// meanFaultInterval is the mean time between the starts of faults. Faults overlap.
	meanFaultInterval = 350 * time.Millisecond
	// prepaidTokens lasts a few seconds, so that budgets run out during faults.
	prepaidTokens = 120_000
	// recoveryTokens is what each host needs to serve one request of each kind at the end,
	// with what it holds beyond.
	recoveryTokens = 30_000
)

// Run runs the soak with one seed. It returns an error if the soak itself fails;
// broken guarantees are in Result.Findings.
func Run(ctx context.Context, opt Options) (Result, error) {
	dir, err := os.MkdirTemp("", "hazelworks-soak")
	if err != nil {
		return Result{}, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	tb, err := newTestbed(dir, opt, prepaidTokens, cmp.Or(opt.Hosts, defaultHosts))
	if err != nil {
		return Result{}, fmt.Errorf("soak: %w", err)
	}
	defer tb.close()
	time.Sleep(startWait)

	c := &callers{tb: tb, seed: opt.Seed}
	stopCalls := c.start(ctx)
	stopRolling := tb.rollBuilds(ctx, opt)
	faultCount := injectFaults(ctx, tb, opt)
	stopRolling()
	tb.changeConfig(func(cfg standin.Config) { cfg.SetKeys(validKey) })
	time.Sleep(recoveryWait)
	stopCalls()
	// Most of the budget is spent; checkRecovery needs more for each host.
	tb.topUpHosts()
	recoveryFindings := append(checkRecovery(tb, c), tb.checkDirectories()...)
	tb.breakOffStreams(c)
	calmFindings := checkCalm(ctx, tb, c)
	if opt.Seed%lateEvery == 0 {
		calmFindings = append(calmFindings, tb.checkLateStops(c)...)
	}
	calmFindings = append(calmFindings, tb.checkCrashes()...)
	tb.activeFaults.Wait()
	outcomes := c.recorded()
	result := Result{Seed: opt.Seed, Requests: len(outcomes), Faults: faultCount, Findings: slices.Concat(checkOutcomes(tb, outcomes), recoveryFindings, calmFindings)}
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
	refusals := rand.New(rand.NewPCG(opt.Seed, 2000))
	stops := rand.New(rand.NewPCG(opt.Seed, 3000))
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
		if tb.lacking == "" && count%refusalEvery == 0 {
			tb.refuseAfterRun(refusals)
		}
		if count%stopRowEvery == 0 {
			tb.stopRow(stops)
		}
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(meanFaultInterval)))
	}
	tb.activeFaults.Wait()
	return count
}

// checkCalm lets the callers go on without faults, stops hosts as planned meanwhile, and
// checks what must hold in calm times.
func checkCalm(ctx context.Context, tb *testbed, c *callers) []string {
	stopCalls := c.start(ctx)
	calm := time.Now()
	tb.evacuate()
	time.Sleep(calmWarmUp)
	stops := tb.stopInCalm(c.recorded())
	time.Sleep(time.Until(calm.Add(calmTime)))
	stopCalls()
	return slices.Concat(checkLimits(tb, calm), tb.checkEvacuation(calm), tb.checkFalls(calm.Add(calmWarmUp)), tb.checkPlannedStops(c.recorded(), calm, stops))
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
