package grants

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/fleet/member"
	"github.com/hazelworks/hazelworks/standin/memlog"
)

// startAll starts a pattern on every host.
func (l *load) startAll(p pattern, d time.Duration) {
	end := time.Now().Add(d)
	for _, h := range l.fleet.hosts {
		l.start(h, p, end)
	}
}

// TestOwnerDiesBeforeItAnswersABatch kills an owner whose append succeeded but
// whose reply was lost. The batch must not be billed twice, and only the owner's
// own grant may be stranded.
func TestOwnerDiesBeforeItAnswersABatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8, 1, memlog.Options{}, mill)
		defer f.stop()
		l := newLoad(f)
		l.topUp(f.hosts[0], mill, "t", 1_000_000)
		l.startAll(steadyLoad, time.Minute)
		time.Sleep(20 * time.Second)
		owner := f.owner(mill)
		owner.link.SetLoseReply(func() bool { return true }) // appended, but the replies are lost
		time.Sleep(10 * time.Millisecond)
		owner.kill()
		l.wg.Wait()
		time.Sleep(10 * time.Second)
		require.False(t, l.overspend)
		// Unreported spend of the crashed host stays in its grant.
		state := f.budget(mill)
		require.LessOrEqual(t, state.Settled, l.spent[mill])
		require.GreaterOrEqual(t, state.Settled+state.Granted, l.spent[mill])
		require.LessOrEqual(t, l.refusals(), l.served/200, "refused %d of %d", l.refusals(), l.served)
		var stranded record.Tokens
		for _, h := range f.fold(0).Ledger().Holders(mill) {
			if h.Holder == owner.self {
				stranded = h.Outstanding
			}
		}
		// A slice of 5 s at 5 requests/s of at most 200 tokens, the running requests and the unreported spend.
		require.LessOrEqual(t, stranded, record.Tokens(10_000), "under 1%% of the budget")
	})
}

// TestLateWriteOfPausedOwner pauses an owner just before a write, for longer than
// any timeout, and lets the write through after another host has taken over. The
// late write must not change what is billed.
func TestLateWriteOfPausedOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8, 1, memlog.Options{}, mill)
		defer f.stop()
		l := newLoad(f)
		l.topUp(f.hosts[0], mill, "t", 1_000_000)
		l.startAll(steadyLoad, time.Minute)
		time.Sleep(10 * time.Second)
		owner := f.owner(mill)
		resumed := make(chan struct{})
		owner.link.SetBeforeSend(func() { <-resumed })
		for _, h := range f.hosts {
			f.cut(h.self.Host, owner.self.Host, true)
			f.cut(owner.self.Host, h.self.Host, true)
		}
		time.Sleep(30 * time.Second)
		require.NotEqual(t, owner.self, f.owner(mill).self, "another host has taken over")
		owner.link.SetBeforeSend(nil)
		close(resumed)
		time.Sleep(time.Second)
		for _, h := range f.hosts {
			f.cut(h.self.Host, owner.self.Host, false)
			f.cut(owner.self.Host, h.self.Host, false)
		}
		l.finish(mill)
		f.closeAll()
		require.Zero(t, f.budget(mill).Granted)
	})
}

// TestAllHostsSpendTheWholeBudget spends one budget from every host until it is
// used up. Requests must not be refused while enough for a reservation is left.
func TestAllHostsSpendTheWholeBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8, 1, memlog.Options{}, mill)
		defer f.stop()
		l := newLoad(f)
		l.topUp(f.hosts[0], mill, "t", 100_000)
		l.startAll(steadyLoad, time.Minute)
		l.finish(mill)
		require.Positive(t, l.spentRefusals+l.heldRefusals)
		l.checkFalseRefusals()
		l.checkFoundInTime()
		require.Less(t, l.prepaid[mill]-l.spent[mill], steadyLoad.reserve)
		t.Logf("refused while enough was free: %d, longest %v", l.falseRefusals, l.longestFree)
		t.Logf("served %d, refused %d spent, %d held; wait p50 %v p95 %v p99 %v; %d appends",
			l.served, l.spentRefusals, l.heldRefusals, l.wait(50), l.wait(95), l.wait(99), f.log.Appends())
	})
}

// TestThrottledLogKeepsOwners does the same with a log that is limited to ten
// appends a second. Recalls are slow, but healthy hosts must stay owners and be
// recalled from.
func TestThrottledLogKeepsOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8, 1, memlog.Options{AppendsPerSecond: 10}, mill)
		defer f.stop()
		l := newLoad(f)
		l.topUp(f.hosts[0], mill, "t", 100_000)
		l.startAll(steadyLoad, time.Minute)
		l.finish(mill)
		require.Less(t, l.prepaid[mill]-l.spent[mill], steadyLoad.reserve)
		takeovers := int64(0)
		for _, h := range f.hosts {
			takeovers += h.reg.Get("shard.takeovers").(metrics.Counter).Count()
		}
		require.LessOrEqual(t, takeovers, int64(2), "a slow log is no reason to change owners")
		t.Logf("served %d, refused %d spent, %d held, %d unreachable, false %d, longest %v; wait p99 %v",
			l.served, l.spentRefusals, l.heldRefusals, l.unreachableRefusals, l.falseRefusals, l.longestFree, l.wait(99))
	})
}

func TestReleaseOfALiveHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 1, memlog.Options{}, mill)
		defer f.stop()
		f.topUp(f.hosts[0], mill, "t", 1000)
		h := f.hosts[1]
		running, err := h.grants.Reserve(t.Context(), mill, 1, 400, time.Second)
		require.NoError(t, err)
		release := record.Op{Kind: record.KindRelease, Budget: mill, Holder: &h.self, ID: "r", By: "test"}
		_, err = f.hosts[0].svc.Submit(t.Context(), 0, []record.Op{release})
		require.NoError(t, err)
		rest, err := f.hosts[0].grants.Reserve(t.Context(), mill, 2, 900, time.Second)
		require.NoError(t, err)
		rest.Settle(900)
		time.Sleep(2 * time.Second)
		running.Settle(400)
		time.Sleep(2 * time.Second)
		state := f.budget(mill)
		require.LessOrEqual(t, state.Settled, record.Tokens(1000), "spend stops at what was prepaid")
		require.GreaterOrEqual(t, state.Unbilled, record.Tokens(300))
		require.Equal(t, record.Tokens(1300), state.Settled+state.Unbilled)
		_, err = h.grants.Reserve(t.Context(), mill, 3, 10, time.Second)
		require.Error(t, err, "a released holder reserves nothing more")
	})
}

// TestOutageLongerThanRetention keeps the log down until all its records have
// expired. Only the hosts' memory still has the state; a host that starts
// meanwhile must copy it from another host.
func TestOutageLongerThanRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4, 2, memlog.Options{Retention: 10 * time.Minute}, mill)
		defer f.stop()
		l := newLoad(f)
		l.topUp(f.hosts[0], mill, "t", 1_000_000)
		l.startAll(steadyLoad, 20*time.Second)
		l.wg.Wait()
		time.Sleep(5 * time.Second)
		before := f.budget(mill)
		f.log.SetDown(true)
		l.startAll(steadyLoad, 10*time.Second)
		l.wg.Wait()
		time.Sleep(30 * time.Minute)
		fresh := f.start("h9")
		_, err := fresh.grants.Reserve(t.Context(), mill, 1<<40, 100, time.Second)
		var refused *RefusedError
		require.ErrorAs(t, err, &refused)
		require.True(t, refused.Unreachable, "a host that starts in an outage does not know the budget")
		time.Sleep(30 * time.Minute)
		f.log.SetDown(false)
		time.Sleep(20 * time.Second)
		r, err := fresh.grants.Reserve(t.Context(), mill, 1<<40, 100, 5*time.Second)
		require.NoError(t, err)
		r.Settle(100)
		time.Sleep(5 * time.Second)
		state, err := fresh.svc.State(t.Context(), f.shardOf(mill))
		require.NoError(t, err)
		require.NoError(t, state.Fold.Check())
		after, ok := state.Fold.Ledger().Budget(mill)
		require.True(t, ok)
		require.Equal(t, before.Prepaid, after.Prepaid)
		require.Equal(t, l.spent[mill]+100, after.Settled, "what was spent in the outage is billed after it")
		f.closeAll()
	})
}

// TestEveryHostReplaced replaces all hosts one by one, with a log retention far
// shorter than the run: the shards' state must survive in snapshots.
func TestEveryHostReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4, 2, memlog.Options{Retention: 10 * time.Minute}, mill)
		defer f.stop()
		l := newLoad(f)
		l.topUp(f.hosts[0], mill, "t", 1_000_000)
		for _, id := range []record.HostID{"h0", "h1", "h2", "h3", "h0", "h1", "h2", "h3"} {
			l.startAll(steadyLoad, 10*time.Second)
			l.wg.Wait()
			time.Sleep(11 * time.Minute)
			old := f.host(id)
			require.NoError(t, old.grants.Close(t.Context()))
			old.kill()
			f.start(id)
		}
		time.Sleep(5 * time.Second)
		state, err := f.hosts[0].svc.State(t.Context(), f.shardOf(mill))
		require.NoError(t, err)
		after, ok := state.Fold.Ledger().Budget(mill)
		require.True(t, ok)
		require.Equal(t, record.Tokens(1_000_000), after.Prepaid)
		require.Equal(t, l.spent[mill], after.Settled)
		require.Zero(t, after.Granted)
	})
}

func (f *testFleet) host(id record.HostID) *testHost {
	for _, h := range f.hosts {
		if h.self.Host == id {
			return h
		}
	}
	f.t.Fatalf("no host %s", id)
	return nil
}

// TestOneClaimWins claims the same requests on every host while replies of the
// log are lost and the hosts are partitioned. Each request must have one winner.
func TestOneClaimWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8, 4, memlog.Options{}, mill)
		defer f.stop()
		for _, h := range f.hosts {
			h.link.SetLoseReply(func() bool { return f.random() < 0.3 })
		}
		f.partition(f.hosts[:4], f.hosts[4:], true)
		const requests = 40
		var won [requests]atomic.Int32
		l := newLoad(f)
		for i := range requests {
			for _, h := range f.hosts {
				for range 2 { // the same host may be asked twice
					l.wg.Go(func() {
						ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
						defer cancel()
						c, err := h.grants.Claim(ctx, mill, record.RequestKey(i))
						if err == nil && c.Won {
							won[i].Add(1)
							h.grants.Finish(mill, record.RequestKey(i), record.OutcomeAnswered, []byte("done"))
						}
					})
				}
			}
		}
		l.wg.Wait()
		for i := range won {
			require.Equal(t, int32(1), won[i].Load(), "request %d", i)
		}
		time.Sleep(10 * time.Second)
		f.partition(f.hosts[:4], f.hosts[4:], false)
		c, err := f.hosts[0].grants.Claim(t.Context(), mill, 3)
		require.NoError(t, err)
		require.False(t, c.Won)
		require.Equal(t, record.OutcomeAnswered, c.Outcome)
		require.Equal(t, []byte("done"), c.Detail)
	})
}

// TestAbandonedClaimFreesTheRequest abandons a claim while the log is down. Once
// the claim's result is known, another host must be able to run the request.
func TestAbandonedClaimFreesTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 1, memlog.Options{}, mill)
		defer f.stop()
		f.topUp(f.hosts[0], mill, "t", 1000)
		f.log.SetDown(true)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := f.hosts[0].grants.Claim(ctx, mill, 5)
		require.Error(t, err)
		f.log.SetDown(false)
		time.Sleep(10 * time.Second)
		c, err := f.hosts[1].grants.Claim(t.Context(), mill, 5)
		require.NoError(t, err)
		require.True(t, c.Won, "held by %s as %s", c.Winner, c.Outcome)
	})
}

// TestLeavingOwnerHandsOver checks that a leaving host owns no shard any more.
func TestLeavingOwnerHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 1, memlog.Options{}, mill)
		defer f.stop()
		f.topUp(f.hosts[0], mill, "t", 10_000)
		for i, h := range f.hosts {
			_, err := h.grants.Reserve(t.Context(), mill, record.RequestKey(i), 10, time.Second)
			require.NoError(t, err)
		}
		owner := f.owner(mill)
		f.mu.Lock()
		owner.belief = member.StateLeaving
		f.mu.Unlock()
		for i, h := range f.hosts {
			_, err := h.grants.Reserve(t.Context(), mill, record.RequestKey(10+i), 1500, time.Second)
			require.NoError(t, err)
		}
		require.NotEqual(t, owner.self, f.owner(mill).self)
	})
}

// TestUnresponsiveHolderDoesNotDelayOthers pauses a host that holds a grant.
// Requests on other hosts are served from the remaining grants, and a refusal
// names the paused holder.
func TestUnresponsiveHolderDoesNotDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4, 1, memlog.Options{}, mill)
		defer f.stop()
		f.topUp(f.hosts[0], mill, "t", 20_000)
		owner := f.hosts[0]
		for i, h := range f.hosts {
			if h.self.Host == owner.svc.Owner(0) {
				owner = h
			}
			r, err := h.grants.Reserve(t.Context(), mill, record.RequestKey(i), 2000, time.Second)
			require.NoError(t, err)
			r.Release()
		}
		time.Sleep(time.Second)
		var paused, asker *testHost
		for _, h := range f.hosts {
			if h == owner {
				continue
			}
			paused, asker = asker, h
		}
		f.mu.Lock()
		paused.unresponsive = true
		f.mu.Unlock()
		paused.link.SetCut(true)
		held := paused.grants.Allocations(mill)[0].Free
		require.Positive(t, held)
		start := time.Now()
		_, err := asker.grants.Reserve(t.Context(), mill, 50, 19_900-held, time.Second)
		require.NoError(t, err)
		require.Less(t, time.Since(start), 700*time.Millisecond)
		_, err = asker.grants.Reserve(t.Context(), mill, 51, 200, time.Second)
		var refused *RefusedError
		require.ErrorAs(t, err, &refused)
		require.False(t, refused.Unreachable)
		require.Contains(t, refused.Holders, paused.self)
		require.GreaterOrEqual(t, refused.HeldElsewhere, held)
	})
}
