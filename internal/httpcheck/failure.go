package httpcheck

import (
	"cmp"
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
	// writeFailure is the failure of the connection that a write has reported.
	writeFailure error
	// readFailure is the failure that a read has returned. The kernel reports the end of the
	// stream to later reads, and parsers may read on after a line that was cut short. Only one
	// goroutine reads.
	readFailure error
}

func (c *sharedFailureConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeFailure == nil && isFailure(err) {
		c.writeFailure = err
	}
	return n, err
}

func (c *sharedFailureConn) Read(p []byte) (int, error) {
	if c.readFailure != nil {
		return 0, c.readFailure
	}
	n, err := c.Conn.Read(p)
	if err == io.EOF { //nolint:errorlint // io.Reader returns it unwrapped
		err = cmp.Or(c.reportedToWrite(), err)
	}
	if isFailure(err) {
		c.readFailure = err
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
	return c.writeFailure
}

// isFailure reports whether the error of a read or write is a failure of the connection, rather
// than its end (io.EOF and EPIPE) or an interruption by this process.
func isFailure(err error) bool {
	for _, other := range []error{io.EOF, syscall.EPIPE, os.ErrDeadlineExceeded, net.ErrClosed} {
		if errors.Is(err, other) {
			return false
		}
	}
	return err != nil
}

// SyscallConn implements syscall.Conn, which callers use to query the state of the
// connection.
func (c *sharedFailureConn) SyscallConn() (syscall.RawConn, error) {
	if sys, ok := c.Conn.(syscall.Conn); ok {
		return sys.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
