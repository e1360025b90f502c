package relay

import (
	"bytes"
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

// zeros is a body without an end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

func TestBuffersOfAnswersAreBoundedTogether(t *testing.T) {
	var b bufferBudget
	buffered, takenByAll := 0, 0
	for range 100 {
		body, taken, whole, err := b.readAnswer(zeros{})
		require.NoError(t, err)
		require.False(t, whole)
		require.LessOrEqual(t, len(body), maxAnswerBytes)
		require.LessOrEqual(t, len(body), taken+freeAnswerBytes)
		buffered, takenByAll = buffered+len(body), takenByAll+taken
	}
	require.LessOrEqual(t, buffered, maxBufferedBytes+100*freeAnswerBytes)
	b.giveBack(takenByAll)
	require.Zero(t, b.used)
}

func TestAnswersAreReadWhole(t *testing.T) {
	var b bufferBudget
	for _, size := range []int{0, 1, freeAnswerBytes - 1, freeAnswerBytes, freeAnswerBytes + 1, 1 << 20, maxAnswerBytes - 1} {
		want := bytes.Repeat([]byte("a"), size)
		body, taken, whole, err := b.readAnswer(bytes.NewReader(want))
		require.NoError(t, err)
		require.True(t, whole, size)
		require.Equal(t, want, append([]byte{}, body...))
		b.giveBack(taken)
	}
	_, _, whole, err := b.readAnswer(io.MultiReader(bytes.NewReader(make([]byte, 1<<20)), iotestErr{}))
	require.False(t, whole)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// iotestErr fails each read.
type iotestErr struct{}

func (iotestErr) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Callers don't read short answers either. A thousand of them at once stay within the share of the
// smallest machine's memory.
func TestBuffersOfShortAnswersAreBoundedTogether(t *testing.T) {
	const memory = 112 << 20
	b, buffered, whole := newBufferBudget(memory), 0, 0
	for range 1000 {
		body, _, all, err := b.readAnswer(bytes.NewReader(make([]byte, 60<<10)))
		require.NoError(t, err)
		buffered += len(body)
		if all {
			whole++
		}
	}
	require.LessOrEqual(t, buffered, memory/8+1000*freeAnswerBytes)
	require.LessOrEqual(t, buffered, memory/4)
	require.Greater(t, whole, 150)
}
