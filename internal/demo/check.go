package demo

import (
	"fmt"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/internal/load"
	"github.com/catkinspring/catkinspring/internal/standin/upstream"
	"github.com/catkinspring/catkinspring/problem"
)

// maxExamples bounds the examples of one violated guarantee.
const maxExamples = 3

// checkResult is one row of the result table.
type checkResult struct {
	name  string
	count int
	// informational is true if the row is a count that is not checked. Otherwise
	// the row is a guarantee, which holds if its count is 0.
	informational bool
	// note explains the count.
	note     string
	examples []string
}

func (row *checkResult) violated() bool { return !row.informational && row.count > 0 }

func (row *checkResult) add(format string, args ...any) {
	row.count++
	if len(row.examples) < maxExamples {
		row.examples = append(row.examples, fmt.Sprintf(format, args...))
	}
}

// evidence holds the data of a run that the checks compare.
type evidence struct {
	events    events
	plan      plan
	customers []CustomerSpec
	records   []load.Record
	upstreams *UpstreamRecords
	// drainedAdmin is the admin address of the drained upstream's process.
	drainedAdmin string
	decreases    []string

	byTarget    map[string][]*upstream.Run
	byRequest   map[string]*upstream.Run
	byOperation map[string][]*upstream.Run
}

func (e *evidence) indexRuns() {
	e.byTarget = map[string][]*upstream.Run{}
	e.byRequest = map[string]*upstream.Run{}
	e.byOperation = map[string][]*upstream.Run{}
	for i := range e.upstreams.Runs {
		run := &e.upstreams.Runs[i]
		e.byTarget[run.Target] = append(e.byTarget[run.Target], run)
		if run.RequestID != "" {
			e.byRequest[load.BaseID(run.RequestID)] = run
		}
		if run.IdempotencyKey != "" {
			e.byOperation[run.IdempotencyKey] = append(e.byOperation[run.IdempotencyKey], run)
		}
	}
}

// checkGuarantees checks the guarantees of section 1 of docs/design.md that a run can
// show, and returns a row for each.
func (e *evidence) checkGuarantees() []checkResult {
	e.indexRuns()
	return append([]checkResult{
		e.duplicated(),
		e.notRunThatRan(),
		e.lost(),
		e.wrongResponses(),
		e.wrongCustomer(),
		e.keysSeen(),
		e.withdrawnKey(),
		e.workAfterDrain(),
		e.interruptedByStop(),
		e.failuresAtRunningHosts(),
		e.revisionDecreases(),
	}, e.overAdmission()...)
}

// duplicated counts at-most-once operations that started more than once.
func (e *evidence) duplicated() checkResult {
	row := checkResult{name: "duplicated"}
	for key, runs := range e.byOperation {
		if len(runs) > 1 {
			row.add("operation %s ran %d times: at %s as request %s, at %s as request %s", key, len(runs),
				runs[0].Upstream, runs[0].RequestID, runs[1].Upstream, runs[1].RequestID)
		}
	}
	return row
}

// notRunThatRan counts attempts that were refused as not run although a run has the
// same request ID, and requests that ran although all attempts were refused as not
// run.
func (e *evidence) notRunThatRan() checkResult {
	row := checkResult{name: `"not-run" that ran`}
	for i := range e.records {
		r := &e.records[i]
		ran := false
		for _, a := range r.Attempts {
			if run := e.byRequest[a.RequestID]; a.Outcome == problem.OutcomeNotRun && run != nil {
				row.add("%s: request %s was refused as %s and ran at %s (%s)", r.Target, a.RequestID, a.Problem, run.Upstream, run.State)
				ran = true
			}
		}
		if !ran && r.Verdict == load.RefusedNotRun && len(e.byTarget[r.Target]) > 0 {
			row.add("%s: all attempts were refused as not run, and it ran at %s", r.Target, e.byTarget[r.Target][0].Upstream)
		}
	}
	return row
}

// lost counts answered requests that no upstream completed.
func (e *evidence) lost() checkResult {
	row := checkResult{name: "lost (answered, never run)"}
	for i := range e.records {
		r := &e.records[i]
		if r.Verdict == load.Answered && !completed(e.byTarget[r.Target]) {
			row.add("%s: answered with request id %s", r.Target, r.Last().RequestID)
		}
	}
	return row
}

func completed(runs []*upstream.Run) bool {
	for _, run := range runs {
		if run.State == upstream.RunCompleted {
			return true
		}
	}
	return false
}

func (e *evidence) wrongResponses() checkResult {
	row := checkResult{name: "wrong or truncated success"}
	for i := range e.records {
		if r := &e.records[i]; r.Verdict == load.Wrong {
			row.add("%s: %s differs (request %s at %s)", r.Target, r.Last().Mismatch, r.Last().RequestID, r.Last().Host)
		}
	}
	return row
}

// wrongCustomer counts runs under another customer than the sender, and runs of
// requests that were never sent.
func (e *evidence) wrongCustomer() checkResult {
	row := checkResult{name: "wrong customer"}
	customers := map[string]fleet.Customer{}
	for i := range e.records {
		customers[e.records[i].Target] = e.records[i].Customer
	}
	for i := range e.upstreams.Runs {
		run := &e.upstreams.Runs[i]
		sender, ok := customers[run.Target]
		if !ok || run.Customer != "" && run.Customer != sender {
			row.add("%s ran for %q at %s", run.Target, run.Customer, run.Upstream)
		}
	}
	return row
}

func (e *evidence) keysSeen() checkResult {
	return checkResult{name: "keys seen by upstreams", count: e.upstreams.Sightings}
}

// withdrawnKey counts requests with the withdrawn key that succeeded or ran later
// than propagationLimit after the withdrawal.
func (e *evidence) withdrawnKey() checkResult {
	row := checkResult{name: "key worked after withdrawal + 3 s"}
	if e.events.withdrawn.IsZero() {
		return row
	}
	end := e.events.withdrawn.Add(propagationLimit)
	for i := range e.records {
		r := &e.records[i]
		if r.KeyID != e.events.withdrawnKey {
			continue
		}
		late := false
		for _, a := range r.Attempts {
			late = late || a.Start.After(end) && a.Status >= 200 && a.Status < 300
		}
		for _, run := range e.byTarget[r.Target] {
			late = late || run.Start.After(end)
		}
		if late {
			row.add("%s was sent %.1f s after the acceptance", r.Target, r.Intended.Sub(e.events.withdrawn).Seconds())
		}
	}
	return row
}

// workAfterDrain counts requests that reached the drained upstream later than
// propagationLimit after the drain. A draining stand-in refuses requests, so both
// its refusals and its runs count.
func (e *evidence) workAfterDrain() checkResult {
	row := checkResult{name: "work on draining upstream after 3 s"}
	if e.events.drained.IsZero() {
		return row
	}
	end := e.events.drained.Add(propagationLimit)
	for i := range e.upstreams.Runs {
		run := &e.upstreams.Runs[i]
		if run.Upstream == e.plan.drained && run.Start.After(end) {
			row.add("%s ran %.1f s after the drain", run.Target, run.Start.Sub(e.events.drained).Seconds())
		}
	}
	for range e.upstreams.Drained[e.drainedAdmin] - e.events.refusedInTime {
		row.add("upstream %s refused a request more than 3 s after the drain", e.plan.drained)
	}
	return row
}

// interruptedByStop counts attempts whose connection failed at the stopped host: those
// in progress, and new connections of callers whose cached lookup answer still
// contains the host. An exit code of the host other than 0 counts too.
func (e *evidence) interruptedByStop() checkResult {
	row := checkResult{name: "cut by the planned stop"}
	if e.events.stopped.IsZero() {
		return row
	}
	for i := range e.records {
		for _, a := range e.records[i].Attempts {
			if a.Host.String() == e.events.stoppedAddress && a.End.After(e.events.stopped) && interrupted(a.Failure) {
				row.add("%s: %s %.2f s after SIGTERM: %s", e.records[i].Target, a.Failure, a.End.Sub(e.events.stopped).Seconds(), a.Error)
			}
		}
	}
	if e.events.stopCode != 0 {
		row.add("the stopped host ended with code %d", e.events.stopCode)
	}
	return row
}

// interrupted reports whether the connection failed. A timeout does not count,
// because the upstream may be its cause.
func interrupted(f load.Failure) bool {
	return f == load.FailureConnect || f == load.FailureLost || f == load.FailureTruncated
}

// failuresAtRunningHosts counts connections that failed at hosts that were neither
// killed nor stopped.
func (e *evidence) failuresAtRunningHosts() checkResult {
	row := checkResult{name: "connection failures at running hosts"}
	for i := range e.records {
		for _, a := range e.records[i].Attempts {
			host := a.Host.String()
			if interrupted(a.Failure) && host != e.events.killedAddress && host != e.events.stoppedAddress {
				row.add("%s at %s: %s: %s", e.records[i].Target, host, a.Failure, a.Error)
			}
		}
	}
	return row
}

func (e *evidence) revisionDecreases() checkResult {
	row := checkResult{name: "revision went down"}
	for _, text := range e.decreases {
		row.add("%s", text)
	}
	return row
}

// failuresAtKilledHost counts the attempts that failed at the killed host, their
// requests, and the requests that a retry resolved: answered or refused as not run.
func (e *evidence) failuresAtKilledHost() (failed, requests, resolved int) {
	for i := range e.records {
		r := &e.records[i]
		n := 0
		for _, a := range r.Attempts {
			if !e.events.killed.IsZero() && a.Host.String() == e.events.killedAddress && a.Failure != load.FailureNone && a.End.After(e.events.killed) {
				n++
			}
		}
		if n == 0 {
			continue
		}
		failed += n
		requests++
		if r.Verdict == load.Answered || r.Verdict == load.RefusedNotRun {
			resolved++
		}
	}
	return failed, requests, resolved
}
