package host

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"github.com/catkinspring/catkinspring/internal/clock"
	"github.com/catkinspring/catkinspring/internal/control"
	mathrand "math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/catkinspring/catkinspring/dispatch"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/gateway"
	"github.com/catkinspring/catkinspring/keys"
	"github.com/catkinspring/catkinspring/limits"
	"github.com/catkinspring/catkinspring/lookup"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/measure"
	"github.com/catkinspring/catkinspring/membership"
	"github.com/catkinspring/catkinspring/operations"
	"github.com/catkinspring/catkinspring/operator"
	"github.com/catkinspring/catkinspring/peer"
	"github.com/catkinspring/catkinspring/placement"
	"github.com/catkinspring/catkinspring/requestlog"
	"github.com/catkinspring/catkinspring/settings"
	"github.com/catkinspring/catkinspring/store"
	"github.com/catkinspring/catkinspring/timeline"
)

// retryInterval is how often two things are retried: dispatching queued requests,
// because upstreams may have free slots again as load estimates age, and posting
// ends of claims that did not fit into the control loop's inbox.
const retryInterval = 20 * time.Millisecond

// Options configures a Host.
type Options struct {
	Settings *settings.Settings
	Version  string
	Logger   zerolog.Logger
}

// Host runs one incarnation of an entry host.
type Host struct {
	settings *settings.Settings
	version  string
	log      zerolog.Logger
	self     fleet.Member
	location fleet.Location
	clock    *clock.Clock
	state    state
	registry metrics.Registry
	ring     *timeline.Ring
	// hlc is the hybrid logical clock that orders events across processes.
	hlc *timeline.Clock
	// requests holds request events; it shares the clock hlc with ring.
	requests *timeline.Ring
	measures *measure.Collector
	// quarantineTimes maps a fingerprint to the wall clock, in milliseconds, of its
	// last quarantine event. The control loop writes it, the status reads it.
	quarantineTimes sync.Map

	listeners listeners
	objects   *store.HTTP
	runner    *store.Runner
	transport *peer.Transport
	loop      *control.Loop
	modules   moduleIDs
	// operations is owned by the control loop.
	operations *operations.Machine
	// listedEntryHosts holds the entry hosts of the last host list; owned by the
	// control loop.
	listedEntryHosts []membership.PlatformHost
	// lastRevisionSeen is the last report on peers' revisions; owned by the
	// control loop.
	lastRevisionSeen membership.RevisionSeen

	limits       *limits.Table
	placement    *placement.Table
	quarantine   *dispatch.Table
	claims       *operations.Client
	regions      regionTable
	dispatcher   *dispatch.Dispatcher
	gateway      *gateway.Gateway
	operators    *operator.Server
	pendingNotes pendingNoteCalls
	active       activeRequests

	// retired is closed when the cell retires this incarnation, left when the
	// incarnation has left its cell. endSignaled is set once one of them is closed;
	// the control loop owns it.
	retired     chan struct{}
	left        chan struct{}
	endSignaled bool
}

// RetiredError reports that the cell retired this incarnation, for instance
// after a long pause of the process. The process starts a new incarnation.
type RetiredError struct {
	Member fleet.Member
}

func (e *RetiredError) Error() string {
	return fmt.Sprintf("incarnation %s was retired by its cell", e.Member)
}

type listeners struct {
	callers   net.Listener
	operators net.Listener
}

// New binds all listeners and wires the modules. It returns a *control.ListenError, a
// *settings.SecretError or an error of package peer.
func New(o Options) (*Host, error) {
	s := o.Settings
	h := &Host{
		settings: s,
		version:  o.Version,
		self:     fleet.Member{Host: s.Host.ID, Incarnation: newIncarnation()},
		location: fleet.Location{Region: s.Host.Region, FailureDomain: s.Host.FailureDomain},
		clock:    clock.New(),
		registry: metrics.NewRegistry(),
		hlc:      &timeline.Clock{},
		retired:  make(chan struct{}),
		left:     make(chan struct{}),
	}
	h.log = o.Logger.With().Str("host", string(s.Host.ID)).Str("incarnation", h.self.Incarnation.String()[:8]).Logger()
	h.ring = timeline.NewRing(s.Host.ID, h.hlc, s.Timeline.Entries, keys.Redact)
	h.requests = timeline.NewRing(s.Host.ID, h.hlc, requestlog.Entries, keys.Redact)
	h.measures = measure.NewCollector(h.location.Region, time.Now)
	h.pendingNotes.init()
	h.regions.init()
	if err := h.listen(); err != nil {
		return nil, err
	}
	if err := h.wire(); err != nil {
		h.closeListeners()
		return nil, err
	}
	return h, nil
}

func newIncarnation() fleet.Incarnation {
	var i fleet.Incarnation
	// crypto/rand.Read never returns an error; it crashes the process instead.
	_, _ = rand.Read(i[:])
	return i
}

func (h *Host) listen() error {
	callers, err := net.Listen("tcp", h.settings.Listen.Callers.String())
	if err != nil {
		return &control.ListenError{Purpose: "callers", Address: h.settings.Listen.Callers, Cause: err}
	}
	operators, err := net.Listen("tcp", h.settings.Listen.Operators.String())
	if err != nil {
		_ = callers.Close()
		return &control.ListenError{Purpose: "operators", Address: h.settings.Listen.Operators, Cause: err}
	}
	h.listeners = listeners{callers: callers, operators: operators}
	return nil
}

func (h *Host) closeListeners() {
	_ = h.listeners.callers.Close()
	_ = h.listeners.operators.Close()
}

// wire builds the components in dependency order: store, tables, state machines,
// transport, servers.
func (h *Host) wire() error {
	token, err := h.settings.Platform.Token.Read()
	if err != nil {
		return err
	}
	credential, err := h.settings.Operators.Credential.Read()
	if err != nil {
		return err
	}
	if err := h.openStore(token); err != nil {
		return err
	}
	h.loop = control.New(h.clock, control.Effects{Send: h.send, Call: h.callStore, Record: h.record}, h.registry)
	h.loop.EverySecond = h.forwardPeerRevisions
	h.loop.EveryTick = func() { h.state.pendingConfirmations.Store(int64(h.operations.Pending())) }
	h.buildTables()
	h.addModules()
	if err := h.openTransport(); err != nil {
		h.runner.Close()
		return err
	}
	h.buildServers(credential.Reveal())
	return nil
}

func (h *Host) buildTables() {
	h.limits = limits.NewTable(h.clock, func(in machine.Input) { h.loop.Post(h.modules.limits, in) })
	h.placement = placement.NewTable(placement.Config{
		Location:            h.location,
		Clock:               h.clock,
		Delay:               func(r fleet.Region) time.Duration { return h.delay(h.location.Region, r) },
		Random:              mathrand.Uint64,
		MaxQueuePerCustomer: h.settings.Requests.QueuePerCustomer,
		MaxQueue:            h.settings.Requests.QueuePerHost,
		Post:                func(in machine.Input) bool { return h.loop.Post(h.modules.placement, in) },
		Registry:            h.registry,
	})
	h.claims = operations.NewClient(func(in machine.Input) bool { return h.loop.Post(h.modules.operations, in) }, h.clock, &h.state, h.registry)
	h.quarantine = &dispatch.Table{}
	h.dispatcher = dispatch.New(dispatch.Config{
		Placer:   h.placement,
		Clock:    h.clock,
		Table:    h.quarantine,
		Report:   func(in machine.Input) { h.loop.Post(h.modules.quarantine, in) },
		Registry: h.registry,
	})
}

func (h *Host) delay(from, to fleet.Region) time.Duration {
	delay, _ := h.settings.Delays.Between(from, to)
	return delay
}

func (h *Host) buildServers(credential string) {
	h.gateway = gateway.New(gateway.Config{
		Snapshot:       h.state.snapshot.Load,
		View:           h.state.view.Load,
		RegionTable:    h.regions.cache.Table,
		LookupBuilder:  lookup.NewBuilder(h.settings.Delays.Between, h.settings.Lookup.MaxAge),
		Lease:          &h.state,
		Clock:          h.clock,
		Limiter:        h.limits,
		Claimer:        h.claims,
		Dispatcher:     h.active.wrap(h.dispatcher),
		Quarantined:    h.quarantine.Quarantined,
		KeySuspended:   h.state.keySuspended,
		Draining:       h.state.draining.Load,
		StopPlan:       h.state.stopPlan.Load,
		HeaderBytes:    h.settings.Requests.HeaderBytes,
		BodyBytes:      h.settings.Requests.BodyBytes,
		ReadTimeout:    h.settings.Requests.ReadTimeout,
		MaxConnections: h.settings.Requests.Connections,
		Requests:       requestlog.Recorders{requestlog.NewLog(h.requests, h.location.Region, h.registry), h.measures},
		Registry:       h.registry,
		Logger:         h.log,
	})
	h.operators = operator.New(operator.Config{
		Credential: credential,
		Ready:      h.ready,
		Apply:      h.applyNote,
		Status:     h.status,
		Snapshot:   h.state.snapshot.Load,
		Notes:      h.acceptedNotes,
		Rings:      []*timeline.Ring{h.ring, h.requests},
		Metrics:    h.metrics,
		Level:      logLevel,
		SetLevel:   h.setLogLevel,
	})
}

// Run serves until the incarnation has left its cell, is retired, or stop is
// cancelled. Cancelling drain starts a graceful shutdown.
func (h *Host) Run(stop, drain context.Context) error {
	ctx, cancel := context.WithCancel(stop)
	var group conc.WaitGroup
	group.Go(func() { h.loop.Run(ctx) })
	group.Go(func() { h.dispatcher.Run(ctx) })
	group.Go(func() { h.watchHead(ctx) })
	group.Go(func() { h.regions.run(ctx) })
	group.Go(func() { h.retryPending(ctx) })
	group.Go(func() { h.serve("callers", h.gateway.Serve, h.listeners.callers) })
	group.Go(func() { h.serve("operators", h.operators.Serve, h.listeners.operators) })
	h.log.Info().Str("callers", h.listeners.callers.Addr().String()).
		Str("operators", h.listeners.operators.Addr().String()).Msg("entry host started")

	err := h.waitForEnd(stop, drain)
	h.shutdown(stop)
	cancel()
	h.runner.Close()
	_ = h.transport.Close()
	group.Wait()
	h.log.Info().Msg("entry host stopped")
	return err
}

func (h *Host) serve(name string, serve func(net.Listener) error, l net.Listener) {
	if err := serve(l); err != nil && !errors.Is(err, net.ErrClosed) {
		h.log.Error().Err(eris.Wrapf(err, "serving %s", name)).Msg("listener failed")
	}
}

// retryPending periodically dispatches queued requests and posts delayed claim ends.
func (h *Host) retryPending(ctx context.Context) {
	ticker := time.NewTicker(retryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			h.placement.ServeQueues()
			h.claims.Flush()
		}
	}
}
