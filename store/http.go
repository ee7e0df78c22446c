package store

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/internal/httpcheck"
	"github.com/catkinspring/catkinspring/machine"
)

// Limits and defaults of the HTTP client.
const (
	// DefaultTimeout is the timeout of one call, including connection setup.
	DefaultTimeout = 2 * time.Second
	// DefaultConnectTimeout is the timeout of connection setup.
	DefaultConnectTimeout = 500 * time.Millisecond
	// maxListSize is the maximum size in bytes of the response bodies of lists and
	// watches. 4,900 hosts take about 1.2 MiB in the host list.
	maxListSize = 8 << 20
	// maxValueResponseSize is the maximum size in bytes of any other response body.
	maxValueResponseSize = MaxValueSize + 4096
	// maxConnections is the maximum number of open connections of each client to
	// the store.
	maxConnections = 64
	// idleConnectionTimeout is the time after which an idle connection is closed.
	idleConnectionTimeout = 20 * time.Second
)

// VersionHeader is the name of the header of list responses that holds the
// version of the whole store.
const VersionHeader = "X-Store-Version"

// ClientHeader is the name of the request header that holds the ID of the
// calling host.
const ClientHeader = "X-Client"

// HTTPOptions configures the HTTP client.
type HTTPOptions struct {
	// Address is the host and port of the platform.
	Address string
	// Host is the ID of this host. It is sent with every call.
	Host fleet.HostID
	// Token is sent as a bearer token if it is not empty.
	Token string
	// TLS enables TLS with the given configuration if it is not nil.
	TLS *tls.Config
	// Timeout is the timeout of one call; 0 means DefaultTimeout. A watch may take
	// this much longer than its own timeout.
	Timeout time.Duration
	// ConnectTimeout is the timeout of connection setup; 0 means
	// DefaultConnectTimeout.
	ConnectTimeout time.Duration
	// Metrics counts the calls; nil disables counting.
	Metrics *Metrics
}

// HTTP implements Objects and Hosts with the platform's HTTP API, see
// docs/design.md section 11. It never retries a call.
type HTTP struct {
	options      HTTPOptions
	objectClient *fasthttp.HostClient
	listClient   *fasthttp.HostClient
}

var (
	_ Objects = (*HTTP)(nil)
	_ Hosts   = (*HTTP)(nil)
)

// NewHTTP returns a client. It opens no connection before the first call.
func NewHTTP(options HTTPOptions) *HTTP {
	if options.Timeout <= 0 {
		options.Timeout = DefaultTimeout
	}
	if options.ConnectTimeout <= 0 {
		options.ConnectTimeout = DefaultConnectTimeout
	}
	h := &HTTP{options: options}
	h.objectClient = h.newClient(maxValueResponseSize)
	h.listClient = h.newClient(maxListSize)
	return h
}

// Close closes the idle connections.
func (h *HTTP) Close() {
	h.objectClient.CloseIdleConnections()
	h.listClient.CloseIdleConnections()
}

func (h *HTTP) newClient(maxBody int) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      h.options.Address,
		DialTimeout:               h.dial,
		MaxConns:                  maxConnections,
		MaxIdleConnDuration:       idleConnectionTimeout,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxResponseBodySize:       maxBody,
		NoDefaultUserAgentHeader:  true,
		DisablePathNormalizing:    true,
	}
}

// dialError reports a failure before any part of the request was sent.
type dialError struct{ cause error }

func (e *dialError) Error() string { return fmt.Sprintf("connecting: %v", e.cause) }
func (e *dialError) Unwrap() error { return e.cause }

// dial connects and completes the TLS handshake, so that after a failure of
// either it is certain that no part of the request was sent.
func (h *HTTP) dial(address string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 || timeout > h.options.ConnectTimeout {
		timeout = h.options.ConnectTimeout
	}
	dialer := &net.Dialer{Timeout: timeout}
	if h.options.TLS == nil {
		conn, err := dialer.Dial("tcp", address)
		if err != nil {
			return nil, &dialError{cause: err}
		}
		return httpcheck.CheckedConn(conn), nil
	}
	conn, err := tls.DialWithDialer(dialer, "tcp", address, h.options.TLS)
	if err != nil {
		return nil, &dialError{cause: err}
	}
	return httpcheck.CheckedConn(conn), nil
}

// call is one HTTP request with its options.
type call struct {
	kind    string
	method  string
	path    string
	header  string
	value   string
	body    []byte
	client  *fasthttp.HostClient
	timeout time.Duration
}

// reply is the response to a call, copied out of fasthttp's buffers.
type reply struct {
	status int
	etag   string
	body   []byte
	// storeVersion is the value of VersionHeader.
	storeVersion string
}

// do executes a call. An error that isn't a *dialError means that the store may
// have received the request.
func (h *HTTP) do(ctx context.Context, c call) (reply, error) {
	if err := ctx.Err(); err != nil {
		return reply{}, &dialError{cause: err}
	}
	if deadline, ok := ctx.Deadline(); ok {
		c.timeout = min(c.timeout, time.Until(deadline))
	}
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + h.options.Address + c.path)
	request.Header.SetMethod(c.method)
	request.Header.Set(ClientHeader, string(h.options.Host))
	if h.options.Token != "" {
		request.Header.Set("Authorization", "Bearer "+h.options.Token)
	}
	if c.header != "" {
		request.Header.Set(c.header, c.value)
	}
	request.SetBodyRaw(c.body)
	started := time.Now()
	err := c.client.DoTimeout(request, response, c.timeout)
	h.options.Metrics.record(c.kind, time.Since(started), err != nil || response.StatusCode() >= http.StatusInternalServerError)
	if err != nil {
		return reply{}, err
	}
	return reply{
		status: response.StatusCode(),
		etag:   string(response.Header.Peek("ETag")),
		body:   append([]byte(nil), response.Body()...),

		storeVersion: string(response.Header.Peek(VersionHeader)),
	}, nil
}

// StatusError reports a response with an unexpected HTTP status.
type StatusError struct {
	Status int
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("store answered with HTTP status %d", e.Status)
}

// ResponseError reports a malformed response.
type ResponseError struct {
	Reason string
}

func (e *ResponseError) Error() string {
	return "response of the store: " + e.Reason
}

// notSent reports whether an error means that no part of the request was sent.
func notSent(err error) bool {
	var dial *dialError
	return errors.As(err, &dial) || errors.Is(err, fasthttp.ErrNoFreeConns)
}

// readError returns the error for a failed read, which never changes anything.
func readError(err error) error {
	return &UnavailableError{Cause: eris.Wrap(err, "reading")}
}

// writeTransportError returns the error for a write without a response: only if
// the request was never sent is it certain that nothing changed.
func writeTransportError(key machine.StoreKey, err error) error {
	if notSent(err) {
		return &UnavailableError{Cause: err}
	}
	return &AnswerLostError{Key: key, Cause: err}
}

// writeStatusError returns the error for an unexpected status of a write. 4xx and
// 503 come from the store itself and mean that nothing changed. Any other status
// may come from a proxy in front of the store that lost the store's response.
func writeStatusError(key machine.StoreKey, status int) error {
	cause := &StatusError{Status: status}
	if status == http.StatusServiceUnavailable || status/100 == 4 {
		return &UnavailableError{Cause: cause}
	}
	return &AnswerLostError{Key: key, Cause: cause}
}

func objectPath(key machine.StoreKey) string {
	return "/v1/objects/" + url.PathEscape(key.Kind) + "/" + url.PathEscape(key.Name)
}

func quoteVersion(version uint64) string {
	return `"` + strconv.FormatUint(version, 10) + `"`
}

func parseETag(etag string) (uint64, error) {
	text := strings.TrimSuffix(strings.TrimPrefix(etag, `"`), `"`)
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, &ResponseError{Reason: fmt.Sprintf("ETag %q is not a version", etag)}
	}
	return version, nil
}

func decodeJSON(body []byte, into any) error {
	if err := json.Unmarshal(body, into); err != nil {
		return readError(&ResponseError{Reason: err.Error()})
	}
	return nil
}
