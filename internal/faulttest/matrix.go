package faulttest

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc/pool"
)

// cellVariable is the environment variable that selects one cell by the name that
// a failure prints. That cell then runs with its trace.
const cellVariable = "MATRIX_CELL"

// Scenario is one run of a module under the rig.
type Scenario interface {
	// Rig returns the rig of the run.
	Rig() *Rig
	// Run runs the scenario to its end, with the faults already scheduled.
	Run()
	// Check returns every violation of an invariant, one line each.
	Check() []string
}

// Fault is a fault that can be injected at a step.
type Fault struct {
	Name  string
	Apply func(s Scenario)
}

// Matrix runs each fault, and each pair of faults, at the steps of a scenario.
type Matrix struct {
	// Module is the name that is printed.
	Module string
	Seeds  []uint64
	Faults []Fault
	// Build makes a new scenario.
	Build func(seed uint64) Scenario
	// MaxSteps bounds the steps at which a fault is injected. If the scenario has
	// more, evenly spaced ones are taken.
	MaxSteps int
	// PairSteps bounds the steps at which pairs are injected; 0 leaves pairs out.
	PairSteps int
	// PairDelay is the time between the two faults of a pair.
	PairDelay time.Duration
	// Parallel is the number of cells that run concurrently; 0 and 1 run them one
	// after the other. With more, Build must not share state between scenarios.
	Parallel int
}

type cell struct {
	faults []Fault
	step   int
	seed   uint64
}

func (m *Matrix) name(c cell) string {
	names := make([]string, 0, len(c.faults))
	for _, f := range c.faults {
		names = append(names, f.Name)
	}
	return fmt.Sprintf("%s/%s/step=%d/seed=%d", m.Module, strings.Join(names, "+"), c.step, c.seed)
}

// Run runs all cells and prints one line with the counts. A failing cell prints
// its name, its violations and the command that repeats it.
func (m *Matrix) Run(t *testing.T) {
	t.Helper()
	selected := os.Getenv(cellVariable)
	var cells []cell
	for _, c := range m.cells() {
		if selected == "" || selected == m.name(c) {
			cells = append(cells, c)
		}
	}
	results := m.runCells(t, cells, selected != "")
	passed, failed := 0, 0
	for i, c := range cells {
		name := m.name(c)
		violations := results[i]
		if len(violations) == 0 {
			passed++
			continue
		}
		failed++
		t.Errorf("%s\n  %s\n  repeat: %s=%s go test -run '%s' -v ./...", name, strings.Join(violations, "\n  "), cellVariable, name, t.Name())
	}
	fmt.Printf("matrix %s: %d passed, %d failed\n", m.Module, passed, failed)
}

// Violations runs all cells and returns the violations of those that fail, by
// name. It serves tests with a deliberately faulty module.
func (m *Matrix) Violations(t *testing.T) map[string][]string {
	t.Helper()
	cells := m.cells()
	failing := map[string][]string{}
	for i, violations := range m.runCells(t, cells, false) {
		if len(violations) > 0 {
			failing[m.name(cells[i])] = violations
		}
	}
	return failing
}

// runCells returns the violations of each cell.
func (m *Matrix) runCells(t *testing.T, cells []cell, trace bool) [][]string {
	results := make([][]string, len(cells))
	workers := pool.New().WithMaxGoroutines(max(m.Parallel, 1))
	for i, c := range cells {
		workers.Go(func() { results[i] = m.runCell(t, c, trace) })
	}
	workers.Wait()
	return results
}

func (m *Matrix) cells() []cell {
	var cells []cell
	for _, seed := range m.Seeds {
		baseline := m.Build(seed)
		baseline.Run()
		steps := baseline.Rig().Steps()
		for _, step := range evenlySpaced(steps, m.MaxSteps) {
			for _, f := range m.Faults {
				cells = append(cells, cell{faults: []Fault{f}, step: step, seed: seed})
			}
		}
		for _, step := range evenlySpaced(steps, m.PairSteps) {
			for _, f := range m.Faults {
				for _, g := range m.Faults {
					cells = append(cells, cell{faults: []Fault{f, g}, step: step, seed: seed})
				}
			}
		}
	}
	return cells
}

func (m *Matrix) runCell(t *testing.T, c cell, trace bool) []string {
	s := m.Build(c.seed)
	r := s.Rig()
	if trace {
		r.KeepTrace()
	}
	r.OnStep = func(step int) {
		if step != c.step {
			return
		}
		for i, f := range c.faults {
			if i == 0 {
				r.Logf("fault %s", f.Name)
				f.Apply(s)
				continue
			}
			r.After(time.Duration(i)*m.PairDelay, func() {
				r.Logf("fault %s", f.Name)
				f.Apply(s)
			})
		}
	}
	s.Run()
	violations := s.Check()
	if trace {
		t.Log("\n" + strings.Join(r.Trace(), "\n"))
	}
	return violations
}

// evenlySpaced returns at most limit step numbers below total, evenly spaced.
func evenlySpaced(total, limit int) []int {
	if limit <= 0 || total <= 0 {
		return nil
	}
	if total <= limit {
		limit = total
	}
	steps := make([]int, 0, limit)
	for i := range limit {
		steps = append(steps, i*total/limit)
	}
	return steps
}
