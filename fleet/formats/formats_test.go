// Package formats tests that what hosts send each other and write to the log keeps its form, so
// that builds of before and after a change can run side by side. See docs/design/builds.md.
package formats

import (
	"encoding/hex"
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/balance"
	"github.com/hazelworks/hazelworks/core/escrow"
	"github.com/hazelworks/hazelworks/core/ledger"
	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/quarantine"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/roster"
	"github.com/hazelworks/hazelworks/fleet/fanout"
	"github.com/hazelworks/hazelworks/fleet/gossip"
)

// form is one message or record: the bytes of a value, and what its decoder makes of bytes.
type form struct {
	value  any
	encode func(v any) ([]byte, error)
	decode func(data []byte) (any, error)
}

func cborForm[T any](v T) form {
	return form{v, cbor.Marshal, func(data []byte) (any, error) {
		var out T
		err := cbor.Unmarshal(data, &out)
		return out, err
	}}
}

// Kinds of events that the earliest build which runs this test has no names for.
const (
	streamBegun gossip.EventKind = 9
	brittle     gossip.EventKind = 10
)

// claimKey is the key of the claims in the log.
const claimKey = "acme/h1"

func forms() map[string]form {
	subject := quarantine.Subject{Kind: quarantine.PromptPart, ID: 1 << 60}
	request := gossip.Event{Kind: gossip.Begun, Seq: 7, Upstream: 1 << 31, Begun: &gossip.RequestInfo{ReadMillis: 30, Work: &balance.Work{
		Input: 600, MaxOutput: 40, Hint: 9, Parts: []balance.Part{{ID: 0xaa, Tokens: 400}}, Rank: 2,
	}}}
	holder := record.Holder{Host: "h1", Incarnation: 5}
	report := &record.Report{
		Seq: 3, Settlements: []record.Settlement{{Budget: "acme", Key: 9, Cost: 70}}, Returns: []record.Return{{Budget: "acme", Amount: 5}}, Closing: true,
	}
	claim := func(data []byte) (any, error) {
		c, _, err := escrow.Decode(claimKey, data)
		return c, err
	}
	return map[string]form{
		"gossip-heartbeat": cborForm(gossip.Message{Host: "h1", Run: 1 << 63, State: roster.State{Active: true}, Oldest: 4, Watch: true, Digest: []byte{1, 2, 3, 4, 5, 6}}),
		"gossip-events": cborForm(gossip.Message{Host: "h1", Run: 9, Oldest: 4, PassOn: true, Events: []gossip.Event{
			request, {Kind: gossip.Ended, Seq: 7, Upstream: 1 << 31, Outcome: balance.Failed}, {Kind: streamBegun, Seq: 1 << 50, Upstream: 77}, {Kind: brittle, Seq: 3, Upstream: 5},
		}}),
		"gossip-report": cborForm(gossip.Report{
			Host: "h1", PassOn: true, Lifted: []quarantine.Subject{subject},
			Crashes:     []gossip.Crash{{Upstream: 6, Restarts: true, Service: "llm", Suspects: []quarantine.Suspect{{Subject: subject, Request: 8, Account: 9}}}},
			Quarantines: []gossip.Quarantine{{Subject: subject, LeftMillis: 300_000, AgeMillis: 4000, Terms: 2, Account: 9}},
		}),
		"fanout-page":  cborForm(fanout.Page{Records: []platform.KeyedRecord{{Offset: 4, Key: "config", Value: []byte("{}")}}, Next: platform.Position{Era: 1, Offset: 5}}),
		"escrow-claim": {&escrow.Claim{Budget: "acme", Host: "h1", Epoch: 3, Seq: 8, Total: -70}, func(v any) ([]byte, error) { return v.(*escrow.Claim).Encode() }, claim},
		"escrow-host": {&escrow.HostRecord{Host: "h1", Epoch: 3, Seq: 9, Closed: true, Era: 2, Missed: 1}, func(v any) ([]byte, error) { return v.(*escrow.HostRecord).Encode() }, func(data []byte) (any, error) {
			_, h, err := escrow.Decode("/h1", data)
			return h, err
		}},
		"hosts-entry": {roster.Host{
			ID: "h1", Run: 1 << 63, Region: "r1", FailureDomain: "z1", Caller: netip.MustParseAddrPort("10.0.0.1:80"), Peer: netip.MustParseAddrPort("10.0.0.1:90"), Cores: 0.14, Leaving: true,
		}, json.Marshal, func(data []byte) (any, error) {
			var h roster.Host
			err := json.Unmarshal(data, &h)
			return h, err
		}},
		"shard-batch": {&record.Batch{Writer: holder, Seq: 2, Epoch: 7, OpensEpoch: true, Ops: []record.Op{
			{Kind: record.KindReport, Budget: "acme", Holder: &holder, Report: report}, {Kind: record.KindOutcome, Key: 5, Attempt: 2, Outcome: 1, By: "op", Detail: []byte("d"), Seq: 4, Need: 6, ID: "t1", Amount: 50},
		}}, func(v any) ([]byte, error) { return record.EncodeBatch(v.(*record.Batch)) }, func(data []byte) (any, error) { return record.DecodeBatch(data) }},
		"shard-result": cborForm(ledger.Result{Kind: record.KindReport, Applied: true, ReportSeq: 3, Offset: 8, Winner: &holder, Lines: []ledger.ReportLine{
			{Budget: "acme", Billed: 70, Duplicate: 1, Unbilled: 2, Returned: 5, Outstanding: 30},
		}}),
	}
}

func golden(t *testing.T, folder, name string) []byte {
	text, err := os.ReadFile(filepath.Join("testdata", folder, name))
	require.NoError(t, err)
	data, err := hex.DecodeString(strings.TrimSpace(string(text)))
	require.NoError(t, err)
	return data
}

// The bytes in testdata/released were written by the code of e14db07. This build reads them as what
// they mean, and writes the same bytes.
func TestForms(t *testing.T) {
	for name, f := range forms() {
		data, err := f.encode(f.value)
		require.NoError(t, err, name)
		if os.Getenv("WRITE_FORMS") != "" {
			require.NoError(t, os.WriteFile(filepath.Join("testdata", "released", name), []byte(hex.EncodeToString(data)+"\n"), 0o600))
		}
		require.Equal(t, hex.EncodeToString(golden(t, "released", name)), hex.EncodeToString(data), "%s is written in another form", name)
		read, err := f.decode(data)
		require.NoError(t, err, name)
		require.Equal(t, f.value, read, name)
	}
}

// The bytes in testdata/later hold what a later build may add: fields of maps, and events of an
// unknown kind. A build that does not know them reads all else. .ci/run runs this test on an
// earlier build too.
func TestFormsOfLaterBuilds(t *testing.T) {
	all := forms()
	read, err := all["hosts-entry"].decode(golden(t, "later", "hosts-entry"))
	require.NoError(t, err)
	require.Equal(t, all["hosts-entry"].value.(roster.Host).Run, read.(roster.Host).Run)
	for _, name := range []string{"gossip-report", "shard-batch"} {
		read, err := all[name].decode(golden(t, "later", name))
		require.NoError(t, err, name)
		require.Equal(t, all[name].value, read, name)
	}
	m, err := all["gossip-events"].decode(golden(t, "later", "gossip-events"))
	require.NoError(t, err)
	events := m.(gossip.Message).Events
	require.Equal(t, all["gossip-events"].value.(gossip.Message).Events, events[1:])
	_, isNotice := events[0].Notice()
	require.False(t, isNotice, "kind %d means nothing", events[0].Kind)
}

// An array of another length is refused as a whole. That is why arrays are frozen.
func TestArraysOfOtherLengthsAreRefused(t *testing.T) {
	for _, name := range []string{"gossip-heartbeat", "fanout-page", "escrow-claim", "escrow-host"} {
		data := golden(t, "released", name)
		data[0]++ // the number of elements
		_, err := forms()[name].decode(append(data, 0))
		require.Error(t, err, name)
	}
}
