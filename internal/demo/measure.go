package demo

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/internal/load"
	"github.com/catkinspring/catkinspring/internal/standin/platform"
	"github.com/catkinspring/catkinspring/internal/standin/upstream"
)

// Start starts all processes of a fleet and applies the first release note.
func Start(ctx context.Context, spec Spec, options Options, logf func(string, ...any)) (*Fleet, error) {
	return start(ctx, spec, options, logf)
}

// StartWithNoteFile starts all processes of a fleet with another implementation of the
// entry host, which reads the release note from a file next to its settings.
func StartWithNoteFile(ctx context.Context, spec Spec, options Options, note string) (*Fleet, error) {
	f, err := NewFleet(spec, options)
	if err != nil {
		return nil, err
	}
	if err := f.startWithNoteFile(ctx, note); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) startWithNoteFile(ctx context.Context, note string) error {
	if err := f.StartPlatform(""); err != nil {
		return err
	}
	if err := f.StartUpstreams(); err != nil {
		return err
	}
	if err := f.AddHosts(ctx); err != nil {
		return err
	}
	text, err := json.Marshal(f.FirstNote())
	if err != nil {
		return eris.Wrap(err, "release note")
	}
	if err := os.WriteFile(f.path(note), text, secretMode); err != nil {
		return eris.Wrap(err, "release note")
	}
	if err := f.StartHosts(ctx); err != nil {
		return err
	}
	return f.AwaitReady(ctx, f.Hosts)
}

// CallPlatform sends a call to the platform stand-in.
func (f *Fleet) CallPlatform(ctx context.Context, method, path string, body, into any) error {
	return call(ctx, method, "http://"+f.Platform+path, "", body, into)
}

// PlatformCallCounts returns the call counts of the platform stand-in.
func (f *Fleet) PlatformCallCounts(ctx context.Context) (platform.CallCounts, error) {
	var counts platform.CallCounts
	err := f.CallPlatform(ctx, http.MethodGet, "/admin/calls", nil, &counts)
	return counts, err
}

// CallUpstreams sends an admin call to every process of upstream stand-ins.
func (f *Fleet) CallUpstreams(ctx context.Context, method, path string, body any) error {
	for _, addresses := range f.Upstreams {
		if err := call(ctx, method, "http://"+addresses.Admin+path, "", body, nil); err != nil {
			return err
		}
	}
	return nil
}

// CallUpstreamProcess sends an admin call to the process that runs an upstream.
func (f *Fleet) CallUpstreamProcess(ctx context.Context, name fleet.Upstream, method, path string, body, into any) error {
	return call(ctx, method, "http://"+f.Admin(name)+path, "", body, into)
}

// Settled waits until no run is in progress and returns the records of the
// upstreams.
func (f *Fleet) Settled(ctx context.Context) (*UpstreamRecords, error) { return f.awaitRunsEnded(ctx) }

// ViolationCounts holds the numbers of violations found by comparing the responses to
// callers with the runs at the upstreams.
type ViolationCounts struct {
	Duplicated    int `json:"duplicated"`
	NotRunThatRan int `json:"notRunThatRan"`
	Lost          int `json:"lost"`
	Wrong         int `json:"wrong"`
	// Cut counts attempts whose connection failed at a host that was not killed.
	Cut int `json:"cut"`
	// Excess is the highest number of requests above rate and burst of any customer
	// in any window, counted by requests certainly admitted within the window;
	// ExcessStarts is the same counted by run starts.
	Excess       float64 `json:"excess"`
	ExcessStarts float64 `json:"excessStarts"`
	// Examples describe the first violations of each kind.
	Examples []string `json:"examples,omitempty"`
}

// CountViolations applies the checks of the demo to other records. Killed holds the
// addresses for callers of the hosts that were killed.
func CountViolations(customers []CustomerSpec, records []load.Record, upstreamRecords *UpstreamRecords, killed []string) ViolationCounts {
	e := &evidence{customers: customers, records: records, upstreams: upstreamRecords}
	e.indexRuns()
	var c ViolationCounts
	addResult := func(row checkResult, total *int) {
		*total = row.count
		for _, example := range row.examples {
			c.Examples = append(c.Examples, row.name+": "+example)
		}
	}
	addResult(e.duplicated(), &c.Duplicated)
	addResult(e.notRunThatRan(), &c.NotRunThatRan)
	addResult(e.lost(), &c.Lost)
	addResult(e.wrongResponses(), &c.Wrong)
	addResult(e.failuresExceptAt(killed), &c.Cut)
	for _, a := range e.admissionExcesses() {
		c.Excess, c.ExcessStarts = max(c.Excess, a.certainExcess), max(c.ExcessStarts, a.startExcess)
		if a.certainExcess > 0 {
			c.Examples = append(c.Examples, "over-admission "+string(a.customer.ID)+": "+formatExcess(a))
		}
	}
	return c
}

// CountWrongfulRefusals counts first attempts that were refused by rate although one
// central token bucket would have admitted them, and all first attempts that it would
// have admitted. Customers that exceeded their rate are left out.
func CountWrongfulRefusals(customers []CustomerSpec, records []load.Record) (wrongful, admitted int) {
	e := &evidence{customers: customers, records: records}
	w := e.wrongful()
	return w.refused, w.admitted
}

func (e *evidence) failuresExceptAt(killed []string) checkResult {
	row := checkResult{name: "cut"}
	for i := range e.records {
		for _, a := range e.records[i].Attempts {
			if interrupted(a.Failure) && !slices.Contains(killed, a.Host.String()) {
				row.add("%s at %s: %s: %s", e.records[i].Target, a.Host, a.Failure, a.Error)
			}
		}
	}
	return row
}

// Drained returns how many requests the process of an upstream refused because of a
// drain, and whether the upstream has running or waiting requests.
func (f *Fleet) Drained(ctx context.Context, name fleet.Upstream) (refused int, running bool, err error) {
	runReport, err := f.runReport(ctx, f.Admin(name), 0, 0)
	if err != nil {
		return 0, false, err
	}
	var statuses []struct {
		Name    fleet.Upstream `json:"name"`
		Running int            `json:"running"`
		Waiting int            `json:"waiting"`
	}
	err = f.CallUpstreamProcess(ctx, name, http.MethodGet, "/admin/upstreams", nil, &statuses)
	for _, s := range statuses {
		running = running || s.Name == name && s.Running+s.Waiting > 0
	}
	return runReport.Totals.Drained, running, err
}

// ConfigureNetwork configures the stand-ins with the locations of the entry hosts and
// the network delays from them to the upstreams and to the platform.
func (f *Fleet) ConfigureNetwork(ctx context.Context, network upstream.Network, platformDelay map[fleet.Region]int) error {
	network.EntryHosts = map[string]fleet.Location{}
	for _, h := range f.Hosts {
		network.EntryHosts[h.Callers.String()] = fleet.Location{Region: h.Region, FailureDomain: h.Domain}
	}
	if err := f.CallUpstreams(ctx, http.MethodPut, "/admin/network", network); err != nil {
		return err
	}
	return f.CallPlatform(ctx, http.MethodPost, "/admin/faults", jsonObject{"regionDelayMillis": platformDelay}, nil)
}

// ReadyAt waits until hosts are ready and returns the time; zero if the context ends.
func (f *Fleet) ReadyAt(ctx context.Context, hosts []*Host) time.Time {
	for ctx.Err() == nil {
		if f.AwaitReady(ctx, hosts) == nil {
			return time.Now()
		}
	}
	return time.Time{}
}
