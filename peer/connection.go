package peer

import (
	"context"
	"io"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/sourcegraph/conc"

	"github.com/catkinspring/catkinspring/fleet"
)

// QUIC application error codes that are sent when a connection is closed.
const (
	closeShutdown  quic.ApplicationErrorCode = 0
	closeProtocol  quic.ApplicationErrorCode = 1
	closeDuplicate quic.ApplicationErrorCode = 2
)

// connection is a connection on which both sides have exchanged hello messages.
type connection struct {
	conn   *quic.Conn
	stream *quic.Stream
	member fleet.Member
	dialed bool
	// sendCtx is cancelled when the connection is no longer used for sending.
	sendCtx    context.Context
	cancelSend context.CancelFunc
}

func (c *connection) alive() bool { return c.conn.Context().Err() == nil }

func (c *connection) close(code quic.ApplicationErrorCode, reason string) {
	_ = c.conn.CloseWithError(code, reason)
}

// run sends and receives messages over a connection until it closes.
func (t *Transport) run(c *connection) {
	_ = c.stream.SetDeadline(time.Time{})
	c.sendCtx, c.cancelSend = context.WithCancel(c.conn.Context())
	defer c.cancelSend()
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		c.close(closeShutdown, "shutting down")
		return
	}
	r := t.remoteLocked(c.member.Host)
	t.mu.Unlock()
	if !r.attach(c) {
		t.counters.duplicates.Inc(1)
		c.close(closeDuplicate, "another connection is in use")
		return
	}
	t.counters.connections.Inc(1)
	group := conc.NewWaitGroup()
	group.Go(func() { t.sendSmall(r, c) })
	group.Go(func() { t.sendLarge(r, c) })
	group.Go(func() { t.receiveSmall(c) })
	group.Go(func() { t.receiveLarge(c, group) })
	group.Wait()
	r.detach(c)
}

// sendSmall writes the queued small messages of a peer to the shared stream.
func (t *Transport) sendSmall(r *remote, c *connection) {
	for {
		wire, ok := r.next(c.sendCtx, r.small)
		if !ok {
			return
		}
		_ = c.stream.SetWriteDeadline(time.Now().Add(idleTimeout))
		if err := writeFrame(c.stream, wire); err != nil {
			c.close(closeProtocol, "peer does not read")
			return
		}
		t.counters.messagesOut.Inc(1)
		t.counters.bytesOut.Inc(int64(frameHeaderSize + len(wire)))
	}
}

// sendLarge writes each queued large message of a peer to a stream of its own.
func (t *Transport) sendLarge(r *remote, c *connection) {
	for {
		wire, ok := r.next(c.sendCtx, r.large)
		if !ok {
			return
		}
		if err := sendOnStream(c, wire); err != nil {
			c.close(closeProtocol, "peer does not read")
			return
		}
		t.counters.messagesOut.Inc(1)
		t.counters.bytesOut.Inc(int64(len(wire)))
	}
}

func sendOnStream(c *connection, wire []byte) error {
	ctx, cancel := context.WithTimeout(c.conn.Context(), transferTimeout)
	defer cancel()
	stream, err := c.conn.OpenUniStreamSync(ctx)
	if err != nil {
		return err
	}
	_ = stream.SetWriteDeadline(time.Now().Add(transferTimeout))
	if _, err := stream.Write(wire); err != nil {
		return err
	}
	return stream.Close()
}

// receiveSmall delivers the messages of the shared stream. After a frame of the
// wrong size the position in the stream is lost, so the connection is closed; a
// message that can't be decoded is skipped and counted.
func (t *Transport) receiveSmall(c *connection) {
	for {
		wire, err := readFrame(c.stream, largeMessageSize)
		if err != nil {
			c.close(closeProtocol, "stream ended")
			return
		}
		t.deliver(c, wire, frameHeaderSize)
	}
}

func (t *Transport) receiveLarge(c *connection, group *conc.WaitGroup) {
	for {
		stream, err := c.conn.AcceptUniStream(c.conn.Context())
		if err != nil {
			return
		}
		group.Go(func() {
			_ = stream.SetReadDeadline(time.Now().Add(transferTimeout))
			wire, err := io.ReadAll(io.LimitReader(stream, MaxMessageSize+timestampSize+1))
			if err != nil {
				return
			}
			t.deliver(c, wire, 0)
			stream.CancelRead(0)
		})
	}
}

func (t *Transport) deliver(c *connection, wire []byte, headerSize int) {
	t.counters.messagesIn.Inc(1)
	t.counters.bytesIn.Inc(int64(headerSize + len(wire)))
	content, ok := t.observeTimestamp(wire)
	if !ok {
		t.counters.dropsMalformed.Inc(1)
		return
	}
	message, err := t.codec.Decode(content)
	if err != nil {
		t.counters.dropsMalformed.Inc(1)
		return
	}
	t.config.Receive(c.member, message)
}
