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
	// DeadlineHeader holds the deadline in Unix milliseconds or as RFC 3339.
	DeadlineHeader = "X-Request-Deadline"
	// NotRunHeader is "true" on answers to requests that did not and will not run.
	NotRunHeader = "X-Not-Run"
	// DrainingHeader is "true" on answers of a draining upstream.
	DrainingHeader = "X-Draining"
)

// maxBody bounds a request body and the payload of an answer, in bytes.
const maxBody = 8 << 20

// work is a request whose body was read.
type work struct {
	request     *http.Request
	conn        *conn
	incarnation *incarnation
	body        []byte
	target      string
	// deadline is zero without one. passed fires when it passes.
	deadline time.Time
	passed   <-chan time.Time
	size     int
	keys     []string
}

// interruption is the reason why a request does not wait any longer.
type interruption int

const (
	notInterrupted interruption = iota
	clientLeft
	deadlinePassed
	upstreamCrashed
)

// serveWork runs a request in a slot and answers it, or answers that it is not run.
func (u *Upstream) serveWork(w http.ResponseWriter, r *http.Request) {
	job := &work{request: r, target: r.URL.RequestURI()}
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
	u.arrive(job)
	current, draining := u.state()
	job.incarnation = current
	u.recorder.count(func(t *Totals) { t.Received++ })
	u.recordKeys(job)
	if draining {
		w.Header().Set(DrainingHeader, "true")
		u.refuse(w, job, http.StatusServiceUnavailable, "draining", func(t *Totals) { t.Drained++ })
		return
	}
	if !job.parse() {
		u.refuse(w, job, http.StatusBadRequest, "malformed", func(t *Totals) { t.Malformed++ })
		return
	}
	if u.acquire(w, job) {
		u.run(w, job)
	}
}

// notRunBody is the body of an answer to a request that was not run.
type notRunBody struct {
	NotRun string `json:"notRun"`
}

// errorBody is the body of any other failure.
type errorBody struct {
	Error string `json:"error"`
}

func (u *Upstream) refuse(w http.ResponseWriter, job *work, status int, reason string, change func(*Totals)) {
	u.recorder.count(change)
	u.depart(job, len(reason))
	w.Header().Set(NotRunHeader, "true")
	writeJSON(w, status, notRunBody{NotRun: reason})
}

func (u *Upstream) recordKeys(job *work) {
	job.keys = keysIn(job.request, job.target, job.body)
	if len(job.keys) > 0 {
		u.recorder.sawKeys(KeySighting{
			Upstream:  u.config.Name,
			RequestID: clip(job.request.Header.Get(RequestIDHeader)),
			Values:    job.keys,
		})
	}
}

// parse reads the deadline and the size and reports whether they are well-formed.
func (j *work) parse() bool {
	if len(j.body) > maxBody {
		return false
	}
	size, ok := payloadSize(j.request.URL.Query().Get("size"))
	j.size = size
	text := j.request.Header.Get(DeadlineHeader)
	if text == "" {
		return ok
	}
	deadline, understood := parseDeadline(text)
	j.deadline = deadline
	j.passed = time.After(time.Until(deadline))
	return ok && understood
}

func parseDeadline(text string) (time.Time, bool) {
	if ms, err := strconv.ParseInt(text, 10, 64); err == nil {
		return time.UnixMilli(ms), true
	}
	t, err := time.Parse(time.RFC3339Nano, text)
	return t, err == nil
}

// acquire waits for a slot. Otherwise it answers that the request is not run.
func (u *Upstream) acquire(w http.ResponseWriter, job *work) bool {
	i := job.incarnation
	var reason interruption
	switch {
	case job.expired():
		reason = deadlinePassed
	case i.crashed.Err() != nil:
		reason = upstreamCrashed
	case trySlot(i):
	case i.queued.Add(1) > int64(*u.config.Queue):
		i.queued.Add(-1)
		u.refuse(w, job, http.StatusServiceUnavailable, "overloaded", func(t *Totals) { t.Shed++ })
		return false
	default:
		u.sampleLoad()
		reason = u.waitSlot(job)
	}
	switch reason {
	case deadlinePassed:
		u.refuse(w, job, http.StatusServiceUnavailable, "deadline", func(t *Totals) { t.Expired++ })
	case clientLeft, upstreamCrashed:
		u.recorder.count(func(t *Totals) { t.Abandoned++ })
		panic(http.ErrAbortHandler)
	}
	return reason == notInterrupted
}

func trySlot(i *incarnation) bool {
	select {
	case i.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

// waitSlot waits in the queue. A slot that comes together with the deadline is
// given back.
func (u *Upstream) waitSlot(job *work) interruption {
	reason := job.wait(nil, job.incarnation.slots)
	job.incarnation.queued.Add(-1)
	if reason == notInterrupted && job.expired() {
		<-job.incarnation.slots
		reason = deadlinePassed
	}
	u.sampleLoad()
	return reason
}

// expired reports whether the deadline has passed. A wait would otherwise choose
// at random between a free slot and a passed deadline.
func (j *work) expired() bool {
	return !j.deadline.IsZero() && !time.Now().Before(j.deadline)
}

// wait waits for done or for a slot; the other one is nil. A client that closes
// a silent connection does not interrupt, because nothing passes on such a
// connection.
func (j *work) wait(done <-chan time.Time, slot chan<- struct{}) interruption {
	left := j.request.Context().Done()
	for {
		select {
		case <-done:
			return notInterrupted
		case slot <- struct{}{}:
			return notInterrupted
		case <-j.passed:
			return deadlinePassed
		case <-j.incarnation.crashed.Done():
			return upstreamCrashed
		case <-left:
			// A crash closes the connections, so it may look like a client that left.
			if j.incarnation.crashed.Err() != nil {
				return upstreamCrashed
			}
			if !j.conn.silent.Load() {
				return clientLeft
			}
			left = nil
		}
	}
}

// run records and executes the request in the slot that it holds.
func (u *Upstream) run(w http.ResponseWriter, job *work) {
	i := job.incarnation
	fault := u.faults.take(job.target, job.body)
	if fault.Kind != "" {
		u.recorder.count(func(t *Totals) { t.Faults[fault.Kind]++ })
	}
	i.running.Add(1)
	u.sampleLoad()
	index := u.recorder.start(u.record(job, fault))
	interrupted := u.execute(job, fault)
	i.running.Add(-1)
	i.ran.Add(1)
	u.recorder.end(index, finalState(interrupted), time.Now())
	<-i.slots
	u.sampleLoad()
	u.depart(job, job.size)
	switch interrupted {
	case notInterrupted:
		u.answer(w, job, fault)
	case deadlinePassed:
		writeJSON(w, http.StatusGatewayTimeout, errorBody{Error: "deadline passed while the request ran"})
	default:
		panic(http.ErrAbortHandler)
	}
}

func (u *Upstream) record(job *work, fault Fault) Run {
	header := job.request.Header
	return Run{
		RequestID:      clip(header.Get(RequestIDHeader)),
		IdempotencyKey: clip(header.Get(IdempotencyKeyHeader)),
		Customer:       fleet.Customer(clip(header.Get(CustomerHeader))),
		Upstream:       u.config.Name,
		Method:         clip(job.request.Method),
		Target:         clip(job.target),
		BodyBytes:      len(job.body),
		BodyHash:       bodyHash(job.body),
		Start:          time.Now(),
		Fault:          fault.Kind,
		KeysSeen:       job.keys,
	}
}

func bodyHash(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }

// execute takes the service time, or crashes the upstream.
func (u *Upstream) execute(job *work, fault Fault) interruption {
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

func (u *Upstream) serviceTime(i *incarnation) time.Duration {
	d := u.service.draw()
	cold := time.Since(i.started) < millis(u.config.ColdMillis) || i.ran.Load() < int64(u.config.ColdRequests)
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

// hold keeps a request without an answer until its client leaves or the
// upstream crashes.
func (j *work) hold() {
	select {
	case <-j.request.Context().Done():
	case <-j.incarnation.crashed.Done():
	}
}
