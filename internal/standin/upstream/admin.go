package upstream

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/store"
)

// Limits of admin calls.
const (
	// maxAdminBody is the maximum size of the body of an admin call, in bytes.
	maxAdminBody = 1 << 20
	// maxRunsAtOnce limits the runs in one answer to GET /admin/runs.
	maxRunsAtOnce = 10_000
)

// Selector selects the upstreams that an admin call applies to. An empty field
// matches any value.
type Selector struct {
	Upstream      fleet.Upstream      `json:"upstream"`
	Pool          fleet.Pool          `json:"pool"`
	Region        fleet.Region        `json:"region"`
	FailureDomain fleet.FailureDomain `json:"failureDomain"`
}

func (s Selector) matches(c Config) bool {
	return (s.Upstream == "" || s.Upstream == c.Name) &&
		(s.Pool == "" || s.Pool == c.Pool) &&
		(s.Region == "" || s.Region == c.Region) &&
		(s.FailureDomain == "" || s.FailureDomain == c.FailureDomain)
}

// faultRequest is the body of POST /admin/faults. Times is counted separately for
// each selected upstream.
type faultRequest struct {
	Selector
	Fault
}

// crashRequest is the body of POST /admin/crash.
type crashRequest struct {
	Selector
	RestartAfterMillis float64 `json:"restartAfterMillis"`
}

// drainRequest is the body of POST /admin/drain.
type drainRequest struct {
	Selector
	Draining *bool `json:"draining"`
	// Announce is true if the host list must show the change; true if omitted.
	Announce *bool `json:"announce"`
}

// healthRequest is the body of POST /admin/health.
type healthRequest struct {
	Selector
	HealthSetting
}

// upstreamStatus is an element of the answer to GET /admin/upstreams.
type upstreamStatus struct {
	BoundUpstream
	Down        bool          `json:"down"`
	Refusing    bool          `json:"refusing"`
	Draining    bool          `json:"draining"`
	Running     int64         `json:"running"`
	Waiting     int64         `json:"waiting"`
	Connections int           `json:"connections"`
	Silent      int           `json:"silentConnections"`
	Faults      []Fault       `json:"faults"`
	Health      HealthSetting `json:"health"`
}

// changeResult is the answer to an admin call that changed upstreams.
type changeResult struct {
	Upstreams []fleet.Upstream `json:"upstreams"`
	// Connections is the number of connections that became silent.
	Connections int `json:"connections,omitempty"`
}

func (g *Group) adminRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/runs", g.serveRuns)
	mux.HandleFunc("GET /admin/upstreams", g.serveUpstreams)
	mux.HandleFunc("GET /admin/faults", g.serveUpstreams)
	mux.HandleFunc("POST /admin/faults", g.addFault)
	mux.HandleFunc("DELETE /admin/faults", g.clearFaults)
	mux.HandleFunc("POST /admin/crash", g.crash)
	mux.HandleFunc("POST /admin/restart", g.restart)
	mux.HandleFunc("POST /admin/drain", g.drain)
	mux.HandleFunc("POST /admin/register", g.reregister)
	mux.HandleFunc("POST /admin/health", g.setHealth)
	mux.HandleFunc("PUT /admin/network", g.setNetwork)
	return mux
}

// decode reads a JSON body into value and answers 400 if that fails. Unknown
// fields are rejected; an empty body leaves value unchanged.
func decode(w http.ResponseWriter, r *http.Request, value any) bool {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxAdminBody))
	if err == nil && len(bytes.TrimSpace(body)) > 0 {
		decoder := json.NewDecoder(bytes.NewReader(body))
		decoder.DisallowUnknownFields()
		err = decoder.Decode(value)
	}
	if err != nil {
		writeJSON(w, http.StatusBadRequest, errorBody{Error: err.Error()})
	}
	return err == nil
}

// apply calls change for each selected upstream. It answers with their names, with
// 404 if none matches, or with 500 after the first error.
func (g *Group) apply(w http.ResponseWriter, s Selector, change func(*Upstream) (int, error)) {
	result := changeResult{}
	for _, u := range g.upstreams {
		if !s.matches(u.config) {
			continue
		}
		connections, err := change(u)
		if err != nil {
			writeJSON(w, http.StatusInternalServerError, errorBody{Error: err.Error()})
			return
		}
		result.Upstreams = append(result.Upstreams, u.config.Name)
		result.Connections += connections
	}
	if len(result.Upstreams) == 0 {
		writeJSON(w, http.StatusNotFound, errorBody{Error: "no upstream is selected"})
		return
	}
	writeJSON(w, http.StatusOK, result)
}

func (g *Group) addFault(w http.ResponseWriter, r *http.Request) {
	var f faultRequest
	if !decode(w, r, &f) {
		return
	}
	if f.Times < 0 || f.DelayMillis < 0 || f.RestartAfterMillis < 0 {
		writeJSON(w, http.StatusBadRequest, errorBody{Error: "times and delays must not be negative"})
		return
	}
	switch {
	case f.Kind == FaultSilent:
		g.apply(w, f.Selector, func(u *Upstream) (int, error) { return u.SilenceConnections(), nil })
	case f.Kind == FaultRefuse:
		g.apply(w, f.Selector, func(u *Upstream) (int, error) { return 0, u.SetRefusing(true) })
	case slices.Contains(requestFaults, f.Kind):
		g.apply(w, f.Selector, func(u *Upstream) (int, error) {
			u.faults.add(f.Fault)
			return 0, nil
		})
	default:
		writeJSON(w, http.StatusBadRequest, errorBody{Error: "unknown kind of fault: " + string(f.Kind)})
	}
}

// clearFaults removes faults. The query parameters select the upstreams and the
// kind of fault.
func (g *Group) clearFaults(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	kind := FaultKind(query.Get("kind"))
	g.apply(w, parseSelector(query), func(u *Upstream) (int, error) {
		u.faults.clear(kind)
		if kind == "" || kind == FaultRefuse {
			return 0, u.SetRefusing(false)
		}
		return 0, nil
	})
}

func parseSelector(query url.Values) Selector {
	return Selector{
		Upstream:      fleet.Upstream(query.Get("upstream")),
		Pool:          fleet.Pool(query.Get("pool")),
		Region:        fleet.Region(query.Get("region")),
		FailureDomain: fleet.FailureDomain(query.Get("failureDomain")),
	}
}

func (g *Group) crash(w http.ResponseWriter, r *http.Request) {
	var c crashRequest
	if decode(w, r, &c) {
		g.apply(w, c.Selector, func(u *Upstream) (int, error) {
			u.Crash(millis(c.RestartAfterMillis))
			return 0, nil
		})
	}
}

func (g *Group) restart(w http.ResponseWriter, r *http.Request) {
	var s Selector
	if decode(w, r, &s) {
		g.apply(w, s, func(u *Upstream) (int, error) { return 0, u.Restart() })
	}
}

func (g *Group) drain(w http.ResponseWriter, r *http.Request) {
	var d drainRequest
	if !decode(w, r, &d) {
		return
	}
	draining := d.Draining == nil || *d.Draining
	state := store.HostLive
	if draining {
		state = store.HostLeaving
	}
	g.apply(w, d.Selector, func(u *Upstream) (int, error) {
		u.SetDraining(draining)
		if d.Announce != nil && !*d.Announce {
			return 0, nil
		}
		return 0, g.register(u, state)
	})
}

// reregister adds upstreams to the host list again with their current state,
// because a restarted platform stand-in has lost its host list.
func (g *Group) reregister(w http.ResponseWriter, r *http.Request) {
	var s Selector
	if !decode(w, r, &s) {
		return
	}
	g.apply(w, s, func(u *Upstream) (int, error) {
		state := store.HostLive
		if _, draining := u.state(); draining {
			state = store.HostLeaving
		}
		return 0, g.register(u, state)
	})
}

func (g *Group) setHealth(w http.ResponseWriter, r *http.Request) {
	h := healthRequest{HealthSetting: HealthSetting{Mode: HealthNormal}}
	if !decode(w, r, &h) {
		return
	}
	modes := []HealthMode{HealthNormal, HealthLag, HealthFreeze, HealthLie, HealthFail, HealthHang}
	if !slices.Contains(modes, h.Mode) || h.Status != 0 && (h.Status < 200 || h.Status > 599) {
		writeJSON(w, http.StatusBadRequest, errorBody{Error: "unknown health mode or status"})
		return
	}
	g.apply(w, h.Selector, func(u *Upstream) (int, error) {
		u.SetHealth(h.HealthSetting)
		return 0, nil
	})
}

func (g *Group) serveUpstreams(w http.ResponseWriter, _ *http.Request) {
	statuses := make([]upstreamStatus, 0, len(g.upstreams))
	for i, bound := range g.Addresses().Upstreams {
		statuses = append(statuses, g.upstreams[i].status(bound))
	}
	writeJSON(w, http.StatusOK, statuses)
}

func (u *Upstream) status(bound BoundUpstream) upstreamStatus {
	s := upstreamStatus{BoundUpstream: bound, Faults: u.faults.list(), Health: u.health.get()}
	u.mu.Lock()
	defer u.mu.Unlock()
	s.Down, s.Refusing, s.Draining = u.down, u.refusing, u.draining
	s.Running, s.Waiting = u.current.running.Load(), u.current.queued.Load()
	s.Connections = len(u.conns)
	for c := range u.conns {
		if c.silent.Load() {
			s.Silent++
		}
	}
	return s
}

// serveRuns returns the totals and at most "limit" runs, starting with the index
// "since".
func (g *Group) serveRuns(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, err := uintQuery(query, "since", 0)
	limit, limitErr := uintQuery(query, "limit", maxRunsAtOnce)
	if err != nil || limitErr != nil {
		writeJSON(w, http.StatusBadRequest, errorBody{Error: "since and limit must be natural numbers"})
		return
	}
	writeJSON(w, http.StatusOK, g.recorder.Report(since, int(min(limit, maxRunsAtOnce))))
}

func uintQuery(query url.Values, name string, fallback uint64) (uint64, error) {
	if !query.Has(name) {
		return fallback, nil
	}
	return strconv.ParseUint(query.Get(name), 10, 64)
}
