package budgetadmin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/fleet/grants"
	"github.com/hazelworks/hazelworks/fleet/member"
	"github.com/hazelworks/hazelworks/fleet/peer/peerpb/peerpbconnect"
	"github.com/hazelworks/hazelworks/fleet/shard"
	"github.com/hazelworks/hazelworks/standin/memlog"
)

var (
	self = record.Holder{Host: "h1", Incarnation: 7}
	lost = record.Holder{Host: "h2", Incarnation: 9}
)

type singleHostView struct{ resolved *settings.Resolved }

func (o singleHostView) Current() *settings.Resolved { return o.resolved }
func (o singleHostView) Self() record.Holder         { return self }
func (o singleHostView) Hosts() []member.Host {
	return []member.Host{{Host: platform.Host{ID: self.Host}, ObservedState: member.StateLive}}
}
func (o singleHostView) Client(record.HostID) (peerpbconnect.PeerServiceClient, bool) {
	return nil, false
}

type testAPI struct {
	t      *testing.T
	mux    *http.ServeMux
	svc    *shard.Service
	grants *grants.Manager
}

func newTestAPI(t *testing.T) *testAPI {
	resolved := &settings.Resolved{Shards: 2, Budgets: []settings.Budget{{ID: "mb/mill", Firm: "mb"}}}
	resolved.Index()
	host := singleHostView{resolved: resolved}
	svc := shard.NewService(shard.Options{
		Self: self, Log: memlog.New(memlog.Options{}), View: host, Shards: func() uint32 { return 2 },
	})
	b := grants.New(grants.Options{Self: self, Submitter: svc, Settings: host})
	svc.SetReturner(b)
	mux := http.NewServeMux()
	New(Options{Shards: svc, Grants: b, View: host, Settings: host}).Register(mux)
	return &testAPI{t: t, mux: mux, svc: svc, grants: b}
}

func (r *testAPI) call(method, path, body string, into any) int {
	r.t.Helper()
	w := httptest.NewRecorder()
	r.mux.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	if w.Code == http.StatusOK {
		require.NoError(r.t, json.Unmarshal(w.Body.Bytes(), into))
	}
	return w.Code
}

func TestBudgetEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestAPI(t)
		defer r.svc.Stop()
		defer func() { require.NoError(t, r.grants.Close(context.Background())) }()
		var change Change
		topUp := `{"id":"t1","amount":5000,"by":"thandi"}`
		require.Equal(t, 200, r.call("POST", "/v1/budgets/mb%2Fmill/topup", topUp, &change))
		require.True(t, change.Applied)
		require.Equal(t, 200, r.call("POST", "/v1/budgets/mb%2Fmill/topup", topUp, &change))
		require.Equal(t, Change{Reason: "duplicate", Available: 5000, Offset: 2}, change)
		for _, bad := range []string{`{"id":"t2","amount":0,"by":"x"}`, `{"amount":4,"by":"x"}`, `{"id":"t","amount":1,"by":"x","y":1}`, `no`} {
			require.Equal(t, 400, r.call("POST", "/v1/budgets/mb%2Fmill/topup", bad, &change))
		}
		require.Equal(t, 404, r.call("POST", "/v1/budgets/mb%2Fmil/topup", topUp, &change))

		grant := record.Op{Kind: record.KindGrant, Budget: "mb/mill", Holder: &lost, Amount: 400, Need: 400, Seq: 1}
		_, err := r.svc.Submit(t.Context(), record.ShardOf("mb/mill", 2), []record.Op{grant})
		require.NoError(t, err)
		open, err := r.grants.Reserve(t.Context(), "mb/mill", 1, 300, time.Second)
		require.NoError(t, err)
		done, err := r.grants.Reserve(t.Context(), "mb/mill", 2, 100, time.Second)
		require.NoError(t, err)
		done.Settle(60)
		time.Sleep(2 * time.Second)

		var b Budget
		require.Equal(t, 200, r.call("GET", "/v1/budgets/mb%2Fmill", "", &b))
		require.Equal(t, record.Tokens(5000), b.Prepaid)
		require.Equal(t, record.Tokens(60), b.Settled)
		require.Equal(t, record.Tokens(300), b.Reserved)
		require.Equal(t, record.Tokens(400), b.Stranded)
		require.Positive(t, b.Free)
		require.Zero(t, b.Difference)
		require.True(t, b.Fresh)
		var list BudgetList
		require.Equal(t, 200, r.call("GET", "/v1/budgets", "", &list))
		require.Equal(t, []Budget{b}, list.Budgets)
		var holders HolderList
		require.Equal(t, 200, r.call("GET", "/v1/budgets/mb%2Fmill/holders", "", &holders))
		require.Len(t, holders.Holders, 2)

		release := `{"id":"r1","holder":"h2/9","by":"thandi","confirm":"h2/9"}`
		require.Equal(t, 400, r.call("POST", "/v1/budgets/mb%2Fmill/release", strings.Replace(release, `"confirm":"h2/9"`, `"confirm":"h2"`, 1), &change))
		require.Equal(t, 409, r.call("POST", "/v1/budgets/mb%2Fmill/release", strings.ReplaceAll(release, "h2/9", "h1/7"), &change))
		require.Equal(t, 200, r.call("POST", "/v1/budgets/mb%2Fmill/release", release, &change))
		require.True(t, change.Applied)
		require.Equal(t, record.Tokens(400), change.Amount)
		require.Equal(t, 200, r.call("GET", "/v1/budgets/mb%2Fmill", "", &b))
		require.Zero(t, b.Stranded)
		require.Zero(t, b.Difference)
		open.Settle(10)
	})
}
