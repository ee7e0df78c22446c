package host

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"net"
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/catkinspring/catkinspring/configuration"
	"github.com/catkinspring/catkinspring/directory"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/internal/control"
	"github.com/catkinspring/catkinspring/internal/httpcheck"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/membership"
	"github.com/catkinspring/catkinspring/peer"
	"github.com/catkinspring/catkinspring/placement"
	"github.com/catkinspring/catkinspring/settings"
	"github.com/catkinspring/catkinspring/store"
)

const (
	// watchRetryInterval is the backoff after a failed watch, and how often an idle
	// watchHead checks whether this host has to watch.
	watchRetryInterval = time.Second
	headKind           = "configuration"
	headName           = "head"
	rosterKind         = "roster"
	// maxHealthBytes bounds the response of an upstream's health endpoint.
	maxHealthBytes = 16 << 10
)

// CAError reports a CA file that holds no PEM certificate.
type CAError struct {
	File string
}

func (e *CAError) Error() string { return "file " + e.File + " holds no PEM certificate" }

func (h *Host) openStore(token settings.Secret) error {
	p := h.settings.Platform
	options := store.HTTPOptions{
		Address:        p.Address.String(),
		Host:           h.self.Host,
		Token:          token.Reveal(),
		Timeout:        p.Timeout,
		ConnectTimeout: p.ConnectTimeout,
		Metrics:        store.NewMetrics(h.registry),
	}
	if p.CA != "" {
		pool, err := loadCA(p.CA)
		if err != nil {
			return err
		}
		options.TLS = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}
	}
	h.objects = store.NewHTTP(options)
	h.runner = store.NewRunner(h.objects, h.clock, store.RunnerOptions{})
	return nil
}

func loadCA(file string) (*x509.CertPool, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "platform CA")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, &CAError{File: file}
	}
	return pool, nil
}

func (h *Host) openTransport() error {
	transport, err := peer.Listen(peer.Config{
		Self:     h.self,
		Cell:     h.settings.Host.Cell,
		Listen:   h.settings.Listen.Peers,
		Files:    peer.Files{CA: h.settings.FleetTLS.CA, Certificate: h.settings.FleetTLS.Certificate, Key: h.settings.FleetTLS.Key},
		Types:    messageTypes(),
		Receive:  h.loop.Receive,
		Timeline: h.hlc,
		Metrics:  h.registry,
	})
	var listen *peer.ListenError
	if errors.As(err, &listen) {
		return &control.ListenError{Purpose: "peers", Address: h.settings.Listen.Peers, Cause: listen.Cause}
	}
	if err != nil {
		return err
	}
	h.transport = transport
	return nil
}

// send hands a message to the transport. Messages to hosts that are not known yet,
// or no longer known, are dropped; the modules resend what must arrive.
func (h *Host) send(to fleet.HostID, m machine.Message) {
	_ = h.transport.Send(to, m)
}

// callStore executes a store call. A lease may depend on a read of the roster, and
// a host with such a lease must have every accepted note. The configuration head is
// therefore read after the roster read was sent, and delivered before the result of
// the roster read. If that fails, the outcome of the roster read becomes unknown.
func (h *Host) callStore(call machine.StoreCall, done func(machine.StoreResult)) {
	complete := func(result machine.StoreResult) {
		h.trackStoreReachability(result.Outcome)
		h.cacheHead(call, result)
		done(result)
	}
	if call.Op != machine.StoreGet || call.Key.Kind != rosterKind {
		h.runner.Submit(call, complete)
		return
	}
	h.runner.Submit(call, func(roster machine.StoreResult) {
		head := machine.StoreCall{Op: machine.StoreGet, Key: machine.StoreKey{Kind: headKind, Name: headName}}
		h.runner.Submit(head, func(result machine.StoreResult) {
			h.cacheHead(head, result)
			if !headReadSucceeded(result.Outcome) || !h.deliverHead(result) {
				roster.Outcome = machine.StoreUnknown
			}
			complete(roster)
		})
	})
}

// deliverHead posts a read of the head to the configuration module. It returns
// false if the control loop did not accept it.
func (h *Host) deliverHead(result machine.StoreResult) bool {
	return h.loop.Post(h.modules.configuration, configuration.HeadRead{Result: result})
}

func headReadSucceeded(outcome machine.StoreOutcome) bool {
	return outcome == machine.StoreOK || outcome == machine.StoreNotFound
}

// trackStoreReachability records the outcome of a store call. It logs the first
// one, and each change between reachable and unreachable.
func (h *Host) trackStoreReachability(outcome machine.StoreOutcome) {
	ok := outcome != machine.StoreNotApplied && outcome != machine.StoreUnknown
	now := int64(h.clock.Now().Instant)
	h.state.lastStoreResult.Store(now)
	if ok {
		h.state.storeDownSince.Store(0)
	} else {
		h.state.storeDownSince.CompareAndSwap(0, now)
	}
	first := !h.state.storeContacted.Swap(true)
	if h.state.storeOK.Swap(ok) == ok && !first {
		return
	}
	level, kind, text := zerolog.InfoLevel, "store.reachable", "object store is reachable"
	if !ok {
		level, kind, text = zerolog.WarnLevel, "store.unreachable", "object store is not reachable"
	}
	h.log.WithLevel(level).Msg(text)
	h.record(h.clock.Now(), machine.Event{Kind: kind, Text: text})
}

func (h *Host) record(now machine.Now, e machine.Event) {
	h.ring.Record(now.WallMillis, e)
	h.handleEvent(now, e)
}

// readHostList reads the platform's host list without blocking the loop. The
// directory requests one read at a time.
func (h *Host) readHostList() {
	go func() {
		list, err := h.objects.ListHosts(context.Background())
		h.loop.Post(h.modules.directory, directory.ListRead{OK: err == nil, List: list})
	}()
}

// applyHostList passes a changed host list to the modules that use it as a hint.
func (h *Host) applyHostList(hosts []store.ListedHost) {
	var entries []membership.PlatformHost
	var upstreams []placement.ListedUpstream
	for _, l := range hosts {
		switch l.Role {
		case store.RoleEntry:
			entries = append(entries, membership.PlatformHost{
				Host:        fleet.HostID(l.Name),
				PeerAddress: l.PeerAddress,
				Live:        l.State == store.HostLive,
			})
		case store.RoleUpstream:
			upstreams = append(upstreams, listedUpstream(l))
		}
	}
	h.listedEntryHosts = entries
	h.loop.Forward(h.modules.membership, membership.PlatformHosts{Hosts: entries})
	h.loop.Forward(h.modules.placement, placement.UpstreamsListed{Upstreams: upstreams})
}

func listedUpstream(l store.ListedHost) placement.ListedUpstream {
	return placement.ListedUpstream{
		Name:     fleet.Upstream(l.Name),
		Pool:     l.Pool,
		Address:  l.Address,
		Location: fleet.Location{Region: l.Region, FailureDomain: l.FailureDomain},
		Slots:    l.Slots,
		Leaving:  l.State == store.HostLeaving,
	}
}

// watchHead watches the configuration head while this host is the watcher of its
// region. A change may be missed before a watch starts or when it fails, so the
// head is read in both cases too.
func (h *Host) watchHead(ctx context.Context) {
	var since uint64
	watching := false
	for ctx.Err() == nil {
		view := h.state.view.Load()
		if view == nil || !configuration.ShouldWatchHead(view) {
			watching = false
			sleep(ctx, watchRetryInterval)
			continue
		}
		changes, err := h.objects.Watch(ctx, headKind, since, h.settings.Platform.WatchTimeout)
		if err != nil || !watching || len(changes.Changes) > 0 {
			h.loop.Post(h.modules.configuration, configuration.HeadChanged{})
		}
		watching = err == nil
		since = changes.Version
		if err != nil {
			sleep(ctx, watchRetryInterval)
			// The store may have discarded the changes since the last version.
			since, _ = h.objects.CurrentVersion(ctx, headKind)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// upstreamHealth is the response of an upstream's health endpoint.
type upstreamHealth struct {
	Load     float64 `json:"load"`
	Draining bool    `json:"draining"`
}

// startProbe requests the health of an upstream without blocking the loop. The
// number of concurrent probes is bounded by the upstreams assigned to this host.
func (h *Host) startProbe(p placement.Probe) {
	sent := h.clock.Now().Instant
	go func() {
		health, err := probe(p.Address, p.Timeout)
		h.loop.Post(h.modules.placement, placement.ProbeDone{
			Upstream: p.Upstream,
			Sent:     sent,
			InFlight: health.Load,
			Draining: health.Draining,
			Failed:   err != nil,
		})
	}()
}

// probeStatusError reports a response of a health endpoint that does not state health.
type probeStatusError struct{ status int }

func (e *probeStatusError) Error() string {
	return "the health endpoint responded with status " + strconv.Itoa(e.status)
}

func probe(address netip.AddrPort, timeout time.Duration) (upstreamHealth, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address.String() + "/health")
	request.SetConnectionClose()
	var health upstreamHealth
	client := fasthttp.HostClient{
		Addr:                      address.String(),
		Dial:                      dialProbe,
		MaxIdemponentCallAttempts: 1,
		ReadTimeout:               timeout,
		WriteTimeout:              timeout,
		MaxResponseBodySize:       maxHealthBytes,
	}
	if err := client.Do(request, response); err != nil {
		return health, err
	}
	if status := response.StatusCode(); status != fasthttp.StatusOK {
		// The body of an error may decode as the health of an upstream without load.
		return health, &probeStatusError{status: status}
	}
	return health, json.Unmarshal(response.Body(), &health)
}

func dialProbe(address string) (net.Conn, error) {
	conn, err := fasthttp.Dial(address)
	if err != nil {
		return nil, err
	}
	return httpcheck.CheckedConn(conn), nil
}
