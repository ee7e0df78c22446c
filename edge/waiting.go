package edge

import (
	"context"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/catkinspring/catkinspring/admission"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/ingress"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/policy"
	"github.com/catkinspring/catkinspring/steering"
)

const (
	// waitingInterval is the time after which waiting requests are tried again if no attempt
	// has ended: room also appears when other hosts' requests end.
	waitingInterval = 25 * time.Millisecond
	// changedRetryAfter is the Retry-After of a waiting request that the new configuration
	// handles differently. It may return at once.
	changedRetryAfter = 20 * time.Millisecond
)

// waitRecord is what the log line of a request says about its wait for room.
type waitRecord struct {
	// entered is true if the request has waited; position is the number of requests that were
	// before it at entry.
	entered  bool
	position int
	waited   time.Duration
	// refused is why the request did not wait; empty if it was not refused.
	refused string
}

func (w *waitRecord) add(line *zerolog.Event) *zerolog.Event {
	if w.entered {
		line = line.Dur("waited", w.waited).Int("queue_position", w.position)
	}
	if w.refused != "" {
		line = line.Str("not_queued", w.refused)
	}
	return line
}

// waitingRequests holds the requests of a host that wait for room at an upstream. The
// goroutine of a waiting request blocks until another one delivers its result. One timer
// tries the requests; it runs only while some wait.
type waitingRequests struct {
	e *Edge
	// count is the number of waiting requests.
	count atomic.Int64

	mu     sync.Mutex
	host   admission.Host
	queues map[fleet.Pool]*serviceQueue
	timer  *time.Timer
	// checkedAt is when all waiting requests were last checked, under the given snapshot.
	checkedAt machine.Instant
	snapshot  *policy.Snapshot
}

// serviceQueue holds the waiting requests of one service.
type serviceQueue struct {
	*admission.Queue
	waiters map[admission.Ticket]*waiter
	// due is true if an attempt has ended since the requests were last tried.
	due bool
}

// waiter is a waiting request.
type waiter struct {
	*request
	queue  *serviceQueue
	ticket admission.Ticket
	since  machine.Instant
	result chan waitResult
}

// waitResult ends a wait: with the choice of an upstream, or with a response.
type waitResult struct {
	choice   steering.Choice
	response *ingress.Response
	outcome  string
}

func newWaitingRequests(e *Edge) *waitingRequests {
	w := &waitingRequests{e: e, queues: make(map[fleet.Pool]*serviceQueue)}
	w.timer = time.AfterFunc(time.Hour, w.run)
	w.timer.Stop()
	return w
}

func (w *waitingRequests) requests() int64 { return w.count.Load() }

func (w *waitingRequests) bytes() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.host.Bytes()
}

// any reports whether requests of a service wait.
func (w *waitingRequests) any(service fleet.Pool) bool {
	if w.count.Load() == 0 {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	q := w.queues[service]
	return q != nil && q.Len() > 0
}

// queue returns the queue of a service, which is added if it is missing. w.mu must be held.
func (w *waitingRequests) queue(service fleet.Pool) *serviceQueue {
	q := w.queues[service]
	if q == nil {
		q = &serviceQueue{Queue: w.host.NewQueue(), waiters: make(map[admission.Ticket]*waiter)}
		w.queues[service] = q
	}
	return q
}

// wait waits until there is room for a request and sets its choice. It returns a response
// if the request ends instead. It returns neither if the request can't wait.
func (w *waitingRequests) wait(callerCtx context.Context, r *request) (*ingress.Response, string) {
	own, verdict := w.enter(r)
	if own == nil {
		w.e.hostMetrics.count("waiting.refused")
		r.waiting.refused = verdict
		return nil, ""
	}
	w.e.hostMetrics.count("waiting.entered")
	var result waitResult
	select {
	case result = <-own.result:
	case <-callerCtx.Done():
		result = w.leave(callerCtx, own)
	}
	r.waiting.waited = w.e.now().Sub(own.since)
	if result.response != nil {
		return result.response, result.outcome
	}
	if response, outcome := r.checkAttempt(callerCtx); response != nil {
		w.e.steering.GiveBack(result.choice)
		w.e.hostMetrics.count("waiting.withdrawn")
		if outcome == "caller_left" {
			r.refund()
		}
		return response, outcome
	}
	r.choice = result.choice
	w.e.hostMetrics.count("waiting.served")
	w.e.hostMetrics.waiting.record(r.waiting.waited)
	return nil, ""
}

// enter queues a request whose choice is the refusal by steering. It returns nil and the reason if the request can't wait.
func (w *waitingRequests) enter(r *request) (own *waiter, refused string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.e.isStopping() {
		return nil, "stopping"
	}
	now := w.e.now()
	left := r.timeLeft()
	work := r.expectedWork()
	if max(r.choice.RoomIn, r.choice.AvailableIn)+work > left {
		return nil, admission.TooLate.String()
	}
	item := admission.Item{
		Customer: r.customerName(), Priority: policy.PriorityOf(r.route, r.customer),
		Deadline: now.Add(left), Work: work, Bytes: int64(len(r.in.Body)),
	}
	if r.route.TargetLatency > 0 {
		item.Target = now.Add(r.route.TargetLatency - time.Since(r.in.Received))
	}
	q := w.queue(r.service)
	entry, verdict := q.Push(now, item)
	if verdict != admission.Queued {
		return nil, verdict.String()
	}
	if displaced := q.waiters[entry.Displaced]; displaced != nil {
		w.e.hostMetrics.count("waiting.refused")
		w.refuse(displaced, "displaced")
	}
	own = &waiter{request: r, queue: q, ticket: entry.Ticket, since: now, result: make(chan waitResult, 1)}
	r.waiting.entered, r.waiting.position = true, entry.Position
	q.waiters[own.ticket] = own
	if w.count.Add(1) == 1 {
		w.checkedAt, w.snapshot = now, r.snapshot
		w.timer.Reset(waitingInterval)
	}
	return own, ""
}

// leave ends the wait of a request whose context has ended.
func (w *waitingRequests) leave(callerCtx context.Context, own *waiter) waitResult {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case result := <-own.result:
		if result.response != nil {
			return result
		}
		w.e.steering.GiveBack(result.choice)
	default:
		own.queue.Remove(w.e.now(), own.ticket)
		w.end(own)
	}
	switch {
	case callerLeft(callerCtx):
		w.e.hostMetrics.count("waiting.withdrawn")
		own.refund()
		return waitResult{response: &ingress.Response{}, outcome: "caller_left"}
	case w.e.server.Work().Err() != nil:
		w.e.hostMetrics.count("waiting.withdrawn")
		return w.refusal(own, "stopping", stoppingRetryAfter)
	}
	w.e.hostMetrics.count("waiting.expired")
	return w.refusal(own, "wait_expired", w.retryAfter(own.request))
}

// end forgets a waiter whose item is not queued any more. w.mu must be held.
func (w *waitingRequests) end(own *waiter) {
	delete(own.queue.waiters, own.ticket)
	w.count.Add(-1)
}

// deliver ends a wait. w.mu must be held, and the item not be queued any more.
func (w *waitingRequests) deliver(own *waiter, result waitResult) {
	w.end(own)
	own.result <- result
}

// refusal returns the result of a wait that ends without an attempt.
func (w *waitingRequests) refusal(own *waiter, outcome string, retryAfter time.Duration) waitResult {
	own.refund()
	return waitResult{response: ingress.Refuse(http.StatusServiceUnavailable, retryAfter), outcome: outcome}
}

// refuse ends a wait because there is no room. w.mu must be held.
func (w *waitingRequests) refuse(own *waiter, outcome string) {
	w.deliver(own, w.refusal(own, outcome, w.retryAfter(own.request)))
}

// withdraw ends a wait for a reason other than the lack of room. w.mu must be held.
func (w *waitingRequests) withdraw(own *waiter, result waitResult) {
	own.queue.Remove(w.e.now(), own.ticket)
	w.e.hostMetrics.count("waiting.withdrawn")
	w.deliver(own, result)
}

// refuseWithoutUpstream ends a wait because no upstream is left that may serve the request. w.mu must
// be held.
func (w *waitingRequests) refuseWithoutUpstream(own *waiter) {
	w.withdraw(own, w.refusal(own, steering.NoUpstream.String(), w.retryAfter(own.request)))
}

// retryAfter returns the Retry-After of a request for which there is no room.
func (r *request) retryAfter() time.Duration {
	if !r.estimated {
		return capacityRetryAfter
	}
	r.e.waiting.mu.Lock()
	defer r.e.waiting.mu.Unlock()
	return r.e.waiting.retryAfter(r)
}

// retryAfter returns the Retry-After of a request to a service that estimates completion. w.mu
// must be held.
func (w *waitingRequests) retryAfter(r *request) time.Duration {
	return w.queue(r.service).RetryAfter(w.e.now(), policy.PriorityOf(r.route, r.customer), r.timeLeft(), rand.Float64())
}

// attemptEnded requests that the waiting requests of a service are tried.
func (w *waitingRequests) attemptEnded(service fleet.Pool) {
	if w.count.Load() == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if q := w.queues[service]; q != nil && q.Len() > 0 && !q.due {
		q.due = true
		w.timer.Reset(0)
	}
}

// serveBefore tries waiting requests of the service of a new request, so that it does not take
// the room that they wait for.
func (w *waitingRequests) serveBefore(r *request) {
	if w.count.Load() == 0 || len(r.tried) > 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if q := w.queues[r.service]; q != nil {
		w.serve(w.e.now(), q)
	}
}

// run tries the requests of the services at which an attempt has ended, or all when
// waitingInterval has passed.
func (w *waitingRequests) run() {
	w.mu.Lock()
	defer w.mu.Unlock()
	defer func() {
		if value := recover(); value != nil {
			// The requests are tried again. Outside a request, a panic would end the process.
			w.e.log.Error().Any("panic", value).Bytes("stack", debug.Stack()).Msg("trying waiting requests panicked")
		}
		if w.count.Load() > 0 {
			w.timer.Reset(max(0, waitingInterval-w.e.now().Sub(w.checkedAt)))
		}
	}()
	now := w.e.now()
	all := now.Sub(w.checkedAt) >= waitingInterval
	if all {
		w.checkedAt = now
		w.check()
	}
	for _, q := range w.queues {
		if all || q.due {
			q.due = false
			w.serve(now, q)
		}
	}
}

// serve gives up the requests of a queue that have expired, and tries those whose turn it is.
// w.mu must be held.
func (w *waitingRequests) serve(now machine.Instant, q *serviceQueue) {
	for _, t := range q.Expired(now) {
		w.e.hostMetrics.count("waiting.expired")
		w.refuse(q.waiters[t], "wait_expired")
	}
	for _, t := range q.Next(now) {
		own := q.waiters[t]
		if w.withdrawInvalid(own) {
			continue
		}
		choice, refusal := w.e.steering.Pick(now, own.placement())
		switch {
		case refusal == steering.Chosen:
			q.Served(now, t)
			w.deliver(own, waitResult{choice: choice})
		case refusal == steering.NoUpstream:
			w.refuseWithoutUpstream(own)
		case choice.AvailableIn+own.expectedWork() > own.timeLeft():
			// All upstreams have asked for a pause, for example, that ends too late.
			q.Remove(now, t)
			w.e.hostMetrics.count("waiting.expired")
			w.deliver(own, w.refusal(own, "wait_expired", max(choice.AvailableIn, w.retryAfter(own.request))))
		}
	}
}

// expectedWork returns the time that a request needs at an upstream.
func (r *request) expectedWork() time.Duration {
	return max(minTimeLeft, r.e.steering.ExpectedWork(r.service, r.route.Name))
}

// check ends the waits that a planned stop, a new configuration or the end of an admission
// does not allow any more, and those for which there is no upstream left. It covers all waiting
// requests, while serve tries only some. w.mu must be held.
func (w *waitingRequests) check() {
	snapshot := w.e.snapshot.Load()
	for service, q := range w.queues {
		for _, own := range q.waiters {
			if !w.withdrawInvalid(own) && !w.e.steering.HasUpstream(service, policy.Allowed(own.route, own.customer)) {
				w.refuseWithoutUpstream(own)
			}
		}
		if q.Len() == 0 && snapshot != w.snapshot && snapshot.Service(service) == nil {
			delete(w.queues, service)
		}
	}
	w.snapshot = snapshot
}

// withdrawInvalid ends a wait that is not allowed any more, and reports whether it did. w.mu
// must be held.
func (w *waitingRequests) withdrawInvalid(own *waiter) bool {
	if w.e.isStopping() {
		w.e.stop.Load().refused.Add(1)
		w.withdraw(own, w.refusal(own, "stopping", stoppingRetryAfter))
		return true
	}
	if w.e.quarantine.Quarantined(own.fingerprint) {
		w.withdraw(own, w.refusal(own, "quarantined", quarantineRetryAfter))
		return true
	}
	if response, outcome := own.adopt(w.e.snapshot.Load()); response != nil {
		own.refund()
		w.withdraw(own, waitResult{response: response, outcome: outcome})
		return true
	}
	// The admission of a removed customer has ended too, and is answered above.
	if own.admission != nil && !own.admission.Valid() {
		w.withdraw(own, waitResult{response: ingress.Refuse(http.StatusServiceUnavailable, w.retryAfter(own.request)), outcome: "admission_ended"})
		return true
	}
	return false
}

// adopt applies a newer configuration to a waiting request. It returns a response if the
// request does not wait any longer: because the configuration has no route for it, because
// its key is unknown, or because it would be handled in another way from the start.
func (r *request) adopt(s *policy.Snapshot) (*ingress.Response, string) {
	if s == r.snapshot {
		return nil, ""
	}
	old, customer := r.route, r.customerName()
	r.snapshot = s
	route := s.RouteFor(r.in.Host, r.in.URL.EscapedPath())
	if route == nil {
		return ingress.Refuse(http.StatusNotFound, 0), "no_route"
	}
	r.route = route
	r.customer = nil
	if s.RequiresKey() {
		r.customer = s.CustomerOf(r.fields.Key)
		if r.customer == nil && !route.AllowsAnonymous {
			return ingress.Refuse(http.StatusUnauthorized, 0), "unknown_key"
		}
	}
	serves := slices.ContainsFunc(route.Parts, func(p policy.WeightedService) bool { return p.Service == r.service })
	if route.Name != old.Name || route.Idempotent != old.Idempotent || !serves || r.customerName() != customer {
		return ingress.Refuse(http.StatusServiceUnavailable, changedRetryAfter), "configuration_changed"
	}
	return nil, ""
}
