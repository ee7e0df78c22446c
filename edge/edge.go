package edge

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
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
	"github.com/catkinspring/catkinspring/lease"
	"github.com/catkinspring/catkinspring/limits"
	"github.com/catkinspring/catkinspring/logsink"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/peer"
	"github.com/catkinspring/catkinspring/policy"
	"github.com/catkinspring/catkinspring/steering"
	"github.com/catkinspring/catkinspring/upstream"
)

const (
	// maintenanceInterval is the time between two runs of periodic work: plans, idle
	// connections, entries that stayed missing.
	maintenanceInterval = 250 * time.Millisecond
	// reservedDescriptors are kept for connections to upstreams, the store and peers,
	// and for files; the others are available to callers' connections.
	reservedDescriptors = 1200
	// backgroundExitPart is the part of the grace period, as its reciprocal, that a stop
	// waits for background work to end after the last response.
	backgroundExitPart = 50
	// responseMemoryBytes is the memory that bodies of upstreams' responses may hold. The
	// heap can grow by several times that until garbage is collected.
	responseMemoryBytes = 8 << 20
	// requestMemoryPart is the part of the memory limit that bodies of callers' requests
	// may hold while they are read or handled.
	requestMemoryPart = 8
	// headMemoryPart is the part of the memory limit that the bytes of callers' headers may
	// take. Parsed, they take about three times as much.
	headMemoryPart = 16
)

// Store is the part of the platform's store that an entry host uses.
type Store interface {
	Configurations() catalog.Source[policy.Configuration]
	Upstreams(domains map[fleet.FailureDomain]fleet.Region) catalog.Source[catalog.Upstream]
	Evacuations() catalog.Source[catalog.Evacuation]
	Hosts() catalog.Source[catalog.Host]
	// PutHost writes a host's entry in place of its Revision; it is idempotent.
	PutHost(ctx context.Context, h catalog.Host) error
	// SharedKey returns the key that all entry hosts share, which encrypts and
	// authenticates the messages between them; nil if there is none yet or if it was
	// created only a moment ago.
	SharedKey(ctx context.Context) ([]byte, error)
	// ProposeKey returns the shared key, which is the first proposal.
	ProposeKey(ctx context.Context, proposal []byte) ([]byte, error)
	// CrashRecord returns the latest record of crashes, and PutCrashRecord writes it in place
	// of its Revision.
	CrashRecord(ctx context.Context) (catalog.CrashRecord, error)
	PutCrashRecord(ctx context.Context, r catalog.CrashRecord) error
}

// Codec translates headers and lookups of callers and headers of upstreams.
type Codec interface {
	ingress.Codec
	upstream.Codec
}

// Paths are the URL paths of the endpoints that are not forwarded to upstreams.
type Paths struct {
	Ready     string
	Directory string
}

// Options configures an Edge.
type Options struct {
	Settings Settings
	Store    Store
	Codec    Codec
	Paths    Paths
	Logger   zerolog.Logger
	// SecondAttempts configures second attempts; the zero value turns them off.
	SecondAttempts SecondAttempts
	// LogSink is the sink of Logger; it limits the rate of request log lines.
	LogSink *logsink.Sink
}

// Edge is one running entry host.
type Edge struct {
	Options
	log   zerolog.Logger
	clock *clock.Clock

	member      fleet.Member
	hostMetrics *hostMetrics
	loop        *control.Loop
	modules     moduleIDs
	datagrams   *peer.Datagrams
	arrivals    arrivals
	loadReports loadReports
	pauses      pauses
	// servingHosts is the number of serving hosts; only the control loop uses it.
	servingHosts int
	// highestRevisions are the highest revisions that any host has reported; only the
	// control loop uses them.
	highestRevisions []uint64
	// progress holds the state of the local copies by kind.
	progress [kindCount]progress
	// freshReader is true on a fresh reader; see package freshness.
	freshReader atomic.Bool
	// unreachable is the number of kinds whose last call to the store failed.
	unreachable atomic.Int32
	// sharesFrom and leaseUntil are those of the last lease.State, and leaseHeld is whether the
	// lease was held at the last look; only the control loop uses them.
	sharesFrom, leaseUntil machine.Instant
	leaseHeld              bool
	// listAtOnce is true while no fresh reader is known, and until listAtOnceUntil; only the
	// control loop uses them.
	listAtOnce      bool
	listAtOnceUntil machine.Instant

	// start delays the first requests to upstreams.
	start startGate

	snapshot atomic.Pointer[policy.Snapshot]
	// limitedCustomers are those of the last configuration, and dividingVersion is the last one
	// that divides the limits anew; only the goroutine that follows configurations uses them.
	limitedCustomers []limits.CustomerLimit
	dividingVersion  uint64
	// hosts are the registered entry hosts; nil until the first list arrives.
	hosts atomic.Pointer[hostEntries]
	// hostCopy, upstreamEntries and evacuations are the copies of these objects across eras of
	// the store. applyingHosts is held while the hosts are passed on.
	hostCopy        *hostList
	applyingHosts   sync.Mutex
	upstreamEntries *upstreamCopy
	evacuations     *evacuationCopy
	// changingEvacuations is held while a change of the evacuations is passed on.
	changingEvacuations sync.Mutex
	// keyDue signals that the store may lack the shared key.
	keyDue chan struct{}
	// settled is the division of the limits that may be recorded, entryChanges are the changes
	// of entries that this host should write, and registrationDue signals register that
	// either has changed.
	settled         atomic.Pointer[limits.Settled]
	entryChanges    atomic.Pointer[lease.State]
	registrationDue chan struct{}
	// peers are the entry hosts with their state according to gossip.
	peers atomic.Pointer[[]gossip.Peer]
	// stop is the planned stop; nil until it begins.
	stop atomic.Pointer[plannedStop]
	// splits is the round-robin state of weighted routes by route name.
	splits splitTable

	steering *steering.Table
	budget   *steering.RetryBudget
	// hedging decides on second attempts; nil if they are off.
	hedging *hedging
	limits  *limits.Table
	// quarantine holds the fingerprints of requests that crash upstreams,
	// inFlightRequests those of requests in flight.
	quarantine       *dispatch.Table
	inFlightRequests dispatch.InFlightRequests
	// crashes are those that the store's record has to contain, and crashesDue signals that
	// they have changed.
	crashes    atomic.Pointer[[]catalog.Crash]
	crashesDue chan struct{}
	logSink    *logsink.Sink
	upstream   *upstream.Client
	server     *ingress.Server
	// waiting holds the requests that wait for room at an upstream.
	waiting *waitingRequests

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
			MaxRegionShift: b.MaxRegionShift, ColdTolerance: b.ColdTolerance, ColdSlack: b.ColdSlack,
			EntryLapse: o.Settings.EntryLapse, Pressure: o.Settings.Pressure,
		}),
		budget:          steering.NewRetryBudget(budgetConfig(o.Settings)),
		hedging:         newHedging(o.SecondAttempts),
		hostMetrics:     newHostMetrics(),
		registrationDue: make(chan struct{}, 1),
		keyDue:          make(chan struct{}, 1),
		crashesDue:      make(chan struct{}, 1),
		upstreamEntries: newUpstreamCopy(),
		evacuations:     newEvacuationCopy(),
		quarantine:      &dispatch.Table{},
		logSink:         o.LogSink,
		hostCopy:        newHostList(o.Settings.ID),
		upstream:        upstream.NewClient(o.Codec, responseMemoryBytes),
	}
	e.waiting = newWaitingRequests(e)
	if !o.Settings.FirstStart {
		e.start.close()
	}
	for i := range e.progress {
		e.progress[i].relist = make(chan struct{}, 1)
	}
	e.server = ingress.New(ingress.Config{
		Handler:        e.handle,
		Unanswered:     e.logUnanswered,
		Refused:        e.logUnreadable,
		Limits:         e.callerLimits,
		MaxConnections: max(64, o.Settings.Descriptors-reservedDescriptors),
		HeadBytes:      o.Settings.memoryBytes() / headMemoryPart,
		BodyBytes:      o.Settings.memoryBytes() / requestMemoryPart,
	})
	e.loadReports = newLoadReports(e.hostMetrics.registry)
	e.registerGauges()
	if err := e.listen(); err != nil {
		return nil, err
	}
	if err := e.openControl(); err != nil {
		return nil, err
	}
	return e, nil
}

// budgetConfig returns the parameters of the retry budget. The clock starts at 0, so
// MinRetriesFrom is one window after the start of the process.
func budgetConfig(s Settings) steering.RetryBudgetConfig {
	c := steering.RetryBudgetConfig{Ratio: s.Bounds.RetryRatio, MinRetries: s.Bounds.RetryMinimum, Window: s.Bounds.RetryWindow}
	if !s.FirstStart {
		c.MinRetriesFrom = machine.Instant(c.Window)
	}
	return c
}

// listen binds the listeners. It replaces a port of 0 in the settings by the one
// that the system assigned.
func (e *Edge) listen() error {
	l := &e.Settings.Listen
	for _, endpoint := range []struct {
		purpose string
		address *netip.AddrPort
		target  *net.Listener
	}{
		{"callers", &l.Callers, &e.listeners.callers},
		{"readiness", &l.Readiness, &e.listeners.readiness},
		{"directory", &l.Directory, &e.listeners.directory},
		{"metrics", &l.Metrics, &e.listeners.metrics},
	} {
		listener, err := net.Listen("tcp", endpoint.address.String())
		if err != nil {
			return &control.ListenError{Purpose: endpoint.purpose, Address: *endpoint.address, Cause: err}
		}
		*endpoint.target = listener
		*endpoint.address = listener.Addr().(*net.TCPAddr).AddrPort()
	}
	return nil
}

func (e *Edge) now() machine.Instant { return e.clock.Now().Instant }

// callerLimits returns the limits of the current configuration for callers.
func (e *Edge) callerLimits() ingress.Limits {
	s := e.snapshot.Load()
	if s == nil {
		return ingress.Limits{}
	}
	return ingress.Limits(s.Limits)
}

// Run serves until stop delivers the time at which a planned stop was requested, then
// performs the stop and returns.
func (e *Edge) Run(stop <-chan time.Time) {
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	e.follow(ctx, &group)
	group.Go(func() { e.register(ctx) })
	group.Go(func() { e.keepKey(ctx) })
	group.Go(func() { e.keepCrashes(ctx) })
	group.Go(func() { e.loop.Run(ctx) })
	group.Go(e.datagrams.Run)
	group.Go(func() { e.maintain(ctx) })
	group.Go(func() { _ = e.server.Serve(e.listeners.callers) })
	servers := []*auxiliaryServer{newAuxiliaryServer(e.readinessHandler()), newAuxiliaryServer(e.directoryHandler()), newAuxiliaryServer(e.metricsHandler())}
	for i, l := range []net.Listener{e.listeners.readiness, e.listeners.directory, e.listeners.metrics} {
		group.Go(func() {
			if err := servers[i].serve(l); err != http.ErrServerClosed {
				e.log.Error().Err(err).Msg("listener failed")
			}
		})
	}
	e.log.Info().Str("callers", e.Settings.Listen.Callers.String()).Str("region", string(e.Settings.Location.Region)).Msg("entry host started")
	e.drain(<-stop)
	cancel()
	_ = e.datagrams.Close()
	for _, s := range servers {
		_ = s.Close()
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		group.Wait()
	}()
	select {
	case <-ended:
	case <-time.After(e.Settings.Bounds.StopGrace / backgroundExitPart):
		// The requests are answered; the process must end within the grace period.
		e.log.Warn().Msg("background work has not ended with the planned stop")
	}
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
			removed, changed := e.steering.Expire(e.now())
			e.logUpstreams(removed, changed, 0)
			e.expireCopies()
			e.upstream.CloseExpired(at)
			e.logOmittedLines()
		}
	}
}

// logOmittedLines logs how many lines were left out since the last call.
func (e *Edge) logOmittedLines() {
	if omitted := e.logSink.TakeOmitted(); omitted != (logsink.Omitted{}) {
		e.log.Info().Int("successes", omitted.Successes).Int("failures", omitted.Failures).
			Int("unanswered", omitted.Unanswered).Int("dropped", omitted.Dropped).Msg("lines left out")
	}
}
