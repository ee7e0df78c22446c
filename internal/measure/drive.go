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

// Design is the entry host implementation that is measured.
type Design string

// The designs that are compared.
const (
	DesignOwn   Design = "this design"
	DesignNaive Design = "naive"
)

// directoryMode is the mode of the directories of a run, which hold keys.
const directoryMode = 0o700

// observation holds the data that one run of a scenario yields.
type observation struct {
	scenario        *Scenario
	start           time.Time
	records         []load.Record
	lookups         load.Lookups
	upstreamRecords *demo.UpstreamRecords
	// bound holds the address and slots of each upstream.
	bound          map[fleet.Upstream]upstream.BoundUpstream
	killed         []string
	drainTime      *time.Duration
	regionRecovery *time.Duration
	// storeCalls counts the platform calls during the load, by kind.
	storeCalls map[platform.Call]int
}

// observe runs a scenario against one design. All processes have exited when it
// returns.
func observe(ctx context.Context, s *Scenario, design Design, options demo.Options, logf func(string, ...any)) (*observation, error) {
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
	if !demo.Sleep(ctx, s.bucketFillTime()) {
		return nil, eris.Wrap(ctx.Err(), "wait for full buckets")
	}
	if err := f.CallPlatform(ctx, http.MethodDelete, "/admin/calls", nil, nil); err != nil {
		return nil, err
	}
	logf("load starts, seed %d, %v", s.Seed, s.Length())
	o, err := drive(ctx, s, f, logf)
	if err != nil {
		return nil, err
	}
	logf("load ended")
	return o, o.save(options.Directory)
}

func startFleet(ctx context.Context, s *Scenario, design Design, options demo.Options) (*demo.Fleet, error) {
	if design == DesignOwn {
		return demo.Start(ctx, s.fleetSpec(), options, func(string, ...any) {})
	}
	options.Binary, options.Command = options.Standin, "naive"
	return demo.StartWithNoteFile(ctx, s.fleetSpec(), options, naive.NoteFile)
}

// bucketFillTime is the time until the buckets of a new fleet, which start empty,
// are full. The central bucket that refusals are compared with starts full.
func (s *Scenario) bucketFillTime() time.Duration {
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

// drive sends the load and injects the faults.
func drive(ctx context.Context, s *Scenario, f *demo.Fleet, logf func(string, ...any)) (*observation, error) {
	faultCtx, cancelFaults := context.WithCancel(ctx)
	defer cancelFaults()
	inj := &injector{Fleet: f, logf: logf}
	start := time.Now()
	var faultErr error
	var group sync.WaitGroup
	group.Add(1)
	go func() {
		defer group.Done()
		faultErr = inj.injectFaults(faultCtx, start, s.Phases)
	}()
	result, err := load.Run(ctx, s.load(f))
	cancelFaults()
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
	upstreamRecords, err := f.Settled(ctx)
	if err != nil {
		return nil, err
	}
	o := &observation{
		scenario: s, start: result.Start, records: result.Records, lookups: result.Lookups, upstreamRecords: upstreamRecords,
		bound: map[fleet.Upstream]upstream.BoundUpstream{}, killed: inj.killed, drainTime: inj.drainTime, regionRecovery: inj.regionRecovery, storeCalls: counts.Total,
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

// save writes the requests of the callers and the runs at the upstreams to files in
// a directory.
func (o *observation) save(directory string) error {
	var requests, runs bytes.Buffer
	result := load.Result{Records: o.records}
	if err := result.WriteRecords(&requests); err != nil {
		return err
	}
	encoder := json.NewEncoder(&runs)
	for i := range o.upstreamRecords.Runs {
		if err := encoder.Encode(&o.upstreamRecords.Runs[i]); err != nil {
			return eris.Wrap(err, "runs")
		}
	}
	if err := os.WriteFile(filepath.Join(directory, "requests.jsonl"), requests.Bytes(), fileMode); err != nil {
		return eris.Wrap(err, "requests")
	}
	return eris.Wrap(os.WriteFile(filepath.Join(directory, "runs.jsonl"), runs.Bytes(), fileMode), "runs")
}
