package dispatch

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/problem"
	"github.com/catkinspring/catkinspring/traffic"
)

const (
	// MaxRetries bounds the attempts after the first one.
	MaxRetries = 2
	// DefaultMaxResponseBytes bounds the body of a response. Responses are held
	// in memory until they are complete.
	DefaultMaxResponseBytes = 8 << 20
	// capacityRetryAfter is what callers are told when upstreams shed: shedding
	// lasts for about the time of a request.
	capacityRetryAfter = time.Second
)

// Config holds what a Dispatcher needs. Placer and Clock are required.
type Config struct {
	Placer traffic.Placer
	Clock  traffic.Clock
	// Dial opens connections; nil means TCP.
	Dial DialFunc
	// MaxResponseBytes bounds the body of a response; 0 means the default.
	MaxResponseBytes int
	// Table is the quarantine that Report's inputs end up in; nil means none.
	Table *Table
	// Report hands Suspected and Succeeded to the control loop. It must not
	// block; inputs that it can't take are lost. Nil means that nobody listens.
	Report func(machine.Input)
	// Registry takes the counters; nil means the process's default one.
	Registry metrics.Registry
}

// Dispatcher carries requests to upstreams. It is safe for concurrent use.
type Dispatcher struct {
	placer           traffic.Placer
	clock            traffic.Clock
	table            *Table
	report           func(machine.Input)
	maxResponseBytes int

	pool    *pool
	prober  *prober
	budget  *budget
	gate    gate
	flights InFlightRequests
	buffers buffers
	metrics *counters
}

// New returns a Dispatcher. Run closes its unused connections.
func New(config Config) *Dispatcher {
	p := newPool(config.Dial)
	d := &Dispatcher{
		placer:           config.Placer,
		clock:            config.Clock,
		table:            config.Table,
		report:           config.Report,
		maxResponseBytes: config.MaxResponseBytes,
		pool:             p,
		prober:           newProber(p),
		budget:           newBudget(),
		metrics:          newCounters(config.Registry),
	}
	if d.maxResponseBytes <= 0 {
		d.maxResponseBytes = DefaultMaxResponseBytes
	}
	registry := config.Registry
	if registry == nil {
		registry = metrics.DefaultRegistry
	}
	registry.GetOrRegister("dispatch.queued", metrics.NewFunctionalGauge(d.gate.total.Load))
	if d.report == nil {
		d.report = func(machine.Input) {}
	}
	return d
}

// Run closes unused connections until the context ends, and then all of them.
func (d *Dispatcher) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	defer d.pool.close()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			d.pool.sweep(now)
		}
	}
}

// Dispatch runs a request at an upstream and fills the response. If it returns
// an error, it is a *problem.Error whose outcome says what is known, and the
// response is unchanged. When the context is cancelled the exchange is broken
// off; the caller passes one that is not cancelled by a disconnect if the
// result must be known. The context must end at the request's deadline.
func (d *Dispatcher) Dispatch(ctx context.Context, request *Request, into *fasthttp.Response) error {
	d.budget.earn()
	header := headerPool.Get().(*fasthttp.RequestHeader)
	defer releaseHeader(header)
	body := request.Message.Body()
	copyRequest(request.Message, header, request.Target, newSecretFilter(request.Key))
	if len(body) > 0 || !request.Message.Header.IsGet() && !request.Message.Header.IsHead() {
		header.SetContentLength(len(body))
	}
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)

	run := attempts{d: d, ctx: ctx, request: request, header: header, body: body, response: response}
	if err := run.all(); err != nil {
		return err
	}
	copyResponse(response, into)
	return nil
}

// attempts is the sequence of attempts of one request.
type attempts struct {
	d        *Dispatcher
	ctx      context.Context
	request  *Request
	header   *fasthttp.RequestHeader
	body     []byte
	response *fasthttp.Response

	tried []fleet.Upstream
	// unknown is true once an attempt ended without it being known whether the
	// request ran.
	unknown bool
}

func (a *attempts) all() error {
	for number := 0; ; number++ {
		slot, err := a.acquire()
		if err != nil {
			return a.refusal(err)
		}
		out, wrote := a.try(slot, number)
		if out.refused != nil {
			return a.refusal(out.refused)
		}
		if out.result == traffic.ResultAnswered {
			return nil
		}
		proven := !wrote || out.result == traffic.ResultShed || out.result == traffic.ResultDraining
		if !proven {
			a.unknown = true
		}
		if !a.again(out, number, proven) {
			return a.failure(out)
		}
		a.d.metrics.retries.Inc(1)
		if out.result != traffic.ResultConnectionFault {
			a.tried = append(a.tried, slot.Target().Name)
		}
	}
}

// again reports whether another attempt follows, and pays for it. A request
// that may have crashed an upstream is not tried at another one.
func (a *attempts) again(out outcome, number int, proven bool) bool {
	var firstByte *FirstByteTimeoutError
	reason := ""
	switch {
	case number >= MaxRetries:
		reason = "it had as many attempts as a request may have"
	case a.ctx.Err() != nil:
		reason = "its time was over or the caller had left"
	case !proven && a.request.atMostOnce():
		reason = "it may have run, and the route is at-most-once"
	case out.result == traffic.ResultCrashSuspected:
		reason = "it may have crashed the upstream"
	case out.result == traffic.ResultCancelled:
		reason = "the caller had left"
	case !errors.As(out.err, &firstByte) && !a.d.budget.spend():
		reason = "the retry budget, 10% of the host's requests, was used up"
	default:
		return true
	}
	a.request.Trace.NotRetried(reason)
	return false
}

// acquire waits for a slot in a bounded queue.
func (a *attempts) acquire() (traffic.Slot, error) {
	if !a.d.gate.enter(a.request.Customer) {
		return nil, problem.NotRun(problem.KindQueueFull, "too many requests wait for an upstream").WithRetryAfter(capacityRetryAfter)
	}
	defer a.d.gate.leave(a.request.Customer)
	return a.d.placer.Acquire(a.ctx, traffic.PlaceRequest{
		Route:    a.request.Route.Name,
		Pool:     a.request.Route.Pool,
		Customer: a.request.Customer,
		Weight:   max(1, a.request.Weight),
		Bytes:    len(a.body),
		Exclude:  a.tried,
	})
}

// try makes one attempt and gives the slot back, also after a panic.
func (a *attempts) try(slot traffic.Slot, number int) (out outcome, wrote bool) {
	report := traffic.Report{Result: traffic.ResultUnused}
	defer func() { slot.Release(report) }()
	target := slot.Target()
	a.response.Reset()
	e := &exchange{
		d:        a.d,
		request:  a.request,
		ctx:      a.ctx,
		target:   target,
		id:       attemptID(a.request.ID, number),
		mayRetry: number < MaxRetries && !a.request.atMostOnce(),
		response: a.response,
	}
	a.d.metrics.attempts.Inc(1)
	begun := time.Now()

	out = e.run(a.header, a.body)
	report.Result = out.result
	if e.wrote {
		report.Latency = time.Since(e.started)
		report.Bytes = len(a.response.Body())
	}
	a.d.metrics.results[out.result].Inc(1)
	a.request.Trace.Attempted(target, out.result, e.wrote, time.Since(begun))
	if out.result == traffic.ResultAnswered && a.d.table.Suspected(a.request.Fingerprint) {
		a.d.report(Succeeded{Fingerprint: a.request.Fingerprint})
	}
	return out, e.wrote
}

// attemptID returns the request id of an attempt. The first one has the id that
// the caller sees.
func attemptID(id string, number int) string {
	if number == 0 {
		return id
	}
	return id + "." + strconv.Itoa(number)
}

// upstreamDeadline returns the deadline that an upstream is given, in Unix
// milliseconds: the caller's, but never later than the end of the lease.
func (d *Dispatcher) upstreamDeadline(request *Request) int64 {
	now := d.clock.Now()
	left := time.Until(request.Deadline)
	if request.Lease != nil {
		left = min(left, request.Lease.ValidUntil().Sub(now.Instant))
	}
	return now.WallMillis + left.Milliseconds()
}

// brokenResult classifies an exchange whose connection ended after the request
// was written. If the upstream refuses new connections, the requests in flight
// there are suspected of having crashed it.
func (d *Dispatcher) brokenResult(e *exchange) traffic.Result {
	flight := d.flights.ForUpstream(e.target.Name)
	flight.RecordBroken(e.request.Fingerprint, time.Now())
	switch d.prober.probe(e.target.Address) {
	case probeRefused:
		suspects := flight.Suspects(time.Now())
		d.report(Suspected{Upstream: e.target.Name, Fingerprints: suspects, Alone: len(suspects) == 1})
		return traffic.ResultCrashSuspected
	case probeWorks:
		return traffic.ResultConnectionFault
	default:
		return traffic.ResultFailed
	}
}

var headerPool = sync.Pool{New: func() any { return new(fasthttp.RequestHeader) }}

func releaseHeader(header *fasthttp.RequestHeader) {
	header.Reset()
	headerPool.Put(header)
}
