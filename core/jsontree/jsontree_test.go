package jsontree

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/findings"
)

type sample struct {
	Name  string            `json:"name" oneof:"a,b"`
	Count *int              `json:"count" min:"1" max:"9"`
	Wait  time.Duration     `json:"wait" min:"1s"`
	Parts map[string]sample `json:"parts"`
	Tags  []string          `json:"tags"`
}

func decode(t *testing.T, text string) (sample, []string) {
	t.Helper()
	var list findings.List
	var dst sample
	if n := Parse("f.jsonc", []byte(text), &list); n != nil {
		n.Decode("", &dst, &list)
	}
	var lines []string
	for _, f := range list.Sorted() {
		lines = append(lines, f.String())
	}
	return dst, lines
}

func TestDecodeReportsAllFindingsWithPositions(t *testing.T) {
	_, lines := decode(t, `{
  // A comment.
  "name": "c",
  "count": 0,
  "wait": "2 secs",
  "tags": ["x", 3],
  "parts": {
    "p": {"count": "many", "colour": 1, "wait": 3},
    "q": {"wait": "10ms", "count": 1.5},
  },
  "cuont": 1, "name": "a",
}`)
	require.Equal(t, []string{
		`f.jsonc:3:11: name: must be one of a, b, got "c"`,
		`f.jsonc:4:12: count: must be at least 1, got 0`,
		`f.jsonc:5:11: wait: want a duration such as "2s", got "2 secs"`,
		`f.jsonc:6:17: tags[1]: want a string, got a number`,
		`f.jsonc:8:20: parts/p/count: want a number, got a string`,
		`f.jsonc:8:38: parts/p/colour: unknown name`,
		`f.jsonc:8:49: parts/p/wait: want a duration such as "2s", got a number`,
		`f.jsonc:9:19: parts/q/wait: must be at least 1s, got 10ms`,
		`f.jsonc:9:36: parts/q/count: want a whole number, got 1.5`,
		`f.jsonc:11:12: cuont: unknown name`,
		`f.jsonc:11:15: name: given twice, first on line 3`,
	}, lines)
}

func TestDecodeStoresValuesAndKeepsExtensions(t *testing.T) {
	got, lines := decode(t, `{"name": "a", "count": 3, "wait": "2s", "x-note": {"any": []}}`)
	require.Empty(t, lines)
	require.Equal(t, 3, *got.Count)
	require.Equal(t, 2*time.Second, got.Wait)
}

func TestParseRejectsUnreadableDocuments(t *testing.T) {
	for name, tc := range map[string]struct{ text, want string }{
		"syntax":   {"{\n \"a\": }", "f.jsonc:2:7: invalid character '}' at start of value"},
		"too deep": {strings.Repeat("[", MaxDepth+1), "f.jsonc:1:25: nested deeper than 24 levels"},
		"empty":    {"", "f.jsonc:1:1: parsing value: unexpected EOF"},
	} {
		t.Run(name, func(t *testing.T) {
			_, lines := decode(t, tc.text)
			require.Equal(t, []string{tc.want}, lines)
		})
	}
}

func TestSetLeavesTheOriginalUnchanged(t *testing.T) {
	var list findings.List
	before := Parse("", []byte(`{"a":{"b":1,"c":[1,"x"]},"z":null}`), &list)
	text := string(before.AppendJSON(nil))
	after := before.Set("a/d/e", &Node{Kind: Bool, Text: "true"}).Set("a/b", nil).Set("q/r", nil)
	require.Equal(t, `{"a":{"c":[1,"x"],"d":{"e":true}},"z":null}`, string(after.AppendJSON(nil)))
	require.Equal(t, text, string(before.AppendJSON(nil)))
	require.True(t, Equal(before, Parse("", []byte(text), &list)))
	require.False(t, Equal(before, after))
	require.Equal(t, "x", after.Find("a/c").Elements[1].Text)
	require.Nil(t, after.Find("a/nothing/here"))
}
