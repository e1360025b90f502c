package settings

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/findings"
	"github.com/hazelworks/hazelworks/core/jsontree"
	"github.com/hazelworks/hazelworks/core/record"
)

// Parsing must terminate for any input. A tree that is accepted must be unchanged
// after it was written to the log and applied from there.
func FuzzLoad(f *testing.F) {
	for _, file := range exampleFiles(f) {
		f.Add(file.Name, file.Data)
	}
	f.Fuzz(func(t *testing.T, name string, data []byte) {
		tree, resolved, err := Load([]File{{Name: name, DisplayName: name, Data: data}})
		if err != nil {
			require.NotEmpty(t, err.Error())
			return
		}
		var list findings.List
		again := jsontree.ParsePlain(tree.AppendJSON(nil), &list)
		require.NoError(t, list.Err())
		require.True(t, jsontree.Equal(tree, again))
		edits := Edits(jsontree.NewObject(), tree)
		if len(edits) == 0 {
			return
		}
		record, err := EncodeChange(&Change{Kind: KindEdit, ID: "f", Edits: edits})
		require.NoError(t, err)
		fold := NewFold()
		require.Equal(t, StatusAccepted, fold.Apply(entryAt(1, record)).Status)
		require.True(t, jsontree.Equal(tree, fold.Tree()))
		require.Equal(t, resolved.Accounts, fold.Current().Accounts)
		require.Equal(t, resolved.Services, fold.Current().Services)
	})
}

// For any record, the fold must not panic, must advance by one offset unless the
// schema is unsupported, and must have the same tree after a restore from its
// snapshot.
func FuzzFold(f *testing.F) {
	change, err := EncodeChange(&Change{Kind: KindEdit, ID: "c", Base: 1, Edits: []Edit{newEdit("firms/a/accounts/x/weight", "2")}})
	require.NoError(f, err)
	f.Add(change)
	f.Add([]byte{formatPlain, 0xa0})
	f.Add([]byte{formatDeflate})
	f.Fuzz(func(t *testing.T, data []byte) {
		stream := newSeededStream(t)
		result := stream.applyRaw(data)
		if result.Status == StatusUnsupported {
			require.EqualValues(t, 1, stream.fold.Position())
			return
		}
		require.EqualValues(t, 2, stream.fold.Position())
		other := NewFold()
		_, err := other.Restore(stream.fold.Snapshot())
		require.NoError(t, err)
		require.True(t, jsontree.Equal(stream.fold.Tree(), other.Tree()))
		_, _ = DecodeSnapshot(data)
		_, _ = DecodeUpdate(data)
	})
}

func entryAt(offset record.Offset, data []byte) record.Entry {
	return record.Entry{Offset: offset, Data: data}
}
