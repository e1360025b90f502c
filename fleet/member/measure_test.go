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

// measuredSizes are numbers of hosts.
func measuredSizes() []int {
	if *measure {
		return []int{8, 32, 128, 620}
	}
	return []int{8}
}

// warmUp is the time until the news of the start of all hosts at once has passed.
func warmUp() time.Duration {
	if *measure {
		return 2 * time.Minute
	}
	return 10 * time.Second
}

// controlGoal is the bound of the target size, in bytes each second and host.
const controlGoal = 2000

func TestControlTraffic(t *testing.T) {
	for _, hosts := range measuredSizes() {
		t.Run(fmt.Sprintf("hosts=%d", hosts), func(t *testing.T) {
			run(t, func(t *testing.T) {
				f := newFixture(t, hosts, min(15, hosts))
				time.Sleep(warmUp())
				const window = 30 * time.Second
				bytes, packets := f.bytes.Load(), f.packets.Load()
				time.Sleep(window)
				// Each byte is counted once where it is sent and once where it arrives:
				// the fixture sees the dialing end of each connection, sending and receiving.
				perHost := 2 * float64(f.bytes.Load()-bytes) / window.Seconds() / float64(hosts)
				perHostPackets := 2 * float64(f.packets.Load()-packets) / window.Seconds() / float64(hosts)
				total := perHost + packetHeaderBytes*perHostPackets
				t.Logf("%d hosts: %.0f B/s sent and received by each host, %.0f B/s with IP and TCP headers, %.1f segments/s", hosts, perHost, total, perHostPackets)
				t.Logf("%d hosts: %d KB of heap for each host, fixture included", hosts, heapBytes()/1024/uint64(hosts))
				require.Less(t, total, float64(controlGoal))
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

// TestDetectionTimes measures the time until nine in ten hosts, and all, have
// moved off a host that dies without a word.
func TestDetectionTimes(t *testing.T) {
	for _, hosts := range measuredSizes() {
		t.Run(fmt.Sprintf("hosts=%d", hosts), func(t *testing.T) {
			var most, all []time.Duration
			var spent []int64
			for seed := range 5 {
				run(t, func(t *testing.T) {
					f := newFixture(t, hosts, min(15, hosts))
					time.Sleep(8*time.Second + time.Duration(seed)*290*time.Millisecond)
					bytes := f.bytes.Load()
					time.Sleep(probeInterval)
					perSecond := float64(f.bytes.Load()-bytes) / probeInterval.Seconds()
					victim := hostID(seed * hosts / 5)
					start := time.Now()
					f.kill(victim, true)
					f.until(2*detectionGoal, func() bool { return f.beliefs(victim, StateSuspected) >= (hosts-1)*9/10 })
					most = append(most, time.Since(start))
					f.until(2*detectionGoal, func() bool { return f.beliefs(victim, StateSuspected) == hosts-1 })
					all = append(all, time.Since(start))
					bytes = f.bytes.Load() - bytes
					usual := perSecond * (probeInterval + time.Since(start)).Seconds()
					spent = append(spent, 2*(bytes-int64(usual))/int64(hosts))
				})
			}
			slices.Sort(most)
			slices.Sort(all)
			t.Logf("%d hosts: nine in ten after %v, all after %v (middle and worst of 5); %d B for each host and death", hosts,
				[]time.Duration{most[2], most[4]}, []time.Duration{all[2], all[4]}, slices.Max(spent))
			require.LessOrEqual(t, most[4], detectionGoal)
		})
	}
}
