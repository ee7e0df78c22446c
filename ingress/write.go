package ingress

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
	"time"
)

// writeTimeout is the timeout for sending a response to a caller that reads slowly.
const writeTimeout = 10 * time.Second

// ConnectionEndedError reports a request behind a response that ended the connection.
type ConnectionEndedError struct{}

func (*ConnectionEndedError) Error() string { return "an earlier response ended the connection" }

// NotAcceptedError reports a request that was read behind an open one of its connection
// while the server drains, or behind the last response.
type NotAcceptedError struct{}

func (*NotAcceptedError) Error() string { return "not accepted on a connection that is being closed" }

// writeResponses writes the responses in the order of the requests. A response that
// closes the connection is the last one: later requests get no response.
func (c *conn) writeResponses() {
	done := false
	for p := range c.queue {
		if done {
			c.giveUp(p)
			continue
		}
		response := <-p.response
		closesAfter := c.closesAfter(p, response)
		if response.Status == 0 {
			done = true
		} else if err := c.writeResponse(response, closesAfter); err != nil {
			done = true
			c.reportUnanswered(p, err)
		}
		c.remove(p)
		response.release()
		if done || closesAfter {
			done = true
			c.closeWrite()
		}
	}
}

// giveUp gives up a request behind a response that ended the connection.
func (c *conn) giveUp(p *pendingRequest) {
	c.reportUnanswered(p, &ConnectionEndedError{})
	go func() {
		(<-p.response).release()
		c.remove(p)
	}()
}

// reportUnanswered reports a request whose connection ends without its whole response.
func (c *conn) reportUnanswered(p *pendingRequest, cause error) {
	if report := c.server.config.Unanswered; report != nil && p.request != nil {
		report(p.request, cause)
	}
}

// closesAfter reports whether the connection is closed after a response. If the
// server drains or the response requests it, that is once no other request is open,
// because pipelined requests may already be running.
func (c *conn) closesAfter(p *pendingRequest, response *Response) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	requested := response.Close || c.server.draining.Load()
	closes := p.last || requested && len(c.open) == 1 && (!c.reading || c.server.reuseEnded.Load())
	c.closing = c.closing || closes
	// The caller may send its next request as soon as it has the response, and that one
	// is not behind an open request.
	c.removeOpen(p)
	c.writing = p
	return closes
}

// closeWrite closes the sending side, stops the reader and cancels the requests that
// still run.
func (c *conn) closeWrite() {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	c.writeClosed = true
	c.cancel()
	if tcp, ok := c.raw.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.raw.SetReadDeadline(pastDeadline)
}

func (c *conn) writeResponse(r *Response, last bool) error {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString("HTTP/1.1 " + strconv.Itoa(r.Status) + " " + http.StatusText(r.Status) + "\r\n")
	_ = r.Header.Write(&b) // writes to a bytes.Buffer never fail
	b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	if last {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	if err := c.raw.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := c.raw.Write(b.Bytes())
	return err
}
