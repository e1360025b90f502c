package hostmeter

import (
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/hostload"
)

// A loaded host logs once a second what it did since the last line; a calm one logs nothing.
func TestWorkOfALoadedHostIsLogged(t *testing.T) {
	var lines []string
	registry := metrics.NewRegistry()
	var loaded []bool
	used := time.Duration(0)
	m := New(Options{
		Limits: hostload.Limits{Cores: 1}, Processor: func() time.Duration { return used }, Counters: []string{"loans"}, Metrics: registry,
		Loaded: func(is bool) { loaded = append(loaded, is) },
		Logger: funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{}),
	})
	now := time.Unix(1000, 0)
	run := func(d, perSecond time.Duration) (work []string) {
		lines = nil
		for end := now.Add(d); now.Before(end); {
			now = now.Add(hostload.Interval)
			used += perSecond / 10
			m.Request()
			metrics.GetOrRegisterCounter("loans", registry).Inc(3)
			m.sample(now, 0)
		}
		for _, line := range lines {
			if strings.Contains(line, "Work of this host.") {
				work = append(work, line)
			}
		}
		return work
	}
	require.Empty(t, run(5*time.Second, 100*time.Millisecond))
	work := run(5*time.Second, 950*time.Millisecond)
	require.Len(t, work, 4, "one each second, from the second one on")
	require.Contains(t, work[2], `"requests"=10`)
	require.Contains(t, work[2], `"loans"=30`)
	run(2*time.Second, 100*time.Millisecond)
	require.Empty(t, run(5*time.Second, 100*time.Millisecond))
	require.Equal(t, []bool{true, false}, loaded)
}
