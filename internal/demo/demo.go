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
	// entryHostsMark stands for the entry hosts in a scenario.
	entryHostsMark = `"@entry-hosts@"`
	// settleTimeout bounds the wait for the end of runs whose callers have left.
	settleTimeout = 10 * time.Second
	minRequests   = 2000
)

// TooFewError reports a run that sent less than a demo has to.
type TooFewRequestsError struct {
	Sent int
}

func (e *TooFewRequestsError) Error() string {
	return fmt.Sprintf("only %d requests and look-ups were sent; %d are needed", e.Sent, minRequests)
}

// InterruptedError reports a demo that a signal ended early.
type InterruptedError struct{}

func (*InterruptedError) Error() string {
	return "interrupted; all processes of the demo have been ended"
}

// cooperativePlan spreads the events over the 22 s of the scenario.
func cooperativePlan() plan {
	return plan{
		withdraw: 2 * time.Second, drain: 4 * time.Second, kill: 6 * time.Second, stop: 8 * time.Second,
		crash: 12 * time.Second, outage: 16 * time.Second, outageLength: 4 * time.Second,
		withdrawn: keyChoice{customer: "kommune-bodo", n: 1},
		killed:    "vestland-a-1", stopped: "nordland-b-1", target: "ostland-a-1",
		drained: "katalog-ordre-01", crashed: "katalog-ordre-02",
	}
}

// Run starts the cooperative's fleet, drives the load of the demo through it and
// writes a table. It returns *BrokenError if a promise is broken.
func Run(ctx context.Context, options Options, out io.Writer) error {
	options, remove, err := options.prepared()
	if err != nil {
		return err
	}
	defer remove()
	say := progress(out, time.Now())
	f, err := start(ctx, Cooperative(), options, say)
	if err != nil {
		return err
	}
	defer f.Close()
	scenario, err := f.scenario(cooperativeScenario)
	if err != nil {
		return err
	}
	say("traffic starts; arrival times are drawn with seed %d", scenario.Seed)
	e, result, err := f.drive(ctx, scenario, cooperativePlan(), say)
	if ctx.Err() != nil {
		return &InterruptedError{}
	}
	if err != nil {
		return err
	}
	say("traffic ended")
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

// prepared returns the options with a directory, and a function that removes the
// directory if it is a temporary one.
func (o Options) prepared() (Options, func(), error) {
	if o.Directory != "" {
		return o, func() {}, eris.Wrap(os.MkdirAll(o.Directory, directoryMode), "directory")
	}
	directory, err := os.MkdirTemp("", "catkinspring-demo-")
	o.Directory = directory
	// What can't be removed is left to the system's clean-up.
	return o, func() { _ = os.RemoveAll(directory) }, eris.Wrap(err, "temporary directory")
}

// progress returns a function that writes a line with the time since begin.
func progress(out io.Writer, begin time.Time) func(string, ...any) {
	var mu sync.Mutex
	return func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintf(out, "%6.2f s  %s\n", time.Since(begin).Seconds(), fmt.Sprintf(format, args...))
	}
}

// start starts all processes and puts the first release note in force.
func start(ctx context.Context, spec Spec, options Options, say func(string, ...any)) (*Fleet, error) {
	f, err := NewFleet(spec, options)
	if err != nil {
		return nil, err
	}
	if err := f.start(ctx, say); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context, say func(string, ...any)) error {
	if err := f.StartPlatform(""); err != nil {
		return err
	}
	say("platform stand-in listens on %s", f.Platform)
	if err := f.StartUpstreams(); err != nil {
		return err
	}
	say("%d processes hold the upstreams", len(f.Upstreams))
	if err := f.AddHosts(ctx); err != nil {
		return err
	}
	if err := f.StartHosts(ctx); err != nil {
		return err
	}
	say("%d entry hosts listen", len(f.Hosts))
	if err := f.awaitMembers(ctx); err != nil {
		return err
	}
	applied, err := f.Apply(ctx, f.Hosts[0], f.FirstNote())
	if err != nil {
		return err
	}
	say("release note %s is accepted as revision %d", applied.NoteID, applied.Revision)
	if err := f.AwaitRevision(ctx, f.Hosts, applied.Revision); err != nil {
		return err
	}
	if err := f.AwaitReady(ctx, f.Hosts); err != nil {
		return err
	}
	say("every entry host is ready")
	return nil
}

// MembersError reports a host that does not know the whole fleet yet.
type MembersError struct {
	Host  string
	Known int
}

func (e *MembersError) Error() string {
	return fmt.Sprintf("host %s knows %d members", e.Host, e.Known)
}

// awaitMembers waits until the host that takes the notes knows all others.
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

// scenario writes a scenario with the addresses of the fleet and reads it back.
func (f *Fleet) scenario(text string) (*load.Scenario, error) {
	var hosts []string
	for _, h := range f.Hosts {
		hosts = append(hosts, `"`+h.Callers.String()+`"`)
	}
	file := f.path(scenarioFile)
	text = strings.Replace(text, entryHostsMark, strings.Join(hosts, ", "), 1)
	if err := os.WriteFile(file, []byte(text), secretMode); err != nil {
		return nil, eris.Wrap(err, "scenario")
	}
	return load.ReadScenario(file)
}

// drive runs the load together with the events of a plan and gathers evidence.
func (f *Fleet) drive(ctx context.Context, scenario *load.Scenario, p plan, say func(string, ...any)) (*evidence, *load.Result, error) {
	// The events end with the traffic if it fails early.
	directed, endEvents := context.WithCancel(ctx)
	defer endEvents()
	watched, endWatch := context.WithCancel(ctx)
	watch := &revisionWatch{}
	var group sync.WaitGroup
	group.Add(2)
	go func() {
		defer group.Done()
		watch.run(watched, f)
	}()
	d := &director{Fleet: f, plan: p, say: say}
	var eventErr error
	go func() {
		defer group.Done()
		eventErr = d.run(directed, time.Now())
	}()
	result, err := load.Run(ctx, scenario)
	if err == nil {
		err = ctx.Err()
	}
	endWatch()
	if err != nil {
		endEvents()
	}
	group.Wait()
	if err != nil {
		return nil, nil, eris.Wrap(err, "traffic")
	}
	if eventErr != nil {
		return nil, nil, eventErr
	}
	side, err := f.settled(ctx)
	if err != nil {
		return nil, nil, err
	}
	if err := f.keepRecords(result, side); err != nil {
		return nil, nil, err
	}
	return &evidence{
		facts: d.facts, plan: p, customers: f.Customers, records: result.Records, upstreams: side,
		drainedAdmin: f.Admin(p.drained), decreases: watch.decreases,
	}, result, nil
}

// settled reads the records of the upstreams when no run is under way any more.
func (f *Fleet) settled(ctx context.Context) (side *UpstreamRecords, err error) {
	err = Eventually(ctx, settleTimeout, "all runs have ended", func() error {
		side, err = f.ReadUpstreams(ctx)
		if err != nil {
			return err
		}
		return side.running()
	})
	return side, err
}

// keepRecords writes both sides to the directory of the run, for whoever looks
// for the cause of a broken promise.
func (f *Fleet) keepRecords(result *load.Result, side *UpstreamRecords) error {
	var requests, runs bytes.Buffer
	if err := result.WriteRecords(&requests); err != nil {
		return err
	}
	encoder := json.NewEncoder(&runs)
	for i := range side.Runs {
		if err := encoder.Encode(&side.Runs[i]); err != nil {
			return eris.Wrap(err, "runs")
		}
	}
	if err := os.WriteFile(f.path("requests.jsonl"), requests.Bytes(), secretMode); err != nil {
		return eris.Wrap(err, "requests")
	}
	return eris.Wrap(os.WriteFile(f.path("runs.jsonl"), runs.Bytes(), secretMode), "runs")
}
