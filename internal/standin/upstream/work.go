package upstream

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinspring/catkinspring/fleet"
)

// Headers of the upstream protocol.
const (
	RequestIDHeader      = "X-Request-Id"
	IdempotencyKeyHeader = "Idempotency-Key"
	CustomerHeader       = "X-Customer"
	// DeadlineHeader holds the deadline in Unix milliseconds or in RFC 3339 format.
	DeadlineHeader = "X-Request-Deadline"
	// NotRunHeader is "true" on answers to requests that did not run and will not.
	NotRunHeader = "X-Not-Run"
	// DrainingHeader is "true" on answers from a draining upstream.
	DrainingHeader = "X-Draining"
)

// maxBody limits a request body and the payload of an answer, in bytes.
const maxBody = 8 << 20

// workRequest is a request whose body has been read.
type workRequest struct {
	request     *http.Request
	conn        *conn
	incarnation *incarnation
	body        []byte
	target      string
	// deadline is zero if there is none. deadlineTimer fires when it passes.
	deadline      time.Time
	deadlineTimer <-chan time.Time
	size          int
	keys          []string
}

// interruption is the reason why a wait of a request ended early.
type interruption int

const (
	notInterrupted interruption = iota
	clientDisconnected
	deadlinePassed
	upstreamCrashed
)

// serveWork runs a request in a slot and answers it, or answers that it was not run.
func (u *Upstream) serveWork(w http.ResponseWriter, r *http.Request) {
	job := &workRequest{request: r, target: r.URL.RequestURI()}
	job.conn, _ = r.Context().Value(connKey{}).(*conn)
	if id := r.Header.Get(RequestIDHeader); id != "" {
		w.Header().Set(RequestIDHeader, id)
	}
	before, _ := u.state()
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody+1))
	if err != nil {
		if before.crashed.Err() == nil {
			u.recorder.count(func(t *Totals) { t.TruncatedRequests++ })
		}
		panic(http.ErrAbortHandler)
	}
	job.body = body
	job.incarnation, _ = u.state()
	u.delayRequest(job)
	current, draining := u.state()
	job.incarnation = current
	u.recorder.count(func(t *Totals) { t.Received++ })
	u.recordKeys(job)
	if draining {
		w.Header().Set(DrainingHeader, "true")
		u.answerNotRun(w, job, http.StatusServiceUnavailable, "draining", func(t *Totals) { t.Drained++ })
		return
	}
	if !job.parse() {
		u.answerNotRun(w, job, http.StatusBadRequest, "malformed", func(t *Totals) { t.Malformed++ })
		return
	}
	if u.acquireSlot(w, job) {
		u.run(w, job)
	}
}

// notRunBody is the body of the answer to a request that was not run.
type notRunBody struct {
	NotRun string `json:"notRun"`
}

// errorBody is the body of any other error answer.
type errorBody struct {
	Error string `json:"error"`
}

func (u *Upstream) answerNotRun(w http.ResponseWriter, job *workRequest, status int, reason string, change func(*Totals)) {
	u.recorder.count(change)
	u.delayResponse(job, len(reason))
	w.Header().Set(NotRunHeader, "true")
	writeJSON(w, status, notRunBody{NotRun: reason})
}

func (u *Upstream) recordKeys(job *workRequest) {
	job.keys = findKeys(job.request, job.target, job.body)
	if len(job.keys) > 0 {
		u.recorder.recordSighting(KeySighting{
			Upstream:  u.config.Name,
			RequestID: truncate(job.request.Header.Get(RequestIDHeader)),
			Values:    job.keys,
		})
	}
}

// parse parses the deadline and the payload size and reports whether they are valid.
func (j *workRequest) parse() bool {
	if len(j.body) > maxBody {
		return false
	}
	size, ok := payloadSize(j.request.URL.Query().Get("size"))
	j.size = size
	text := j.request.Header.Get(DeadlineHeader)
	if text == "" {
		return ok
	}
	deadline, valid := parseDeadline(text)
	j.deadline = deadline
	j.deadlineTimer = time.After(time.Until(deadline))
	return ok && valid
}

func parseDeadline(text string) (time.Time, bool) {
	if ms, err := strconv.ParseInt(text, 10, 64); err == nil {
		return time.UnixMilli(ms), true
	}
	t, err := time.Parse(time.RFC3339Nano, text)
	return t, err == nil
}

// acquireSlot waits for a slot and reports whether it got one. Otherwise it answers
// that the request was not run, or aborts the connection.
func (u *Upstream) acquireSlot(w http.ResponseWriter, job *workRequest) bool {
	inc := job.incarnation
	var reason interruption
	switch {
	case job.expired():
		reason = deadlinePassed
	case inc.crashed.Err() != nil:
		reason = upstreamCrashed
	case tryAcquireSlot(inc):
	case inc.queued.Add(1) > int64(*u.config.Queue):
		inc.queued.Add(-1)
		u.answerNotRun(w, job, http.StatusServiceUnavailable, "overloaded", func(t *Totals) { t.Shed++ })
		return false
	default:
		u.recordSample()
		reason = u.waitForSlot(job)
	}
	switch reason {
	case deadlinePassed:
		u.answerNotRun(w, job, http.StatusServiceUnavailable, "deadline", func(t *Totals) { t.Expired++ })
	case clientDisconnected, upstreamCrashed:
		u.recorder.count(func(t *Totals) { t.Abandoned++ })
		panic(http.ErrAbortHandler)
	}
	return reason == notInterrupted
}

func tryAcquireSlot(inc *incarnation) bool {
	select {
	case inc.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

// waitForSlot waits in the queue. It releases a slot that it gets after the
// deadline.
func (u *Upstream) waitForSlot(job *workRequest) interruption {
	reason := job.wait(nil, job.incarnation.slots)
	job.incarnation.queued.Add(-1)
	if reason == notInterrupted && job.expired() {
		<-job.incarnation.slots
		reason = deadlinePassed
	}
	u.recordSample()
	return reason
}

// expired reports whether the deadline has passed. It is checked in addition to
// wait, whose select chooses at random between a free slot and a passed deadline.
func (j *workRequest) expired() bool {
	return !j.deadline.IsZero() && !time.Now().Before(j.deadline)
}

// wait waits for done or for a slot; the other channel is nil. A client that
// closes a silent connection does not interrupt the wait, because the close would
// not reach a real upstream.
func (j *workRequest) wait(done <-chan time.Time, slot chan<- struct{}) interruption {
	disconnected := j.request.Context().Done()
	for {
		select {
		case <-done:
			return notInterrupted
		case slot <- struct{}{}:
			return notInterrupted
		case <-j.deadlineTimer:
			return deadlinePassed
		case <-j.incarnation.crashed.Done():
			return upstreamCrashed
		case <-disconnected:
			// A crash closes the connections, which looks like a disconnected client.
			if j.incarnation.crashed.Err() != nil {
				return upstreamCrashed
			}
			if !j.conn.silent.Load() {
				return clientDisconnected
			}
			disconnected = nil
		}
	}
}

// run executes and records the request, which holds a slot, and answers it.
func (u *Upstream) run(w http.ResponseWriter, job *workRequest) {
	inc := job.incarnation
	fault := u.faults.take(job.target, job.body)
	if fault.Kind != "" {
		u.recorder.count(func(t *Totals) { t.Faults[fault.Kind]++ })
	}
	inc.running.Add(1)
	u.recordSample()
	index := u.recorder.start(u.newRun(job, fault))
	interrupted := u.execute(job, fault)
	inc.running.Add(-1)
	inc.finished.Add(1)
	u.recorder.end(index, finalState(interrupted), time.Now())
	<-inc.slots
	u.recordSample()
	u.delayResponse(job, job.size)
	switch interrupted {
	case notInterrupted:
		u.answer(w, job, fault)
	case deadlinePassed:
		writeJSON(w, http.StatusGatewayTimeout, errorBody{Error: "deadline passed while the request ran"})
	default:
		panic(http.ErrAbortHandler)
	}
}

func (u *Upstream) newRun(job *workRequest, fault Fault) Run {
	header := job.request.Header
	return Run{
		RequestID:      truncate(header.Get(RequestIDHeader)),
		IdempotencyKey: truncate(header.Get(IdempotencyKeyHeader)),
		Customer:       fleet.Customer(truncate(header.Get(CustomerHeader))),
		Upstream:       u.config.Name,
		Method:         truncate(job.request.Method),
		Target:         truncate(job.target),
		BodyBytes:      len(job.body),
		BodyHash:       bodyHash(job.body),
		Start:          time.Now(),
		Fault:          fault.Kind,
		KeysSeen:       job.keys,
	}
}

func bodyHash(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }

// execute waits for the service time, or crashes the upstream on FaultCrash.
func (u *Upstream) execute(job *workRequest, fault Fault) interruption {
	if fault.Kind != FaultCrash {
		return job.wait(u.after(u.serviceTime(job.incarnation)), nil)
	}
	if fault.DelayMillis > 0 {
		if reason := job.wait(u.after(fault.delay()), nil); reason != notInterrupted {
			return reason
		}
	}
	u.Crash(millis(fault.RestartAfterMillis))
	return upstreamCrashed
}

func (u *Upstream) serviceTime(inc *incarnation) time.Duration {
	d := u.service.draw()
	cold := time.Since(inc.started) < millis(u.config.ColdMillis) || inc.finished.Load() < int64(u.config.ColdRequests)
	if cold {
		return time.Duration(float64(d) * u.config.ColdFactor)
	}
	return d
}

func finalState(reason interruption) RunState {
	switch reason {
	case notInterrupted:
		return RunCompleted
	case upstreamCrashed:
		return RunCrashed
	default:
		return RunCancelled
	}
}

// blockUntilClosed blocks without answering until the client disconnects or the
// upstream crashes.
func (j *workRequest) blockUntilClosed() {
	select {
	case <-j.request.Context().Done():
	case <-j.incarnation.crashed.Done():
	}
}
