package grants

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/ledger"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/fleet/shard"
	"github.com/hazelworks/hazelworks/standin/memlog"
)

// scriptedOwner answers grant requests with a function of the attempt, and all
// reports as applied.
type scriptedOwner struct {
	mu            sync.Mutex
	grantRequests []record.Op
	grant         func(attempt int, op *record.Op) (ledger.Result, *shard.Shortage, error)
}

func (s *scriptedOwner) Request(_ context.Context, _ record.ShardID, ops []record.Op) (shard.Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var reply shard.Reply
	for i := range ops {
		if ops[i].Kind != record.KindGrant {
			reply.Results = append(reply.Results, ledger.Result{Applied: true, ReportSeq: ops[i].Report.Seq})
			continue
		}
		s.grantRequests = append(s.grantRequests, ops[i])
		res, short, err := s.grant(len(s.grantRequests), &ops[i])
		if err != nil {
			return shard.Reply{}, err
		}
		if short != nil {
			reply.Shortages = append(reply.Shortages, *short)
		}
		reply.Results = append(reply.Results, res)
	}
	return reply, nil
}

// TestUnknownGrantKeepsItsSequenceNumber lets a grant fail with unknown effect and then
// be refused without a record. A late record of the first budget may still carry
// the sequence number, so the next budget must not use it.
func TestUnknownGrantKeepsItsSequenceNumber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := &scriptedOwner{grant: func(attempt int, op *record.Op) (ledger.Result, *shard.Shortage, error) {
			switch attempt {
			case 1:
				return ledger.Result{}, nil, errors.New("lost")
			case 2:
				return ledger.Result{Reason: ledger.ReasonExhausted}, &shard.Shortage{Budget: op.Budget}, nil
			default:
				return ledger.Result{Applied: true, Granted: op.Amount, Outstanding: op.Amount, Offset: record.Offset(attempt)}, nil, nil
			}
		}}
		b := New(Options{Self: record.Holder{Host: "a", Incarnation: 1}, Submitter: owner, Settings: oneShard()})
		_, err := b.Reserve(t.Context(), "first", 1, 10, time.Second)
		require.Error(t, err)
		r, err := b.Reserve(t.Context(), "second", 2, 10, time.Second)
		require.NoError(t, err)
		r.Settle(1)
		require.Equal(t, owner.grantRequests[0].Seq, owner.grantRequests[1].Seq, "the same request is sent again")
		require.Equal(t, record.BudgetID("first"), owner.grantRequests[1].Budget)
		require.Greater(t, owner.grantRequests[2].Seq, owner.grantRequests[1].Seq)
		require.NoError(t, b.Close(t.Context()))
	})
}

// TestResultsOfOneRecordAreOrdered guards against a grant whose amount is lost because a
// report in the same record was answered first, and the other way round.
func TestResultsOfOneRecordAreOrdered(t *testing.T) {
	report := func(seq uint64) foldPosition { return foldPosition{offset: 20, reportSeq: seq} }
	grant := func(seq uint64) foldPosition { return foldPosition{offset: 20, reportSeq: seq, grant: true} }
	tests := []struct {
		name   string
		record []foldPosition // in the order of its operations
	}{
		{"report, grant", []foldPosition{report(1), grant(1)}},
		{"grant, report", []foldPosition{grant(0), report(1)}},
		{"report, grant, report", []foldPosition{report(1), grant(1), report(2)}},
		{"report, report, grant", []foldPosition{report(1), report(2), grant(2)}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			last := len(test.record) - 1
			for first := range test.record {
				h := &allocation{client: &shardClient{}}
				for i := range test.record {
					n := (first + i) % len(test.record)
					h.updateOutstanding(test.record[n], record.Tokens(n))
				}
				require.EqualValues(t, last, h.free, "answered from operation %d on", first)
			}
		})
	}
}

// TestOlderResultIsIgnored applies a report's result that is older than the
// grant's: the amounts must stay those of the newer result.
func TestOlderResultIsIgnored(t *testing.T) {
	h := &allocation{client: &shardClient{}, reserved: 10}
	h.updateOutstanding(foldPosition{offset: 20, reportSeq: 0}, 100)
	require.Equal(t, record.Tokens(90), h.free)
	h.updateOutstanding(foldPosition{offset: 19, reportSeq: 0}, 500)
	require.Equal(t, record.Tokens(90), h.free)
	inFlight := func(seq uint64, amount record.Tokens) *sentReport {
		return &sentReport{report: record.Report{Seq: seq}, amounts: map[*allocation]record.Tokens{h: amount}}
	}
	h.client.inFlight = []*sentReport{inFlight(1, 30), inFlight(2, 5)}
	h.updateOutstanding(foldPosition{offset: 21, reportSeq: 0}, 100)
	require.Equal(t, record.Tokens(55), h.free, "the outstanding grant does not reflect the reports in flight yet")
	h.updateOutstanding(foldPosition{offset: 22, reportSeq: 1}, 70)
	require.Equal(t, record.Tokens(55), h.free, "the outstanding grant reflects the first report")
	h.updateOutstanding(foldPosition{offset: 23, reportSeq: 2}, 65)
	require.Equal(t, record.Tokens(55), h.free, "the outstanding grant reflects both")
}

// TestIdleGrantsReturn checks that an unused grant is returned without a recall.
func TestIdleGrantsReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 1, memlog.Options{}, mill)
		defer f.stop()
		f.topUp(f.hosts[0], mill, "t", 10_000)
		for i, h := range f.hosts {
			r, err := h.grants.Reserve(t.Context(), mill, record.RequestKey(i), 100, time.Second)
			require.NoError(t, err)
			r.Settle(100)
		}
		time.Sleep(2*testPolicy.RecallDelay + 5*time.Second)
		state := f.budget(mill)
		require.Zero(t, state.Granted)
		require.Equal(t, record.Tokens(200), state.Settled)
	})
}

func oneShard() *fixedSettings {
	resolved := &settings.Resolved{Shards: 1}
	resolved.Index()
	return &fixedSettings{current: resolved}
}

// BenchmarkReserveSettle measures a request that the host's grant covers, for
// several numbers of budgets on the host.
func BenchmarkReserveSettle(b *testing.B) {
	for _, budgets := range []int{10, 100, 1000, 10_000} {
		b.Run(fmt.Sprintf("budgets=%d", budgets), func(b *testing.B) {
			owner := &scriptedOwner{grant: func(attempt int, _ *record.Op) (ledger.Result, *shard.Shortage, error) {
				return ledger.Result{Applied: true, Granted: 1 << 40, Outstanding: 1 << 40, Offset: record.Offset(attempt)}, nil, nil
			}}
			manager := New(Options{Self: record.Holder{Host: "a", Incarnation: 1}, Submitter: owner, Settings: oneShard()})
			ids := make([]record.BudgetID, budgets)
			for i := range ids {
				ids[i] = record.BudgetID(fmt.Sprintf("firm/budget-%d", i))
				r, err := manager.Reserve(b.Context(), ids[i], 0, 1, time.Minute)
				require.NoError(b, err)
				r.Release()
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r, err := manager.Reserve(b.Context(), ids[i%budgets], record.RequestKey(i), 1, time.Minute)
				if err != nil {
					b.Fatal(err)
				}
				r.Settle(1)
			}
			manager.stop()
		})
	}
}
