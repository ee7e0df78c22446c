package load

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	dialTimeout = time.Second
	// idleTime closes idle connections before an entry host does, so that a
	// request does not meet a connection that is being closed.
	idleTime       = 3 * time.Second
	maxConnections = 1024
)

// connectError reports that no connection was made.
type connectError struct {
	cause error
}

func (e *connectError) Error() string { return "connecting: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *connectError) Unwrap() error { return e.cause }

// clients holds one pool of connections per entry host.
type clients struct {
	mu    sync.Mutex
	hosts map[netip.AddrPort]*fasthttp.HostClient
}

func (c *clients) to(host netip.AddrPort) *fasthttp.HostClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := c.hosts[host]
	if client == nil {
		client = newClient(host)
		c.hosts[host] = client
	}
	return client
}

// newClient returns a client that sends each request once. Repeats are the
// sender's, which records them.
func newClient(host netip.AddrPort) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      host.String(),
		MaxConns:                  maxConnections,
		MaxIdleConnDuration:       idleTime,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial: func(address string) (net.Conn, error) {
			conn, err := net.DialTimeout("tcp", address, dialTimeout)
			if err != nil {
				return nil, &connectError{cause: err}
			}
			return conn, nil
		},
	}
}

func (c *clients) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, client := range c.hosts {
		client.CloseIdleConnections()
	}
}

func classify(err error) Failure {
	var connect *connectError
	var network net.Error
	switch {
	case errors.As(err, &connect), errors.Is(err, fasthttp.ErrNoFreeConns):
		return FailureConnect
	case errors.Is(err, fasthttp.ErrTimeout), errors.As(err, &network) && network.Timeout():
		return FailureTimeout
	case errors.Is(err, io.ErrUnexpectedEOF):
		return FailureTruncated
	}
	return FailureLost
}

func decodeJSON(text []byte, into any) bool { return json.Unmarshal(text, into) == nil }
