package edge

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"github.com/catkinspring/catkinspring/ingress"
)

const (
	// lookupMaxAge is how long callers may cache the response to a lookup. It
	// bounds how long they still use a host that has left.
	lookupMaxAge = 2 * time.Second
	// maxAddresses is the maximum number of addresses in a lookup response. Callers use
	// no more than these.
	maxAddresses = 64
)

// ready reports whether the host can serve requests.
func (e *Edge) ready() bool {
	return !e.isStopping() && e.snapshot.Load() != nil && e.steering.UpstreamCount() > 0 && e.peers.Load() != nil && e.limits.Joined()
}

func (e *Edge) readinessHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+e.Paths.Ready, func(w http.ResponseWriter, _ *http.Request) {
		if !e.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

func (e *Edge) directoryHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+e.Paths.Directory, func(w http.ResponseWriter, r *http.Request) {
		lookupResponse := e.lookupResponse(e.Codec.LookupRequest(r))
		if len(lookupResponse.Addresses) == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(e.Codec.LookupResponse(lookupResponse)); err != nil {
			e.log.Debug().Err(err).Msg("look-up answer not sent")
		}
	})
	return mux
}

// lookupResponse returns the entry hosts of the caller's region in random order, or
// those of all regions if that region has none.
func (e *Edge) lookupResponse(q ingress.LookupRequest) ingress.LookupResponse {
	entryHosts := e.peers.Load()
	if entryHosts == nil {
		return ingress.LookupResponse{}
	}
	var local, all []netip.AddrPort
	for _, h := range *entryHosts {
		if !h.Alive || h.Leaving || h.ID == e.Settings.ID && e.isStopping() {
			continue
		}
		all = append(all, h.Callers)
		if h.Location.Region == q.Region {
			local = append(local, h.Callers)
		}
	}
	if len(local) > 0 {
		all = local
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return ingress.LookupResponse{Addresses: all[:min(len(all), maxAddresses)], MaxAge: min(lookupMaxAge, e.Settings.Bounds.MaxAnswerAge)}
}
