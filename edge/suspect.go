package edge

import (
	"time"

	"github.com/catkinspring/catkinspring/dispatch"
	"github.com/catkinspring/catkinspring/upstream"
)

// fingerprint returns the hash of what makes two requests the same, under which
// a request that crashes upstreams is recognised when its caller repeats it.
func (r *request) fingerprint() uint64 {
	return dispatch.Fingerprint(r.customerName(), r.route.Name, []byte(r.in.Method), []byte(r.in.RequestURI+" "+r.fields.Affinity), r.in.Body)
}

// noteCrash reports the requests that were in flight at an upstream that broke
// their connections and refuses new ones. Fingerprints under which two upstreams
// crashed are refused by all hosts until one of their requests succeeds.
func (r *request) noteCrash(flight *dispatch.UpstreamInFlight) {
	e := r.e
	if r.last.Outcome != upstream.Broken || r.last.Unresponsive {
		// A process that ends closes its connections. Asking a silent machine would hold
		// up the next attempt until the question times out.
		return
	}
	flight.RecordBroken(r.hash, time.Now())
	if !e.upstream.RefusesConnections(r.choice.Target) {
		return
	}
	suspects := flight.Suspects(time.Now())
	e.log.Warn().Str("upstream", string(r.choice.ID)).Str("request", r.fields.ID).Int("suspects", len(suspects)).Msg("upstream crashed under requests")
	e.figures.count("upstreams.crashed")
	// One crash is never enough: upstreams also crash on their own.
	e.loop.Post(e.modules.quarantine, dispatch.Suspected{Upstream: r.choice.ID, Fingerprints: suspects})
}

// noteSuccess clears the fingerprint of a request that succeeded.
func (r *request) noteSuccess() {
	if r.last.Response.Status < 500 && r.e.quarantine.Suspected(r.hash) {
		r.e.loop.Post(r.e.modules.quarantine, dispatch.Succeeded{Fingerprint: r.hash})
	}
}
