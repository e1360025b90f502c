package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hazelworks/hazelworks/core/record"
)

var start = time.Unix(1_000_000, 0)

// fleet returns n ready workers of 8 slots that serve the models in turn.
func fleet(n int, models ...string) []Worker {
	out := make([]Worker, n)
	for i := range out {
		out[i] = Worker{ID: fmt.Sprintf("w%d", i), Slots: 8, Ready: true, Serving: Target{Model: models[i%len(models)]}}
	}
	return out
}

func input(workers []Worker, models ...Model) Input {
	return Input{Models: models, Workers: workers, LoadTime: 20 * time.Second, Now: start}
}

func modelOf(name string, load float64, minReplicas int) Model {
	return Model{Target: Target{Model: name}, Load: load, MinReplicas: minReplicas}
}

func TestMovesTowardsTheLoad(t *testing.T) {
	in := input(fleet(10, "a", "b"), modelOf("a", 60, 1), modelOf("b", 8, 1))
	out := Plan(DefaultConfig(), in)
	require.Len(t, out, 1)
	require.Equal(t, "a", out[0].Target.Model)
	require.Equal(t, "w1", out[0].Worker)
	require.Equal(t, ReasonLoad, out[0].Reason)
	require.Greater(t, out[0].Gain, out[0].Cost)
}

func TestPlanMakesNoMove(t *testing.T) {
	cases := map[string]func(in *Input){
		"balanced":             func(in *Input) { in.Models[0].Load = 30 },
		"both short":           func(in *Input) { in.Models[1].Load = 60 },
		"loading takes long":   func(in *Input) { in.LoadTime = 3 * time.Minute },
		"shifts are short":     func(in *Input) { in.Dwell = time.Minute },
		"moved lately":         func(in *Input) { move(in, start.Add(-time.Second)) },
		"last replica":         func(in *Input) { in.Models[1].MinReplicas = 5 },
		"an order is underway": func(in *Input) { in.Workers[2].Busy = true },
		"after a failure":      func(in *Input) { retryAt(in, start.Add(time.Second)) },
		"floor":                func(in *Input) { notReady(in, 5) },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			in := input(fleet(10, "a", "b"), modelOf("a", 60, 0), modelOf("b", 8, 1))
			change(&in)
			require.Empty(t, Plan(DefaultConfig(), in))
		})
	}
}

func move(in *Input, at time.Time) {
	for i := range in.Workers {
		in.Workers[i].MovedAt = at
	}
}

func retryAt(in *Input, at time.Time) {
	for i := range in.Workers {
		in.Workers[i].RetryAt = at
	}
}

func notReady(in *Input, n int) {
	for i := range n {
		in.Workers[i].Ready = false
	}
}

func TestReplicaComesFromTheModelWithMostSpareSlots(t *testing.T) {
	in := input(fleet(10, "a", "b"), modelOf("a", 38, 1), modelOf("b", 2, 1), modelOf("c", 0, 1))
	out := Plan(DefaultConfig(), in)
	require.Equal(t, []Decision{{Worker: "w1", Target: Target{Model: "c"}, Reason: ReasonReplicas}}, out)
}

// The only worker of a model does not answer for a moment. Another one must not be drained and
// loaded in its place before it is likely to be gone.
func TestSilentWorkerIsNotReplacedAtOnce(t *testing.T) {
	in := input(fleet(3, "a", "b", "b"), modelOf("a", 6, 1), modelOf("b", 2, 1))
	in.Workers[0].Ready, in.Workers[0].SilentSince = false, start
	for _, silence := range []time.Duration{0, 10 * time.Second, 29 * time.Second} {
		in.Now = start.Add(silence)
		require.Empty(t, Plan(DefaultConfig(), in), silence)
	}
	in.Now = start.Add(31 * time.Second)
	out := Plan(DefaultConfig(), in)
	require.Len(t, out, 1)
	require.Equal(t, ReasonReplicas, out[0].Reason)
	in.Now, in.Workers[0].SilentSince = start, time.Time{}
	require.Len(t, Plan(DefaultConfig(), in), 1, "it loads or leaves, which it has said itself")
}

func TestRolloutGoesWorkerByWorkerUntilHalted(t *testing.T) {
	next := Model{Target: Target{Model: "a", Version: "2"}, MinReplicas: 2}
	in := input(fleet(4, "a"), next)
	for i := range in.Workers {
		in.Workers[i].Serving.Version = "1"
	}
	var order []string
	for {
		out := Plan(DefaultConfig(), in)
		if len(out) == 0 {
			break
		}
		require.Len(t, out, 1)
		require.Equal(t, ReasonRollout, out[0].Reason)
		order = append(order, out[0].Worker)
		for i := range in.Workers {
			if in.Workers[i].ID == out[0].Worker {
				in.Workers[i].Serving = out[0].Target
			}
		}
		if len(order) == 2 {
			in.Halted = []Target{next.Target}
		}
	}
	require.Equal(t, []string{"w0", "w1"}, order, "a halt keeps the other workers on the old version")
}

func TestLateOrderIsUndone(t *testing.T) {
	in := input(fleet(4, "a"), modelOf("a", 0, 0))
	in.Wanted = map[string]Target{"w2": {Model: "b"}}
	out := Plan(DefaultConfig(), in)
	require.Equal(t, []Decision{{Worker: "w2", Target: Target{Model: "b"}, Reason: ReasonRepair}}, out)
}

// TestFoldVoidsStaleEpochs checks over random streams that only the writer of the
// newest epoch changes the wanted targets.
func TestFoldVoidsStaleEpochs(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := NewFold()
		var offset, epoch record.Offset
		writers := []record.Holder{{Host: "a"}, {Host: "b"}}
		epochs := []record.Offset{0}
		var current record.Holder
		for range rapid.IntRange(1, 40).Draw(rt, "records") {
			offset++
			w := rapid.SampledFrom(writers).Draw(rt, "writer")
			if rapid.Bool().Draw(rt, "epoch") {
				require.True(rt, f.Apply(offset, &Record{Kind: KindEpoch, Writer: w}))
				epoch, current = offset, w
				epochs = append(epochs, offset)
				continue
			}
			under := rapid.SampledFrom(epochs).Draw(rt, "under")
			r := &Record{Kind: KindOrder, Writer: w, Epoch: under, Worker: "x", Target: &Target{Model: fmt.Sprint(offset)}}
			data, err := Encode(r)
			require.NoError(rt, err)
			r, err = Decode(data)
			require.NoError(rt, err)
			before := f.Wanted["x"]
			valid := w == current && under == epoch && epoch != 0
			require.Equal(rt, valid, f.Apply(offset, r))
			if !valid {
				require.Equal(rt, before, f.Wanted["x"])
			}
			require.False(rt, f.Apply(offset, r), "a record is applied once")
		}
	})
}
