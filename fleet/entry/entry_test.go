package entry

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/fleet/member"
	"github.com/hazelworks/hazelworks/fleet/peer/peerpb/peerpbconnect"
)

type fixedSettings struct{ current *settings.Resolved }

func (f fixedSettings) Current() *settings.Resolved { return f.current }

type fixedView struct{ hosts []member.Host }

func (v *fixedView) Self() record.Holder  { return record.Holder{} }
func (v *fixedView) Hosts() []member.Host { return v.hosts }
func (v *fixedView) Client(record.HostID) (peerpbconnect.PeerServiceClient, bool) {
	return nil, false
}

const key = "a key"

func testSettings(accounts int) *settings.Resolved {
	r := &settings.Resolved{Version: 1}
	for i := range accounts {
		r.Accounts = append(r.Accounts, settings.Account{ID: fmt.Sprintf("mokoena/%d", i)})
	}
	r.Accounts[0].Keys = []settings.KeyHash{sha256.Sum256([]byte(key))}
	r.Index()
	return r
}

func testHosts(n int) []member.Host {
	out := make([]member.Host, n)
	for i := range out {
		out[i] = member.Host{ObservedState: member.StateLive, Host: platform.Host{
			ID:            record.HostID(fmt.Sprintf("host-%d", i)),
			FailureDomain: fmt.Sprintf("domain-%d", i%4),
			CallerAddr:    fmt.Sprintf("10.0.0.%d:8080", i),
		}}
	}
	return out
}

func requestEntry(t *testing.T, h *Handler, bearer string) (Answer, int) {
	t.Helper()
	r := httptest.NewRequest(http.MethodGet, Path, nil)
	r.Header.Set("Authorization", "Bearer "+bearer)
	w := httptest.NewRecorder()
	mux := http.NewServeMux()
	h.Register(mux)
	mux.ServeHTTP(w, r)
	var a Answer
	if w.Code == http.StatusOK {
		require.NoError(t, json.Unmarshal(w.Body.Bytes(), &a))
	}
	return a, w.Code
}

func TestAnswerNamesHostsInTheSameOrderEverywhere(t *testing.T) {
	src, v := fixedSettings{testSettings(10)}, &fixedView{hosts: testHosts(7)}
	var want Answer
	for i, self := range v.hosts {
		a, code := requestEntry(t, NewHandler(Options{Self: self.Host, Settings: src, View: v}), key)
		require.Equal(t, http.StatusOK, code)
		require.Len(t, a.Hosts, maxHosts)
		require.Equal(t, 30, a.TTLSeconds)
		require.Equal(t, "mokoena/0", a.Account)
		if i == 0 {
			want = a
		}
		require.Equal(t, want, a)
	}
}

func TestWrongKeysAreRejected(t *testing.T) {
	h := NewHandler(Options{Self: testHosts(1)[0].Host, Settings: fixedSettings{testSettings(1)}})
	for _, bad := range []string{"", "another key"} {
		_, code := requestEntry(t, h, bad)
		require.Equal(t, http.StatusUnauthorized, code)
	}
}

func TestAnswerNamesThisHostIfListIsEmpty(t *testing.T) {
	self := testHosts(1)[0].Host
	for name, v := range map[string]member.View{"no list": nil, "empty list": &fixedView{}} {
		a, code := requestEntry(t, NewHandler(Options{Self: self, Settings: fixedSettings{testSettings(1)}, View: v}), key)
		require.Equal(t, http.StatusOK, code, name)
		require.Equal(t, []Host{{ID: self.ID, Address: self.CallerAddr, FailureDomain: self.FailureDomain}}, a.Hosts, name)
	}
}

func TestAnswersOmitLeavingHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := &fixedView{hosts: testHosts(2)}
		h := NewHandler(Options{Self: v.hosts[0].Host, Settings: fixedSettings{testSettings(1)}, View: v})
		require.True(t, h.AnswersExpireAt().IsZero())
		a, _ := requestEntry(t, h, key)
		require.Len(t, a.Hosts, 2)
		require.Equal(t, time.Now().Add(32*time.Second), h.AnswersExpireAt())
		time.Sleep(time.Second)
		h.Leave()
		left := time.Now()
		a, _ = requestEntry(t, h, key)
		require.Len(t, a.Hosts, 1)
		require.Equal(t, v.hosts[1].ID, a.Hosts[0].ID)
		require.Equal(t, left.Add(37*time.Second), h.AnswersExpireAt(), "other hosts may name it for a while")
		v.hosts = nil
		a, _ = requestEntry(t, h, key)
		require.Len(t, a.Hosts, 1, "a leaving host names itself if there is no other")
	})
}

// TestCallersConcentrate sends 2,000 callers of one account to hosts in turn. Each
// connects to the first address. Views differ in which host is suspected, but most
// callers must still use the same two hosts.
func TestCallersConcentrate(t *testing.T) {
	src := fixedSettings{testSettings(10)}
	hosts := testHosts(8)
	counts := make(map[record.HostID]int)
	for caller := range 2000 {
		v := &fixedView{hosts: testHosts(8)}
		if caller%10 == 0 { // 10 % of the answers come from a host with a false suspicion
			v.hosts[caller/10%8].ObservedState = member.StateSuspected
		}
		h := NewHandler(Options{Self: hosts[caller%8].Host, Settings: src, View: v})
		counts[h.Answer(src.current, "mokoena/0").Hosts[0].ID]++
	}
	top, second := 0, 0
	for _, n := range counts {
		if n > top {
			top, second = n, top
		} else if n > second {
			second = n
		}
	}
	require.GreaterOrEqual(t, top+second, 1800)
	t.Logf("first host %d, second %d of 2000", top, second)
}
