package edge

import (
	"sync"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/policy"
)

// splitTable distributes the requests of weighted routes over their parts by smooth
// weighted round-robin: after any number of requests, each part has had the share of
// its weight to within one request.
type splitTable struct {
	mu     sync.Mutex
	routes map[fleet.Route][]split
}

// split is the round-robin state of one part of a route.
type split struct {
	part          policy.WeightedService
	currentWeight int
}

// next returns the service for the next request of a route.
func (t *splitTable) next(r *policy.Route) fleet.Pool {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.routes == nil {
		t.routes = make(map[fleet.Route][]split)
	}
	state := t.routes[r.Name]
	if !sameParts(state, r.Parts) {
		state = make([]split, len(r.Parts))
		for i, p := range r.Parts {
			state[i].part = p
		}
		t.routes[r.Name] = state
	}
	best, total := 0, 0
	for i := range state {
		state[i].currentWeight += state[i].part.Weight
		total += state[i].part.Weight
		if state[i].currentWeight > state[best].currentWeight {
			best = i
		}
	}
	state[best].currentWeight -= total
	return state[best].part.Service
}

func sameParts(state []split, parts []policy.WeightedService) bool {
	if len(state) != len(parts) {
		return false
	}
	for i := range parts {
		if state[i].part != parts[i] {
			return false
		}
	}
	return true
}
