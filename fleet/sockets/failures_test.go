package sockets

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// scriptedConn is a connection whose calls return what a test says. A write waits for its result, or until its
// deadline has passed.
type scriptedConn struct {
	net.Conn
	reads    []error
	writes   chan error
	writing  chan struct{}
	deadline chan struct{}
	once     sync.Once
}

func newScriptedConn(reads ...error) *scriptedConn {
	return &scriptedConn{reads: reads, writes: make(chan error, 1), writing: make(chan struct{}, 1), deadline: make(chan struct{})}
}

// Read implements net.Conn.
func (c *scriptedConn) Read([]byte) (int, error) {
	err := c.reads[0]
	c.reads = c.reads[1:]
	return 0, err
}

// Write implements net.Conn.
func (c *scriptedConn) Write([]byte) (int, error) {
	c.writing <- struct{}{}
	select {
	case err := <-c.writes:
		return 0, err
	case <-c.deadline:
	}
	select {
	case err := <-c.writes:
		return 0, err
	default:
		return 0, os.ErrDeadlineExceeded
	}
}

// SetWriteDeadline implements net.Conn. Only a time in the past has an effect.
func (c *scriptedConn) SetWriteDeadline(t time.Time) error {
	if !t.After(time.Now()) {
		c.once.Do(func() { close(c.deadline) })
	}
	return nil
}

// opError wraps an error as package net does.
func opError(err error) error { return &net.OpError{Op: "write", Net: "tcp", Err: err} }

// TestReaderLearnsOfAFailedWrite guards against a reset that only the writer is told of.
func TestReaderLearnsOfAFailedWrite(t *testing.T) {
	for _, c := range []struct {
		write, want error
	}{
		{syscall.ECONNRESET, syscall.ECONNRESET},
		{syscall.ETIMEDOUT, syscall.ETIMEDOUT},
		{syscall.EHOSTUNREACH, syscall.EHOSTUNREACH},
		// These don't mean that the end of the stream was none.
		{syscall.EPIPE, io.EOF},
		{os.ErrDeadlineExceeded, io.EOF},
		{nil, io.EOF},
	} {
		raw := newScriptedConn(io.EOF, io.EOF)
		conn := KeepFailures(raw)
		result := c.write
		if result != nil {
			result = opError(result)
		}
		raw.writes <- result
		_, err := conn.Write(nil)
		require.ErrorIs(t, err, c.write)
		for range 2 {
			_, err = conn.Read(nil)
			require.ErrorIs(t, err, c.want)
			require.Equal(t, c.want == io.EOF, errors.Is(err, io.EOF))
		}
	}
}

// The reader finds the end of the stream while a write is about to return the failure, or while it waits for a
// peer that reads no more.
func TestEndOfStreamWaitsForAWriteInProgress(t *testing.T) {
	for _, want := range []error{syscall.ECONNRESET, io.EOF} {
		raw := newScriptedConn(io.EOF)
		conn := KeepFailures(raw)
		done := make(chan struct{})
		go func() {
			_, _ = conn.Write(nil)
			close(done)
		}()
		<-raw.writing
		if want == syscall.ECONNRESET {
			raw.writes <- opError(want)
		}
		_, err := conn.Read(nil)
		require.ErrorIs(t, err, want)
		<-done
	}
}

// A read that has failed does not find the end of the stream at the next call. One that was too late does.
func TestReaderLearnsOfAFailureAgain(t *testing.T) {
	conn := KeepFailures(newScriptedConn(opError(syscall.ECONNRESET), io.EOF))
	for range 2 {
		_, err := conn.Read(nil)
		require.ErrorIs(t, err, syscall.ECONNRESET)
	}
	conn = KeepFailures(newScriptedConn(os.ErrDeadlineExceeded, io.EOF))
	_, err := conn.Read(nil)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	_, err = conn.Read(nil)
	require.ErrorIs(t, err, io.EOF)
}
