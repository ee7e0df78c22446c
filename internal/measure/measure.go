package measure

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/catkinspring/catkinspring/internal/demo"
)

// Options selects what is measured and where the results go.
type Options struct {
	// Binary is the path of catkinspring and Standin that of standin.
	Binary  string
	Standin string
	Version string
	// Scenarios are files. All run concurrently, first with this design and then with
	// the naive one.
	Scenarios []string
	// Scale multiplies the lengths of the phases.
	Scale float64
	// Last is the file of the last recorded results; Record rewrites it.
	Last   string
	Record bool
	// JSON is a file for the results and Plots a folder for SVG plots; empty
	// means none.
	JSON  string
	Plots string
	// Directory receives the files of the runs; empty means a temporary directory.
	Directory string
	// OwnOnly skips the naive design.
	OwnOnly bool
}

// Results holds the results of scenarios by name.
type Results struct {
	Version  string    `json:"version"`
	Recorded time.Time `json:"recorded"`
	// Machine holds the number of processors and the load average before the run.
	Machine   string                     `json:"machine"`
	Scenarios map[string]ScenarioResults `json:"scenarios"`
}

// ScenarioResults holds the columns of a scenario, one for each design.
type ScenarioResults struct {
	Seed   int     `json:"seed"`
	Length string  `json:"length"`
	Own    *Column `json:"own"`
	Naive  *Column `json:"naive,omitempty"`
}

// Run measures every scenario and writes a table for each.
func Run(ctx context.Context, options Options, out io.Writer) error {
	var scenarios []*Scenario
	for _, file := range options.Scenarios {
		s, err := ReadScenario(file, options.Scale)
		if err != nil {
			return err
		}
		scenarios = append(scenarios, s)
	}
	last, err := readLastResults(options.Last)
	if err != nil {
		return err
	}
	if options.Directory == "" {
		directory, err := os.MkdirTemp("", "catkinspring-measure-")
		if err != nil {
			return eris.Wrap(err, "temporary directory")
		}
		// Files that can't be removed are left to the system's cleanup.
		defer func() { _ = os.RemoveAll(directory) }()
		options.Directory = directory
	}
	results := &Results{Version: options.Version, Recorded: time.Now().UTC().Truncate(time.Second), Machine: describeMachine(), Scenarios: map[string]ScenarioResults{}}
	fmt.Fprintf(out, "version %s, %s\n", results.Version, results.Machine)
	own, err := options.observeAll(ctx, scenarios, DesignOwn, out)
	if err != nil {
		return err
	}
	naive := make([]*Column, len(scenarios))
	if !options.OwnOnly {
		if naive, err = options.observeAll(ctx, scenarios, DesignNaive, out); err != nil {
			return err
		}
	}
	for i, s := range scenarios {
		results.Scenarios[s.Name] = ScenarioResults{Seed: s.Seed, Length: s.Length().String(), Own: own[i], Naive: naive[i]}
		if err := writeTable(out, s, own[i], naive[i], last.Scenarios[s.Name].Own); err != nil {
			return err
		}
	}
	return options.write(scenarios, results)
}

// observeAll runs all scenarios concurrently with one design.
func (o *Options) observeAll(ctx context.Context, scenarios []*Scenario, design Design, out io.Writer) ([]*Column, error) {
	columns, errs := make([]*Column, len(scenarios)), make([]error, len(scenarios))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	begin := time.Now()
	var mu sync.Mutex
	var group sync.WaitGroup
	for i, s := range scenarios {
		logf := func(format string, args ...any) {
			mu.Lock()
			defer mu.Unlock()
			fmt.Fprintf(out, "%6.2f s  %s, %s: %s\n", time.Since(begin).Seconds(), s.Name, design, fmt.Sprintf(format, args...))
		}
		group.Add(1)
		go func() {
			defer group.Done()
			directory := filepath.Join(o.Directory, s.Name+"-"+strings.ReplaceAll(string(design), " ", "-"))
			observed, err := observe(ctx, s, design, demo.Options{Binary: o.Binary, Standin: o.Standin, Directory: directory}, logf)
			if err != nil {
				errs[i] = eris.Wrapf(err, "%s, %s", s.Name, design)
				cancel()
				return
			}
			columns[i] = observed.computeColumn()
		}()
	}
	group.Wait()
	return columns, errors.Join(errs...)
}

// readLastResults reads recorded results. A missing file yields empty results.
func readLastResults(file string) (*Results, error) {
	last := &Results{}
	text, err := os.ReadFile(file)
	if file == "" || errors.Is(err, fs.ErrNotExist) {
		return last, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "last recorded results")
	}
	return last, eris.Wrap(json.Unmarshal(text, last), "last recorded results")
}

// The modes of result files and their folders, which hold no secrets.
const (
	resultMode = 0o644
	folderMode = 0o755
)

func (o *Options) write(scenarios []*Scenario, results *Results) error {
	if o.JSON != "" {
		if err := writeResults(o.JSON, results); err != nil {
			return err
		}
	}
	if o.Plots != "" {
		if err := writePlots(o.Plots, scenarios, results); err != nil {
			return err
		}
	}
	if o.Record {
		return writeResults(o.Last, results)
	}
	return nil
}

func writeResults(file string, results *Results) error {
	text, err := json.MarshalIndent(results, "", " ")
	if err != nil {
		return eris.Wrap(err, "results")
	}
	if err := os.MkdirAll(filepath.Dir(file), folderMode); err != nil {
		return eris.Wrap(err, "results")
	}
	return eris.Wrap(os.WriteFile(file, append(text, '\n'), resultMode), "results")
}

// describeMachine returns the number of processors and the load average, which
// affect latencies.
func describeMachine() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "load of the machine unknown"
	}
	fields := strings.Fields(string(text))
	return fmt.Sprintf("%d processors, load average %s before the run", runtime.NumCPU(), fields[0])
}
