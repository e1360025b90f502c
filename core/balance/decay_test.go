package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/catalog"
	"github.com/hazelworks/hazelworks/core/routes"
)

func TestDecayFollowsTheExponential(t *testing.T) {
	for ms := range 40_000 {
		elapsed := time.Duration(ms) * time.Millisecond
		require.InDelta(t, math.Exp(-elapsed.Seconds()/2), decay(elapsed, 2*time.Second), 1.0/30_000, "%v", elapsed)
	}
	require.Equal(t, 1.0, decay(-time.Second, time.Second))
	require.Zero(t, decay(time.Hour, time.Second))
	require.Zero(t, decay(time.Duration(math.MaxInt64), time.Millisecond), "since the zero time")
}

// BenchmarkChoose measures a choice among the upstreams of one service, with 400 requests running.
func BenchmarkChoose(b *testing.B) {
	for _, upstreams := range []int{24, 240} {
		b.Run(fmt.Sprint(upstreams), func(b *testing.B) {
			p := NewPool("z0", routes.Engine{CacheTokens: 347358, EventTokens: 7, TokenBytes: 163840, LinkBits: 1.1e12}, rand.New(rand.NewPCG(1, 2)))
			var ups []catalog.Upstream
			for i := range upstreams {
				ups = append(ups, catalog.Upstream{
					ID: fmt.Sprintf("i-%010x", i), Service: "s", Addr: netip.MustParseAddrPort("10.1.2.3:80"), FailureDomain: fmt.Sprintf("z%d", i%6), Slots: 24,
				})
			}
			p.Sync(ups)
			now, seq := time.Now(), uint64(0)
			type run struct {
				attempt  AttemptID
				upstream string
			}
			var running []run
			step := func() {
				seq++
				now = now.Add(time.Millisecond)
				work := &Work{Input: 3000, MaxOutput: 80, Hint: 40, Rank: 3 + int(seq%3), Parts: []Part{
					{ID: seq % 4, Tokens: 2500}, {ID: 100 + seq%997, Tokens: 400}, {ID: 1_000_000 + seq, Tokens: 100},
				}}
				c, _ := p.Choose(&Query{Work: work}, now)
				attempt := AttemptID{Host: "h", Run: 1, Seq: seq}
				p.Begin(attempt, c.Upstream.ID, work, c.Read, now)
				running = append(running, run{attempt, c.Upstream.ID})
				if len(running) > 400 {
					p.FirstEvent(running[0].attempt, running[0].upstream, now)
					p.End(running[0].attempt, running[0].upstream, Succeeded, now)
					running = running[1:]
				}
			}
			for range 4000 {
				step()
			}
			b.ReportAllocs()
			for b.Loop() {
				step()
			}
		})
	}
}
