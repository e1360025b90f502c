package relayhost

import (
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/build"
	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/roster"
)

// The fleet's lowest build is logged when the list has been read and when it changes.
func TestLowestBuildIsShown(t *testing.T) {
	var lines []string
	logger := funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
	self := roster.Host{ID: "h1", Build: build.Info{Level: build.Stated, Revision: "abc"}}
	w := &hostWatch{log: logger, table: roster.NewTable(self), started: func(roster.Host) {}, lowestBuild: metrics.NewGauge()}
	changes := func() (n int) {
		for _, l := range lines {
			if strings.Contains(l, "Lowest build of the fleet changed.") {
				n++
			}
		}
		return n
	}
	entry := func(id, extra string) []platform.KeyedRecord {
		return []platform.KeyedRecord{{Key: id, Value: []byte(`{"id":"` + id + `","run":` + id[1:] + `,"caller":"10.0.0.1:80","peer":"10.0.0.1:90","cores":1` + extra + `}`)}}
	}
	w.snapshot(entry("h2", ""))
	require.Equal(t, 1, changes())
	require.Zero(t, w.lowestBuild.Value())
	w.apply(entry("h3", ""))
	require.Equal(t, 1, changes(), "no change")
	w.apply([]platform.KeyedRecord{{Key: "h2"}, {Key: "h3"}})
	w.apply(entry("h4", `,"build":{"level":2,"revision":"def"}`))
	require.Equal(t, 2, changes())
	require.EqualValues(t, build.Stated, w.lowestBuild.Value())

	list := w.list(time.Now())
	require.Equal(t, build.Stated, list.LowestLevel)
	require.Equal(t, []HostStatus{{Host: "h1", Alive: true, Build: self.Build}, {Host: "h4", Alive: true, Build: build.Info{Level: 2, Revision: "def"}}}, list.Hosts)
}
