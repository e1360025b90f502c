package grants

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/standin/memlog"
)

// steadyLoad is the load of one host in the fault tests.
var steadyLoad = pattern{budget: mill, every: 200 * time.Millisecond, reserve: 200, run: 500 * time.Millisecond, seed: 7}

// TestBilledAmountUnderFaults runs a steady load on 8 hosts under each fault and checks that the
// budget is billed exactly what was spent.
func TestBilledAmountUnderFaults(t *testing.T) {
	tests := []struct {
		name string
		log  memlog.Options
		// during runs alongside the load; it must undo the faults that it injects.
		during func(f *testFleet)
		// refused is the maximum share of refusals, in percent.
		refused float64
	}{
		{name: "none", during: func(*testFleet) {}},
		{name: "lost replies", refused: 0.5, during: func(f *testFleet) {
			for _, h := range f.hosts {
				h.link.SetLoseReply(func() bool { return f.random() < 0.3 })
			}
		}},
		{name: "delayed appends", refused: 100, during: func(f *testFleet) {
			for _, h := range f.hosts {
				h.link.SetAppendDelay(2500 * time.Millisecond)
			}
			time.Sleep(30 * time.Second)
			for _, h := range f.hosts {
				h.link.SetAppendDelay(0)
			}
		}},
		{name: "throttling", log: memlog.Options{AppendsPerSecond: 4}, refused: 1, during: func(*testFleet) {}},
		{name: "log outage", refused: 100, during: func(f *testFleet) {
			time.Sleep(20 * time.Second)
			f.log.SetDown(true)
			time.Sleep(20 * time.Second)
			f.log.SetDown(false)
		}},
		{name: "hosts split, log in reach", refused: 0.5, during: func(f *testFleet) {
			time.Sleep(10 * time.Second)
			f.partition(f.hosts[:4], f.hosts[4:], true)
			time.Sleep(40 * time.Second)
			f.partition(f.hosts[:4], f.hosts[4:], false)
		}},
		{name: "one-way cuts", refused: 0.5, during: func(f *testFleet) {
			time.Sleep(10 * time.Second)
			for _, h := range f.hosts[1:] {
				f.cut(f.hosts[0].self.Host, h.self.Host, true)
			}
			time.Sleep(40 * time.Second)
			for _, h := range f.hosts[1:] {
				f.cut(f.hosts[0].self.Host, h.self.Host, false)
			}
		}},
		{name: "one host cut from the log", refused: 0.5, during: func(f *testFleet) {
			time.Sleep(10 * time.Second)
			f.owner(mill).link.SetCut(true)
			time.Sleep(40 * time.Second)
			for _, h := range f.hosts {
				h.link.SetCut(false)
			}
		}},
		{name: "top-ups and reductions", refused: 0.5, during: func(f *testFleet) {
			for i := range 20 {
				f.topUp(f.hosts[i%8], mill, string(rune('a'+i)), record.Tokens(1000-i*100))
				time.Sleep(time.Second)
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 8, 1, test.log, mill)
				defer f.stop()
				l := newLoad(f)
				l.topUp(f.hosts[0], mill, "start", 1_000_000)
				l.prepaid[mill] += 10_000 // an upper bound of the top-ups made meanwhile
				end := time.Now().Add(time.Minute)
				for _, h := range f.hosts {
					l.start(h, steadyLoad, end)
				}
				test.during(f)
				l.wg.Wait()
				for _, h := range f.hosts {
					h.link.SetLoseReply(nil)
				}
				l.finish(mill)
				require.LessOrEqual(t, 100*float64(l.refusals())/float64(l.refusals()+l.served), test.refused)
				t.Logf("served %d, refused %d spent, %d held, %d unreachable; wait p50 %v p95 %v p99 %v; %d appends",
					l.served, l.spentRefusals, l.heldRefusals, l.unreachableRefusals, l.wait(50), l.wait(95), l.wait(99), f.log.Appends())
				f.closeAll()
				require.Zero(t, f.budget(mill).Granted, "all grants are returned")
			})
		})
	}
}

// owner returns the host that owns a budget's shard.
func (f *testFleet) owner(id record.BudgetID) *testHost {
	owner := f.fold(f.shardOf(id)).Owner()
	for _, h := range f.hosts {
		if h.self == owner {
			return h
		}
	}
	return f.hosts[0]
}

func (f *testFleet) closeAll() {
	f.t.Helper()
	for _, h := range f.hosts {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		require.NoError(f.t, h.grants.Close(ctx))
		cancel()
	}
}
