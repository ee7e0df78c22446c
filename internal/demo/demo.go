package demo

import (
	"bytes"
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/catkinspring/catkinspring/internal/load"
)

//go:embed scenario.jsonc
var cooperativeScenario string

const (
	scenarioFile = "scenario.jsonc"
	// entryHostsPlaceholder is replaced by the addresses of the entry hosts.
	entryHostsPlaceholder = `"@entry-hosts@"`
	// runsEndTimeout bounds the wait for runs to end after their callers have left.
	runsEndTimeout = 10 * time.Second
	minRequests    = 2000
)

// TooFewRequestsError reports a demo that sent fewer requests and lookups than minRequests.
type TooFewRequestsError struct {
	Sent int
}

func (e *TooFewRequestsError) Error() string {
	return fmt.Sprintf("only %d requests and look-ups were sent; %d are needed", e.Sent, minRequests)
}

// InterruptedError reports a demo that was interrupted by a signal.
type InterruptedError struct{}

func (*InterruptedError) Error() string {
	return "interrupted; all processes of the demo have been ended"
}

// cooperativePlan schedules the events within the 22 s of the scenario.
func cooperativePlan() plan {
	return plan{
		withdraw: 2 * time.Second, drain: 4 * time.Second, kill: 6 * time.Second, stop: 8 * time.Second,
		crash: 12 * time.Second, outage: 16 * time.Second, outageLength: 4 * time.Second,
		withdrawn: keyRef{customer: "kommune-bodo", index: 1},
		killed:    "vestland-a-1", stopped: "nordland-b-1", withdrawalHost: "ostland-a-1",
		drained: "katalog-ordre-01", crashed: "katalog-ordre-02",
	}
}

// Run starts the cooperative's fleet, sends the load of the demo through it and
// writes the results as a table. It returns *ViolationError if a guarantee is violated.
func Run(ctx context.Context, options Options, out io.Writer) error {
	options, remove, err := options.withDirectory()
	if err != nil {
		return err
	}
	defer remove()
	logf := newProgressLogger(out, time.Now())
	f, err := start(ctx, Cooperative(), options, logf)
	if err != nil {
		return err
	}
	defer f.Close()
	scenario, err := f.scenario(cooperativeScenario)
	if err != nil {
		return err
	}
	logf("traffic starts; arrival times are drawn with seed %d", scenario.Seed)
	e, result, err := f.runScenario(ctx, scenario, cooperativePlan(), logf)
	if ctx.Err() != nil {
		return &InterruptedError{}
	}
	if err != nil {
		return err
	}
	logf("traffic ended")
	if err := result.WriteTable(out); err != nil {
		return err
	}
	fmt.Fprintln(out)
	if err := e.writeTable(out, result); err != nil {
		return err
	}
	if sent := len(e.records) + int(result.Lookups.Asked); sent < minRequests {
		return &TooFewRequestsError{Sent: sent}
	}
	return nil
}

// withDirectory returns the options with an existing directory, and a function that
// removes the directory if it is a temporary one.
func (o Options) withDirectory() (Options, func(), error) {
	if o.Directory != "" {
		return o, func() {}, eris.Wrap(os.MkdirAll(o.Directory, directoryMode), "directory")
	}
	directory, err := os.MkdirTemp("", "catkinspring-demo-")
	o.Directory = directory
	// Files that can't be removed are left to the system's cleanup of temporary files.
	return o, func() { _ = os.RemoveAll(directory) }, eris.Wrap(err, "temporary directory")
}

// newProgressLogger returns a function that writes a line with the time since start.
func newProgressLogger(out io.Writer, start time.Time) func(string, ...any) {
	var mu sync.Mutex
	return func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintf(out, "%6.2f s  %s\n", time.Since(start).Seconds(), fmt.Sprintf(format, args...))
	}
}

// start starts all processes and applies the first release note.
func start(ctx context.Context, spec Spec, options Options, logf func(string, ...any)) (*Fleet, error) {
	f, err := NewFleet(spec, options)
	if err != nil {
		return nil, err
	}
	if err := f.start(ctx, logf); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context, logf func(string, ...any)) error {
	if err := f.StartPlatform(""); err != nil {
		return err
	}
	logf("platform stand-in listens on %s", f.Platform)
	if err := f.StartUpstreams(); err != nil {
		return err
	}
	logf("%d processes hold the upstreams", len(f.Upstreams))
	if err := f.AddHosts(ctx); err != nil {
		return err
	}
	if err := f.StartHosts(ctx); err != nil {
		return err
	}
	logf("%d entry hosts listen", len(f.Hosts))
	if err := f.awaitMembers(ctx); err != nil {
		return err
	}
	applied, err := f.Apply(ctx, f.Hosts[0], f.FirstNote())
	if err != nil {
		return err
	}
	logf("release note %s is accepted as revision %d", applied.NoteID, applied.Revision)
	if err := f.AwaitRevision(ctx, f.Hosts, applied.Revision); err != nil {
		return err
	}
	if err := f.AwaitReady(ctx, f.Hosts); err != nil {
		return err
	}
	logf("every entry host is ready")
	return nil
}

// MembersError reports a host whose roster does not hold the whole fleet yet.
type MembersError struct {
	Host  string
	Known int
}

func (e *MembersError) Error() string {
	return fmt.Sprintf("host %s knows %d members", e.Host, e.Known)
}

// awaitMembers waits until the first host, which accepts the release notes, has a
// lease and all hosts in its roster.
func (f *Fleet) awaitMembers(ctx context.Context) error {
	return Eventually(ctx, readyTimeout, "all entry hosts are in the roster", func() error {
		s, err := f.Status(ctx, f.Hosts[0])
		if err != nil {
			return err
		}
		if len(s.Members) < len(f.Hosts) || s.LeaseMillis == 0 {
			return &MembersError{Host: string(f.Hosts[0].ID), Known: len(s.Members)}
		}
		return nil
	})
}

// scenario writes a scenario file with the addresses of the fleet and parses it.
func (f *Fleet) scenario(text string) (*load.Scenario, error) {
	var hosts []string
	for _, h := range f.Hosts {
		hosts = append(hosts, `"`+h.Callers.String()+`"`)
	}
	file := f.path(scenarioFile)
	text = strings.Replace(text, entryHostsPlaceholder, strings.Join(hosts, ", "), 1)
	if err := os.WriteFile(file, []byte(text), secretMode); err != nil {
		return nil, eris.Wrap(err, "scenario")
	}
	return load.ReadScenario(file)
}

// runScenario sends the load of a scenario, carries out the events of a plan meanwhile,
// and collects the records of callers and upstreams.
func (f *Fleet) runScenario(ctx context.Context, scenario *load.Scenario, p plan, logf func(string, ...any)) (*evidence, *load.Result, error) {
	// If the traffic fails early, the events are cancelled too.
	eventsCtx, cancelEvents := context.WithCancel(ctx)
	defer cancelEvents()
	monitorCtx, cancelMonitor := context.WithCancel(ctx)
	monitor := &revisionMonitor{}
	var group sync.WaitGroup
	group.Add(2)
	go func() {
		defer group.Done()
		monitor.run(monitorCtx, f)
	}()
	runner := &eventRunner{Fleet: f, plan: p, logf: logf}
	var eventErr error
	go func() {
		defer group.Done()
		eventErr = runner.run(eventsCtx, time.Now())
	}()
	result, err := load.Run(ctx, scenario)
	if err == nil {
		err = ctx.Err()
	}
	cancelMonitor()
	if err != nil {
		cancelEvents()
	}
	group.Wait()
	if err != nil {
		return nil, nil, eris.Wrap(err, "traffic")
	}
	if eventErr != nil {
		return nil, nil, eventErr
	}
	upstreamRecords, err := f.awaitRunsEnded(ctx)
	if err != nil {
		return nil, nil, err
	}
	if err := f.writeRecords(result, upstreamRecords); err != nil {
		return nil, nil, err
	}
	return &evidence{
		events: runner.events, plan: p, customers: f.Customers, records: result.Records, upstreams: upstreamRecords,
		drainedAdmin: f.Admin(p.drained), decreases: monitor.decreases,
	}, result, nil
}

// awaitRunsEnded reads the records of the upstreams once no run is in progress.
func (f *Fleet) awaitRunsEnded(ctx context.Context) (upstreamRecords *UpstreamRecords, err error) {
	err = Eventually(ctx, runsEndTimeout, "all runs have ended", func() error {
		upstreamRecords, err = f.ReadUpstreams(ctx)
		if err != nil {
			return err
		}
		return upstreamRecords.checkAllEnded()
	})
	return upstreamRecords, err
}

// writeRecords writes the records of callers and upstreams to the fleet's directory,
// for finding the cause of a violated guarantee.
func (f *Fleet) writeRecords(result *load.Result, upstreamRecords *UpstreamRecords) error {
	var requests, runs bytes.Buffer
	if err := result.WriteRecords(&requests); err != nil {
		return err
	}
	encoder := json.NewEncoder(&runs)
	for i := range upstreamRecords.Runs {
		if err := encoder.Encode(&upstreamRecords.Runs[i]); err != nil {
			return eris.Wrap(err, "runs")
		}
	}
	if err := os.WriteFile(f.path("requests.jsonl"), requests.Bytes(), secretMode); err != nil {
		return eris.Wrap(err, "requests")
	}
	return eris.Wrap(os.WriteFile(f.path("runs.jsonl"), runs.Bytes(), secretMode), "runs")
}
