package measure

import (
	"context"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/internal/demo"
	"github.com/catkinspring/catkinspring/internal/standin/platform"
	"github.com/catkinspring/catkinspring/internal/standin/upstream"
)

// FaultKind is the kind of a fault.
type FaultKind string

// The kinds of fault. Each comment names the fields of Fault that the kind uses.
const (
	// FaultDrain drains Upstream.
	FaultDrain FaultKind = "drain"
	// FaultCrash crashes Upstream, and FaultRestart restarts it.
	FaultCrash   FaultKind = "crash"
	FaultRestart FaultKind = "restart"
	// FaultKill kills Host (SIGKILL), FaultStop stops it gracefully (SIGTERM), and
	// FaultStart starts it again.
	FaultKill  FaultKind = "kill-host"
	FaultStop  FaultKind = "stop-host"
	FaultStart FaultKind = "start-host"
	// FaultPause and FaultResume pause Host (SIGSTOP, SIGCONT).
	FaultPause  FaultKind = "pause-host"
	FaultResume FaultKind = "resume-host"
	// FaultRegionLost kills the entry hosts of Region and crashes its upstreams;
	// FaultRegionRestored restarts them all.
	FaultRegionLost     FaultKind = "region-lost"
	FaultRegionRestored FaultKind = "region-back"
	// FaultStoreOutage makes the platform hang, and FaultStoreRestored ends the outage.
	FaultStoreOutage   FaultKind = "store-away"
	FaultStoreRestored FaultKind = "store-back"
)

// Fault is a fault that is injected during a phase.
type Fault struct {
	// At is the time since the start of the phase.
	At       time.Duration  `json:"at"`
	Kind     FaultKind      `json:"kind"`
	Upstream fleet.Upstream `json:"upstream"`
	Host     fleet.HostID   `json:"host"`
	Region   fleet.Region   `json:"region"`
}

// drainPollInterval is the time between two checks of a draining upstream.
const drainPollInterval = 50 * time.Millisecond

// injector injects the faults of a scenario and records their effects.
type injector struct {
	*demo.Fleet
	logf func(string, ...any)

	mu sync.Mutex
	// killed holds the caller-facing addresses of hosts that were killed or paused.
	killed []string
	// drainTime is the time from the start of a drain to the last activity at the
	// upstream.
	drainTime *time.Duration
	// regionRecovery is the time from the restart of a region until its hosts serve.
	regionRecovery *time.Duration
}

type action func(i *injector, ctx context.Context, f Fault) error

var actions = map[FaultKind]action{
	FaultDrain:          (*injector).drainUpstream,
	FaultCrash:          (*injector).crash,
	FaultRestart:        (*injector).restart,
	FaultKill:           (*injector).kill,
	FaultStop:           (*injector).stop,
	FaultStart:          (*injector).startHost,
	FaultPause:          (*injector).pause,
	FaultResume:         (*injector).resume,
	FaultRegionLost:     (*injector).failRegion,
	FaultRegionRestored: (*injector).restoreRegion,
	FaultStoreOutage:    (*injector).startStoreOutage,
	FaultStoreRestored:  (*injector).endStoreOutage,
}

func (f *Fault) hasKnownKind() bool { return actions[f.Kind] != nil }

func faultKinds() []string {
	var kinds []string
	for kind := range actions {
		kinds = append(kinds, string(kind))
	}
	slices.Sort(kinds)
	return kinds
}

// injectFaults injects all faults at their times and returns the first error.
func (i *injector) injectFaults(ctx context.Context, start time.Time, phases []Phase) error {
	var group sync.WaitGroup
	var mu sync.Mutex
	var firstErr error
	begin := start
	for _, p := range phases {
		for _, fault := range p.Faults {
			at := begin.Add(fault.At)
			group.Add(1)
			go func() {
				defer group.Done()
				if !demo.Sleep(ctx, time.Until(at)) {
					return
				}
				i.logf("%s %s%s%s", fault.Kind, fault.Upstream, fault.Host, fault.Region)
				err := actions[fault.Kind](i, ctx, fault)
				mu.Lock()
				defer mu.Unlock()
				if firstErr == nil && ctx.Err() == nil {
					firstErr = err
				}
			}()
		}
		begin = begin.Add(p.For)
	}
	group.Wait()
	return firstErr
}

// UnknownHostError reports a fault whose host is not in the fleet.
type UnknownHostError struct {
	Host fleet.HostID
}

func (e *UnknownHostError) Error() string { return "no entry host is named " + string(e.Host) }

func (i *injector) signal(id fleet.HostID, signal os.Signal, recordKilled bool) error {
	h := i.FindHost(id)
	if h == nil {
		return &UnknownHostError{Host: id}
	}
	if recordKilled {
		i.mu.Lock()
		i.killed = append(i.killed, h.Callers.String())
		i.mu.Unlock()
	}
	return h.Process.Signal(signal)
}

func (i *injector) kill(_ context.Context, f Fault) error { return i.signal(f.Host, os.Kill, true) }

func (i *injector) stop(_ context.Context, f Fault) error {
	return i.signal(f.Host, syscall.SIGTERM, false)
}

func (i *injector) pause(_ context.Context, f Fault) error {
	return i.signal(f.Host, syscall.SIGSTOP, true)
}

func (i *injector) resume(_ context.Context, f Fault) error {
	return i.signal(f.Host, syscall.SIGCONT, false)
}

func (i *injector) startHost(_ context.Context, f Fault) error {
	h := i.FindHost(f.Host)
	if h == nil {
		return &UnknownHostError{Host: f.Host}
	}
	return i.StartHost(h)
}

func (i *injector) crash(ctx context.Context, f Fault) error {
	selector := upstream.Selector{Upstream: f.Upstream}
	return i.CallUpstreamProcess(ctx, f.Upstream, http.MethodPost, "/admin/crash", selector, nil)
}

func (i *injector) restart(ctx context.Context, f Fault) error {
	selector := upstream.Selector{Upstream: f.Upstream}
	return i.CallUpstreamProcess(ctx, f.Upstream, http.MethodPost, "/admin/restart", selector, nil)
}

// drainUpstream drains an upstream and polls it until the load ends. The drain has
// ended when no request runs there and the last request has been refused.
func (i *injector) drainUpstream(ctx context.Context, f Fault) error {
	begin := time.Now()
	if err := i.CallUpstreamProcess(ctx, f.Upstream, http.MethodPost, "/admin/drain", upstream.Selector{Upstream: f.Upstream}, nil); err != nil {
		return err
	}
	lastActive, refused := begin, 0
	for demo.Sleep(ctx, drainPollInterval) {
		now := time.Now()
		n, running, err := i.Drained(ctx, f.Upstream)
		if err != nil {
			continue
		}
		if running || n > refused {
			lastActive, refused = now, n
		}
		elapsed := lastActive.Sub(begin)
		i.mu.Lock()
		i.drainTime = &elapsed
		i.mu.Unlock()
	}
	return nil
}

// callRegionUpstreams sends an admin request to the process that runs the upstreams
// of a region. Those of other regions run none of them and would answer 404.
func (i *injector) callRegionUpstreams(ctx context.Context, region fleet.Region, path string) error {
	for _, addresses := range i.Upstreams {
		if len(addresses.Upstreams) == 0 || addresses.Upstreams[0].Region != region {
			continue
		}
		name := addresses.Upstreams[0].Name
		return i.CallUpstreamProcess(ctx, name, http.MethodPost, path, upstream.Selector{Region: region}, nil)
	}
	return nil
}

func (i *injector) hostsIn(region fleet.Region) []*demo.Host {
	var hosts []*demo.Host
	for _, h := range i.Hosts {
		if h.Region == region {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

func (i *injector) failRegion(ctx context.Context, f Fault) error {
	for _, h := range i.hostsIn(f.Region) {
		if err := i.signal(h.ID, os.Kill, true); err != nil {
			return err
		}
	}
	return i.callRegionUpstreams(ctx, f.Region, "/admin/crash")
}

func (i *injector) restoreRegion(ctx context.Context, f Fault) error {
	begin := time.Now()
	if err := i.callRegionUpstreams(ctx, f.Region, "/admin/restart"); err != nil {
		return err
	}
	hosts := i.hostsIn(f.Region)
	for _, h := range hosts {
		if err := i.StartHost(h); err != nil {
			return eris.Wrapf(err, "return of %s", h.ID)
		}
	}
	if ready := i.ReadyAt(ctx, hosts); !ready.IsZero() {
		elapsed := ready.Sub(begin)
		i.mu.Lock()
		i.regionRecovery = &elapsed
		i.mu.Unlock()
	}
	return nil
}

func (i *injector) setStoreOutage(ctx context.Context, mode platform.OutageMode) error {
	body := map[string]platform.OutageMode{"outage": mode}
	return i.CallPlatform(ctx, http.MethodPost, "/admin/faults", body, nil)
}

func (i *injector) startStoreOutage(ctx context.Context, _ Fault) error {
	return i.setStoreOutage(ctx, platform.OutageHang)
}

func (i *injector) endStoreOutage(ctx context.Context, _ Fault) error {
	return i.setStoreOutage(ctx, platform.OutageNone)
}
