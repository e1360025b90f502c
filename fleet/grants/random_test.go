package grants

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hazelworks/hazelworks/core/ledger"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/standin/memlog"
)

var histories = flag.Int("histories", 60, "number of random histories of several hosts")

// fault is one kind of event in a random history.
type fault string

const (
	faultCutLog    fault = "cut log"
	faultLoseReply fault = "lose replies"
	faultDelay     fault = "delay appends"
	faultLogDown   fault = "log down"
	faultCutPeer   fault = "cut peer one way"
	faultKill      fault = "kill"
	faultReplace   fault = "replace in order"
	faultTopUp     fault = "top up"
	faultReduce    fault = "reduce"
	faultHeal      fault = "heal"
)

// step is one event, after a pause.
type step struct {
	kind  fault
	host  int
	other int
	pause time.Duration
}

const historyHosts = 4

var historyGen = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
	return step{
		kind: rapid.SampledFrom([]fault{
			faultCutLog, faultLoseReply, faultDelay, faultLogDown, faultCutPeer,
			faultKill, faultReplace, faultTopUp, faultReduce, faultHeal, faultHeal,
		}).Draw(t, "kind"),
		host:  rapid.IntRange(0, historyHosts-1).Draw(t, "host"),
		other: rapid.IntRange(0, historyHosts-1).Draw(t, "other"),
		pause: time.Duration(rapid.IntRange(1, 5000).Draw(t, "pause")) * time.Millisecond,
	}
}), 3, 14)

// TestRandomHistories runs a load under random faults. It checks that nothing is
// overspent, that each request on a host that was closed gracefully is billed its
// cost once, and that the amounts add up.
func TestRandomHistories(t *testing.T) {
	for seed := range *histories {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			steps := historyGen.Example(seed)
			synctest.Test(t, func(t *testing.T) { runHistory(t, steps) })
		})
	}
}

func runHistory(t *testing.T, steps []step) {
	f := newFleet(t, historyHosts, 1, memlog.Options{}, mill)
	defer f.stop()
	l := newLoad(f)
	l.topUp(f.hosts[0], mill, "start", 20_000)
	dead := make(map[record.Holder]bool)
	for i, s := range steps {
		time.Sleep(s.pause)
		l.startAll(pattern{budget: mill, every: 300 * time.Millisecond, reserve: 200, run: time.Second, seed: uint64(i)}, 3*time.Second)
		l.apply(s, i, dead)
	}
	f.heal()
	l.wg.Wait()
	time.Sleep(time.Minute)
	require.False(t, l.overspend)
	for _, h := range f.hosts {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		require.NoError(t, h.grants.Close(ctx))
		cancel()
	}
	l.checkBilled(dead)
}

// checkBilled compares the ledger with the actual spend. Unreported spend of
// crashed hosts stays in their grants.
func (l *load) checkBilled(dead map[record.Holder]bool) {
	t := l.fleet.t
	t.Helper()
	fold := l.fleet.fold(0).Ledger()
	state, _ := fold.Budget(mill)
	var stranded record.Tokens
	for _, h := range fold.Holders(mill) {
		if h.Outstanding > 0 {
			require.True(t, dead[h.Holder], "only crashed hosts may hold grants, %s does too", h.Holder)
		}
		stranded += h.Outstanding
	}
	require.LessOrEqual(t, state.Settled, l.spent[mill])
	require.GreaterOrEqual(t, state.Settled+stranded, l.spent[mill])
	if len(dead) == 0 {
		require.Equal(t, l.spent[mill], state.Settled)
	}
	require.Zero(t, state.Unbilled)
	require.LessOrEqual(t, state.Prepaid, l.prepaid[mill])
}

func (f *testFleet) heal() {
	f.log.SetDown(false)
	f.mu.Lock()
	clear(f.cuts)
	hosts := f.hosts
	f.mu.Unlock()
	for _, h := range hosts {
		h.link.SetCut(false)
		h.link.SetLoseReply(nil)
		h.link.SetAppendDelay(0)
	}
}

// apply executes one step.
func (l *load) apply(s step, i int, dead map[record.Holder]bool) {
	f := l.fleet
	h := f.hosts[s.host]
	switch s.kind {
	case faultCutLog:
		h.link.SetCut(true)
	case faultLoseReply:
		h.link.SetLoseReply(func() bool { return f.random() < 0.5 })
	case faultDelay:
		h.link.SetAppendDelay(2500 * time.Millisecond)
	case faultLogDown:
		f.log.SetDown(true)
	case faultCutPeer:
		f.cut(h.self.Host, f.hosts[s.other].self.Host, true)
	case faultKill:
		dead[h.self] = true
		h.kill()
		f.start(h.self.Host)
	case faultReplace:
		f.heal()
		require.NoError(f.t, h.grants.Close(f.t.Context()))
		h.kill()
		f.start(h.self.Host)
	case faultTopUp:
		l.change(h, i, 2000)
	case faultReduce:
		l.change(h, i, -1000)
	case faultHeal:
		f.heal()
	}
}

// change tops up or reduces a budget, if the log answers in time.
func (l *load) change(h *testHost, i int, amount record.Tokens) {
	l.mu.Lock()
	l.prepaid[mill] += max(0, amount)
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	op := record.Op{Kind: record.KindTopUp, Budget: mill, ID: fmt.Sprint(i), Amount: amount, By: "test"}
	res, err := h.svc.Submit(ctx, 0, []record.Op{op})
	if err != nil || amount > 0 || res[0].Reason == ledger.ReasonDuplicate {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prepaid[mill] += res[0].Amount
}
