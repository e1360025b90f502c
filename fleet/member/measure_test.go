package member

import (
	"flag"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var measure = flag.Bool("measure", false, "run the measurements of control traffic and detection at several sizes")

// packetHeaderBytes is the size of the IP and TCP headers with timestamps.
const packetHeaderBytes = 52

// measuredSizes returns the numbers of hosts to measure.
func measuredSizes() []int {
	if *measure {
		return []int{8, 32, 128, 620}
	}
	return []int{8}
}

// warmUp returns the time until the reports about the simultaneous start of all
// hosts have spread.
func warmUp() time.Duration {
	if *measure {
		return 2 * time.Minute
	}
	return 10 * time.Second
}

// maxControlBytesPerSecond is the limit on control traffic per host at the target
// size, in bytes per second.
const maxControlBytesPerSecond = 2000

func TestControlTraffic(t *testing.T) {
	for _, hosts := range measuredSizes() {
		t.Run(fmt.Sprintf("hosts=%d", hosts), func(t *testing.T) {
			runWithFakeTime(t, func(t *testing.T) {
				f := newFixture(t, hosts, min(15, hosts))
				time.Sleep(warmUp())
				const window = 30 * time.Second
				bytes, packets := f.bytes.Load(), f.packets.Load()
				time.Sleep(window)
				// The fixture counts what the dialing end of each connection sends and
				// receives. The factor 2 adds the same bytes at the other end.
				perHost := 2 * float64(f.bytes.Load()-bytes) / window.Seconds() / float64(hosts)
				perHostPackets := 2 * float64(f.packets.Load()-packets) / window.Seconds() / float64(hosts)
				total := perHost + packetHeaderBytes*perHostPackets
				t.Logf("%d hosts: %.0f B/s sent and received by each host, %.0f B/s with IP and TCP headers, %.1f segments/s", hosts, perHost, total, perHostPackets)
				t.Logf("%d hosts: %d KB of heap for each host, fixture included", hosts, heapBytes()/1024/uint64(hosts))
				require.Less(t, total, float64(maxControlBytesPerSecond))
			})
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// TestDetectionTimes measures the time until 90 % of the hosts, and all of them,
// suspect a host that fails silently.
func TestDetectionTimes(t *testing.T) {
	for _, hosts := range measuredSizes() {
		t.Run(fmt.Sprintf("hosts=%d", hosts), func(t *testing.T) {
			var ninetyPercent, all []time.Duration
			var extraBytes []int64
			for seed := range 5 {
				runWithFakeTime(t, func(t *testing.T) {
					f := newFixture(t, hosts, min(15, hosts))
					time.Sleep(8*time.Second + time.Duration(seed)*290*time.Millisecond)
					bytes := f.bytes.Load()
					time.Sleep(probeInterval)
					perSecond := float64(f.bytes.Load()-bytes) / probeInterval.Seconds()
					victim := hostID(seed * hosts / 5)
					start := time.Now()
					f.kill(victim, true)
					f.waitUntil(2*maxDetectionTime, func() bool { return f.countObserved(victim, StateSuspected) >= (hosts-1)*9/10 })
					ninetyPercent = append(ninetyPercent, time.Since(start))
					f.waitUntil(2*maxDetectionTime, func() bool { return f.countObserved(victim, StateSuspected) == hosts-1 })
					all = append(all, time.Since(start))
					bytes = f.bytes.Load() - bytes
					usual := perSecond * (probeInterval + time.Since(start)).Seconds()
					extraBytes = append(extraBytes, 2*(bytes-int64(usual))/int64(hosts))
				})
			}
			slices.Sort(ninetyPercent)
			slices.Sort(all)
			t.Logf("%d hosts: nine in ten after %v, all after %v (middle and worst of 5); %d B for each host and death", hosts,
				[]time.Duration{ninetyPercent[2], ninetyPercent[4]}, []time.Duration{all[2], all[4]}, slices.Max(extraBytes))
			require.LessOrEqual(t, ninetyPercent[4], maxDetectionTime)
		})
	}
}
