package steering

import (
	"math"
	"slices"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/upstream"
)

const (
	// quantileStep is the step of a quantile for each sample, as a part of its value.
	quantileStep = 0.1
	// minWorkSamples is the number of attempts from which on a quantile is used.
	minWorkSamples = 5
	// cachedQuantile and missedQuantile are the quantiles that represent the work with the
	// object in the cache at the upstreams where most requests find it, and without at others.
	cachedQuantile = 0.3
	missedQuantile = 0.7
	// missFactor is how many times as long work takes without the object in the cache, while
	// it is not known.
	missFactor = 3
	// meanWeight is the weight of one attempt in the mean work of a service (EWMA). Single
	// attempts take several times the usual work, so the mean covers many.
	meanWeight = 0.05
	// queuedWeight is the weight of one attempt in the averages of those of a route that had to wait.
	queuedWeight = 0.05
	// maxWorkRoutes bounds the routes of a service whose work is known. Configurations
	// may contain many more routes than get requests.
	maxWorkRoutes = 512
	// targetPart is the part of the time to the target latency that an estimate may take;
	// the rest covers variation of the work and loads that have changed since.
	targetPart = 0.8
	// minNearUpstreams is the number of upstreams from which on those in this host's
	// failure domain come first. Fewer do not have the room to cache a share of the objects.
	minNearUpstreams = 4
)

// quantile estimates a quantile of durations in seconds by steps in the direction of each
// sample (stochastic approximation).
type quantile struct {
	seconds float64
	samples int
}

// add adds a duration. The first ones are averaged.
func (q *quantile) add(seconds, p float64) {
	q.samples++
	switch {
	case q.samples <= minWorkSamples:
		q.seconds += (seconds - q.seconds) / float64(q.samples)
	case seconds < q.seconds:
		q.seconds *= 1 - quantileStep*(1-p)
	default:
		q.seconds *= 1 + quantileStep*p
	}
}

// queuedWork estimates the work of a route from attempts that had to wait for a slot, by the averages of their
// time and of the queue before them.
type queuedWork struct {
	// took is in seconds, divided by the stated slowdown. queue is in requests for each slot; see queueFor.
	took, queue float64
	samples     int
}

// add adds an attempt. The first ones are averaged.
func (q *queuedWork) add(seconds, queue float64) {
	q.samples++
	weight := max(queuedWeight, 1/float64(q.samples))
	q.took += weight * (seconds - q.took)
	q.queue += weight * (queue - q.queue)
}

// known reports whether there are enough samples.
func (q *queuedWork) known() bool { return q.samples >= minWorkSamples }

// seconds returns the work if the requests in the queue take mean seconds each. It is 0 if their work explains
// all of the time, which a single sample or an early mean may suggest.
func (q *queuedWork) seconds(mean float64) float64 { return max(0, q.took-q.queue*mean) }

// known reports whether there are enough samples.
func (q *quantile) known() bool { return q.samples >= minWorkSamples }

// attemptClass distinguishes attempts that take different times for the same request: at
// the first upstream in the order of the object, which has usually cached it, and in the
// local region.
type attemptClass struct{ first, local bool }

func (c attemptClass) index() int {
	i := 0
	if c.first {
		i++
	}
	if c.local {
		i += 2
	}
	return i
}

// routeWork is the work of one route on a service by class of attempts.
type routeWork struct {
	byClass [4]quantile
	// queued is used as long as none of byClass is known.
	queued queuedWork
	// urgency is how long a request of the route may wait for a slot and still meet its
	// target latency, in seconds, and priority its priority. They are those of its last
	// request, which was chosen at lastAt.
	urgency  float64
	priority int
	lastAt   machine.Instant
	// target is the target latency of the route in seconds; 0 if it has none.
	target float64
	local  localShare
}

// known reports whether the work of a class of attempts is known.
func (w *routeWork) known() bool {
	return slices.ContainsFunc(w.byClass[:], func(q quantile) bool { return q.known() })
}

// workTimes is how long upstreams of a service work on a request without waiting, on a
// machine of usual speed.
type workTimes struct {
	routes map[fleet.Route]*routeWork
	// mean is the moving average (EWMA) over the requests of all routes, in seconds; 0 before
	// the first one.
	mean float64
	// freeSamples is the number of attempts in the mean that found a free slot, queuedSamples that of
	// others.
	freeSamples, queuedSamples int
}

// route returns the entry of a route, which is added if it is missing. It then replaces
// that of the route with the fewest requests if there are maxWorkRoutes.
func (w *workTimes) route(name fleet.Route) *routeWork {
	entry := w.routes[name]
	if entry == nil {
		if w.routes == nil {
			w.routes = make(map[fleet.Route]*routeWork)
		}
		if len(w.routes) >= maxWorkRoutes {
			delete(w.routes, w.idlest())
		}
		entry = &routeWork{local: localShare{share: -1}}
		w.routes[name] = entry
	}
	return entry
}

// idlest returns the route with the fewest requests of late.
func (w *workTimes) idlest() (name fleet.Route) {
	fewest := math.Inf(1)
	for route, entry := range w.routes {
		requests := entry.local.rate + float64(entry.local.picks)
		if requests < fewest || requests == fewest && route < name {
			name, fewest = route, requests
		}
	}
	return name
}

// expected returns the work of a class of attempts in seconds: that of the class, else
// that of the same class in other regions or the own one, else a guess from the other
// class, else that of attempts of any class that had to wait, else the mean of the service.
func (w *workTimes) expected(entry *routeWork, c attemptClass) float64 {
	for _, class := range []attemptClass{c, {c.first, !c.local}} {
		if q := &entry.byClass[class.index()]; q.known() {
			return q.seconds
		}
	}
	for _, class := range []attemptClass{{!c.first, c.local}, {!c.first, !c.local}} {
		switch q := &entry.byClass[class.index()]; {
		case q.known() && c.first:
			return q.seconds / missFactor
		case q.known():
			return q.seconds * missFactor
		}
	}
	if entry.queued.known() {
		return entry.queued.seconds(w.mean)
	}
	return w.mean
}

// record adds the work of an attempt.
func (w *workTimes) record(route fleet.Route, c attemptClass, seconds float64) {
	p := missedQuantile
	if c.first {
		p = cachedQuantile
	}
	w.route(route).byClass[c.index()].add(seconds, p)
	if w.mean == 0 {
		w.mean = seconds
	}
	w.mean += meanWeight * (seconds - w.mean)
	w.freeSamples++
}

// recordQueued adds an attempt that had to wait for the end of queue requests for each slot. On average over all
// routes, its time is that of 1+queue requests, which gives the mean. That doesn't hold for a single route,
// because short requests wait for long ones; see queuedWork.
func (w *workTimes) recordQueued(route fleet.Route, seconds, queue float64) {
	w.route(route).queued.add(seconds, queue)
	if w.freeSamples >= minWorkSamples {
		return
	}
	w.queuedSamples++
	w.mean += max(meanWeight, 1/float64(w.freeSamples+w.queuedSamples)) * (seconds/(1+queue) - w.mean)
}

// classOf returns the class of attempts at an upstream.
func (t *Table) classOf(m *member, first bool) attemptClass {
	return attemptClass{first: first, local: m.Location.Region == t.config.Location.Region}
}

// RecordWork records how long a successful attempt took. Other responses often come without any work. The time of
// an attempt that had to wait for a slot contains the wait; it is used only until there are enough others, for a
// service that is overloaded from its start.
func (t *Table) RecordWork(c Choice, r upstream.Result) {
	if !c.estimated || c.Cold || r.Outcome != upstream.Answered || r.Response.Status/100 != 2 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[c.ID]
	if m == nil {
		return
	}
	seconds := r.Took.Seconds()
	if stated := r.Response.Load.Slowdown; stated > 0 {
		seconds /= max(minSlowdown, stated)
	}
	work := &t.services[m.Service].work
	if c.Load < float64(c.Slots) {
		work.record(c.route, t.classOf(m, c.first), seconds)
		return
	}
	work.recordQueued(c.route, seconds, queueFor(c.Load, c.Slots))
}

// ExpectedWork returns the expected time of an attempt of a route that does not wait; 0 if
// it is unknown.
func (t *Table) ExpectedWork(service fleet.Pool, route fleet.Route) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.services[service]
	if p == nil || p.work.routes[route] == nil {
		return 0
	}
	return seconds(p.work.expected(p.work.routes[route], attemptClass{first: true, local: true}))
}

// EstimatesCompletion reports whether the requests for a service are placed by estimated
// completion.
func (t *Table) EstimatesCompletion(service fleet.Pool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.services[service]
	return p != nil && t.estimates(p)
}

// estimates reports whether the requests for a service are placed by estimated completion.
func (t *Table) estimates(p *pool) bool { return t.config.Pressure || p.statesSlowdown }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// option is an upstream that may get a request, with the estimate of its completion.
type option struct {
	candidate
	// first is true for the first healthy upstream in the order of the object, within its failure
	// domain.
	first bool
	// wait and completion are in seconds from now.
	wait, completion float64
}

// queueFor returns the number of requests, for each slot, whose end a new request has to wait for at an upstream
// with the given load.
func queueFor(load float64, slots int) float64 { return max(0, load+1-float64(slots)) / float64(slots) }

// estimate sets the wait and the completion of an option.
func (t *Table) estimate(now machine.Instant, p *pool, entry *routeWork, o *option) {
	slowdown := o.currentSlowdown(now)
	o.wait = queueFor(o.load, o.Slots) * p.work.mean * slowdown
	o.completion = o.wait + p.work.expected(entry, t.classOf(o.member, o.first))*slowdown
}

// chooseByCompletion returns the upstream of a region for a request to a service that is
// placed by estimated completion, or the zero option. The options are the first two
// healthy upstreams in this host's failure domain, if that has enough of them, and the
// first two of the region: all hosts of a domain then use the same ones for an object. The
// first option that is expected to complete within the target is taken, else the one that
// completes first. Before that comes an upstream with a shared rate, as in choose, except
// that a cold one gets no request that only the chosen option is expected to complete within
// the target. roomIn is when an option is expected to have room, if none has.
func (t *Table) chooseByCompletion(now machine.Instant, p *pool, r *Request, region *regionPool) (chosen option, roomIn time.Duration) {
	entry := p.work.route(r.Route)
	if !r.Second {
		p.work.noteRequest(now, entry, r)
	}
	options, secondScore := t.options(now, r, region)
	chosen, roomIn = t.bestOption(now, p, r, entry, options)
	if r.Second {
		return chosen, roomIn
	}
	allowCold := chosen.member == nil || !chosen.meetsTarget(r) || p.work.meetsTargetCold(entry, r)
	if restricted := t.firstRestricted(now, r, region.members, secondScore, allowCold); restricted.member != nil {
		return option{candidate: restricted}, 0
	}
	return chosen, roomIn
}

// options returns the upstreams among which chooseByCompletion chooses, in the order of
// preference, and the score of the second one of the region.
func (t *Table) options(now machine.Instant, r *Request, region *regionPool) (options []option, secondScore uint64) {
	options = make([]option, 0, 4)
	add := func(c candidate, first bool) {
		if c.member != nil && !slices.ContainsFunc(options, func(o option) bool { return o.member == c.member }) {
			options = append(options, option{candidate: c, first: first})
		}
	}
	if t.config.Pressure && len(region.near) >= minNearUpstreams {
		first, second := t.firstUnrestricted(now, r, region.near)
		add(first, !r.Second)
		add(second, false)
	}
	best, next := t.firstUnrestricted(now, r, region.members)
	add(best, !r.Second)
	add(next, false)
	return options, next.score
}

// bestOption returns the first option that is expected to complete within the target,
// else the one that completes first, or the zero option if none has room.
func (t *Table) bestOption(now machine.Instant, p *pool, r *Request, entry *routeWork, options []option) (best option, roomIn time.Duration) {
	maxWait := p.work.maxWait(now, r)
	earliest := math.Inf(1)
	for i := range options {
		o := &options[i]
		t.estimate(now, p, entry, o)
		switch {
		case o.wait > maxWait || o.utilization() > r.MaxUtilization || o.exceeds(r, entry):
			earliest = min(earliest, o.wait)
		case o.meetsTarget(r):
			return *o, 0
		case best.member == nil || o.completion < best.completion:
			best = *o
		}
	}
	if best.member == nil && !math.IsInf(earliest, 1) {
		roomIn = seconds(earliest)
	}
	return best, roomIn
}

// meetsTarget reports whether an option is expected to complete within the target.
func (o *option) meetsTarget(r *Request) bool {
	return o.completion <= targetPart*r.TargetLeft.Seconds()
}

// exceeds reports whether an option is expected to complete after the deadline. The work of
// other routes does not count: a route whose requests are all refused would never be learnt. For the same
// reason, work that was estimated from attempts that had to wait does not count at a free slot, where the
// attempt gives a better sample.
func (o *option) exceeds(r *Request, entry *routeWork) bool {
	expected := o.completion
	if !entry.known() && (o.load < float64(o.Slots) || !entry.queued.known()) {
		expected = o.wait
	}
	return expected > r.TimeLeft.Seconds()
}

// coldFactor is how many times as long work takes on a cold upstream.
const coldFactor = 2

// meetsTargetCold reports whether a request is expected to complete within the target at
// a cold upstream, which has cached nothing.
func (w *workTimes) meetsTargetCold(entry *routeWork, r *Request) bool {
	return coldFactor*w.expected(entry, attemptClass{local: true}) <= targetPart*r.TargetLeft.Seconds()
}

const (
	// urgencyMemory is how long a route without requests is taken into account.
	urgencyMemory = 2 * time.Second
	// minUrgency is the shortest wait, as a part of the mean work, that requests of lower priority
	// may cause to more urgent ones: the time until one of several slots is free.
	minUrgency = 0.1
)

// noteRequest records a request and how long it may wait.
func (w *workTimes) noteRequest(now machine.Instant, entry *routeWork, r *Request) {
	if entry.target = r.TargetLatency.Seconds(); r.TargetLatency <= 0 {
		return
	}
	entry.urgency = targetPart*r.TargetLatency.Seconds() - w.expected(entry, attemptClass{first: true, local: true})
	entry.priority, entry.lastAt = r.Priority, now
}

// maxWait returns the longest wait in seconds after which a request may be queued at an
// upstream. Requests behind it wait as long as it does, so those of a higher priority must
// still meet their target after that wait.
func (w *workTimes) maxWait(now machine.Instant, r *Request) float64 {
	limit := math.Inf(1)
	for _, other := range w.routes {
		if other.priority < r.Priority && other.lastAt != 0 && now.Sub(other.lastAt) < urgencyMemory {
			limit = min(limit, max(other.urgency, minUrgency*w.mean))
		}
	}
	return limit
}
