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

// Start starts all processes of a fleet and puts the first release note in force.
func Start(ctx context.Context, spec Spec, options Options, say func(string, ...any)) (*Fleet, error) {
	return start(ctx, spec, options, say)
}

// StartParts starts all processes of a fleet of other entry hosts, which take the
// release note from a file next to their settings.
func StartWithNoteFile(ctx context.Context, spec Spec, options Options, note string) (*Fleet, error) {
	f, err := NewFleet(spec, options)
	if err != nil {
		return nil, err
	}
	if err := f.startParts(ctx, note); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) startParts(ctx context.Context, note string) error {
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

// PlatformCall calls the platform stand-in.
func (f *Fleet) CallPlatform(ctx context.Context, method, path string, body, into any) error {
	return call(ctx, method, "http://"+f.Platform+path, "", body, into)
}

// Calls returns the calls that the platform stand-in counted.
func (f *Fleet) PlatformCallCounts(ctx context.Context) (platform.CallCounts, error) {
	var counts platform.CallCounts
	err := f.CallPlatform(ctx, http.MethodGet, "/admin/calls", nil, &counts)
	return counts, err
}

// UpstreamCall calls every process of upstream stand-ins.
func (f *Fleet) CallUpstreams(ctx context.Context, method, path string, body any) error {
	for _, addresses := range f.Upstreams {
		if err := call(ctx, method, "http://"+addresses.Admin+path, "", body, nil); err != nil {
			return err
		}
	}
	return nil
}

// UpstreamOf calls the process that holds an upstream.
func (f *Fleet) CallUpstreamProcess(ctx context.Context, name fleet.Upstream, method, path string, body, into any) error {
	return call(ctx, method, "http://"+f.Admin(name)+path, "", body, into)
}

// Settled reads the records of the upstreams when no run is under way any more.
func (f *Fleet) Settled(ctx context.Context) (*UpstreamRecords, error) { return f.settled(ctx) }

// Counts compares what callers were told with the runs of the upstreams.
type ViolationCounts struct {
	Duplicated    int `json:"duplicated"`
	NotRunThatRan int `json:"notRunThatRan"`
	Lost          int `json:"lost"`
	Wrong         int `json:"wrong"`
	// Cut counts attempts whose connection failed at a host that nobody killed.
	Cut int `json:"cut"`
	// Excess is the highest number of requests above rate and burst of any
	// customer in any window: those admitted for certain within the window, and
	// ExcessStarts the run starts.
	Excess       float64 `json:"excess"`
	ExcessStarts float64 `json:"excessStarts"`
	// Examples explain the first cases of each kind.
	Examples []string `json:"examples,omitempty"`
}

// Count applies the checks of the demo to other records. Killed holds callers'
// addresses of the hosts that were killed.
func CountViolations(customers []CustomerSpec, records []load.Record, side *UpstreamRecords, killed []string) ViolationCounts {
	e := &evidence{customers: customers, records: records, upstreams: side}
	e.index()
	var c ViolationCounts
	take := func(f finding, into *int) {
		*into = f.count
		for _, example := range f.examples {
			c.Examples = append(c.Examples, f.name+": "+example)
		}
	}
	take(e.duplicated(), &c.Duplicated)
	take(e.notRunThatRan(), &c.NotRunThatRan)
	take(e.lost(), &c.Lost)
	take(e.wrongResponses(), &c.Wrong)
	take(e.cutElsewhere(killed), &c.Cut)
	for _, a := range e.admissions() {
		c.Excess, c.ExcessStarts = max(c.Excess, a.proven), max(c.ExcessStarts, a.starts)
		if a.proven > 0 {
			c.Examples = append(c.Examples, "over-admission "+string(a.customer.ID)+": "+excessText(a))
		}
	}
	return c
}

// WrongfulRefusals counts first attempts refused by rate that one central bucket
// would have admitted, and all that it would have admitted. Customers that sent
// more than their rate are left out.
func CountWrongfulRefusals(customers []CustomerSpec, records []load.Record) (wrongful, admitted int) {
	e := &evidence{customers: customers, records: records}
	w := e.wrongful()
	return w.refused, w.admitted
}

func (e *evidence) cutElsewhere(killed []string) finding {
	f := finding{name: "cut"}
	for i := range e.records {
		for _, a := range e.records[i].Attempts {
			if interrupted(a.Failure) && !slices.Contains(killed, a.Host.String()) {
				f.add("%s at %s: %s: %s", e.records[i].Target, a.Host, a.Failure, a.Error)
			}
		}
	}
	return f
}

// Drained returns how many requests a process of stand-ins refused because their
// upstream drains, and whether work of the upstream is under way.
func (f *Fleet) Drained(ctx context.Context, name fleet.Upstream) (refused int, running bool, err error) {
	report, err := f.report(ctx, f.Admin(name), 0, 0)
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
	return report.Totals.Drained, running, err
}

// DirectNetwork tells the stand-ins where entry hosts run and how long the ways
// between them and upstreams and the platform take.
func (f *Fleet) ConfigureNetwork(ctx context.Context, network upstream.Network, platformDelay map[fleet.Region]int) error {
	network.EntryHosts = map[string]fleet.Location{}
	for _, h := range f.Hosts {
		network.EntryHosts[h.Callers.String()] = fleet.Location{Region: h.Region, FailureDomain: h.Domain}
	}
	if err := f.CallUpstreams(ctx, http.MethodPut, "/admin/network", network); err != nil {
		return err
	}
	return f.CallPlatform(ctx, http.MethodPost, "/admin/faults", object{"regionDelayMillis": platformDelay}, nil)
}

// ReadyAt waits until hosts serve and returns the time; zero if the context ends.
func (f *Fleet) ReadyAt(ctx context.Context, hosts []*Host) time.Time {
	for ctx.Err() == nil {
		if f.AwaitReady(ctx, hosts) == nil {
			return time.Now()
		}
	}
	return time.Time{}
}
