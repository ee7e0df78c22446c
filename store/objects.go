package store

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinspring/catkinspring/machine"
)

// Get returns the object, or a *NotFoundError or *UnavailableError.
func (h *HTTP) Get(ctx context.Context, key machine.StoreKey) (Object, error) {
	r, err := h.do(ctx, h.objectCall(kindGet, http.MethodGet, key))
	if err != nil {
		return Object{}, readError(err)
	}
	switch r.status {
	case http.StatusOK:
	case http.StatusNotFound:
		return Object{}, &NotFoundError{Key: key}
	default:
		return Object{}, readError(&StatusError{Status: r.status})
	}
	version, err := parseETag(r.etag)
	if err != nil {
		return Object{}, readError(err)
	}
	return Object{Key: key, Version: version, Value: r.body}, nil
}

// Create writes a new object and returns its version. It returns a *ConflictError
// if the object exists, a *TooLargeError if the value is too large, an
// *UnavailableError if nothing changed, and an *AnswerLostError if the object may
// have been written.
func (h *HTTP) Create(ctx context.Context, key machine.StoreKey, value []byte) (uint64, error) {
	c := h.objectCall(kindCreate, http.MethodPut, key)
	c.header, c.value, c.body = "If-None-Match", "*", value
	return h.put(ctx, key, c)
}

// Update replaces the object if it has the given version. Its errors are those of
// Create, and a *NotFoundError if the object does not exist.
func (h *HTTP) Update(ctx context.Context, key machine.StoreKey, version uint64, value []byte) (uint64, error) {
	c := h.objectCall(kindUpdate, http.MethodPut, key)
	c.header, c.value, c.body = "If-Match", quoteVersion(version), value
	return h.put(ctx, key, c)
}

// Delete removes the object if it has the given version. Its errors are those of
// Update.
func (h *HTTP) Delete(ctx context.Context, key machine.StoreKey, version uint64) error {
	c := h.objectCall(kindDelete, http.MethodDelete, key)
	c.header, c.value = "If-Match", quoteVersion(version)
	r, err := h.do(ctx, c)
	if err != nil {
		return writeTransportError(key, err)
	}
	switch r.status {
	case http.StatusNoContent, http.StatusOK:
		return nil
	default:
		return h.writeResponseError(key, r, 0)
	}
}

func (h *HTTP) objectCall(kind, method string, key machine.StoreKey) call {
	return call{kind: kind, method: method, path: objectPath(key), client: h.objectClient, timeout: h.options.Timeout}
}

func (h *HTTP) put(ctx context.Context, key machine.StoreKey, c call) (uint64, error) {
	if len(c.body) > MaxValueSize {
		return 0, &TooLargeError{Key: key, Size: len(c.body)}
	}
	r, err := h.do(ctx, c)
	if err != nil {
		return 0, writeTransportError(key, err)
	}
	switch r.status {
	case http.StatusOK, http.StatusCreated:
	default:
		return 0, h.writeResponseError(key, r, len(c.body))
	}
	version, err := parseETag(r.etag)
	if err != nil {
		// The write took effect, but the new version is unknown.
		return 0, &AnswerLostError{Key: key, Cause: err}
	}
	return version, nil
}

// writeResponseError returns the error for the status of a failed write.
func (h *HTTP) writeResponseError(key machine.StoreKey, r reply, size int) error {
	switch r.status {
	case http.StatusNotFound:
		return &NotFoundError{Key: key}
	case http.StatusPreconditionFailed:
		// The current version is only a hint; 0 means unknown.
		current, err := parseETag(r.etag)
		if err != nil {
			current = 0
		}
		return &ConflictError{Key: key, Current: current}
	case http.StatusRequestEntityTooLarge:
		return &TooLargeError{Key: key, Size: size}
	default:
		return writeStatusError(key, r.status)
	}
}

// listedObject is an element of a list response.
type listedObject struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

// List returns names and versions of at most limit objects whose name starts
// with prefix, or an *UnavailableError.
func (h *HTTP) List(ctx context.Context, kind, prefix string, limit int) ([]Object, error) {
	query := url.Values{"prefix": {prefix}, "limit": {strconv.Itoa(limit)}}
	r, err := h.read(ctx, kindList, "/v1/objects/"+url.PathEscape(kind)+"?"+query.Encode(), h.options.Timeout)
	if err != nil {
		return nil, err
	}
	var list []listedObject
	if err := decodeJSON(r.body, &list); err != nil {
		return nil, err
	}
	objects := make([]Object, 0, len(list))
	for _, o := range list {
		objects = append(objects, Object{Key: machine.StoreKey{Kind: kind, Name: o.Name}, Version: o.Version})
	}
	return objects, nil
}

// CurrentVersion returns the version of the whole store, from which a watch can
// start after a *CompactedError. On any failure, also if the list response lacks a
// valid VersionHeader, it returns an *UnavailableError.
func (h *HTTP) CurrentVersion(ctx context.Context, kind string) (uint64, error) {
	r, err := h.read(ctx, kindList, "/v1/objects/"+url.PathEscape(kind)+"?limit=1", h.options.Timeout)
	if err != nil {
		return 0, err
	}
	version, err := strconv.ParseUint(r.storeVersion, 10, 64)
	if err != nil {
		return 0, readError(&ResponseError{Reason: "header " + VersionHeader + " is not a version"})
	}
	return version, nil
}

// ListHosts returns the platform's host list, or an *UnavailableError.
func (h *HTTP) ListHosts(ctx context.Context) (HostList, error) {
	r, err := h.read(ctx, kindHosts, "/v1/hosts", h.options.Timeout)
	if err != nil {
		return HostList{}, err
	}
	var list HostList
	if err := decodeJSON(r.body, &list); err != nil {
		return HostList{}, err
	}
	return list, nil
}

// Watch waits up to timeout (long poll) for changes to objects of a kind after a
// store version. It returns a *CompactedError if the store no longer holds those
// changes, and an *UnavailableError for every other failure. It uses a separate
// connection, which is closed when ctx ends.
func (h *HTTP) Watch(ctx context.Context, kind string, since uint64, timeout time.Duration) (Changes, error) {
	seconds := max(1, int(timeout/time.Second))
	query := url.Values{"since": {strconv.FormatUint(since, 10)}, "timeoutSeconds": {strconv.Itoa(seconds)}}
	path := "/v1/watch/" + url.PathEscape(kind) + "?" + query.Encode()
	callTimeout := time.Duration(seconds)*time.Second + h.options.Timeout
	connection := &closableConnection{dial: h.dial}
	client := h.newClient(maxListSize)
	client.DialTimeout = connection.open
	defer client.CloseIdleConnections()
	defer context.AfterFunc(ctx, connection.close)()
	r, err := h.do(ctx, call{kind: kindWatch, method: http.MethodGet, path: path, client: client, timeout: callTimeout})
	switch {
	case ctx.Err() != nil:
		return Changes{}, readError(ctx.Err())
	case err != nil:
		return Changes{}, readError(err)
	case r.status == http.StatusGone:
		return Changes{}, &CompactedError{Since: since}
	case r.status != http.StatusOK:
		return Changes{}, readError(&StatusError{Status: r.status})
	}
	var changes Changes
	if err := decodeJSON(r.body, &changes); err != nil {
		return Changes{}, err
	}
	return changes, nil
}

// closableConnection dials a connection that can be closed while it is in use.
type closableConnection struct {
	dial fasthttp.DialFuncWithTimeout

	mutex  sync.Mutex
	conn   net.Conn
	closed bool
}

func (c *closableConnection) open(address string, timeout time.Duration) (net.Conn, error) {
	conn, err := c.dial(address, timeout)
	if err != nil {
		return nil, err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		_ = conn.Close()
		return nil, &dialError{cause: net.ErrClosed}
	}
	c.conn = conn
	return conn, nil
}

func (c *closableConnection) close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed = true
	if c.conn != nil {
		_ = c.conn.Close()
	}
}

func (h *HTTP) read(ctx context.Context, kind, path string, timeout time.Duration) (reply, error) {
	r, err := h.do(ctx, call{kind: kind, method: http.MethodGet, path: path, client: h.listClient, timeout: timeout})
	if err != nil {
		return reply{}, readError(err)
	}
	if r.status != http.StatusOK {
		return reply{}, readError(&StatusError{Status: r.status})
	}
	return r, nil
}
