package stream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestReader(t *testing.T) {
	cases := []struct {
		name string
		text string
		want []string
		err  error
	}{
		{"numbered", "id: 0\ndata: a\n\nid: 1\ndata: b\n\n", []string{"0=a", "1=b"}, io.EOF},
		{"carriage returns and comments", ": ping\r\n\r\ndata: a\r\n\r\n", []string{"-=a"}, io.EOF},
		{"carriage returns alone", "id: 0\rdata: a\r\rid: 1\rdata: b\r\r", []string{"0=a", "1=b"}, io.EOF},
		{"mixed line ends", "data: a\r\n\rdata: b\n\r\ndata: c\r\r\n", []string{"-=a", "-=b", "-=c"}, io.EOF},
		{"byte order mark", "\xEF\xBB\xBFdata: a\n\n", []string{"-=a"}, io.EOF},
		{"a carriage return at the end", "data: a\r\n\r", []string{"-=a"}, io.EOF},
		{"cut after a carriage return", "data: a\r", nil, io.ErrUnexpectedEOF},
		{"lines longer than the buffer", "data: " + strings.Repeat("x", 3*readerBytes) + "\rdata: y\r\r", []string{"-=" + strings.Repeat("x", 3*readerBytes) + "\ny"}, io.EOF},
		{"several lines", "data: a\ndata: b\n\n", []string{"-=a\nb"}, io.EOF},
		{"no space", "data:a\n\n", []string{"-=a"}, io.EOF},
		{"bad number", "id: x\ndata: a\n\n", []string{"-=a"}, io.EOF},
		{"cut inside", "data: a\n\ndata: b\n", []string{"-=a"}, io.ErrUnexpectedEOF},
		{"cut in a line", "data: a\n\ndat", []string{"-=a"}, io.ErrUnexpectedEOF},
		{"too large", "data: " + strings.Repeat("x", MaxEventBytes+10) + "\n\n", nil, ErrEventTooLarge},
		{"too large in lines", strings.Repeat("data: "+strings.Repeat("x", 4096)+"\n", 65), nil, ErrEventTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := NewReader(strings.NewReader(c.text))
			var got []string
			for {
				m, err := r.Next()
				if err != nil {
					require.ErrorIs(t, err, c.err)
					break
				}
				index := "-"
				if m.HasIndex {
					index = fmt.Sprint(m.Index)
				}
				got = append(got, index+"="+string(m.Data))
			}
			require.Equal(t, c.want, got)
		})
	}
}

// TestSequencer offers the events of an answer in any order, some more than once,
// and checks that none is passed twice, out of order, or skipped.
func TestSequencer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 40).Draw(t, "count")
		order := rapid.SliceOfN(rapid.IntRange(0, count-1), 0, 200).Draw(t, "order")
		s := NewSequencer(0)
		next := 0
		for _, i := range order {
			result := s.Offer(uint64(i), fmt.Append(nil, i))
			if result != Accepted {
				require.NotEqual(t, i, next)
				continue
			}
			require.Equal(t, next, i)
			next++
			for data, ok := s.Ready(); ok; data, ok = s.Ready() {
				require.Equal(t, fmt.Sprint(next), string(data))
				next++
			}
			require.Equal(t, uint64(next), s.Next())
		}
	})
}

func TestSequencerBoundsHeldEvents(t *testing.T) {
	s := NewSequencer(0)
	for i := range maxHeldEvents {
		require.Equal(t, Held, s.Offer(uint64(i+1), []byte("x")))
	}
	require.Equal(t, Gap, s.Offer(100, []byte("x")))
	s.Reset()
	require.Equal(t, Gap, s.Offer(5, make([]byte, maxHeldBytes+1)))
	require.Zero(t, s.Pending())
}

// TestBufferReturnsEventsUnchanged guards against faults of the block encoding: it
// stores events that share prefixes and suffixes in all ways, and reads them back
// from any index.
func TestBufferReturnsEventsUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBuffer(1<<20, 0)
		part := rapid.StringMatching(`[ab]{0,6}`)
		var want []string
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			event := part.Draw(t, "start") + strings.Repeat("z", rapid.IntRange(0, 900).Draw(t, "middle")) + part.Draw(t, "end")
			want = append(want, event)
			require.NoError(t, b.Append(t.Context(), []byte(event)))
		}
		from := rapid.IntRange(0, len(want)).Draw(t, "from")
		c := b.Attach(uint64(from))
		for i := from; i < len(want); i++ {
			got, status := c.Next(nil)
			require.Equal(t, Available, status)
			require.Equal(t, want[i], string(got))
		}
		_, status := c.Next(nil)
		require.Equal(t, Pending, status)
		b.Finish(End{})
		_, status = c.Next(nil)
		require.Equal(t, Ended, status)
	})
}

func TestBufferKeepsEventsForSlowestReader(t *testing.T) {
	b := NewBuffer(3*blockBytes, 0)
	slow, fast := b.Attach(0), b.Attach(0)
	fill := func() (n int) {
		for {
			event := fmt.Sprintf("%d%s", b.Next(), strings.Repeat("x", 600))
			ok, err := b.TryAppend([]byte(event))
			require.NoError(t, err)
			if !ok {
				return n
			}
			n++
		}
	}
	fill()
	for range 10 {
		fast.Next(nil)
	}
	require.Zero(t, fill(), "the slow reader has read nothing yet")
	ctx, cancel := context.WithCancelCause(t.Context())
	cancel(errors.New("enough"))
	require.ErrorContains(t, b.Append(ctx, make([]byte, 700)), "enough")
	first, status := slow.Next(nil)
	require.Equal(t, Available, status)
	require.Equal(t, byte('0'), first[0])
	slow.Close()
	fast.Close()
	ok, err := b.TryAppend(make([]byte, 4*blockBytes))
	require.True(t, ok, "without readers the oldest events are dropped")
	require.NoError(t, err)
	_, status = b.Attach(0).Next(nil)
	require.Equal(t, Trimmed, status)
}

// TestBufferKeepsEventsUntilFirstReader guards against answers that outgrow the
// buffer before the caller's handler starts to read them.
func TestBufferKeepsEventsUntilFirstReader(t *testing.T) {
	const base, maxEvents = 3, 10_000
	b := NewBuffer(3*blockBytes, base)
	for full := false; !full; {
		ok, err := b.TryAppend([]byte(fmt.Sprintf("%d%s", b.Next(), strings.Repeat("x", 600))))
		require.NoError(t, err)
		require.Less(t, b.Next(), uint64(maxEvents), "events that nobody has read were dropped")
		full = !ok
	}
	waiting := make(chan error)
	go func() { waiting <- b.Append(t.Context(), make([]byte, 700)) }()
	c := b.Attach(base)
	defer c.Close()
	for index := uint64(base); index < b.Next(); index++ {
		event, status := c.Next(nil)
		require.Equal(t, Available, status)
		if len(event) == 700 {
			break
		}
		require.True(t, strings.HasPrefix(string(event), fmt.Sprint(index)))
	}
	require.NoError(t, <-waiting)
}

// TestBufferFreesSpaceForReaderOfTheEnd: the first reader may want only the newest
// events.
func TestBufferFreesSpaceForReaderOfTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxEvents = 10_000
		b := NewBuffer(3*blockBytes, 0)
		for ok := true; ok; {
			var err error
			ok, err = b.TryAppend(make([]byte, 600))
			require.NoError(t, err)
			require.Less(t, b.Next(), uint64(maxEvents), "events that nobody has read were dropped")
		}
		waiting := make(chan error)
		go func() { waiting <- b.Append(t.Context(), make([]byte, 700)) }()
		synctest.Wait()
		defer b.Attach(b.Next()).Close()
		require.NoError(t, <-waiting)
	})
}

func TestBufferReset(t *testing.T) {
	b := NewBuffer(1<<10, 0)
	require.NoError(t, b.Append(t.Context(), []byte("a")))
	c := b.Attach(0)
	require.True(t, b.Reset(), "no reader has read a part of it")
	_, status := c.Next(nil)
	require.Equal(t, Pending, status)
	require.NoError(t, b.Append(t.Context(), []byte("b")))
	data, _ := c.Next(nil)
	require.Equal(t, "b", string(data))
	require.False(t, b.Reset())
	b.Finish(End{})
	require.ErrorIs(t, b.Append(t.Context(), []byte("c")), ErrEnded)
}

// TestBufferMemoryOfTypicalAnswer bounds the memory of a typical answer of 400
// tokens.
func TestBufferMemoryOfTypicalAnswer(t *testing.T) {
	b := NewBuffer(64<<10, 0)
	whole := 0
	for i := range 400 {
		event := fmt.Sprintf(`{"id":"mokoena/office:0123456789abcdef","object":"chat.completion.chunk","created":1764000000,"model":"cut","choices":[{"index":0,"delta":{"content":" word%d"},"finish_reason":null}]}`, i)
		whole += len(event)
		require.NoError(t, b.Append(t.Context(), []byte(event)))
	}
	require.Greater(t, whole, 60<<10)
	require.Less(t, b.Bytes(), 10<<10)
}

// TestReaderReturnsAnEventBeforeItsLineFeed guards against an event that waits for the byte after a
// carriage return, which may be the first of the next event.
func TestReaderReturnsAnEventBeforeItsLineFeed(t *testing.T) {
	read, write := io.Pipe()
	defer func() { _ = write.Close() }()
	go func() { _, _ = write.Write([]byte("data: a\r\n\r")) }()
	e, err := NewReader(read).Next() // without the event the test ends at its time limit
	require.NoError(t, err)
	require.Equal(t, "a", string(e.Data))
}
