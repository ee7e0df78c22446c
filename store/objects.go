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

// Get returns the object, *NotFoundError or *UnavailableError.
func (h *HTTP) Get(ctx context.Context, key machine.StoreKey) (Object, error) {
	r, err := h.do(ctx, h.valueCall(kindGet, http.MethodGet, key))
	if err != nil {
		return Object{}, readFailed(err)
	}
	switch r.status {
	case http.StatusOK:
	case http.StatusNotFound:
		return Object{}, &NotFoundError{Key: key}
	default:
		return Object{}, readFailed(&StatusError{Status: r.status})
	}
	version, err := parseETag(r.etag)
	if err != nil {
		return Object{}, readFailed(err)
	}
	return Object{Key: key, Version: version, Value: r.body}, nil
}

// Create writes a new object. It returns *ConflictError if the object exists,
// *TooLargeError, *UnavailableError if nothing changed, and *AnswerLostError if
// the object may have been written.
func (h *HTTP) Create(ctx context.Context, key machine.StoreKey, value []byte) (uint64, error) {
	c := h.valueCall(kindCreate, http.MethodPut, key)
	c.header, c.value, c.body = "If-None-Match", "*", value
	return h.put(ctx, key, c)
}

// Update replaces an object of the given version. Its errors are those of
// Create, and *NotFoundError if the object does not exist.
func (h *HTTP) Update(ctx context.Context, key machine.StoreKey, version uint64, value []byte) (uint64, error) {
	c := h.valueCall(kindUpdate, http.MethodPut, key)
	c.header, c.value, c.body = "If-Match", quoteVersion(version), value
	return h.put(ctx, key, c)
}

// Delete removes an object of the given version. Its errors are those of Update.
func (h *HTTP) Delete(ctx context.Context, key machine.StoreKey, version uint64) error {
	c := h.valueCall(kindDelete, http.MethodDelete, key)
	c.header, c.value = "If-Match", quoteVersion(version)
	r, err := h.do(ctx, c)
	if err != nil {
		return writeFailed(key, err)
	}
	switch r.status {
	case http.StatusNoContent, http.StatusOK:
		return nil
	default:
		return h.writeError(key, r, 0)
	}
}

func (h *HTTP) valueCall(kind, method string, key machine.StoreKey) call {
	return call{kind: kind, method: method, path: objectPath(key), client: h.values, timeout: h.options.Timeout}
}

func (h *HTTP) put(ctx context.Context, key machine.StoreKey, c call) (uint64, error) {
	if len(c.body) > MaxValueSize {
		return 0, &TooLargeError{Key: key, Size: len(c.body)}
	}
	r, err := h.do(ctx, c)
	if err != nil {
		return 0, writeFailed(key, err)
	}
	switch r.status {
	case http.StatusOK, http.StatusCreated:
	default:
		return 0, h.writeError(key, r, len(c.body))
	}
	version, err := parseETag(r.etag)
	if err != nil {
		// The write took effect, but its version is not known.
		return 0, &AnswerLostError{Key: key, Cause: err}
	}
	return version, nil
}

// writeError maps the status of a write that the store did not carry out.
func (h *HTTP) writeError(key machine.StoreKey, r reply, size int) error {
	switch r.status {
	case http.StatusNotFound:
		return &NotFoundError{Key: key}
	case http.StatusPreconditionFailed:
		// The current version is a hint only; 0 says that it is not known.
		current, err := parseETag(r.etag)
		if err != nil {
			current = 0
		}
		return &ConflictError{Key: key, Current: current}
	case http.StatusRequestEntityTooLarge:
		return &TooLargeError{Key: key, Size: size}
	default:
		return writeStatus(key, r.status)
	}
}

// listedObject is an element of a list response.
type listedObject struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

// List returns names and versions of at most limit objects whose name starts
// with prefix, or *UnavailableError.
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
// start after *CompactedError. It returns *UnavailableError also if the store
// does not tell its version with lists.
func (h *HTTP) CurrentVersion(ctx context.Context, kind string) (uint64, error) {
	r, err := h.read(ctx, kindList, "/v1/objects/"+url.PathEscape(kind)+"?limit=1", h.options.Timeout)
	if err != nil {
		return 0, err
	}
	version, err := strconv.ParseUint(r.storeVersion, 10, 64)
	if err != nil {
		return 0, readFailed(&ResponseError{Reason: "header " + VersionHeader + " is not a version"})
	}
	return version, nil
}

// ListHosts returns the platform's host list, or *UnavailableError.
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

// Watch waits up to timeout for changes of a kind after a store version. It
// returns *CompactedError if the store no longer holds them, and
// *UnavailableError for every other failure. It has a connection of its own,
// which is closed when ctx ends.
func (h *HTTP) Watch(ctx context.Context, kind string, since uint64, timeout time.Duration) (Changes, error) {
	seconds := max(1, int(timeout/time.Second))
	query := url.Values{"since": {strconv.FormatUint(since, 10)}, "timeoutSeconds": {strconv.Itoa(seconds)}}
	path := "/v1/watch/" + url.PathEscape(kind) + "?" + query.Encode()
	bound := time.Duration(seconds)*time.Second + h.options.Timeout
	connection := &ownConnection{dial: h.dial}
	client := h.newClient(maxListSize)
	client.DialTimeout = connection.open
	defer client.CloseIdleConnections()
	defer context.AfterFunc(ctx, connection.close)()
	r, err := h.do(ctx, call{kind: kindWatch, method: http.MethodGet, path: path, client: client, timeout: bound})
	switch {
	case ctx.Err() != nil:
		return Changes{}, readFailed(ctx.Err())
	case err != nil:
		return Changes{}, readFailed(err)
	case r.status == http.StatusGone:
		return Changes{}, &CompactedError{Since: since}
	case r.status != http.StatusOK:
		return Changes{}, readFailed(&StatusError{Status: r.status})
	}
	var changes Changes
	if err := decodeJSON(r.body, &changes); err != nil {
		return Changes{}, err
	}
	return changes, nil
}

// ownConnection is a connection that can be closed while it is in use.
type ownConnection struct {
	dial fasthttp.DialFuncWithTimeout

	mutex  sync.Mutex
	conn   net.Conn
	closed bool
}

func (o *ownConnection) open(address string, timeout time.Duration) (net.Conn, error) {
	conn, err := o.dial(address, timeout)
	if err != nil {
		return nil, err
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.closed {
		_ = conn.Close()
		return nil, &dialError{cause: net.ErrClosed}
	}
	o.conn = conn
	return conn, nil
}

func (o *ownConnection) close() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.closed = true
	if o.conn != nil {
		_ = o.conn.Close()
	}
}

func (h *HTTP) read(ctx context.Context, kind, path string, timeout time.Duration) (reply, error) {
	r, err := h.do(ctx, call{kind: kind, method: http.MethodGet, path: path, client: h.lists, timeout: timeout})
	if err != nil {
		return reply{}, readFailed(err)
	}
	if r.status != http.StatusOK {
		return reply{}, readFailed(&StatusError{Status: r.status})
	}
	return r, nil
}
