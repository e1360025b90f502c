package gateway

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestShapeAgreesWithDecoding changes events at random. An event that matches the
// shape must decode to the same event with another text.
func TestShapeAgreesWithDecoding(t *testing.T) {
	const learned = `{"id":"x","choices":[{"index":0,"delta":{"content":"hi"},"finish_reason":null}]}`
	var s chunkShape
	s.learn([]byte(learned), "hi")
	require.True(t, s.matches([]byte(`{"id":"x","choices":[{"index":0,"delta":{"content":"other"},"finish_reason":null}]}`)))
	for _, other := range []string{
		`{"id":"y","choices":[{"index":0,"delta":{"content":"hi"},"finish_reason":null}]}`,
		`{"id":"x","choices":[{"index":0,"delta":{"content":""},"finish_reason":null}]}`,
		`{"id":"x","choices":[{"index":0,"delta":{"content":"hi"},"finish_reason":"stop"}]}`,
		`{"id":"x","choices":[{"index":0,"delta":{"content":"a\"},{"},"finish_reason":null}]}`,
		`{"id":"x","choices":[{"index":0,"delta":{"content":"a","x":"b"},"finish_reason":null}]}`,
	} {
		require.False(t, s.matches([]byte(other)), other)
	}
	rapid.Check(t, func(t *rapid.T) {
		event := []byte(learned)
		at := rapid.IntRange(0, len(event)).Draw(t, "at")
		insert := rapid.SliceOfN(rapid.SampledFrom([]byte(`"\{}[],:ab `)), 0, 8).Draw(t, "insert")
		event = append(event[:at:at], append(insert, event[at:]...)...)
		if !s.matches(event) {
			return
		}
		var c chunk
		require.NoError(t, json.Unmarshal(event, &c))
		require.Equal(t, "x", c.ID)
		require.Equal(t, int64(1), c.tokens())
		require.False(t, c.closing())
	})
}
