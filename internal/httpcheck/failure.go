package httpcheck

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// SharedFailureConn returns a connection of an HTTP/1 client whose reads report the failure of
// the connection, such as its reset, also if the kernel has reported that to a write. The
// kernel reports a failure once, to the read or the write that comes first. If that is a
// write, reads return io.EOF, which delimits a response without a length.
//
// A write that is in progress at the end of the stream is interrupted. If the peer ends the
// stream before it resets the connection, Linux lets writes fail with EPIPE instead of
// ECONNRESET, and the end of the stream is that of the response.
func SharedFailureConn(c net.Conn) net.Conn { return &sharedFailureConn{Conn: c} }

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// SharedFailureDial returns a DialFunc whose connections are those of SharedFailureConn.
func SharedFailureDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return SharedFailureConn(c), nil
	}
}

// sharedFailureConn is the connection that SharedFailureConn returns.
type sharedFailureConn struct {
	net.Conn
	// writing is held during each write.
	writing sync.Mutex
	// failure is the failure of the connection that a write has reported.
	failure error
}

func (c *sharedFailureConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.failure == nil && isFailure(err) {
		c.failure = err
	}
	return n, err
}

func (c *sharedFailureConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF { //nolint:errorlint // io.Reader returns it unwrapped
		if failure := c.reportedToWrite(); failure != nil {
			return n, failure
		}
	}
	return n, err
}

// reportedToWrite returns the failure that a write has reported. It interrupts a write that
// is in progress: its system call may have returned the failure already.
func (c *sharedFailureConn) reportedToWrite() error {
	// If this fails, the connection is closed and the write ends as well.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.failure
}

// isFailure reports whether the error of a write is a failure of the connection, rather than
// its end (EPIPE) or an interruption by this process.
func isFailure(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}

// SyscallConn implements syscall.Conn, which callers use to query the state of the
// connection.
func (c *sharedFailureConn) SyscallConn() (syscall.RawConn, error) {
	if sys, ok := c.Conn.(syscall.Conn); ok {
		return sys.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
