package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/catkinspring/catkinspring/platform/rig"
)

// lastID numbers the requests of all callers.
var lastID atomic.Int64

// answer is what a caller gets for one request.
type answer struct {
	id     string
	status int
	body   []byte
	header http.Header
	err    error
	// sent and ended are when the request was sent and when its answer ended.
	sent, ended time.Time
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no answer (%v)", a.err)
	}
	return fmt.Sprint(a.status)
}

// freshConnections sends every request on a connection of its own.
var freshConnections = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// keptConnections keeps connections as most clients do.
var keptConnections = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200, DisableCompression: true}}

// call sends one request to a host as a client of the usual tenant does.
func call(h *rig.Host, method, path, id string, body []byte, deadline time.Duration) answer {
	return callWithKey(h, rig.KeyKept, method, path, id, body, deadline)
}

// callWithKey sends one request to a host as a client with a key does.
func callWithKey(h *rig.Host, key, method, path, id string, body []byte, deadline time.Duration) answer {
	return send(freshConnections, h, key, method, path, id, body, deadline)
}

// callKept is call on a connection that is kept.
func callKept(h *rig.Host, method, path, id string, body []byte, deadline time.Duration) answer {
	return send(keptConnections, h, rig.KeyKept, method, path, id, body, deadline)
}

func send(client *http.Client, h *rig.Host, key, method, path, id string, body []byte, deadline time.Duration) answer {
	a := answer{id: id, sent: time.Now()}
	request, err := http.NewRequest(method, "http://"+h.Public+path, bytes.NewReader(body))
	if err != nil {
		return answer{id: id, err: err}
	}
	request.Host = rig.EntryName
	request.Header.Set(rig.HeaderRequestID, id)
	request.Header.Set(rig.HeaderDeadline, fmt.Sprint(deadline.Milliseconds()))
	request.Header.Set(rig.HeaderCredential, key)
	response, err := client.Do(request)
	if err != nil {
		a.err, a.ended = err, time.Now()
		return a
	}
	defer func() { _ = response.Body.Close() }()
	a.status, a.header = response.StatusCode, response.Header
	a.body, a.err = io.ReadAll(response.Body)
	a.ended = time.Now()
	return a
}

// recordAnswer writes what a caller got for a request.
func (s *scene) recordAnswer(h *rig.Host, a answer) {
	s.Record("%s was sent to %s at second %.3f and answered with %s", a.id, h.Name, a.sent.Sub(s.Started).Seconds(), a)
}

// newID returns the ID of a new request.
func newID(kind string) string { return fmt.Sprintf("%s-%04d", kind, lastID.Add(1)) }
