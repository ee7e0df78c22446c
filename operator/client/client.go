package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/catkinspring/catkinspring/internal/httpcheck"
	"github.com/catkinspring/catkinspring/operator"
)

const (
	// DefaultTimeout bounds one request to one host.
	DefaultTimeout = 5 * time.Second
	// applyTimeout bounds the wait until a note is accepted or refused. It is longer
	// than the server's timeout, so that the server's response arrives.
	applyTimeout = 35 * time.Second
	// maxResponseBytes bounds a response body: 10,000 events of at most 1.5 KiB.
	maxResponseBytes = 32 << 20
)

// Config configures a Client.
type Config struct {
	// Hosts are the operators' addresses of hosts, "IP:PORT" or a URL. They are
	// tried in order until one can be reached.
	Hosts []string
	// Credential is the operators' bearer token.
	Credential string
	// Timeout bounds one request; 0 means DefaultTimeout.
	Timeout time.Duration
}

// Client is a client of the operators' interface. It is safe for concurrent use.
type Client struct {
	addresses  []string
	credential string
	timeout    time.Duration
	http       *http.Client
}

// transport is shared by all clients, so that they share its idle connections.
var transport = func() *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.DialContext = httpcheck.SharedFailureDial(t.DialContext)
	return t
}()

// New returns a client.
func New(config Config) *Client {
	c := &Client{addresses: config.Hosts, credential: config.Credential, timeout: config.Timeout}
	if c.timeout <= 0 {
		c.timeout = DefaultTimeout
	}
	c.http = &http.Client{
		Transport: transport,
		// Following a redirect would send the credential to another server.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c
}

// apiCall is one request to the operators' interface.
type apiCall struct {
	method  string
	path    string
	query   url.Values
	body    []byte
	timeout time.Duration
}

// sendToFirst sends a request to the hosts in order until one answers, and returns
// the address of that host. It skips hosts that can't be reached or report that they are
// unavailable. It returns *UnreachableError if no host could be reached.
func (c *Client) sendToFirst(ctx context.Context, call apiCall, into any) (string, error) {
	var attempts []Attempt
	var unavailable error
	for _, address := range c.addresses {
		err := c.send(ctx, address, call, into)
		if err == nil {
			return address, nil
		}
		if ctx.Err() != nil {
			return address, eris.Wrap(err, "interrupted")
		}
		if refused, ok := asFailureError(err); ok {
			if refused.Failure.Kind != operator.FailureUnavailable {
				return address, err
			}
			unavailable = err
			continue
		}
		attempts = append(attempts, Attempt{Address: address, Err: err})
	}
	if unavailable != nil {
		return "", unavailable
	}
	return "", &UnreachableError{Attempts: attempts}
}

// send sends a request to one host. It returns *FailureError if the host
// refused, and any other error if the host could not be reached.
func (c *Client) send(ctx context.Context, address string, call apiCall, into any) error {
	timeout := call.timeout
	if timeout == 0 {
		timeout = c.timeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	requestURL := baseURL(address) + call.path
	if len(call.query) > 0 {
		requestURL += "?" + call.query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, call.method, requestURL, bytes.NewReader(call.body))
	if err != nil {
		return eris.Wrap(err, "operators' address")
	}
	request.Header.Set("Authorization", "Bearer "+c.credential)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if err := httpcheck.Response(response); err != nil {
		// Not a refusal: the host may have done what was requested.
		return err
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return eris.Wrap(err, "answer")
	}
	if response.StatusCode != http.StatusOK {
		return newFailureError(address, response.StatusCode, text)
	}
	if raw, ok := into.(*[]byte); ok {
		*raw = text
		return nil
	}
	return eris.Wrap(json.Unmarshal(text, into), "answer")
}

func baseURL(address string) string {
	if strings.Contains(address, "://") {
		return strings.TrimSuffix(address, "/")
	}
	return "http://" + address
}

// Apply submits a note and waits until it is accepted or refused, but not until it
// is in force; see AwaitRevision. Retrying at the next host after a lost response
// is safe, because a note is accepted only once per ID. It returns
// *UndecidedError if a response was lost and no other host decided.
func (c *Client) Apply(ctx context.Context, note []byte) (operator.Applied, error) {
	call := apiCall{method: http.MethodPost, path: operator.PathNotes, body: note, timeout: applyTimeout}
	var attempts, lost []Attempt
	var unavailable error
	for _, address := range c.addresses {
		var applied operator.Applied
		err := c.send(ctx, address, call, &applied)
		if err == nil {
			return applied, nil
		}
		if refused, ok := asFailureError(err); ok {
			if refused.Failure.Kind != operator.FailureUnavailable {
				return applied, err
			}
			unavailable = err
			continue
		}
		attempts = append(attempts, Attempt{Address: address, Err: err})
		if !neverSent(err) {
			lost = append(lost, Attempt{Address: address, Err: err})
		}
	}
	switch {
	case len(lost) > 0:
		return operator.Applied{}, &UndecidedError{Attempts: lost}
	case unavailable != nil:
		return operator.Applied{}, unavailable
	}
	return operator.Applied{}, &UnreachableError{Attempts: attempts}
}

// neverSent reports whether a request failed because no connection was opened.
func neverSent(err error) bool {
	var network *net.OpError
	return errors.As(err, &network) && network.Op == "dial"
}

// Check applies a note to a copy of the configuration in force, without changing it.
func (c *Client) Check(ctx context.Context, note []byte) (operator.Checked, error) {
	var checked operator.Checked
	_, err := c.sendToFirst(ctx, apiCall{method: http.MethodPost, path: operator.PathCheck, body: note}, &checked)
	return checked, err
}

// Notes lists the accepted notes.
func (c *Client) Notes(ctx context.Context) (operator.Notes, error) {
	var notes operator.Notes
	_, err := c.sendToFirst(ctx, apiCall{method: http.MethodGet, path: operator.PathNotes}, &notes)
	return notes, err
}

// Configuration returns the configuration in force on the first host.
func (c *Client) Configuration(ctx context.Context) (operator.Configuration, error) {
	var configuration operator.Configuration
	_, err := c.sendToFirst(ctx, apiCall{method: http.MethodGet, path: operator.PathConfiguration}, &configuration)
	return configuration, err
}

// AlertRules returns the alert rules as they were accepted, one line each.
func (c *Client) AlertRules(ctx context.Context) ([]byte, error) {
	var text []byte
	_, err := c.sendToFirst(ctx, apiCall{method: http.MethodGet, path: operator.PathAlertRules}, &text)
	return text, err
}

// Level returns the lowest level that a host logs.
func (c *Client) Level(ctx context.Context, address string) (string, error) {
	var level operator.LogLevel
	err := c.send(ctx, address, apiCall{method: http.MethodGet, path: operator.PathLogLevel}, &level)
	return level.Level, err
}

// SetLevel changes the lowest level that a host logs, until the host restarts.
func (c *Client) SetLevel(ctx context.Context, address, level string) error {
	body, err := json.Marshal(operator.LogLevel{Level: level})
	if err != nil {
		return eris.Wrap(err, "log level")
	}
	return c.send(ctx, address, apiCall{method: http.MethodPut, path: operator.PathLogLevel, body: body}, &operator.LogLevel{})
}
