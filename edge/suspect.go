package edge

import (
	"time"

	"github.com/catkinspring/catkinspring/dispatch"
	"github.com/catkinspring/catkinspring/upstream"
)

// computeFingerprint returns a hash of customer, route, method, URI, affinity and body,
// by which a request that crashes upstreams is recognised when its caller repeats it.
func (r *request) computeFingerprint() uint64 {
	return dispatch.Fingerprint(r.customerName(), r.route.Name, []byte(r.in.Method), []byte(r.in.RequestURI+" "+r.fields.Affinity), r.in.Body)
}

// reportCrash reports the requests in flight at an upstream that broke their
// connections and refuses new ones. After three crashes under the same fingerprint, all
// hosts refuse its requests for a time; see dispatch.Quarantine.
func (r *request) reportCrash(inFlight *dispatch.UpstreamInFlight) {
	e := r.e
	if r.last.Outcome != upstream.Broken || r.last.Unresponsive {
		// A process that ends closes its connections. A check of an unresponsive machine
		// would delay the next attempt until the check times out.
		return
	}
	inFlight.RecordBroken(r.fingerprint, time.Now())
	if !e.upstream.RefusesConnections(r.choice.Target) {
		return
	}
	if change := e.steering.Crashed(e.now(), r.choice.ID); change.Description != "" {
		upstreamChanged(e.log.Info(), change).Str("request", r.fields.ID).Msg("upstream changed")
	}
	suspects := inFlight.Suspects(time.Now())
	e.log.Warn().Str("upstream", string(r.choice.ID)).Str("request", r.fields.ID).Int("suspects", len(suspects)).Msg("upstream crashed under requests")
	e.hostMetrics.count("upstreams.crashed")
	// One crash is not enough for a quarantine: upstreams also crash for other reasons.
	e.loop.Post(e.modules.quarantine, dispatch.Suspected{Upstream: r.choice.ID, Incarnation: r.choice.StartedMillis, Fingerprints: suspects})
}

// reportSuccess clears the fingerprint of a request that succeeded.
func (r *request) reportSuccess() {
	if r.last.Response.Status < 500 && r.e.quarantine.Suspected(r.fingerprint) {
		r.e.loop.Post(r.e.modules.quarantine, dispatch.Succeeded{Fingerprint: r.fingerprint})
	}
}
