package edge

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/catkinspring/catkinspring/catalog"
	"github.com/catkinspring/catkinspring/dispatch"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/gossip"
	"github.com/catkinspring/catkinspring/ingress"
	"github.com/catkinspring/catkinspring/internal/clock"
	"github.com/catkinspring/catkinspring/internal/control"
	"github.com/catkinspring/catkinspring/limits"
	"github.com/catkinspring/catkinspring/logsink"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/peer"
	"github.com/catkinspring/catkinspring/policy"
	"github.com/catkinspring/catkinspring/steering"
	"github.com/catkinspring/catkinspring/upstream"
)

const (
	// maintenanceInterval is the time between two rounds of work that no event
	// starts: plans, unused connections, entries that stayed missing.
	maintenanceInterval = 250 * time.Millisecond
	// reservedDescriptors are not used for callers' connections: connections to
	// upstreams, the store and peers, and files.
	reservedDescriptors = 1200
)

// Store is what an entry host needs of the platform's store.
type Store interface {
	Configurations() catalog.Source[policy.Configuration]
	Upstreams(domains map[fleet.FailureDomain]fleet.Region) catalog.Source[catalog.Upstream]
	Evacuations() catalog.Source[catalog.Evacuation]
	Hosts() catalog.Source[catalog.Host]
	// PutHost writes a host's own entry; a repeat is harmless.
	PutHost(ctx context.Context, h catalog.Host) error
	// SharedKey returns the key that all entry hosts share, nil if there is none yet
	// or it was created a moment ago.
	SharedKey(ctx context.Context) ([]byte, error)
	// ProposeKey returns the key; the first proposal becomes the key.
	ProposeKey(ctx context.Context, proposal []byte) ([]byte, error)
}

// Codec translates what callers and upstreams send.
type Codec interface {
	ingress.Codec
	upstream.Codec
}

// Paths are the paths of the calls that are not callers' requests.
type Paths struct {
	Ready     string
	Directory string
}

// Options holds what a process passes to New.
type Options struct {
	Settings Settings
	Store    Store
	Codec    Codec
	Paths    Paths
	Logger   zerolog.Logger
	// Lines is what Logger writes to; it bounds the lines about requests.
	LogSink *logsink.Sink
}

// Edge is one running entry host.
type Edge struct {
	Options
	log   zerolog.Logger
	clock *clock.Clock

	member    fleet.Member
	figures   *figures
	loop      *control.Loop
	modules   moduleIDs
	datagrams *peer.Datagrams
	arrivals  arrivals
	// serving is the number of hosts that serve; the control loop owns it.
	serving int
	// known are the highest revisions that any host has told; the control loop owns
	// it.
	known []uint64
	// progress has the copies by kind, reader is true on a host whose watches wait
	// shortly.
	progress [kinds]progress
	reader   atomic.Bool

	snapshot atomic.Pointer[policy.Snapshot]
	// hosts are the registered entry hosts; nil before the first list.
	hosts atomic.Pointer[[]catalog.Host]
	// peers are the entry hosts as gossip knows them.
	peers    atomic.Pointer[[]gossip.Peer]
	draining atomic.Bool
	// splits holds the state of weighted routes by route name.
	splits splitTable

	steering *steering.Table
	budget   *steering.RetryBudget
	limits   *limits.Table
	// quarantine holds the requests that crash upstreams, flights those in progress.
	quarantine *dispatch.Table
	flights    dispatch.InFlightRequests
	lines      *logsink.Sink
	upstream   *upstream.Client
	server     *ingress.Server

	listeners struct {
		callers, readiness, directory, metrics net.Listener
	}
}

// New binds the listeners. It returns a *control.ListenError.
func New(o Options) (*Edge, error) {
	b := o.Settings.Bounds
	e := &Edge{
		Options: o,
		log:     o.Logger,
		clock:   clock.New(),
		steering: steering.New(steering.Config{
			Host: o.Settings.ID, Location: o.Settings.Location,
			MaxRegionShift: b.MaxRegionShift, ColdSlack: b.ColdSlack,
		}),
		budget:     steering.NewRetryBudget(budgetConfig(o.Settings)),
		figures:    newFigures(),
		quarantine: &dispatch.Table{},
		lines:      o.LogSink,
		upstream:   upstream.NewClient(o.Codec),
	}
	for i := range e.progress {
		e.progress[i].relist = make(chan struct{}, 1)
	}
	e.server = ingress.New(ingress.Config{
		Handler:        e.handle,
		Limits:         e.callerLimits,
		MaxConnections: max(64, o.Settings.Descriptors-reservedDescriptors),
	})
	e.watchGauges()
	if err := e.listen(); err != nil {
		return nil, err
	}
	if err := e.openControl(); err != nil {
		return nil, err
	}
	return e, nil
}

// budgetConfig returns the bounds of second attempts. The clock starts at 0.
func budgetConfig(s Settings) steering.RetryBudgetConfig {
	c := steering.RetryBudgetConfig{Ratio: s.Bounds.RetryRatio, MinRetries: s.Bounds.RetryMinimum, Window: s.Bounds.RetryWindow}
	if !s.FirstStart {
		c.MinRetriesFrom = machine.Instant(c.Window)
	}
	return c
}

// listen binds the listeners. A port of 0 in the settings becomes the one that was
// given.
func (e *Edge) listen() error {
	l := &e.Settings.Listen
	for _, one := range []struct {
		purpose string
		address *netip.AddrPort
		into    *net.Listener
	}{
		{"callers", &l.Callers, &e.listeners.callers},
		{"readiness", &l.Readiness, &e.listeners.readiness},
		{"directory", &l.Directory, &e.listeners.directory},
		{"metrics", &l.Metrics, &e.listeners.metrics},
	} {
		listener, err := net.Listen("tcp", one.address.String())
		if err != nil {
			return &control.ListenError{Purpose: one.purpose, Address: *one.address, Cause: err}
		}
		*one.into = listener
		*one.address = listener.Addr().(*net.TCPAddr).AddrPort()
	}
	return nil
}

func (e *Edge) now() machine.Instant { return e.clock.Now().Instant }

// callerLimits returns the callers' limits of the configuration in force.
func (e *Edge) callerLimits() ingress.Limits {
	s := e.snapshot.Load()
	if s == nil {
		return ingress.Limits{}
	}
	return ingress.Limits(s.Limits)
}

// Run serves until the planned stop that begins when stop is cancelled is over.
func (e *Edge) Run(stop context.Context) {
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	e.follow(ctx, &group)
	group.Go(func() { e.register(ctx) })
	group.Go(func() { e.fetchKey(ctx) })
	group.Go(func() { e.loop.Run(ctx) })
	group.Go(e.datagrams.Run)
	group.Go(func() { e.maintain(ctx) })
	group.Go(func() { _ = e.server.Serve(e.listeners.callers) })
	servers := []*http.Server{
		{Handler: e.readinessHandler(), ReadHeaderTimeout: time.Second, IdleTimeout: time.Minute},
		{Handler: e.directoryHandler(), ReadHeaderTimeout: time.Second, IdleTimeout: time.Minute},
		{Handler: e.metricsHandler(), ReadHeaderTimeout: time.Second, IdleTimeout: time.Minute},
	}
	for i, l := range []net.Listener{e.listeners.readiness, e.listeners.directory, e.listeners.metrics} {
		group.Go(func() {
			if err := servers[i].Serve(l); err != http.ErrServerClosed {
				e.log.Error().Err(err).Msg("listener failed")
			}
		})
	}
	e.log.Info().Str("callers", e.Settings.Listen.Callers.String()).Str("region", string(e.Settings.Location.Region)).Msg("entry host started")
	<-stop.Done()
	e.drain()
	cancel()
	_ = e.datagrams.Close()
	for _, s := range servers {
		_ = s.Close()
	}
	group.Wait()
	e.log.Info().Msg("entry host stopped")
}

func (e *Edge) maintain(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case at := <-ticker.C:
			gone, changed := e.steering.Expire(e.now())
			e.logUpstreams(gone, changed, 0)
			e.upstream.CloseExpired(at)
			if o := e.lines.TakeOmitted(); o != (logsink.Omitted{}) {
				e.log.Info().Int("successes", o.Successes).Int("failures", o.Failures).Int("dropped", o.Dropped).Msg("lines left out")
			}
		}
	}
}
