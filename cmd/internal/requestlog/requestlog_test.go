package requestlog

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const sample = `
not of the project
 24.1 h1 {"level":"info","time":"2026-05-04T23:10:36.100Z","part":"wallet","msg":"Log lost.","error":"timeout"}
 24.2 h2 {"level":"info","time":"2026-05-04T23:10:36.150Z","part":"wallet","msg":"Log lost.","error":"timeout"}
 24.3 h1 {"level":"info","time":"2026-05-04T23:10:36.300Z","part":"wallet","msg":"Borrowed.","budget":"acme","missing":900,"got":0,"enough":false}
 24.3 h1 {"level":"info","time":"2026-05-04T23:10:36.310Z","part":"wallet","msg":"Borrowed.","budget":"other","missing":900,"got":0,"enough":false}
 24.4 h1 {"level":"info","time":"2026-05-04T23:10:36.333Z","part":"relay","msg":"Request refused.","request":"r1","status":503,"reason":"no grant"}
 24.4 h1 {"level":"info","time":"2026-05-04T23:10:36.334Z","part":"relay","msg":"Request ended.","request":"r1","account":"acme","status":503}
 26.4 h2 {"level":"info","time":"2026-05-04T23:10:38.334Z","part":"relay","msg":"Request sent.","request":"r1","upstream":"e7"}
 26.2 h2 {"level":"info","time":"2026-05-04T23:10:38.200Z","part":"upstreams","msg":"Upstream gone.","upstream":"e7","reason":"its entry lapsed"}
 29.0 h2 {"level":"info","time":"2026-05-04T23:10:50.000Z","part":"upstreams","msg":"Upstream gone.","upstream":"e7"}
`

func TestExplainCombinesLinesOfAllHosts(t *testing.T) {
	lines, skipped, err := Read(strings.NewReader(sample), "stdin")
	require.NoError(t, err)
	require.Equal(t, 2, skipped)
	got := Explain(lines, "r1")
	var messages []string
	for _, l := range got {
		text := l.Source + " " + l.Message
		if l.Related {
			text += " ~"
		}
		messages = append(messages, text)
	}
	require.Equal(t, []string{
		"h1 Log lost. ~", "h2 Log lost. ~", "h1 Borrowed. ~", "h1 Request refused.", "h1 Request ended.",
		"h2 Upstream gone. ~", "h2 Request sent.",
	}, messages)

	var out bytes.Buffer
	require.NoError(t, Write(&out, got))
	require.Contains(t, out.String(), "~ 23:10:36.100 h1 wallet: Log lost. error=timeout\n")
	require.Contains(t, out.String(), "  23:10:36.333 h1 relay: Request refused. reason=no grant status=503\n")
}

func TestUnknownRequestHasNoLines(t *testing.T) {
	lines, _, err := Read(strings.NewReader(sample), "stdin")
	require.NoError(t, err)
	require.Empty(t, Explain(lines, "r2"))
}

func TestSourceOfLineWithoutPrefixIsTheFile(t *testing.T) {
	lines, _, err := Read(strings.NewReader(`{"time":"2026-05-04T23:10:36Z","part":"relay","msg":"Request ended.","request":"r1"}`), "h9.log")
	require.NoError(t, err)
	require.Equal(t, "h9.log", lines[0].Source)
}

func TestRelatedLinesPerMessageAreBounded(t *testing.T) {
	var b strings.Builder
	for i := range 10 {
		fmt.Fprintf(&b, `{"time":"2026-05-04T23:10:36.%dZ","part":"wallet","msg":"Borrowed.","budget":"acme"}`+"\n", i)
	}
	b.WriteString(`{"time":"2026-05-04T23:10:37Z","part":"relay","msg":"Request ended.","request":"r1","account":"acme"}`)
	lines, _, err := Read(strings.NewReader(b.String()), "h1")
	require.NoError(t, err)
	got := Explain(lines, "r1")
	require.Len(t, got, maxRelatedPerMessage+1)
	require.Equal(t, 700, got[0].Time.Nanosecond()/1e6)
}

// A line of another program that is longer than the buffer must not end the read of the logs
// of all hosts.
func TestLongLinesAreSkipped(t *testing.T) {
	text := strings.Repeat("x", 3*maxLineBytes) + "\n" + sample + strings.Repeat("{", maxLineBytes)
	lines, skipped, err := Read(strings.NewReader(text), "stdin")
	require.NoError(t, err)
	require.Equal(t, 4, skipped)
	require.NotEmpty(t, Explain(lines, "r1"))
}
