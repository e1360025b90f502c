package replay

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const smallHeader = `{"trace":"t","duration":"1m","hosts":[{"id":"h1","failure_domain":"a"}],` +
	`"settings":{"schema":1,"shards":1,"firms":{"mb":{"budgets":{"b":{}},"accounts":{"x":{"budget":"b"}}}}},` +
	`"outcomes":[{"measure":"overspend_tokens","comparison":"==","bound":0}]}`

func TestParseReportsAllMistakesWithLines(t *testing.T) {
	text := strings.Join([]string{
		smallHeader,
		`{"at":"2m","event":"top-up","budget":"mb/b"}`,
		`// a comment`,
		`{"at":"1s","event":"explode"}`,
		`{"at":"1s","event":"kill","host":"h9"}`,
		`{"at":"1s","event":"cut","from":["h1"],"typo":1}`,
		`{"at":"-1s","event":"log-down"}`,
		`{"at":"1s","event":"load","account":"mb/x","rate":1,"for":"1s"}`,
	}, "\n")
	_, err := Parse("t.jsonl", strings.NewReader(text))
	require.Error(t, err)
	for _, want := range []string{
		"t.jsonl:2:1: at: lies after", "t.jsonl:2:1: amount: is missing", `t.jsonl:4:1: event: unknown event "explode"`,
		`t.jsonl:5:1: host: "h9" is no host`, `t.jsonl:6:1: json: unknown field "typo"`, "t.jsonl:7:1: ", "t.jsonl:8:1: model or service: is missing",
	} {
		require.Contains(t, err.Error(), want)
	}
	_, err = Parse("t.jsonl", strings.NewReader(strings.Replace(smallHeader, "overspend_tokens", "luck", 1)))
	require.ErrorContains(t, err, `t.jsonl:1:1: outcomes/0/measure: unknown measure "luck"`)
	_, err = Parse("t.jsonl", strings.NewReader(""))
	require.ErrorContains(t, err, "no header")
	trace, err := Parse("t.jsonl", strings.NewReader(smallHeader+"\n"+`{"at":"1s","event":"top-up","budget":"mb/b","amount":5}`))
	require.NoError(t, err)
	require.Len(t, trace.Events, 1)
	require.Equal(t, 8, trace.Callers.Tries)
}
