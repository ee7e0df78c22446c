package httpcheck

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// endedConn is a connection whose reads find the end of the stream and whose writes fail.
type endedConn struct {
	net.Conn
	writeErr error
	// readErr is the error of the first read, if not nil.
	readErr error
	// writing, if not nil, is closed once a write is in progress, which then waits until it
	// is interrupted.
	writing, interrupted chan struct{}
}

func (c *endedConn) Read([]byte) (int, error) {
	if err := c.readErr; err != nil {
		c.readErr = nil
		return 0, err
	}
	return 0, io.EOF
}

func (c *endedConn) Write([]byte) (int, error) {
	if c.writing != nil {
		close(c.writing)
		<-c.interrupted
	}
	return 0, c.writeErr
}

func (c *endedConn) SetWriteDeadline(time.Time) error {
	if c.interrupted != nil {
		close(c.interrupted)
	}
	return nil
}

// Guards against a failure of the connection that only a write has reported, and against the
// end of the stream that is reported as a failure.
func TestReadReportsTheFailureThatAWriteFound(t *testing.T) {
	for _, c := range []struct {
		writeErr error
		failed   bool
	}{
		{nil, false},
		{syscall.EPIPE, false},
		{os.ErrDeadlineExceeded, false},
		{net.ErrClosed, false},
		{&net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.EPIPE)}, false},
		{&net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.ECONNRESET)}, true},
		{syscall.ETIMEDOUT, true},
		{syscall.EHOSTUNREACH, true},
	} {
		conn := SharedFailureConn(&endedConn{writeErr: c.writeErr})
		_, err := conn.Read(nil)
		require.Equal(t, io.EOF, err, "before the write")
		_, _ = conn.Write(nil)
		for range 2 {
			_, err = conn.Read(nil)
			if c.failed {
				require.Equal(t, c.writeErr, err)
			} else {
				require.Equal(t, io.EOF, err, "%v", c.writeErr)
			}
		}
	}
}

// Guards against the end of a stream that a parser finds after it has ignored the failure that
// the first read returned.
func TestReadRepeatsItsFailure(t *testing.T) {
	conn := SharedFailureConn(&endedConn{readErr: syscall.ECONNRESET, writeErr: syscall.EPIPE})
	for range 3 {
		_, err := conn.Read(nil)
		require.Equal(t, syscall.ECONNRESET, err)
		_, _ = conn.Write(nil)
	}
	conn = SharedFailureConn(&endedConn{readErr: os.ErrDeadlineExceeded})
	_, err := conn.Read(nil)
	require.Equal(t, os.ErrDeadlineExceeded, err)
	_, err = conn.Read(nil)
	require.Equal(t, io.EOF, err, "an interruption does not last")
}

// Guards against a reader that takes the end of the stream for that of the response while the
// write to which the failure was reported has not returned yet, and against one that waits
// for a write without end.
func TestReadInterruptsTheWriteInProgress(t *testing.T) {
	for _, writeErr := range []error{syscall.ECONNRESET, os.ErrDeadlineExceeded} {
		inner := &endedConn{writeErr: writeErr, writing: make(chan struct{}), interrupted: make(chan struct{})}
		conn := SharedFailureConn(inner)
		go func() { _, _ = conn.Write(nil) }()
		<-inner.writing
		_, err := conn.Read(nil)
		if writeErr == syscall.ECONNRESET {
			require.Equal(t, writeErr, err)
		} else {
			require.Equal(t, io.EOF, err)
		}
	}
}
