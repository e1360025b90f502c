package settings

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hazelworks/hazelworks/core/jsontree"
	"github.com/hazelworks/hazelworks/core/record"
)

// testStream applies records to a fold as consecutive log entries, and keeps them.
type testStream struct {
	t       require.TestingT
	fold    *Fold
	entries []record.Entry
}

func newTestStream(t require.TestingT) *testStream {
	return &testStream{t: t, fold: NewFold()}
}

func (f *testStream) applyRaw(data []byte) ChangeResult {
	e := record.Entry{Offset: record.Offset(len(f.entries) + 1), TimeMillis: 1, Data: data}
	f.entries = append(f.entries, e)
	return f.fold.Apply(e)
}

func (f *testStream) applyChange(id string, base record.Offset, edits ...Edit) ChangeResult {
	data, err := EncodeChange(&Change{Kind: KindEdit, ID: id, Base: base, By: "op-" + id, Edits: edits})
	require.NoError(f.t, err)
	return f.applyRaw(data)
}

func newEdit(path, value string) Edit {
	if value == "" {
		return Edit{Path: path}
	}
	return Edit{Path: path, Value: []byte(value)}
}

const firmJSON = `{"budgets":{"b":{}},"accounts":{"x":{"budget":"b"},"y":{"budget":"b"}}}`

func newSeededStream(t require.TestingT) *testStream {
	f := newTestStream(t)
	require.Equal(t, StatusAccepted, f.applyChange("seed", 0, newEdit("shards", "8"), newEdit("firms", `{"a":`+firmJSON+`}`)).Status)
	return f
}

func TestFirstOfConcurrentChangesToOnePathWins(t *testing.T) {
	f := newSeededStream(t)
	require.Equal(t, StatusAccepted, f.applyChange("first", 1, newEdit("firms/a/accounts/x/weight", "2")).Status)
	for _, path := range []string{"firms/a/accounts/x/weight", "firms/a/accounts/x", "firms/a"} {
		got := f.applyChange("second-"+path, 1, newEdit(path, firmJSON))
		require.Equal(t, StatusConflict, got.Status, path)
		require.Equal(t, &Conflict{Path: "firms/a/accounts/x/weight", Winner: 2, ID: "first", By: "op-first"}, got.Decision.Conflict)
	}
	require.Equal(t, StatusAccepted, f.applyChange("other", 1, newEdit("firms/a/accounts/y/weight", "3")).Status)
	require.Equal(t, StatusAccepted, f.applyChange("sibling", 1, newEdit("firms/a/accounts/x/services", `[]`)).Status)
	account, _ := f.fold.Current().Account("a/x")
	require.EqualValues(t, 2, account.Weight)
	account, _ = f.fold.Current().Account("a/y")
	require.EqualValues(t, 3, account.Weight)
}

func TestRepeatedChangeIsAppliedOnce(t *testing.T) {
	f := newSeededStream(t)
	first := f.applyChange("c", 1, newEdit("firms/a/accounts/x/weight", "2"))
	require.Equal(t, StatusAccepted, f.applyChange("d", 2, newEdit("firms/a/accounts/x/weight", "3")).Status)
	again := f.applyChange("c", 1, newEdit("firms/a/accounts/x/weight", "2"))
	require.Equal(t, StatusRepeated, again.Status)
	require.Same(t, first.Decision, again.Decision)
	account, _ := f.fold.Current().Account("a/x")
	require.EqualValues(t, 3, account.Weight)
}

func TestRejectedChangeStaysRejectedWhenRepeated(t *testing.T) {
	f := newSeededStream(t)
	refused := f.applyChange("c", 1, newEdit("firms/a/accounts/x/budget", `"later"`))
	require.Equal(t, StatusInvalid, refused.Status)
	require.Equal(t, []string{`firms/a/accounts/x/budget: firm a has no budget "later"`}, refused.Decision.Findings)
	require.Equal(t, StatusAccepted, f.applyChange("d", 2, newEdit("firms/a/budgets/later", "{}")).Status)
	again := f.applyChange("c", 1, newEdit("firms/a/accounts/x/budget", `"later"`))
	require.Equal(t, StatusRepeated, again.Status)
	require.Equal(t, StatusInvalid, again.Decision.Status)
}

func TestInvalidChangesLeaveTheTreeUnchanged(t *testing.T) {
	for name, tc := range map[string]struct {
		edits []Edit
		want  string
	}{
		"no edits":      {nil, "a change has 1 to 10000 edits, got 0"},
		"empty path":    {[]Edit{newEdit("", "1")}, "edit 0: not a path"},
		"bad value":     {[]Edit{newEdit("firms/a/x", "{")}, "firms/a/x: parsing value: unexpected EOF"},
		"shards":        {[]Edit{newEdit("shards", "9")}, "shards: cannot change from 8"},
		"unknown":       {[]Edit{newEdit("colour", "9")}, "colour: unknown name"},
		"too deep":      {[]Edit{newEdit("x-a"+strings.Repeat("/b", 23), "[[1]]")}, "the tree has 27 levels"},
		"in use":        {[]Edit{newEdit("firms/a/budgets/b", "")}, `firms/a/accounts/x/budget: firm a has no budget "b"`},
		"too many":      {make([]Edit, MaxEdits+1), "a change has 1 to 10000 edits"},
		"not an object": {[]Edit{newEdit("firms", "[]")}, "firms: want an object"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newSeededStream(t)
			before := f.fold.Current()
			got := f.applyChange("c", 1, tc.edits...)
			require.Equal(t, StatusInvalid, got.Status)
			require.Contains(t, strings.Join(got.Decision.Findings, "\n"), tc.want)
			require.Same(t, before, f.fold.Current())
		})
	}
	f := newSeededStream(t)
	require.Equal(t, StatusInvalid, f.applyChange("ahead", 99, newEdit("x-a", "1")).Status)
}

func TestTreeSizeIsBounded(t *testing.T) {
	f := newSeededStream(t)
	text := `"` + strings.Repeat("a", 1<<20) + `"`
	var last ChangeResult
	for i := range MaxTreeBytes>>20 + 1 {
		last = f.applyChange(fmt.Sprint("big", i), record.Offset(len(f.entries)), newEdit(fmt.Sprint("x-big", i), text))
	}
	require.Equal(t, StatusInvalid, last.Status)
}

func TestRecordsOfANewerWriter(t *testing.T) {
	type newerChange struct {
		Change
		Extra map[string]int `cbor:"99,keyasint"`
	}
	f := newSeededStream(t)
	data, err := cbor.Marshal(newerChange{
		Change: Change{Kind: KindEdit, ID: "n", Base: 1, Edits: []Edit{newEdit("x-new", `{"kept":1}`), newEdit("firms/a/accounts/x/weight", "5")}},
		Extra:  map[string]int{"a": 1},
	})
	require.NoError(t, err)
	require.Equal(t, StatusAccepted, f.applyRaw(append([]byte{formatPlain}, data...)).Status, "unknown fields are skipped")
	require.Equal(t, `{"kept":1}`, string(f.fold.Tree().Find("x-new").AppendJSON(nil)), "extensions are kept")

	before := f.fold.Current()
	data, err = EncodeChange(&Change{Kind: 77, ID: "kind", Edits: []Edit{newEdit("firms", "{}")}})
	require.NoError(t, err)
	require.Equal(t, StatusSkipped, f.applyRaw(data).Status)
	require.Equal(t, StatusSkipped, f.applyRaw([]byte{99, 1, 2}).Status)
	require.Equal(t, StatusSkipped, f.applyRaw(nil).Status)
	require.Same(t, before, f.fold.Current())

	got := f.applyChange("schema", 5, newEdit("schema", "2"), newEdit("firms/a/future", "1"))
	require.Equal(t, StatusUnsupported, got.Status)
	require.ErrorIs(t, got.Err, ErrUnsupported)
	got = f.applyChange("after", 6, newEdit("firms/a/accounts/x/weight", "6"))
	require.ErrorIs(t, got.Err, ErrUnsupported)
	require.Same(t, before, f.fold.Current(), "the last settings stay in force")

	newer := &Snapshot{Covers: 50, Version: 50, Tree: []byte(`{"schema":2}`)}
	_, err = f.fold.Restore(newer)
	require.ErrorIs(t, err, ErrUnsupported)
	require.Same(t, before, f.fold.Current())
}

func TestGapIsReportedAndOldSnapshotIsIgnored(t *testing.T) {
	f := newSeededStream(t)
	early := f.fold.Snapshot()
	f.applyChange("c", 1, newEdit("firms/a/accounts/x/weight", "2"))
	restored, err := f.fold.Restore(early)
	require.NoError(t, err)
	require.False(t, restored)
	require.EqualValues(t, 2, f.fold.Version())

	fresh := NewFold()
	require.ErrorIs(t, fresh.Apply(f.entries[1]).Err, ErrGap)
	restored, err = fresh.Restore(early)
	require.NoError(t, err)
	require.True(t, restored)
	require.Equal(t, StatusSkipped, fresh.Apply(f.entries[0]).Status)
	require.Equal(t, StatusAccepted, fresh.Apply(f.entries[1]).Status)
}

func TestHistoryIsBoundedAndOldBasesConflict(t *testing.T) {
	f := newSeededStream(t)
	for i := range maxHistoryLen {
		base := record.Offset(len(f.entries))
		require.Equal(t, StatusAccepted, f.applyChange(fmt.Sprint(i), base, newEdit("x-n", fmt.Sprint(i))).Status)
	}
	require.Len(t, f.fold.History(1<<20), maxHistoryLen)
	got := f.applyChange("old", 0, newEdit("x-other", "1"))
	require.Equal(t, StatusConflict, got.Status)
	require.Empty(t, got.Decision.Conflict.Path)
	require.Equal(t, StatusAccepted, f.applyChange("new", record.Offset(len(f.entries)), newEdit("x-other", "1")).Status)
}

// A fold that is restored from any snapshot of the stream must reach the same
// tree, history and settings as one that has applied all entries.
func TestFoldFromSnapshotEqualsFoldFromStart(t *testing.T) {
	paths := []string{"firms/a/accounts/x", "firms/a/accounts/x/weight", "firms/a/accounts/z", "firms/a/budgets/b", "defaults/account/weight", "x-note", "shards", "firms/a", "firms"}
	values := []string{"", "2", "-1", `{"budget":"b"}`, firmJSON, `{"a":` + firmJSON + `}`, "{}", "8"}
	rapid.Check(t, func(rt *rapid.T) {
		f := newSeededStream(rt)
		snapshots := []*Snapshot{f.fold.Snapshot()}
		for range rapid.IntRange(1, 25).Draw(rt, "changes") {
			var edits []Edit
			for range rapid.IntRange(1, 3).Draw(rt, "edits") {
				edits = append(edits, newEdit(rapid.SampledFrom(paths).Draw(rt, "path"), rapid.SampledFrom(values).Draw(rt, "value")))
			}
			base := rapid.IntRange(0, len(f.entries)).Draw(rt, "base")
			f.applyChange(fmt.Sprint("id", rapid.IntRange(0, 40).Draw(rt, "id")), record.Offset(base), edits...)
			snapshots = append(snapshots, f.fold.Snapshot())
		}
		at := rapid.IntRange(0, len(snapshots)-1).Draw(rt, "snapshot")
		data, err := EncodeSnapshot(snapshots[at])
		require.NoError(rt, err)
		snapshot, err := DecodeSnapshot(data)
		require.NoError(rt, err)
		other := NewFold()
		_, err = other.Restore(snapshot)
		require.NoError(rt, err)
		for _, e := range f.entries {
			other.Apply(e)
		}
		require.True(rt, jsontree.Equal(f.fold.Tree(), other.Tree()))
		require.Equal(rt, f.fold.History(100), other.History(100))
		require.Equal(rt, f.fold.Current(), other.Current())
	})
}

func TestLargeRecordsAreCompressed(t *testing.T) {
	text := strings.Repeat("budget-", 1<<18)
	data, err := EncodeSnapshot(&Snapshot{Covers: 3, Tree: []byte(text)})
	require.NoError(t, err)
	require.Less(t, len(data), 1<<14)
	got, err := DecodeSnapshot(data)
	require.NoError(t, err)
	require.Equal(t, text, string(got.Tree))
	_, err = DecodeSnapshot([]byte{formatDeflate, 1, 2})
	require.Error(t, err)
}

// With the longest allowed texts in all changes, the history must still leave room
// for the tree in a snapshot.
func TestLongestHistoryLeavesRoomForTheTreeInASnapshot(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	text := func(n int) string {
		b := make([]byte, n)
		for i := range b {
			b[i] = byte('!' + random.IntN(90))
		}
		return string(b)
	}
	f := newSeededStream(t)
	for range 1000 {
		base := record.Offset(len(f.entries))
		data, err := EncodeChange(&Change{Kind: KindEdit, ID: text(MaxIDBytes), Base: base, By: text(MaxTextBytes), Message: text(MaxTextBytes), Edits: []Edit{newEdit("x-n", "1")}})
		require.NoError(t, err)
		require.Equal(t, StatusAccepted, f.applyRaw(data).Status)
	}
	data, err := EncodeSnapshot(f.fold.Snapshot())
	require.NoError(t, err)
	require.Less(t, len(data), 640<<10)
}
