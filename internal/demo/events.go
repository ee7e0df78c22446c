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

// plan holds the times of the events, from the start of the traffic, and their
// targets.
type plan struct {
	// An event with a zero time is left out.
	withdraw, drain, kill, stop, crash, outage time.Duration
	// outageLength is how long the platform's store does not answer.
	outageLength time.Duration
	// The targets of the events. The fields of the same names in the type events hold
	// the times.
	withdrawn keyRef
	killed    fleet.HostID
	stopped   fleet.HostID
	drained   fleet.Upstream
	crashed   fleet.Upstream
	// withdrawalHost is the entry host that receives the release note of the withdrawal.
	withdrawalHost fleet.HostID
}

// keyRef refers to a key of a customer by its index.
type keyRef struct {
	customer fleet.Customer
	index    int
}

// propagationLimit is the time within which a withdrawal and a drain must take effect.
const propagationLimit = 3 * time.Second

// events holds the times and results of the events, for the checks.
type events struct {
	start time.Time
	// withdrawn is the time at which the accepted withdrawal was acknowledged.
	withdrawn    time.Time
	withdrawnKey string
	killed       time.Time
	stopped      time.Time
	stopEnded    time.Time
	stopCode     int
	drained      time.Time
	// refusedInTime counts the drain's refusals within propagationLimit, which are
	// permitted.
	refusedInTime  int
	crashed        time.Time
	outageBegin    time.Time
	outageEnd      time.Time
	killedAddress  string
	stoppedAddress string
}

// eventRunner carries out the events of a plan.
type eventRunner struct {
	*Fleet
	plan   plan
	logf   func(format string, args ...any)
	events events
}

// run carries out the events at their times, each in its own goroutine because some
// of them wait. It returns the first error.
func (r *eventRunner) run(ctx context.Context, start time.Time) error {
	r.events.start = start
	var mu sync.Mutex
	var first error
	var group sync.WaitGroup
	schedule := func(after time.Duration, event func(context.Context) error) {
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
	schedule(r.plan.withdraw, r.withdraw)
	schedule(r.plan.drain, r.drain)
	schedule(r.plan.kill, r.kill)
	schedule(r.plan.stop, r.stop)
	schedule(r.plan.crash, r.crash)
	schedule(r.plan.outage, r.outage)
	group.Wait()
	return first
}

// Sleep waits for d and returns true, or false if the context ends first.
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

func (r *eventRunner) withdraw(ctx context.Context) error {
	key := r.plan.withdrawn
	r.events.withdrawnKey = r.Keys[key.customer][key.index].ID()
	acceptedAt, err := r.WithdrawKey(ctx, r.FindHost(r.plan.withdrawalHost), key.customer, key.index)
	if err != nil {
		return err
	}
	r.events.withdrawn = acceptedAt
	r.logf("key %s of %s is withdrawn", r.events.withdrawnKey, key.customer)
	return nil
}

func (r *eventRunner) drain(ctx context.Context) error {
	selector := upstream.Selector{Upstream: r.plan.drained}
	admin := r.Admin(r.plan.drained)
	if err := call(ctx, http.MethodPost, "http://"+admin+"/admin/drain", "", selector, nil); err != nil {
		return err
	}
	r.events.drained = time.Now()
	r.logf("upstream %s drains", r.plan.drained)
	if !Sleep(ctx, propagationLimit) {
		return nil
	}
	// Only one upstream of the process drains, so the process total counts only its
	// refusals.
	runReport, err := r.runReport(ctx, admin, 0, 1)
	r.events.refusedInTime = runReport.Totals.Drained
	return err
}

func (r *eventRunner) kill(context.Context) error {
	h := r.FindHost(r.plan.killed)
	r.events.killedAddress = h.Callers.String()
	r.events.killed = time.Now()
	r.logf("entry host %s is killed (SIGKILL)", h.ID)
	return h.Process.Signal(os.Kill)
}

func (r *eventRunner) stop(ctx context.Context) error {
	h := r.FindHost(r.plan.stopped)
	r.events.stoppedAddress = h.Callers.String()
	r.events.stopped = time.Now()
	r.logf("entry host %s is stopped gracefully (SIGTERM)", h.ID)
	if err := h.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-h.Process.Done():
		r.events.stopEnded, r.events.stopCode = h.Process.Ended(), h.Process.ExitCode()
		r.logf("entry host %s ended with code %d after %.1f s", h.ID, r.events.stopCode, r.events.stopEnded.Sub(r.events.stopped).Seconds())
		return nil
	case <-time.After(r.DrainTimeout + propagationLimit):
		return h.Process.newError("did not end after SIGTERM")
	case <-ctx.Done():
		return nil
	}
}

// crashRequest is the body of POST /admin/faults of the upstream stand-in.
type crashRequest struct {
	upstream.Selector
	upstream.Fault
}

// crash makes an upstream crash while it runs its next request, and restart later.
func (r *eventRunner) crash(ctx context.Context) error {
	request := crashRequest{
		Selector: upstream.Selector{Upstream: r.plan.crashed},
		Fault:    upstream.Fault{Kind: upstream.FaultCrash, Times: 1, DelayMillis: 5, RestartAfterMillis: 4000},
	}
	r.events.crashed = time.Now()
	r.logf("upstream %s crashes while it runs its next request", r.plan.crashed)
	return call(ctx, http.MethodPost, "http://"+r.Admin(r.plan.crashed)+"/admin/faults", "", request, nil)
}

func (r *eventRunner) outage(ctx context.Context) error {
	url := "http://" + r.Platform + "/admin/faults"
	if err := call(ctx, http.MethodPost, url, "", jsonObject{"outage": "hang"}, nil); err != nil {
		return err
	}
	r.events.outageBegin = time.Now()
	r.logf("the platform does not answer for %v", r.plan.outageLength)
	Sleep(ctx, r.plan.outageLength)
	// The outage must also end when the demo is interrupted, so that a fleet that is
	// left running works.
	err := call(context.WithoutCancel(ctx), http.MethodPost, url, "", jsonObject{"outage": "none"}, nil)
	r.events.outageEnd = time.Now()
	r.logf("the platform answers again")
	return err
}

// runReport reads runs from one process of upstream stand-ins.
func (f *Fleet) runReport(ctx context.Context, admin string, since uint64, limit int) (upstream.Report, error) {
	var runReport upstream.Report
	err := call(ctx, http.MethodGet, fmt.Sprintf("http://%s/admin/runs?since=%d&limit=%d", admin, since, limit), "", nil, &runReport)
	return runReport, err
}

// runsPerCall is the number of runs that are read in one call.
const runsPerCall = 10_000

// UpstreamRecords holds the records of all upstreams.
type UpstreamRecords struct {
	Runs []upstream.Run
	// Sightings counts requests that carried a customer's key.
	Sightings int
	// Drained counts requests refused by draining upstreams, by admin address.
	Drained map[string]int
}

// ReadUpstreams reads the records of all upstreams.
func (f *Fleet) ReadUpstreams(ctx context.Context) (*UpstreamRecords, error) {
	upstreamRecords := &UpstreamRecords{Drained: map[string]int{}}
	for _, addresses := range f.Upstreams {
		for since := uint64(0); ; {
			runReport, err := f.runReport(ctx, addresses.Admin, since, runsPerCall)
			if err != nil {
				return nil, err
			}
			upstreamRecords.Runs = append(upstreamRecords.Runs, runReport.Runs...)
			since += uint64(len(runReport.Runs))
			if len(runReport.Runs) == 0 || since >= runReport.Next {
				upstreamRecords.Sightings += runReport.Totals.RequestsWithKeys
				upstreamRecords.Drained[addresses.Admin] = runReport.Totals.Drained
				break
			}
		}
	}
	return upstreamRecords, nil
}

// RunningError reports a run that has not ended yet.
type RunningError struct {
	Target string
}

func (e *RunningError) Error() string { return "still running: " + e.Target }

func (s *UpstreamRecords) checkAllEnded() error {
	for i := range s.Runs {
		if s.Runs[i].State == upstream.RunRunning {
			return &RunningError{Target: s.Runs[i].Target}
		}
	}
	return nil
}
