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

func excessText(a admission) string {
	return fmt.Sprintf("run starts exceed rate and burst by %.1f, certain admissions by %.1f", a.starts, a.proven)
}

// BrokenError reports promises that a run broke.
type ViolationError struct {
	Rows []string
}

func (e *ViolationError) Error() string {
	return fmt.Sprintf("%d promises are broken: %s", len(e.Rows), strings.Join(e.Rows, "; "))
}

// writeTable writes the counts of a run and returns *BrokenError if a promise is
// broken.
func (e *evidence) writeTable(w io.Writer, result *load.Result) error {
	rows := e.promises()
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range append(e.counts(result), rows...) {
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\n", row.name, row.count, row.verdict(), row.note)
	}
	if err := table.Flush(); err != nil {
		return eris.Wrap(err, "demo table")
	}
	var broken []string
	for _, row := range rows {
		if !row.broken() {
			continue
		}
		broken = append(broken, row.name)
		for _, example := range row.examples {
			fmt.Fprintf(w, "  %s: %s\n", row.name, example)
		}
	}
	if len(broken) > 0 {
		return &ViolationError{Rows: broken}
	}
	return nil
}

func (f *finding) verdict() string {
	switch {
	case f.fact:
		return ""
	case f.broken():
		return "BROKEN"
	}
	return "kept"
}

// counts returns the rows that state facts.
func (e *evidence) counts(result *load.Result) []finding {
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
	fact := func(name string, count int, note string) finding {
		return finding{name: name, count: count, note: note, fact: true}
	}
	split := func(v load.Verdict) string {
		return fmt.Sprintf("%d at-most-once, %d reads", orders[v], verdicts[v]-orders[v])
	}
	failed, requests, resolved := e.killedFailures()
	wrongful := e.wrongful()
	l := result.Lookups
	return []finding{
		fact("sent", len(e.records), ""),
		fact("look-ups", int(l.Asked), fmt.Sprintf("%d answered, %d refused, %d failed", l.Answered, l.Refused, l.Failed)),
		fact("answered", verdicts[load.Answered], split(load.Answered)),
		fact("refused not-run", verdicts[load.RefusedNotRun], split(load.RefusedNotRun)+"; last refusal: "+countsText(refusals)),
		fact("unknown", verdicts[load.Unknown], split(load.Unknown)),
		fact("not sent", verdicts[load.NotSent], "the generator had too many requests under way"),
		fact("runs at upstreams", len(e.upstreams.Runs), ""),
		fact("failed attempts at killed host", failed, fmt.Sprintf("%d requests, %d of them resolved by a repeat", requests, resolved)),
		fact("429 within rate and burst", wrongful.refused, fmt.Sprintf("%d of them in the first %v; of %d first attempts of customers within their rate",
			wrongful.early, startTime, wrongful.admitted)),
	}
}

// countsText writes counts by name, highest first.
func countsText(counts map[string]int) string {
	names := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%d %s", counts[name], name))
	}
	return strings.Join(parts, ", ")
}
