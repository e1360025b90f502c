package request

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/statechart"
	"github.com/hazelworks/hazelworks/fleet/stream"
)

// TestNotRunIsUnreachableOnceAnAttemptMayHaveRun walks every path of the chart:
// once an attempt may have run, the outcome "not-run" must be unreachable, or the
// caller would send a request again that has run.
func TestNotRunIsUnreachableOnceAnAttemptMayHaveRun(t *testing.T) {
	events := []statechart.Event{EventReserve, EventClaim, EventForward, EventLoseClaim, EventPick, EventSend, EventBegin,
		EventFinish, EventNotStarted, EventLose, EventResume, EventRefuse, EventGiveUp}
	seen := map[string]bool{}
	ended := 0
	var walk func(path []statechart.Event, ran bool)
	walk = func(path []statechart.Event, ran bool) {
		r := New(Spec{}, 0, nil)
		for _, e := range path {
			require.NoError(t, r.Fire(e, "", ""))
		}
		key := fmt.Sprint(r.machine.State(), ran)
		if seen[key] {
			return
		}
		seen[key] = true
		if r.machine.Done() {
			ended++
			require.False(t, ran && r.Outcome() == record.OutcomeNotRun, "%v", path)
			return
		}
		for _, e := range events {
			if r.Can(e) {
				next := append(append([]statechart.Event(nil), path...), e)
				walk(next, ran || e == EventLose || e == EventBegin)
			}
		}
	}
	walk(nil, false)
	require.Greater(t, ended, 3)
}

func TestAttemptLogIsBounded(t *testing.T) {
	r := New(Spec{}, 0, nil)
	for _, e := range []statechart.Event{EventReserve, EventPick, EventSend, EventLose} {
		require.NoError(t, r.Fire(e, "u", ""))
	}
	for range 100 {
		require.NoError(t, r.Fire(EventResume, "u", ""))
		require.NoError(t, r.Fire(EventLose, "u", "again"))
	}
	require.Error(t, r.Fire(EventReserve, "", ""))
	report := r.Report()
	require.Len(t, report.Steps, maxSteps)
	require.Equal(t, EventReserve, report.Steps[0].Event)
	require.Equal(t, EventLose, report.Steps[maxSteps-1].Event)
	require.Equal(t, 204-maxSteps, report.DroppedSteps)
}

func endedRequest(t *testing.T, table *Table, id string, size int, events ...statechart.Event) *Request {
	t.Helper()
	spec := Spec{ID: id, Account: "a"}
	r, started, err := table.Begin(spec, func() *Request { return New(spec, 1<<20, func(error) {}) })
	require.NoError(t, err)
	require.True(t, started)
	require.NoError(t, r.Answer.Append(context.Background(), make([]byte, size)))
	for _, e := range events {
		require.NoError(t, r.Fire(e, "", ""))
	}
	r.Answer.Finish(stream.End{})
	table.End(r)
	return r
}

var answeredPath = []statechart.Event{EventReserve, EventPick, EventSend, EventBegin, EventFinish}

func TestTableBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable(Limits{Running: 10, KeepFor: time.Minute, KeptRequests: 3, KeptBytes: 10_000})
		for i := range 5 {
			endedRequest(t, table, fmt.Sprint(i), 100, answeredPath...)
		}
		_, ok := table.Lookup("a", "1")
		require.False(t, ok, "at most three are kept")
		_, ok = table.Lookup("a", "2")
		require.True(t, ok)
		endedRequest(t, table, "large", 9_800, answeredPath...)
		_, ok = table.Lookup("a", "4")
		require.True(t, ok)
		endedRequest(t, table, "larger", 9_900, answeredPath...)
		_, ok = table.Lookup("a", "large")
		require.False(t, ok, "the kept bytes are bounded")
		time.Sleep(time.Minute)
		_, ok = table.Lookup("a", "larger")
		require.False(t, ok, "the time that it is kept is bounded")
	})
}

func TestTableRerunsOnlySafeRequests(t *testing.T) {
	lost := []statechart.Event{EventReserve, EventPick, EventSend, EventLose, EventGiveUp}
	cases := []struct {
		name       string
		events     []statechart.Event
		repeatable bool
		again      bool
	}{
		{"answered", answeredPath, true, false},
		{"not run", []statechart.Event{EventReserve, EventRefuse}, false, true},
		{"unknown", lost, false, false},
		{"unknown and repeatable", lost, true, true},
		{"claimed elsewhere", []statechart.Event{EventReserve, EventLoseClaim, EventGiveUp}, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := NewTable(Limits{Running: 10, KeepFor: time.Hour, KeptRequests: 10, KeptBytes: 1000})
			r := endedRequest(t, table, "r", 1, c.events...)
			r.Repeatable = c.repeatable
			_, started, err := table.Begin(r.Spec, func() *Request { return New(r.Spec, 1, nil) })
			require.NoError(t, err)
			require.Equal(t, c.again, started)
		})
	}
}

func TestCheckID(t *testing.T) {
	require.NoError(t, CheckID("a-B_9!~"))
	for _, id := range []string{"", "a b", "a\n", "ä", strings.Repeat("x", MaxIDBytes+1)} {
		require.Error(t, CheckID(id), id)
	}
	id := NewID("host-1")
	require.NoError(t, CheckID(id))
	host, ok := IssuingHost(id)
	require.True(t, ok)
	require.Equal(t, record.HostID("host-1"), host)
	_, ok = IssuingHost("chosen")
	require.False(t, ok)
}

func TestTickets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tickets := NewTickets("h", 2, time.Minute)
		first, _ := tickets.Issue("a")
		require.False(t, tickets.Take("b", first), "issued to another account")
		require.True(t, tickets.Take("a", first))
		require.False(t, tickets.Take("a", first), "used already")
		require.False(t, tickets.Take("a", "hz-h-made-up"))
		old, _ := tickets.Issue("a")
		mid, _ := tickets.Issue("a")
		last, until := tickets.Issue("a")
		require.False(t, tickets.Take("a", old), "beyond the limit")
		require.True(t, tickets.Take("a", mid))
		time.Sleep(time.Until(until) + time.Millisecond)
		require.False(t, tickets.Take("a", last), "expired")
	})
}

func TestPromptBound(t *testing.T) {
	bound := func(body string) int64 {
		c, err := ParseChat([]byte(body))
		require.NoError(t, err)
		return c.PromptBound
	}
	text := strings.Repeat("ab ", 1000)
	short := bound(`{"model":"m","messages":[{"role":"user","content":"x"}]}`)
	long := bound(`{"model":"m","messages":[{"role":"user","content":"` + text + `"}]}`)
	require.GreaterOrEqual(t, long, int64(len(text)))
	require.GreaterOrEqual(t, bound(`{"model":"m","tools":["`+text+`"],"messages":[{"role":"user","content":"x"}]}`), int64(len(text)))
	image := bound(`{"model":"m","messages":[{"role":"user","content":[{"type":"image_url","image_url":{"url":"` + text + `"}}]}]}`)
	require.GreaterOrEqual(t, image, int64(mediaPartTokens))
	require.Less(t, short, int64(200))
}

func TestPrefixHash(t *testing.T) {
	parse := func(model, tail string) []uint64 {
		c, err := ParseChat([]byte(`{"model":"` + model + `","messages":[{"role":"system","content":"` + strings.Repeat("s", 1024) + `"},{"role":"user","content":"` + tail + `"}]}`))
		require.NoError(t, err)
		return c.PrefixHash
	}
	a, b, other := parse("m", strings.Repeat("a", 600)), parse("m", strings.Repeat("b", 600)), parse("n", strings.Repeat("a", 600))
	require.Equal(t, a[:2], b[:2])
	require.NotEqual(t, a[2], b[2])
	require.NotEqual(t, a[0], other[0])
}

func TestUpstreamBodySetsOutputCap(t *testing.T) {
	c, err := ParseChat([]byte(`{"model":"m","max_tokens":500,"max_completion_tokens":40,"x":{"k":[1,2]},"messages":[{"role":"user","content":"x"}]}`))
	require.NoError(t, err)
	require.Equal(t, int64(40), c.OutputCap)
	body, err := c.UpstreamBody(40, true)
	require.NoError(t, err)
	require.JSONEq(t, `{"model":"m","max_tokens":40,"max_completion_tokens":40,"stream":true,"stream_options":{"include_usage":true},"x":{"k":[1,2]},"messages":[{"role":"user","content":"x"}]}`, string(body))
}

// FuzzParseChat checks that an accepted body has a prompt bound, an output cap that
// can be reserved, and an upstream body that the parser accepts again.
func FuzzParseChat(f *testing.F) {
	f.Add([]byte(`{"model":"m:a","max_tokens":5,"n":2,"stream":true,"messages":[{"role":"user","content":[{"type":"text","text":"x"}]}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := ParseChat(data)
		if err != nil {
			require.NotEmpty(t, err.Error())
			return
		}
		require.Positive(t, c.PromptBound)
		require.LessOrEqual(t, c.OutputCap, int64(MaxOutputCap))
		require.GreaterOrEqual(t, c.OutputCap, int64(0))
		require.LessOrEqual(t, c.Choices, int64(maxChoices))
		body, err := c.UpstreamBody(7, true)
		require.NoError(t, err)
		require.True(t, json.Valid(body))
		again, err := ParseChat(body)
		require.NoError(t, err)
		require.Equal(t, int64(7), again.OutputCap)
		require.Equal(t, c.Model, again.Model)
	})
}

func TestFuzzCorpusIsCommitted(t *testing.T) {
	files, err := os.ReadDir("testdata/fuzz/FuzzParseChat")
	require.NoError(t, err)
	require.GreaterOrEqual(t, len(files), 8)
}
