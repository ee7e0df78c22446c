package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/store"
)

// Timeouts of a watch.
const (
	defaultWatchTimeout = 30 * time.Second
	maxWatchTimeout     = 5 * time.Minute
)

// VersionHeader holds the store's version in the answer to a list call.
const VersionHeader = "X-Store-Version"

// errorBody is the body of a failed call.
type errorBody struct {
	Error string `json:"error"`
}

func (a reply) write(w http.ResponseWriter) {
	if a.version != 0 && a.raw == nil && a.json != nil {
		w.Header().Set(VersionHeader, strconv.FormatUint(a.version, 10))
	} else if a.version != 0 {
		w.Header().Set("ETag", etag(a.version))
	}
	if a.json != nil {
		writeJSON(w, a.status, a.json)
		return
	}
	if a.raw != nil {
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Header().Set("Content-Length", strconv.Itoa(len(a.raw)))
	}
	w.WriteHeader(a.status)
	// The client may have disconnected, which is not an error here.
	_, _ = w.Write(a.raw)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The client may have disconnected, which is not an error here.
	_ = json.NewEncoder(w).Encode(value)
}

func etag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

// parseETag is the inverse of etag.
func parseETag(tag string) (uint64, bool) {
	quoted, ok := strings.CutPrefix(tag, `"`)
	if !ok {
		return 0, false
	}
	digits, ok := strings.CutSuffix(quoted, `"`)
	version, err := strconv.ParseUint(digits, 10, 64)
	return version, ok && err == nil
}

// errorReply converts an error to an answer.
func errorReply(err error) reply {
	var (
		missing   *store.NotFoundError
		conflict  *store.ConflictError
		large     *store.TooLargeError
		compacted *store.CompactedError
		bad       *RequestError
		snapshot  *SnapshotNotFoundError
		limit     *SnapshotLimitError
	)
	body := errorBody{Error: err.Error()}
	switch {
	case eris.As(err, &missing):
		return reply{status: http.StatusNotFound, json: body}
	case eris.As(err, &conflict):
		return reply{status: http.StatusPreconditionFailed, version: conflict.Current, raw: []byte(err.Error())}
	case eris.As(err, &large):
		return reply{status: http.StatusRequestEntityTooLarge, json: body}
	case eris.As(err, &compacted):
		return reply{status: http.StatusGone, json: body}
	case eris.As(err, &snapshot):
		return reply{status: http.StatusNotFound, json: body}
	case eris.As(err, &limit):
		return reply{status: http.StatusInsufficientStorage, json: body}
	case eris.As(err, &bad):
		return reply{status: bad.Status, json: body}
	default:
		return reply{status: http.StatusInternalServerError, json: body}
	}
}

func (r *request) key() machine.StoreKey {
	return machine.StoreKey{Kind: r.PathValue("kind"), Name: r.PathValue("name")}
}

func (p *Platform) getObject(r *request) reply {
	e, err := p.objects.get(r.key())
	if err != nil {
		return errorReply(err)
	}
	return reply{status: http.StatusOK, version: e.version, raw: append([]byte{}, e.value...)}
}

// putObject dispatches to createObject or updateObject, which are counted as
// different kinds of call.
func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("If-None-Match") != "" {
		p.call(CallCreate, p.createObject)(w, r)
		return
	}
	p.call(CallUpdate, p.updateObject)(w, r)
}

func (p *Platform) createObject(r *request) reply {
	if r.Header.Get("If-None-Match") != "*" || r.Header.Get("If-Match") != "" {
		return errorReply(badRequest("a creation needs If-None-Match: * and no If-Match"))
	}
	if r.tooLarge {
		return errorReply(&store.TooLargeError{Key: r.key(), Size: len(r.body)})
	}
	version, err := p.objects.create(r.key(), r.body)
	if err != nil {
		return errorReply(err)
	}
	return reply{status: http.StatusCreated, version: version, changed: true}
}

func (p *Platform) updateObject(r *request) reply {
	expected, err := r.expectedVersion()
	if err != nil {
		return errorReply(err)
	}
	if r.tooLarge {
		return errorReply(&store.TooLargeError{Key: r.key(), Size: len(r.body)})
	}
	version, err := p.objects.update(r.key(), expected, r.body)
	if err != nil {
		return errorReply(err)
	}
	return reply{status: http.StatusOK, version: version, changed: true}
}

func (p *Platform) deleteObject(r *request) reply {
	expected, err := r.expectedVersion()
	if err != nil {
		return errorReply(err)
	}
	if err := p.objects.remove(r.key(), expected); err != nil {
		return errorReply(err)
	}
	return reply{status: http.StatusNoContent, changed: true}
}

// expectedVersion parses If-Match. Without it, the error has the status 428.
func (r *request) expectedVersion() (uint64, error) {
	tag := r.Header.Get("If-Match")
	if tag == "" {
		return 0, &RequestError{Status: http.StatusPreconditionRequired, Detail: "a change needs If-Match or If-None-Match"}
	}
	version, ok := parseETag(tag)
	if !ok {
		return 0, badRequest("If-Match %s is not a version in quotes", tag)
	}
	return version, nil
}

func (p *Platform) listObjects(r *request) reply {
	limit, err := r.uintQuery("limit", 0)
	if err != nil {
		return errorReply(err)
	}
	found, version := p.objects.list(r.PathValue("kind"), r.URL.Query().Get("prefix"), int(limit))
	return reply{status: http.StatusOK, version: version, json: found}
}

// uintQuery parses a query parameter that is a non-negative integer.
func (r *request) uintQuery(name string, fallback uint64) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, badRequest("%s=%s is not a natural number", name, text)
	}
	return n, nil
}

// watch is a long poll for changes of a kind of object. It answers an empty list
// at its timeout and ends early if an outage starts.
func (p *Platform) watch(r *request) reply {
	since, err := r.uintQuery("since", 0)
	if err != nil {
		return errorReply(err)
	}
	seconds, err := r.uintQuery("timeoutSeconds", uint64(defaultWatchTimeout/time.Second))
	if err != nil {
		return errorReply(err)
	}
	timeout := time.NewTimer(min(time.Duration(min(seconds, 3600))*time.Second, maxWatchTimeout))
	defer timeout.Stop()
	for {
		mode, faultsChanged := p.faults.failureMode(r.call, r.client, r.address)
		if mode != OutageNone {
			return reply{aborted: true}
		}
		changes, changed, err := p.objects.changesSince(r.PathValue("kind"), since)
		if err != nil {
			return errorReply(err)
		}
		if len(changes.Changes) > 0 {
			return reply{status: http.StatusOK, json: changes}
		}
		select {
		case <-changed:
		case <-faultsChanged:
		case <-timeout.C:
			return reply{status: http.StatusOK, json: changes}
		case <-r.Context().Done():
			return reply{status: http.StatusOK, json: changes}
		}
	}
}

func (p *Platform) listHosts(*request) reply {
	return reply{status: http.StatusOK, json: p.hostList.list()}
}
