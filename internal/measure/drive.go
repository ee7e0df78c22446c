package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/internal/demo"
	"github.com/catkinspring/catkinspring/internal/load"
	"github.com/catkinspring/catkinspring/internal/naive"
	"github.com/catkinspring/catkinspring/internal/standin/platform"
	"github.com/catkinspring/catkinspring/internal/standin/upstream"
)

// Design names the entry hosts that are measured.
type Design string

// The designs that are compared.
const (
	DesignOwn   Design = "this design"
	DesignNaive Design = "naive"
)

// directoryMode is the mode of directories of a run; they hold keys.
const directoryMode = 0o700

// observation is everything that one run of a scenario shows.
type observation struct {
	scenario *Scenario
	start    time.Time
	records  []load.Record
	lookups  load.Lookups
	side     *demo.UpstreamRecords
	bound    map[fleet.Upstream]upstream.BoundUpstream
	killed   []string
	drain    *time.Duration
	back     *time.Duration
	// storeCalls counts calls to the platform during the load by kind.
	storeCalls map[platform.Call]int
}

// observe runs a scenario against one design. Every process has ended when it
// returns.
func observe(ctx context.Context, s *Scenario, design Design, options demo.Options, say func(string, ...any)) (*observation, error) {
	if err := os.MkdirAll(options.Directory, directoryMode); err != nil {
		return nil, eris.Wrap(err, "directory")
	}
	f, err := startFleet(ctx, s, design, options)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if err := f.ConfigureNetwork(ctx, s.network(), s.platformDelays()); err != nil {
		return nil, err
	}
	if !demo.Sleep(ctx, s.fillTime()) {
		return nil, eris.Wrap(ctx.Err(), "wait for full buckets")
	}
	if err := f.CallPlatform(ctx, http.MethodDelete, "/admin/calls", nil, nil); err != nil {
		return nil, err
	}
	say("load starts, seed %d, %v", s.Seed, s.Length())
	o, err := drive(ctx, s, f, say)
	if err != nil {
		return nil, err
	}
	say("load ended")
	return o, o.keep(options.Directory)
}

func startFleet(ctx context.Context, s *Scenario, design Design, options demo.Options) (*demo.Fleet, error) {
	if design == DesignOwn {
		return demo.Start(ctx, s.spec(), options, func(string, ...any) {})
	}
	options.Binary, options.Command = options.Standin, "naive"
	return demo.StartWithNoteFile(ctx, s.spec(), options, naive.NoteFile)
}

// fillTime is the time until the buckets of a new fleet, which start empty, are
// full. The central bucket of the comparison is full at the start.
func (s *Scenario) fillTime() time.Duration {
	seconds := 0.0
	for _, c := range s.Customers {
		seconds = max(seconds, c.Burst/c.Rate)
	}
	return time.Duration(seconds * float64(time.Second))
}

func (s *Scenario) network() upstream.Network {
	d := &s.Deployment
	return upstream.Network{DomainMillis: d.DomainMillis, RegionMillis: d.RegionMillis, LinkMbit: d.LinkMbit}
}

// platformDelays returns the one-way delay of each region to the platform.
func (s *Scenario) platformDelays() map[fleet.Region]int {
	delays := map[fleet.Region]int{}
	for _, region := range s.Deployment.Regions {
		delays[region] = int(s.Deployment.RegionMillis)
	}
	delays[s.Deployment.StoreRegion] = int(s.Deployment.DomainMillis)
	return delays
}

// drive sends the load and carries out the faults.
func drive(ctx context.Context, s *Scenario, f *demo.Fleet, say func(string, ...any)) (*observation, error) {
	directed, end := context.WithCancel(ctx)
	defer end()
	d := &director{Fleet: f, say: say}
	start := time.Now()
	var faultErr error
	var group sync.WaitGroup
	group.Add(1)
	go func() {
		defer group.Done()
		faultErr = d.run(directed, start, s.Phases)
	}()
	result, err := load.Run(ctx, s.load(f))
	end()
	group.Wait()
	if err != nil {
		return nil, err
	}
	if faultErr != nil {
		return nil, faultErr
	}
	if err := ctx.Err(); err != nil {
		return nil, eris.Wrap(err, "load")
	}
	counts, err := f.PlatformCallCounts(ctx)
	if err != nil {
		return nil, err
	}
	side, err := f.Settled(ctx)
	if err != nil {
		return nil, err
	}
	o := &observation{
		scenario: s, start: result.Start, records: result.Records, lookups: result.Lookups, side: side,
		bound: map[fleet.Upstream]upstream.BoundUpstream{}, killed: d.killed, drain: d.drain, back: d.back, storeCalls: counts.Total,
	}
	for _, addresses := range f.Upstreams {
		for _, bound := range addresses.Upstreams {
			o.bound[bound.Name] = bound
		}
	}
	return o, nil
}

// fileMode is the mode of the files of a run.
const fileMode = 0o600

// keep writes both sides of a run to its directory.
func (o *observation) keep(directory string) error {
	var requests, runs bytes.Buffer
	result := load.Result{Records: o.records}
	if err := result.WriteRecords(&requests); err != nil {
		return err
	}
	encoder := json.NewEncoder(&runs)
	for i := range o.side.Runs {
		if err := encoder.Encode(&o.side.Runs[i]); err != nil {
			return eris.Wrap(err, "runs")
		}
	}
	if err := os.WriteFile(filepath.Join(directory, "requests.jsonl"), requests.Bytes(), fileMode); err != nil {
		return eris.Wrap(err, "requests")
	}
	return eris.Wrap(os.WriteFile(filepath.Join(directory, "runs.jsonl"), runs.Bytes(), fileMode), "runs")
}
