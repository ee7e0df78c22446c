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
	// answerAge is how long callers may keep an answer to a look-up. It bounds how
	// long a host that left is still used.
	answerAge = 2 * time.Second
	// maxAnswers is the number of addresses of which callers take notice.
	maxAnswers = 64
)

// ready reports whether the host can serve callers.
func (e *Edge) ready() bool {
	return !e.draining.Load() && e.snapshot.Load() != nil && e.steering.UpstreamCount() > 0 && e.peers.Load() != nil && e.limits.HasShare()
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
		answer := e.answer(e.Codec.LookupRequest(r))
		if len(answer.Addresses) == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(e.Codec.LookupResponse(answer)); err != nil {
			e.log.Debug().Err(err).Msg("look-up answer not sent")
		}
	})
	return mux
}

// answer names the entry hosts of the caller's region; those of all regions if
// it has none.
func (e *Edge) answer(q ingress.LookupRequest) ingress.LookupResponse {
	list := e.peers.Load()
	if list == nil {
		return ingress.LookupResponse{}
	}
	var near, all []netip.AddrPort
	for _, h := range *list {
		if !h.Alive || h.Leaving || h.ID == e.Settings.ID && e.draining.Load() {
			continue
		}
		all = append(all, h.Callers)
		if h.Location.Region == q.Region {
			near = append(near, h.Callers)
		}
	}
	if len(near) > 0 {
		all = near
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return ingress.LookupResponse{Addresses: all[:min(len(all), maxAnswers)], MaxAge: min(answerAge, e.Settings.Bounds.MaxAnswerAge)}
}
