package operations

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/problem"
	"github.com/catkinspring/catkinspring/traffic"
)

// defaultWait limits the wait if neither the operation nor the context has a deadline.
const defaultWait = 30 * time.Second

// Retry-After values for refused callers.
const (
	runningRetryAfter = time.Second
	fullRetryAfter    = time.Minute
)

// Client is the traffic side of a Machine. It implements traffic.Claimer.
type Client struct {
	post    func(machine.Input) bool
	clock   traffic.Clock
	lease   traffic.Lease
	counts  clientMetrics
	attempt atomic.Uint64

	mu      sync.Mutex
	waiting map[uint64]*pendingClaim
	held    map[uint64]*claim
	// unposted are endings that did not fit into the queue of the control loop.
	unposted []machine.Input
}

// pendingClaim is a call of Claim that waits for a decision.
type pendingClaim struct {
	decided chan Decided
	running bool
}

// NewClient returns a client that passes inputs to its Machine through post, which
// returns false if the queue is full. The machine's Decided outputs must be passed
// to Deliver.
func NewClient(post func(machine.Input) bool, clock traffic.Clock, lease traffic.Lease, registry metrics.Registry) *Client {
	return &Client{
		post:    post,
		clock:   clock,
		lease:   lease,
		counts:  newClientMetrics(registry),
		waiting: map[uint64]*pendingClaim{},
		held:    map[uint64]*claim{},
	}
}

var _ traffic.Claimer = (*Client)(nil)

// Claim returns a claim, the result of an earlier attempt or a *problem.Error. It
// respects the deadlines of the context and the operation.
func (c *Client) Claim(ctx context.Context, op traffic.Operation) (traffic.Claim, *traffic.OperationResult, error) {
	if !op.Deadline.IsZero() {
		bounded, cancel := context.WithDeadline(ctx, op.Deadline)
		defer cancel()
		ctx = bounded
	}
	wait := defaultWait
	if deadline, ok := ctx.Deadline(); ok {
		wait = time.Until(deadline)
	}
	c.Flush()
	attempt := c.attempt.Add(1)
	p := &pendingClaim{decided: make(chan Decided, 1)}
	c.add(attempt, p)
	begin := Begin{Attempt: attempt, ID: op.ID, Fingerprint: op.Fingerprint, Wait: wait}
	if wait <= 0 || !c.post(begin) {
		c.remove(attempt)
		return c.outcome(Decided{Attempt: attempt, Decision: DecisionUnavailable})
	}
	select {
	case d := <-p.decided:
		return c.outcome(d)
	case <-ctx.Done():
		return c.cancelClaim(attempt, p)
	}
}

func (c *Client) add(attempt uint64, p *pendingClaim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting[attempt] = p
}

// remove deletes a pending claim. It returns false if the decision has arrived.
func (c *Client) remove(attempt uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, pending := c.waiting[attempt]
	delete(c.waiting, attempt)
	return pending
}

// cancelClaim ends a call whose context is done.
func (c *Client) cancelClaim(attempt uint64, p *pendingClaim) (traffic.Claim, *traffic.OperationResult, error) {
	if !c.remove(attempt) {
		return c.outcome(<-p.decided)
	}
	c.finish(Finish{Attempt: attempt, Ending: EndingRelease})
	d := DecisionUnavailable
	if p.running {
		d = DecisionRunning
	}
	return c.outcome(Decided{Attempt: attempt, Decision: d})
}

// Deliver passes a decision of the machine to its caller. It never blocks.
func (c *Client) Deliver(d Decided) {
	c.Flush()
	c.mu.Lock()
	p := c.waiting[d.Attempt]
	held := c.held[d.Attempt]
	switch {
	case p != nil && d.Decision == DecisionWaiting:
		p.running = true
	case p != nil:
		delete(c.waiting, d.Attempt)
		if d.Decision == DecisionGranted {
			c.held[d.Attempt] = &claim{client: c, attempt: d.Attempt}
		}
		p.decided <- d
	case held != nil:
		held.overtaken.Store(true)
		c.counts.overtaken.Inc(1)
	}
	c.mu.Unlock()
	if p == nil && held == nil && d.Decision == DecisionGranted {
		c.finish(Finish{Attempt: d.Attempt, Ending: EndingRelease})
	}
}

// Flush posts the endings that did not fit into the queue before. The control loop
// should call it on each tick.
func (c *Client) Flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.unposted) > 0 && c.post(c.unposted[0]) {
		c.unposted = c.unposted[1:]
	}
}

// finish posts the ending of an attempt. If it were lost, the operation would count
// as running until the host is replaced.
func (c *Client) finish(f Finish) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.held, f.Attempt)
	if len(c.unposted) > 0 || !c.post(f) {
		c.counts.delayed.Inc(1)
		c.unposted = append(c.unposted, f)
	}
}

// outcome converts a decision to the results of Claim.
func (c *Client) outcome(d Decided) (traffic.Claim, *traffic.OperationResult, error) {
	c.counts.decisions[d.Decision].Inc(1)
	switch d.Decision {
	case DecisionGranted:
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.held[d.Attempt], nil, nil
	case DecisionRan:
		if d.Result == nil || d.Result.BodyDropped {
			return nil, nil, ranWithoutBody(d.Result)
		}
		return nil, d.Result, nil
	default:
		return nil, nil, refusal(d.Decision)
	}
}

func ranWithoutBody(r *traffic.OperationResult) *problem.Error {
	detail := "the operation ran; its response is no longer kept"
	if r != nil {
		detail = "the operation ran with status " + strconv.Itoa(r.Status) + "; its response is no longer kept"
	}
	return problem.New(problem.KindOperationRan, problem.OutcomeRun, detail)
}

// refusal returns the error for the caller that corresponds to a decision.
func refusal(d Decision) *problem.Error {
	switch d {
	case DecisionRunning:
		return problem.New(problem.KindOperationRunning, problem.OutcomeUnknown,
			"another request with this idempotency key is still running; ask again with the same key").WithRetryAfter(runningRetryAfter)
	case DecisionUnknown:
		return problem.New(problem.KindOperationUnknown, problem.OutcomeUnknown,
			"an earlier request with this idempotency key may have run and its result was lost; look the effect up before using a new key")
	case DecisionMismatch:
		return problem.NotRun(problem.KindIdempotencyKeyReused, "the idempotency key was used for a different request")
	case DecisionAhead:
		return problem.NotRun(problem.KindOperationIDTime, "the time in the idempotency key is in the future")
	case DecisionTooOld:
		return problem.New(problem.KindOperationIDTime, problem.OutcomeUnknown,
			"the idempotency key is older than results are kept; whether it was used is not known")
	case DecisionFull:
		return problem.NotRun(problem.KindClaimUnavailable, "too many operations are remembered").WithRetryAfter(fullRetryAfter)
	default:
		return problem.NotRun(problem.KindClaimUnavailable, "the operation could not be claimed in time").WithRetryAfter(runningRetryAfter)
	}
}

// claim is a granted claim on the traffic side.
type claim struct {
	client    *Client
	attempt   uint64
	ended     atomic.Bool
	overtaken atomic.Bool
}

// Valid reports whether the claim has not ended, the host's lease is valid and no
// later owner of the partition has refused the claim.
func (c *claim) Valid() bool {
	return !c.ended.Load() && !c.overtaken.Load() && c.client.clock.Now().Instant < c.client.lease.ValidUntil()
}

// Complete records the response of the operation.
func (c *claim) Complete(result traffic.OperationResult) {
	c.end(Finish{Attempt: c.attempt, Ending: EndingComplete, Result: result})
}

// Release records that the operation did not run.
func (c *claim) Release() {
	c.end(Finish{Attempt: c.attempt, Ending: EndingRelease})
}

// Abandon records that it is unknown whether the operation ran.
func (c *claim) Abandon() {
	c.end(Finish{Attempt: c.attempt, Ending: EndingAbandon})
}

// end posts the first ending and ignores later ones.
func (c *claim) end(f Finish) {
	if c.ended.Swap(true) {
		return
	}
	c.client.counts.endings[f.Ending].Inc(1)
	c.client.finish(f)
}
