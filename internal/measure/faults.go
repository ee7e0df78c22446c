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

// FaultKind says what a fault does.
type FaultKind string

// The kinds of fault. Each names its fields.
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
	// FaultRegionBack starts all of them again.
	FaultRegionLost     FaultKind = "region-lost"
	FaultRegionRestored FaultKind = "region-back"
	// FaultStoreAway makes the platform hang, and FaultStoreBack answer again.
	FaultStoreOutage   FaultKind = "store-away"
	FaultStoreRestored FaultKind = "store-back"
)

// Fault is something that happens during a phase.
type Fault struct {
	// At is counted from the start of the phase.
	At       time.Duration  `json:"at"`
	Kind     FaultKind      `json:"kind"`
	Upstream fleet.Upstream `json:"upstream"`
	Host     fleet.HostID   `json:"host"`
	Region   fleet.Region   `json:"region"`
}

// drainPoll is the time between two looks at a draining upstream.
const drainPoll = 50 * time.Millisecond

// director carries out the faults of a scenario and keeps what they tell.
type director struct {
	*demo.Fleet
	say func(string, ...any)

	mu sync.Mutex
	// killed holds the callers' addresses of hosts that were killed or paused.
	killed []string
	// drain is the time from a drain to the last work at the upstream.
	drain *time.Duration
	// back is the time from the return of a region until its hosts serve.
	back *time.Duration
}

type action func(d *director, ctx context.Context, f Fault) error

var actions = map[FaultKind]action{
	FaultDrain:          (*director).drainUpstream,
	FaultCrash:          (*director).crash,
	FaultRestart:        (*director).restart,
	FaultKill:           (*director).kill,
	FaultStop:           (*director).stop,
	FaultStart:          (*director).startHost,
	FaultPause:          (*director).pause,
	FaultResume:         (*director).resume,
	FaultRegionLost:     (*director).loseRegion,
	FaultRegionRestored: (*director).returnRegion,
	FaultStoreOutage:    (*director).storeAway,
	FaultStoreRestored:  (*director).storeBack,
}

func (f *Fault) known() bool { return actions[f.Kind] != nil }

func faultKinds() []string {
	var kinds []string
	for kind := range actions {
		kinds = append(kinds, string(kind))
	}
	slices.Sort(kinds)
	return kinds
}

// run carries out all faults at their times and returns the first error.
func (d *director) run(ctx context.Context, start time.Time, phases []Phase) error {
	var group sync.WaitGroup
	var mu sync.Mutex
	var first error
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
				d.say("%s %s%s%s", fault.Kind, fault.Upstream, fault.Host, fault.Region)
				err := actions[fault.Kind](d, ctx, fault)
				mu.Lock()
				defer mu.Unlock()
				if first == nil && ctx.Err() == nil {
					first = err
				}
			}()
		}
		begin = begin.Add(p.For)
	}
	group.Wait()
	return first
}

// HostError reports a fault that names no host of the fleet.
type UnknownHostError struct {
	Host fleet.HostID
}

func (e *UnknownHostError) Error() string { return "no entry host is named " + string(e.Host) }

func (d *director) signal(id fleet.HostID, signal os.Signal, lost bool) error {
	h := d.FindHost(id)
	if h == nil {
		return &UnknownHostError{Host: id}
	}
	if lost {
		d.mu.Lock()
		d.killed = append(d.killed, h.Callers.String())
		d.mu.Unlock()
	}
	return h.Process.Signal(signal)
}

func (d *director) kill(_ context.Context, f Fault) error { return d.signal(f.Host, os.Kill, true) }

func (d *director) stop(_ context.Context, f Fault) error {
	return d.signal(f.Host, syscall.SIGTERM, false)
}

func (d *director) pause(_ context.Context, f Fault) error {
	return d.signal(f.Host, syscall.SIGSTOP, true)
}

func (d *director) resume(_ context.Context, f Fault) error {
	return d.signal(f.Host, syscall.SIGCONT, false)
}

func (d *director) startHost(_ context.Context, f Fault) error {
	h := d.FindHost(f.Host)
	if h == nil {
		return &UnknownHostError{Host: f.Host}
	}
	return d.StartHost(h)
}

func (d *director) crash(ctx context.Context, f Fault) error {
	selector := upstream.Selector{Upstream: f.Upstream}
	return d.CallUpstreamProcess(ctx, f.Upstream, http.MethodPost, "/admin/crash", selector, nil)
}

func (d *director) restart(ctx context.Context, f Fault) error {
	selector := upstream.Selector{Upstream: f.Upstream}
	return d.CallUpstreamProcess(ctx, f.Upstream, http.MethodPost, "/admin/restart", selector, nil)
}

// drainUpstream drains an upstream and watches it until the load ends. The drain
// has ended when no work runs and the last request has been turned away.
func (d *director) drainUpstream(ctx context.Context, f Fault) error {
	begin := time.Now()
	if err := d.CallUpstreamProcess(ctx, f.Upstream, http.MethodPost, "/admin/drain", upstream.Selector{Upstream: f.Upstream}, nil); err != nil {
		return err
	}
	last, refused := begin, 0
	for demo.Sleep(ctx, drainPoll) {
		now := time.Now()
		n, running, err := d.Drained(ctx, f.Upstream)
		if err != nil {
			continue
		}
		if running || n > refused {
			last, refused = now, n
		}
		took := last.Sub(begin)
		d.mu.Lock()
		d.drain = &took
		d.mu.Unlock()
	}
	return nil
}

// regionCall changes the upstreams of a region. The processes of other regions
// answer 404, because they hold none of them.
func (d *director) regionCall(ctx context.Context, region fleet.Region, path string) error {
	for _, addresses := range d.Upstreams {
		if len(addresses.Upstreams) == 0 || addresses.Upstreams[0].Region != region {
			continue
		}
		name := addresses.Upstreams[0].Name
		return d.CallUpstreamProcess(ctx, name, http.MethodPost, path, upstream.Selector{Region: region}, nil)
	}
	return nil
}

func (d *director) hostsOf(region fleet.Region) []*demo.Host {
	var hosts []*demo.Host
	for _, h := range d.Hosts {
		if h.Region == region {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

func (d *director) loseRegion(ctx context.Context, f Fault) error {
	for _, h := range d.hostsOf(f.Region) {
		if err := d.signal(h.ID, os.Kill, true); err != nil {
			return err
		}
	}
	return d.regionCall(ctx, f.Region, "/admin/crash")
}

func (d *director) returnRegion(ctx context.Context, f Fault) error {
	begin := time.Now()
	if err := d.regionCall(ctx, f.Region, "/admin/restart"); err != nil {
		return err
	}
	hosts := d.hostsOf(f.Region)
	for _, h := range hosts {
		if err := d.StartHost(h); err != nil {
			return eris.Wrapf(err, "return of %s", h.ID)
		}
	}
	if ready := d.ReadyAt(ctx, hosts); !ready.IsZero() {
		took := ready.Sub(begin)
		d.mu.Lock()
		d.back = &took
		d.mu.Unlock()
	}
	return nil
}

func (d *director) outage(ctx context.Context, mode platform.OutageMode) error {
	body := map[string]platform.OutageMode{"outage": mode}
	return d.CallPlatform(ctx, http.MethodPost, "/admin/faults", body, nil)
}

func (d *director) storeAway(ctx context.Context, _ Fault) error {
	return d.outage(ctx, platform.OutageHang)
}

func (d *director) storeBack(ctx context.Context, _ Fault) error {
	return d.outage(ctx, platform.OutageNone)
}
