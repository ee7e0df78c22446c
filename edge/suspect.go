package edge

import (
	"time"

	"github.com/catkinspring/catkinspring/dispatch"
	"github.com/catkinspring/catkinspring/steering"
	"github.com/catkinspring/catkinspring/upstream"
)

// computeFingerprint returns a hash of customer, method, host, URI, affinity and body, by
// which a request that crashes upstreams is recognised when its caller repeats it.
func (r *request) computeFingerprint() uint64 {
	target := r.in.Host + " " + r.in.RequestURI + " " + r.fields.Affinity
	return dispatch.Fingerprint(r.customerName(), []byte(r.in.Method), []byte(target), r.in.Body)
}

// reportCrash reports the requests in flight at an upstream that broke their
// connections and refuses new ones. After three crashes under the same fingerprint, all
// hosts refuse its requests for a time; see dispatch.Quarantine.
func (r *request) reportCrash(c steering.Choice, result upstream.Result) {
	e := r.e
	if result.Outcome != upstream.Broken || result.Unresponsive {
		// A process that ends closes its connections. A check of an unresponsive machine
		// would delay the next attempt until the check times out.
		return
	}
	inFlight := e.inFlightRequests.ForUpstream(c.ID)
	inFlight.RecordBroken(r.fingerprint, time.Now())
	b := brokenAttempt{choice: c, request: r.fields.ID, suspects: inFlight.Suspects(time.Now())}
	if !e.reportIfCrashed(b) {
		time.AfterFunc(crashRecheckDelay, func() { e.reportIfCrashed(b) })
	}
}

// crashRecheckDelay is the time until an upstream that broke a connection is checked
// again: a process that ends may close its connections before its listener. It is
// shorter than any start.
const crashRecheckDelay = 300 * time.Millisecond

// brokenAttempt is an attempt whose upstream broke the connection, and the requests
// that were in flight there.
type brokenAttempt struct {
	choice   steering.Choice
	request  string
	suspects []uint64
}

// reportIfCrashed reports a crash if the upstream refuses connections. It returns false
// if it doesn't.
func (e *Edge) reportIfCrashed(b brokenAttempt) bool {
	if !e.upstream.RefusesConnections(b.choice.Target) {
		return false
	}
	if change := e.steering.Crashed(e.now(), b.choice.ID); change.Description != "" {
		upstreamChanged(e.log.Info(), change).Str("request", b.request).Msg("upstream changed")
	}
	e.log.Warn().Str("upstream", string(b.choice.ID)).Str("request", b.request).Int("suspects", len(b.suspects)).Msg("upstream crashed under requests")
	e.hostMetrics.count("upstreams.crashed")
	// One crash is not enough for a quarantine: upstreams also crash for other reasons.
	crash := dispatch.Suspected{Upstream: b.choice.ID, Incarnation: b.choice.StartedMillis, Fingerprints: b.suspects}
	if !e.loop.Post(e.modules.quarantine, crash) {
		e.log.Warn().Str("upstream", string(b.choice.ID)).Msg("crash not counted, the control loop's inbox is full")
	}
	return true
}

// reportSuccess clears the fingerprint of a request that succeeded.
func (r *request) reportSuccess(result upstream.Result) {
	if result.Response.Status < 500 && r.e.quarantine.Suspected(r.fingerprint) {
		r.e.loop.Post(r.e.modules.quarantine, dispatch.Succeeded{Fingerprint: r.fingerprint})
	}
}
