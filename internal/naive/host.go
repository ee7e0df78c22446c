package naive

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/catkinspring/catkinspring/configuration"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/settings"
	"github.com/catkinspring/catkinspring/store"
)

// NoteFile is the name of the release note with the configuration, in the directory
// of the settings file.
const NoteFile = "note.json"

// pollInterval is the interval at which the note and the host list are read.
const pollInterval = time.Second

// StatusError reports an unexpected HTTP status from the platform.
type StatusError struct {
	Status string
}

func (e *StatusError) Error() string { return "platform answered " + e.Status }

// state is the result of the last successful poll.
type state struct {
	configuration *configuration.Snapshot
	entryHosts    []store.ListedHost
	upstreams     map[fleet.Pool][]netip.AddrPort
}

// Host is a naive entry host.
type Host struct {
	settings *settings.Settings
	note     string
	state    atomic.Pointer[state]
	client   fasthttp.Client

	mu      sync.Mutex
	buckets map[fleet.Customer]*tokenBucket
}

// Run serves until the context is cancelled. It returns *settings.SettingsError or
// another error of package settings, or a network error.
func Run(ctx context.Context, file string) error {
	s, err := settings.Load(file)
	if err != nil {
		return err
	}
	h := &Host{
		settings: s,
		note:     filepath.Join(filepath.Dir(file), NoteFile),
		client:   fasthttp.Client{MaxConnsPerHost: 400, MaxIdemponentCallAttempts: 1, MaxResponseBodySize: 16 << 20},
		buckets:  map[fleet.Customer]*tokenBucket{},
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() { h.poll(ctx) })
	callerServer := &fasthttp.Server{Handler: h.serve, MaxRequestBodySize: s.Requests.BodyBytes, NoDefaultServerHeader: true, CloseOnShutdown: true}
	operatorServer := &fasthttp.Server{Handler: h.serveOperators}
	group.Go(func() {
		<-ctx.Done()
		// The process exits even if the shutdown fails.
		_ = callerServer.Shutdown()
		_ = operatorServer.Shutdown()
	})
	group.Go(func() {
		defer cancel()
		_ = operatorServer.ListenAndServe(s.Listen.Operators.String())
	})
	return eris.Wrap(callerServer.ListenAndServe(s.Listen.Callers.String()), "callers' listener")
}

// serveOperators serves the liveness and readiness probes. The host is ready when
// it has a configuration.
func (h *Host) serveOperators(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/readyz" && h.state.Load() == nil {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// poll reads the note and the host list periodically until the context is
// cancelled. If a read fails, the state stays unchanged.
func (h *Host) poll(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if next, err := h.readState(ctx); err == nil {
			h.state.Store(next)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (h *Host) readState(ctx context.Context) (*state, error) {
	text, err := os.ReadFile(h.note)
	if err != nil {
		return nil, eris.Wrap(err, "release note")
	}
	note, err := configuration.ParseNote(text)
	if err != nil {
		return nil, err
	}
	list, err := h.fetchHosts(ctx)
	if err != nil {
		return nil, err
	}
	next := &state{
		configuration: &configuration.Snapshot{Routes: note.Added.Routes, Customers: note.Added.Customers},
		upstreams:     map[fleet.Pool][]netip.AddrPort{},
	}
	next.configuration.Index()
	for _, host := range list.Hosts {
		switch {
		case host.State != store.HostLive:
		case host.Role == store.RoleEntry:
			next.entryHosts = append(next.entryHosts, host)
		default:
			next.upstreams[host.Pool] = append(next.upstreams[host.Pool], host.Address)
		}
	}
	return next, nil
}

func (h *Host) fetchHosts(ctx context.Context) (list store.HostList, err error) {
	ctx, cancel := context.WithTimeout(ctx, h.settings.Platform.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.settings.Platform.Address.String()+"/v1/hosts", nil)
	if err != nil {
		return list, eris.Wrap(err, "host list")
	}
	request.Header.Set(store.ClientHeader, string(h.settings.Host.ID))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return list, eris.Wrap(err, "host list")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return list, &StatusError{Status: response.Status}
	}
	return list, eris.Wrap(json.NewDecoder(response.Body).Decode(&list), "host list")
}

// tokenBucket is the token bucket of one customer.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

// admit takes a token from the customer's bucket and reports whether there was one.
// The bucket has the customer's rate and burst divided by the number of entry hosts.
func (h *Host) admit(c *configuration.Customer, hosts int, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	share := 1 / float64(max(hosts, 1))
	b := h.buckets[c.ID]
	if b == nil {
		b = &tokenBucket{tokens: c.Burst * share, refilledAt: now}
		h.buckets[c.ID] = b
	}
	b.tokens = min(max(c.Burst*share, 1), b.tokens+c.Rate*share*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
