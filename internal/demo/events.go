package demo

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/internal/standin/upstream"
)

// plan says what happens during the traffic, counted from its start. A zero time
// leaves an event out.
type plan struct {
	withdraw, drain, kill, stop, crash, outage time.Duration
	// outageLength is the time for which the store does not answer.
	outageLength time.Duration
	withdrawn    keyChoice
	killed       fleet.HostID
	stopped      fleet.HostID
	drained      fleet.Upstream
	crashed      fleet.Upstream
	// target is the entry host that takes the release note of the withdrawal.
	target fleet.HostID
}

type keyChoice struct {
	customer fleet.Customer
	n        int
}

// propagation is the time after which a withdrawal and a drain must be in force.
const propagation = 3 * time.Second

// facts are the times of the events, as the checks use them.
type facts struct {
	start time.Time
	// withdrawn is the time at which the acceptance of the withdrawal was known.
	withdrawn      time.Time
	withdrawnKey   string
	killed         time.Time
	stopped        time.Time
	stopEnded      time.Time
	stopCode       int
	drained        time.Time
	refusedBefore  int
	crashed        time.Time
	outageBegin    time.Time
	outageEnd      time.Time
	killedAddress  string
	stoppedAddress string
}

// director carries out a plan.
type director struct {
	*Fleet
	plan  plan
	say   func(format string, args ...any)
	facts facts
}

// run carries out the events at their times. Each one has a goroutine of its
// own, because some of them wait. Errors end up in the result.
func (d *director) run(ctx context.Context, start time.Time) error {
	d.facts.start = start
	var mu sync.Mutex
	var first error
	var group sync.WaitGroup
	at := func(after time.Duration, event func(context.Context) error) {
		if after == 0 {
			return
		}
		group.Add(1)
		go func() {
			defer group.Done()
			if !Sleep(ctx, time.Until(start.Add(after))) {
				return
			}
			if err := event(ctx); err != nil && ctx.Err() == nil {
				mu.Lock()
				defer mu.Unlock()
				if first == nil {
					first = err
				}
			}
		}()
	}
	at(d.plan.withdraw, d.withdraw)
	at(d.plan.drain, d.drain)
	at(d.plan.kill, d.kill)
	at(d.plan.stop, d.stop)
	at(d.plan.crash, d.crash)
	at(d.plan.outage, d.outage)
	group.Wait()
	return first
}

func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (d *director) withdraw(ctx context.Context) error {
	choice := d.plan.withdrawn
	d.facts.withdrawnKey = d.Keys[choice.customer][choice.n].ID()
	accepted, err := d.WithdrawKey(ctx, d.FindHost(d.plan.target), choice.customer, choice.n)
	if err != nil {
		return err
	}
	d.facts.withdrawn = accepted
	d.say("key %s of %s is withdrawn", d.facts.withdrawnKey, choice.customer)
	return nil
}

func (d *director) drain(ctx context.Context) error {
	selector := upstream.Selector{Upstream: d.plan.drained}
	admin := d.Admin(d.plan.drained)
	if err := call(ctx, http.MethodPost, "http://"+admin+"/admin/drain", "", selector, nil); err != nil {
		return err
	}
	d.facts.drained = time.Now()
	d.say("upstream %s drains", d.plan.drained)
	if !Sleep(ctx, propagation) {
		return nil
	}
	// Only one upstream of the process drains, so the total is that of this one.
	report, err := d.report(ctx, admin, 0, 1)
	d.facts.refusedBefore = report.Totals.Drained
	return err
}

func (d *director) kill(context.Context) error {
	h := d.FindHost(d.plan.killed)
	d.facts.killedAddress = h.Callers.String()
	d.facts.killed = time.Now()
	d.say("entry host %s is killed (SIGKILL)", h.ID)
	return h.Process.Signal(os.Kill)
}

func (d *director) stop(ctx context.Context) error {
	h := d.FindHost(d.plan.stopped)
	d.facts.stoppedAddress = h.Callers.String()
	d.facts.stopped = time.Now()
	d.say("entry host %s is stopped gracefully (SIGTERM)", h.ID)
	if err := h.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-h.Process.Done():
		d.facts.stopEnded, d.facts.stopCode = h.Process.Ended(), h.Process.ExitCode()
		d.say("entry host %s ended with code %d after %.1f s", h.ID, d.facts.stopCode, d.facts.stopEnded.Sub(d.facts.stopped).Seconds())
		return nil
	case <-time.After(d.DrainTimeout + propagation):
		return h.Process.fail("did not end after SIGTERM")
	case <-ctx.Done():
		return nil
	}
}

// crashRequest is the body of POST /admin/faults of the upstream stand-in.
type crashRequest struct {
	upstream.Selector
	upstream.Fault
}

// crash ends an upstream while it runs a request, and restarts it later.
func (d *director) crash(ctx context.Context) error {
	request := crashRequest{
		Selector: upstream.Selector{Upstream: d.plan.crashed},
		Fault:    upstream.Fault{Kind: upstream.FaultCrash, Times: 1, DelayMillis: 5, RestartAfterMillis: 4000},
	}
	d.facts.crashed = time.Now()
	d.say("upstream %s crashes while it runs its next request", d.plan.crashed)
	return call(ctx, http.MethodPost, "http://"+d.Admin(d.plan.crashed)+"/admin/faults", "", request, nil)
}

func (d *director) outage(ctx context.Context) error {
	url := "http://" + d.Platform + "/admin/faults"
	if err := call(ctx, http.MethodPost, url, "", object{"outage": "hang"}, nil); err != nil {
		return err
	}
	d.facts.outageBegin = time.Now()
	d.say("the platform does not answer for %v", d.plan.outageLength)
	Sleep(ctx, d.plan.outageLength)
	// The end of the outage must also be reached when the demo is interrupted,
	// so that a fleet that is left up works.
	err := call(context.WithoutCancel(ctx), http.MethodPost, url, "", object{"outage": "none"}, nil)
	d.facts.outageEnd = time.Now()
	d.say("the platform answers again")
	return err
}

// report reads runs of one process of upstream stand-ins.
func (f *Fleet) report(ctx context.Context, admin string, since uint64, limit int) (upstream.Report, error) {
	var report upstream.Report
	err := call(ctx, http.MethodGet, fmt.Sprintf("http://%s/admin/runs?since=%d&limit=%d", admin, since, limit), "", nil, &report)
	return report, err
}

// runsAtOnce is the number of runs that are read in one call.
const runsAtOnce = 10_000

// UpstreamSide is everything that the upstreams recorded.
type UpstreamRecords struct {
	Runs      []upstream.Run
	Sightings int
	// Drained counts requests that draining upstreams refused, by admin address.
	Drained map[string]int
}

// ReadUpstreams reads the records of all upstreams.
func (f *Fleet) ReadUpstreams(ctx context.Context) (*UpstreamRecords, error) {
	side := &UpstreamRecords{Drained: map[string]int{}}
	for _, addresses := range f.Upstreams {
		for since := uint64(0); ; {
			report, err := f.report(ctx, addresses.Admin, since, runsAtOnce)
			if err != nil {
				return nil, err
			}
			side.Runs = append(side.Runs, report.Runs...)
			since += uint64(len(report.Runs))
			if len(report.Runs) == 0 || since >= report.Next {
				side.Sightings += report.Totals.RequestsWithKeys
				side.Drained[addresses.Admin] = report.Totals.Drained
				break
			}
		}
	}
	return side, nil
}

// RunningError reports work that has not ended yet.
type RunningError struct {
	Target string
}

func (e *RunningError) Error() string { return "still running: " + e.Target }

func (s *UpstreamRecords) running() error {
	for i := range s.Runs {
		if s.Runs[i].State == upstream.RunRunning {
			return &RunningError{Target: s.Runs[i].Target}
		}
	}
	return nil
}
