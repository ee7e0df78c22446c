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

	"github.com/catkinspring/catkinspring/internal/httpcheck"
)

const (
	dialTimeout = time.Second
	// maxIdleTime is shorter than the idle timeout of an entry host, so that no request
	// is sent on a connection that the host is closing.
	maxIdleTime    = 3 * time.Second
	maxConnections = 1024
)

// connectError reports that no connection was established.
type connectError struct {
	cause error
}

func (e *connectError) Error() string { return "connecting: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *connectError) Unwrap() error { return e.cause }

// clients holds one connection pool per entry host.
type clients struct {
	mu    sync.Mutex
	hosts map[netip.AddrPort]*fasthttp.HostClient
}

func (c *clients) clientFor(host netip.AddrPort) *fasthttp.HostClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := c.hosts[host]
	if client == nil {
		client = newClient(host)
		c.hosts[host] = client
	}
	return client
}

// newClient returns a client that sends each request once. Retries are left to
// sender, which records them.
func newClient(host netip.AddrPort) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      host.String(),
		MaxConns:                  maxConnections,
		MaxIdleConnDuration:       maxIdleTime,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial: func(address string) (net.Conn, error) {
			conn, err := net.DialTimeout("tcp", address, dialTimeout)
			if err != nil {
				return nil, &connectError{cause: err}
			}
			// fasthttp reports a response with status 000 as a success.
			return httpcheck.CheckedConn(conn), nil
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

func classifyFailure(err error) Failure {
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
