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
	"github.com/catkinspring/catkinspring/internal/bytebudget"
	"github.com/catkinspring/catkinspring/internal/httpcheck"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/problem"
	"github.com/catkinspring/catkinspring/traffic"
)

const (
	// MaxRetries is the maximum number of attempts after the first one.
	MaxRetries = 2
	// DefaultMaxResponseBytes limits the body of a response, because responses are
	// held in memory until they are complete.
	DefaultMaxResponseBytes = 8 << 20
	// DefaultResponseMemoryBytes limits the responses that are read at a time. Several
	// upstreams that send without end must not use up the host's memory.
	DefaultResponseMemoryBytes = 128 << 20
	// capacityRetryAfter is the Retry-After sent when upstreams shed load, which
	// lasts for about the duration of a request.
	capacityRetryAfter = time.Second
)

// Config holds the settings of a Dispatcher. Placer and Clock are required.
type Config struct {
	Placer traffic.Placer
	Clock  traffic.Clock
	// Dial opens connections; nil means TCP.
	Dial DialFunc
	// MaxResponseBytes limits the body of a response; 0 means the default.
	MaxResponseBytes int
	// ResponseMemoryBytes limits what all responses that are being read hold together; 0
	// means the default.
	ResponseMemoryBytes int64
	// Table is the quarantine table that Report's inputs update; nil means none.
	Table *Table
	// Report sends Suspected and Succeeded inputs to the control loop. It must not
	// block; inputs that it can't take are dropped. Nil drops all inputs.
	Report func(machine.Input)
	// Registry receives the metrics; nil means the default registry.
	Registry metrics.Registry
}

// Dispatcher forwards requests to upstreams. It is safe for concurrent use.
type Dispatcher struct {
	placer           traffic.Placer
	clock            traffic.Clock
	table            *Table
	report           func(machine.Input)
	maxResponseBytes int
	// responses is the memory for responses that are being read.
	responses *bytebudget.Budget

	pool             *pool
	prober           *prober
	retryBudget      *retryBudget
	queueLimiter     queueLimiter
	inFlightRequests InFlightRequests
	bufferPool       bufferPool
	metrics          *counters
}

// New returns a Dispatcher. Run must be called to close its idle connections.
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
		retryBudget:      newRetryBudget(),
		metrics:          newCounters(config.Registry),
	}
	if d.maxResponseBytes <= 0 {
		d.maxResponseBytes = DefaultMaxResponseBytes
	}
	if config.ResponseMemoryBytes <= 0 {
		config.ResponseMemoryBytes = DefaultResponseMemoryBytes
	}
	d.responses = bytebudget.New(config.ResponseMemoryBytes)
	registry := config.Registry
	if registry == nil {
		registry = metrics.DefaultRegistry
	}
	registry.GetOrRegister("dispatch.response_bytes", metrics.NewFunctionalGauge(d.responses.Used))
	registry.GetOrRegister("dispatch.queued", metrics.NewFunctionalGauge(d.queueLimiter.total.Load))
	if d.report == nil {
		d.report = func(machine.Input) {}
	}
	return d
}

// Run closes expired idle connections until the context ends, and then all.
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

// Dispatch runs a request at an upstream and fills the response. An error is
// always a *problem.Error whose outcome says whether the request may have run, and
// the response is then unchanged. Cancelling the context aborts the exchange. If
// the result is needed even after the caller disconnects, the context must not be
// cancelled by the disconnect. It must end at the request's deadline.
func (d *Dispatcher) Dispatch(ctx context.Context, request *Request, dst *fasthttp.Response) error {
	d.retryBudget.deposit()
	header := headerPool.Get().(*fasthttp.RequestHeader)
	defer releaseHeader(header)
	body := request.Message.Body()
	copyRequest(request.Message, header, request.Target, newSecretFilter(request.Key))
	if len(body) > 0 || !request.Message.Header.IsGet() && !request.Message.Header.IsHead() {
		header.SetContentLength(len(body))
	}
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)

	a := attempts{d: d, ctx: ctx, request: request, header: header, body: body, response: response}
	if err := a.run(); err != nil {
		return err
	}
	copyResponse(response, dst)
	return nil
}

// attempts runs the attempts of one request, one after the other.
type attempts struct {
	d        *Dispatcher
	ctx      context.Context
	request  *Request
	header   *fasthttp.RequestHeader
	body     []byte
	response *fasthttp.Response

	tried []fleet.Upstream
	// unknown is true once an attempt ended without a proof that the request
	// did not run.
	unknown bool
}

func (a *attempts) run() error {
	for number := 0; ; number++ {
		slot, err := a.acquire()
		if err != nil {
			return a.refusal(err)
		}
		out, wrote := a.try(slot, number)
		if out.checkErr != nil {
			return a.refusal(out.checkErr)
		}
		if out.result == traffic.ResultAnswered {
			return nil
		}
		notRun := !wrote || out.result == traffic.ResultShed || out.result == traffic.ResultDraining
		if !notRun {
			a.unknown = true
		}
		if !a.shouldRetry(out, number, notRun) {
			return a.failure(out)
		}
		a.d.metrics.retries.Inc(1)
		if out.result != traffic.ResultConnectionFault {
			a.tried = append(a.tried, slot.Target().Name)
		}
	}
}

// shouldRetry reports whether another attempt follows, and takes it from the retry
// budget. A request that may have crashed an upstream is not sent to another one.
func (a *attempts) shouldRetry(out outcome, number int, notRun bool) bool {
	var firstByte *FirstByteTimeoutError
	reason := ""
	switch {
	case number >= MaxRetries:
		reason = "it had as many attempts as a request may have"
	case a.ctx.Err() != nil:
		reason = "its time was over or the caller had left"
	case !notRun && a.request.atMostOnce():
		reason = "it may have run, and the route is at-most-once"
	case out.result == traffic.ResultCrashSuspected:
		reason = "it may have crashed the upstream"
	case out.result == traffic.ResultCancelled:
		reason = "the caller had left"
	case !errors.As(out.err, &firstByte) && !a.d.retryBudget.withdraw():
		reason = "the retry budget, 10% of the host's requests, was used up"
	default:
		return true
	}
	a.request.Trace.NotRetried(reason)
	return false
}

// acquire waits for a slot, within the limits on waiting requests.
func (a *attempts) acquire() (traffic.Slot, error) {
	if !a.d.queueLimiter.enter(a.request.Customer) {
		return nil, problem.NotRun(problem.KindQueueFull, "too many requests wait for an upstream").WithRetryAfter(capacityRetryAfter)
	}
	defer a.d.queueLimiter.leave(a.request.Customer)
	return a.d.placer.Acquire(a.ctx, traffic.SlotRequest{
		Route:    a.request.Route.Name,
		Pool:     a.request.Route.Pool,
		Customer: a.request.Customer,
		Weight:   max(1, a.request.Weight),
		Bytes:    len(a.body),
		Exclude:  a.tried,
	})
}

// try makes one attempt and releases the slot, also after a panic.
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
	start := time.Now()

	out = e.run(a.header, a.body)
	report.Result = out.result
	if e.wrote {
		report.Latency = time.Since(e.started)
		report.Bytes = len(a.response.Body())
	}
	a.d.metrics.results[out.result].Inc(1)
	a.request.Trace.Attempted(target, out.result, e.wrote, time.Since(start))
	if out.isBroken(e.wrote) {
		reason := httpcheck.ReasonOf(out.err)
		a.d.metrics.brokenResponses[reason].Inc(1)
		a.request.Trace.ResponseBroken(string(reason))
	}
	if out.result == traffic.ResultAnswered && a.d.table.Suspected(a.request.Fingerprint) {
		a.d.report(Succeeded{Fingerprint: a.request.Fingerprint})
	}
	return out, e.wrote
}

// attemptID returns the request ID of an attempt. The first attempt has the ID
// that the caller sees.
func attemptID(id string, number int) string {
	if number == 0 {
		return id
	}
	return id + "." + strconv.Itoa(number)
}

// upstreamDeadline returns the deadline to send to an upstream, in Unix
// milliseconds: the caller's deadline or the end of the lease, if that is earlier.
func (d *Dispatcher) upstreamDeadline(request *Request) int64 {
	now := d.clock.Now()
	remaining := time.Until(request.Deadline)
	if request.Lease != nil {
		remaining = min(remaining, request.Lease.ValidUntil().Sub(now.Instant))
	}
	return now.WallMillis + remaining.Milliseconds()
}

// classifyBrokenConnection classifies an exchange whose connection ended after the
// request was written. If the upstream refuses new connections, the requests in
// flight there are suspected of having crashed it.
func (d *Dispatcher) classifyBrokenConnection(e *exchange) traffic.Result {
	inFlight := d.inFlightRequests.ForUpstream(e.target.Name)
	inFlight.RecordBroken(e.request.Fingerprint, time.Now())
	switch d.prober.probe(e.target.Address) {
	case probeRefused:
		d.report(Suspected{Upstream: e.target.Name, Fingerprints: inFlight.Suspects(time.Now())})
		return traffic.ResultCrashSuspected
	case probeResponded:
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
