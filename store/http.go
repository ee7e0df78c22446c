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
	"github.com/catkinspring/catkinspring/machine"
)

// Bounds and defaults of the HTTP adapter.
const (
	// DefaultTimeout bounds one call, connection set-up included.
	DefaultTimeout = 2 * time.Second
	// DefaultConnectTimeout bounds the set-up of a connection.
	DefaultConnectTimeout = 500 * time.Millisecond
	// maxListSize bounds the bodies of lists and watches, in bytes. 4,900 hosts
	// take about 1.2 MiB in the host list.
	maxListSize = 8 << 20
	// maxValueResponse bounds the body of every other response, in bytes.
	maxValueResponse = MaxValueSize + 4096
	// maxConnections bounds the open connections to the store of each client.
	maxConnections = 64
	// idleConnection is the time after which an unused connection is closed.
	idleConnection = 20 * time.Second
)

// VersionHeader names the header of list responses that carries the version of
// the whole store.
const VersionHeader = "X-Store-Version"

// ClientHeader names the header that carries the id of the calling host.
const ClientHeader = "X-Client"

// HTTPOptions configures the HTTP adapter.
type HTTPOptions struct {
	// Address is the address of the platform, host and port.
	Address string
	// Host is the id of this host. It is sent with every call.
	Host fleet.HostID
	// Token is sent as a bearer token if it is not empty.
	Token string
	// TLS enables TLS with the given configuration if it is not nil.
	TLS *tls.Config
	// Timeout bounds one call; 0 means DefaultTimeout. A watch may last this much
	// longer than its own timeout.
	Timeout time.Duration
	// ConnectTimeout bounds the set-up of a connection; 0 means DefaultConnectTimeout.
	ConnectTimeout time.Duration
	// Metrics counts the calls; nil means that nothing is counted.
	Metrics *Metrics
}

// HTTP is the adapter of Objects and Hosts to the platform's HTTP API, see
// docs/design.md section 11. It never repeats a call.
type HTTP struct {
	options HTTPOptions
	values  *fasthttp.HostClient
	lists   *fasthttp.HostClient
}

var (
	_ Objects = (*HTTP)(nil)
	_ Hosts   = (*HTTP)(nil)
)

// NewHTTP returns an adapter. It opens no connection before the first call.
func NewHTTP(options HTTPOptions) *HTTP {
	if options.Timeout <= 0 {
		options.Timeout = DefaultTimeout
	}
	if options.ConnectTimeout <= 0 {
		options.ConnectTimeout = DefaultConnectTimeout
	}
	h := &HTTP{options: options}
	h.values = h.newClient(maxValueResponse)
	h.lists = h.newClient(maxListSize)
	return h
}

// Close closes the idle connections.
func (h *HTTP) Close() {
	h.values.CloseIdleConnections()
	h.lists.CloseIdleConnections()
}

func (h *HTTP) newClient(maxBody int) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      h.options.Address,
		DialTimeout:               h.dial,
		MaxConns:                  maxConnections,
		MaxIdleConnDuration:       idleConnection,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxResponseBodySize:       maxBody,
		NoDefaultUserAgentHeader:  true,
		DisablePathNormalizing:    true,
	}
}

// dialError marks a failure before anything of the request was sent.
type dialError struct{ cause error }

func (e *dialError) Error() string { return fmt.Sprintf("connecting: %v", e.cause) }
func (e *dialError) Unwrap() error { return e.cause }

// dial connects, and completes the TLS handshake, so that a failure of either
// is known to have sent nothing.
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
		return conn, nil
	}
	conn, err := tls.DialWithDialer(dialer, "tcp", address, h.options.TLS)
	if err != nil {
		return nil, &dialError{cause: err}
	}
	return conn, nil
}

// call is one HTTP exchange.
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

// reply is the response of a call, independent of fasthttp's buffers.
type reply struct {
	status int
	etag   string
	body   []byte
	// storeVersion is the content of VersionHeader.
	storeVersion string
}

// do carries out a call. An error that isn't a *dialError means that the
// request may have been received.
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

// ResponseError reports a response that could not be understood.
type ResponseError struct {
	Reason string
}

func (e *ResponseError) Error() string {
	return "response of the store: " + e.Reason
}

// notSent reports whether nothing of the request reached the store.
func notSent(err error) bool {
	var dial *dialError
	return errors.As(err, &dial) || errors.Is(err, fasthttp.ErrNoFreeConns)
}

// readFailed maps the failure of a read, which never changes anything.
func readFailed(err error) error {
	return &UnavailableError{Cause: eris.Wrap(err, "reading")}
}

// writeFailed maps the failure of a write: only one that was never sent
// certainly changed nothing.
func writeFailed(key machine.StoreKey, err error) error {
	if notSent(err) {
		return &UnavailableError{Cause: err}
	}
	return &AnswerLostError{Key: key, Cause: err}
}

// writeStatus maps an unexpected status of a write. A response of class 4xx and
// 503 come from the store itself, which then did nothing. Any other status may
// come from a gateway in between that lost the store's answer.
func writeStatus(key machine.StoreKey, status int) error {
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
		return readFailed(&ResponseError{Reason: err.Error()})
	}
	return nil
}
