package demo

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"

	"github.com/catkinspring/catkinspring/internal/load"
)

func formatExcess(a admissionExcess) string {
	return fmt.Sprintf("run starts exceed rate and burst by %.1f, certain admissions by %.1f", a.startExcess, a.certainExcess)
}

// ViolationError reports guarantees that were violated in a run.
type ViolationError struct {
	Rows []string
}

func (e *ViolationError) Error() string {
	return fmt.Sprintf("%d promises are broken: %s", len(e.Rows), strings.Join(e.Rows, "; "))
}

// writeTable writes the rows of a run and returns *ViolationError if a guarantee is
// violated.
func (e *evidence) writeTable(w io.Writer, result *load.Result) error {
	guarantees := e.checkGuarantees()
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range append(e.informationalRows(result), guarantees...) {
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\n", row.name, row.count, row.verdict(), row.note)
	}
	if err := table.Flush(); err != nil {
		return eris.Wrap(err, "demo table")
	}
	var violated []string
	for _, row := range guarantees {
		if !row.violated() {
			continue
		}
		violated = append(violated, row.name)
		for _, example := range row.examples {
			fmt.Fprintf(w, "  %s: %s\n", row.name, example)
		}
	}
	if len(violated) > 0 {
		return &ViolationError{Rows: violated}
	}
	return nil
}

func (row *checkResult) verdict() string {
	switch {
	case row.informational:
		return ""
	case row.violated():
		return "BROKEN"
	}
	return "kept"
}

// informationalRows returns the rows that are not checked.
func (e *evidence) informationalRows(result *load.Result) []checkResult {
	verdicts, orders := map[load.Verdict]int{}, map[load.Verdict]int{}
	refusals := map[string]int{}
	for i := range e.records {
		r := &e.records[i]
		verdicts[r.Verdict]++
		if r.OperationKey != "" {
			orders[r.Verdict]++
		}
		if last := r.Last(); r.Verdict == load.RefusedNotRun && last != nil {
			refusals[last.Reason()]++
		}
	}
	informational := func(name string, count int, note string) checkResult {
		return checkResult{name: name, count: count, note: note, informational: true}
	}
	splitBySemantics := func(v load.Verdict) string {
		return fmt.Sprintf("%d at-most-once, %d reads", orders[v], verdicts[v]-orders[v])
	}
	failed, requests, resolved := e.failuresAtKilledHost()
	wrongful := e.wrongful()
	l := result.Lookups
	return []checkResult{
		informational("sent", len(e.records), ""),
		informational("look-ups", int(l.Asked), fmt.Sprintf("%d answered, %d refused, %d failed", l.Answered, l.Refused, l.Failed)),
		informational("answered", verdicts[load.Answered], splitBySemantics(load.Answered)),
		informational("refused not-run", verdicts[load.RefusedNotRun], splitBySemantics(load.RefusedNotRun)+"; last refusal: "+formatCounts(refusals)),
		informational("unknown", verdicts[load.Unknown], splitBySemantics(load.Unknown)),
		informational("not sent", verdicts[load.NotSent], "the generator had too many requests under way"),
		informational("runs at upstreams", len(e.upstreams.Runs), ""),
		informational("failed attempts at killed host", failed, fmt.Sprintf("%d requests, %d of them resolved by a repeat", requests, resolved)),
		informational("429 within rate and burst", wrongful.refused, fmt.Sprintf("%d of them in the first %v; of %d first attempts of customers within their rate",
			wrongful.duringStartup, startupPeriod, wrongful.admitted)),
	}
}

// formatCounts formats counts by name, highest first.
func formatCounts(counts map[string]int) string {
	names := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%d %s", counts[name], name))
	}
	return strings.Join(parts, ", ")
}
