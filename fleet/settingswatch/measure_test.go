package settingswatch

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/standin/memlog"
)

var measure = flag.Bool("measure", false, "measure the time until changes are in force also for 64 and 620 hosts")

// Parameters of the measurement: the latency of the log across regions, the latency
// between hosts, and the number of changes.
const (
	measuredLogLatency  = 80 * time.Millisecond
	measuredPeerLatency = 60 * time.Millisecond
	measuredChanges     = 20
)

// maxTimeUntilInForce is the bound for the target size.
const maxTimeUntilInForce = 18 * time.Second

// slowLog adds the latency of the response to reads that return entries.
type slowLog struct {
	platform.Log
}

func (l slowLog) Read(ctx context.Context, stream string, from record.Offset, limit int, wait time.Duration) ([]record.Entry, error) {
	entries, err := l.Log.Read(ctx, stream, from, limit, wait)
	if len(entries) > 0 {
		time.Sleep(measuredLogLatency)
	}
	return entries, err
}

// measureInForce publishes changes and returns, sorted, the times from the start of
// publishing until each host has the change in force. The hosts chosen by cut are cut
// off from the log.
func measureInForce(c *cluster, cut func(i int) bool) []time.Duration {
	hosts := len(c.all())
	for i := range hosts {
		c.node(i).link.SetCut(cut(i))
	}
	time.Sleep(30 * time.Second)
	var times []time.Duration
	base := c.node(0).watcher.Version()
	for k := range measuredChanges {
		start := time.Now()
		base = c.node(0).publish(change(fmt.Sprint("m", start.UnixNano(), k), base, "firms/a/accounts/x/weight", fmt.Sprint(k+1)))
		pending := make(map[int]bool, hosts)
		for i := range hosts {
			pending[i] = true
		}
		for len(pending) > 0 {
			for i := range pending {
				if c.node(i).watcher.Version() >= base {
					times = append(times, time.Since(start))
					delete(pending, i)
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(time.Duration(300+137*k) * time.Millisecond)
	}
	slices.Sort(times)
	return times
}

func summary(times []time.Duration) string {
	at := func(share float64) time.Duration {
		return times[min(len(times)-1, int(share*float64(len(times))))].Round(10 * time.Millisecond)
	}
	return fmt.Sprintf("50th %v, 95th %v, worst %v", at(0.5), at(0.95), times[len(times)-1].Round(10*time.Millisecond))
}

func TestTimeUntilInForce(t *testing.T) {
	sizes := []int{8}
	if *measure {
		sizes = []int{8, 64, 620}
	}
	for _, hosts := range sizes {
		t.Run(fmt.Sprintf("hosts=%d", hosts), func(t *testing.T) {
			run(t, func(t *testing.T) {
				c := newSlowCluster(t, hosts)
				c.seed()
				domain := func(i int) int { return i % 4 }
				for _, s := range []struct {
					name string
					cut  func(int) bool
				}{
					{"log reachable", func(int) bool { return false }},
					{"one domain of four cut off from it", func(i int) bool { return domain(i) == 3 }},
					{"three domains of four cut off from it", func(i int) bool { return domain(i) != 0 }},
				} {
					times := measureInForce(c, s.cut)
					t.Logf("%d hosts, %s: %s", hosts, s.name, summary(times))
					if worst := times[len(times)-1]; worst > maxTimeUntilInForce {
						t.Errorf("worst %v exceeds %v", worst, maxTimeUntilInForce)
					}
				}
			})
		})
	}
}

// newSlowCluster returns hosts that see only the versions of six neighbours, and these
// up to one probe interval late.
func newSlowCluster(t *testing.T, hosts int) *cluster {
	c := newCluster(t, memlog.Options{Latency: measuredLogLatency}, 0)
	c.latency = measuredPeerLatency
	c.wrap = func(l platform.Log) platform.Log { return slowLog{l} }
	c.neighbours = true
	for i := range hosts {
		c.start(record.HostID(fmt.Sprintf("h%03d", i)))
	}
	time.Sleep(5 * time.Second)
	return c
}
