package demo

import (
	"fmt"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/internal/load"
	"github.com/catkinspring/catkinspring/internal/standin/upstream"
	"github.com/catkinspring/catkinspring/problem"
)

// maxShown bounds the examples of one broken promise.
const maxShown = 3

// finding is one row of the table.
type finding struct {
	name  string
	count int
	// fact is true if the row states a figure and no promise. A promise is kept
	// if its count is 0.
	fact bool
	// note explains the figure.
	note     string
	examples []string
}

func (f *finding) broken() bool { return !f.fact && f.count > 0 }

func (f *finding) add(format string, args ...any) {
	f.count++
	if len(f.examples) < maxShown {
		f.examples = append(f.examples, fmt.Sprintf(format, args...))
	}
}

// evidence is what the checks compare.
type evidence struct {
	facts     facts
	plan      plan
	customers []CustomerSpec
	records   []load.Record
	upstreams *UpstreamRecords
	// drainedAdmin is the process of the drained upstream.
	drainedAdmin string
	decreases    []string

	byTarget    map[string][]*upstream.Run
	byRequest   map[string]*upstream.Run
	byOperation map[string][]*upstream.Run
}

func (e *evidence) index() {
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

// promises returns the rows of section 1 of docs/design.md that a run can check.
func (e *evidence) promises() []finding {
	e.index()
	return append([]finding{
		e.duplicated(),
		e.notRunThatRan(),
		e.lost(),
		e.wrongResponses(),
		e.wrongCustomer(),
		e.keysSeen(),
		e.withdrawnKey(),
		e.drainedWork(),
		e.cut(),
		e.otherCuts(),
		e.revisions(),
	}, e.overAdmission()...)
}

// duplicated counts at-most-once operations that started more than once.
func (e *evidence) duplicated() finding {
	f := finding{name: "duplicated"}
	for key, runs := range e.byOperation {
		if len(runs) > 1 {
			f.add("operation %s ran %d times: at %s as request %s, at %s as request %s", key, len(runs),
				runs[0].Upstream, runs[0].RequestID, runs[1].Upstream, runs[1].RequestID)
		}
	}
	return f
}

// notRunThatRan counts attempts that were refused as not run, with a run of the
// same request id, and requests refused in all attempts that ran nevertheless.
func (e *evidence) notRunThatRan() finding {
	f := finding{name: `"not-run" that ran`}
	for i := range e.records {
		r := &e.records[i]
		ran := false
		for _, a := range r.Attempts {
			if run := e.byRequest[a.RequestID]; a.Outcome == problem.OutcomeNotRun && run != nil {
				f.add("%s: request %s was refused as %s and ran at %s (%s)", r.Target, a.RequestID, a.Problem, run.Upstream, run.State)
				ran = true
			}
		}
		if !ran && r.Verdict == load.RefusedNotRun && len(e.byTarget[r.Target]) > 0 {
			f.add("%s: all attempts were refused as not run, and it ran at %s", r.Target, e.byTarget[r.Target][0].Upstream)
		}
	}
	return f
}

// lost counts answered requests that no upstream completed.
func (e *evidence) lost() finding {
	f := finding{name: "lost (answered, never run)"}
	for i := range e.records {
		r := &e.records[i]
		if r.Verdict == load.Answered && !completed(e.byTarget[r.Target]) {
			f.add("%s: answered with request id %s", r.Target, r.Last().RequestID)
		}
	}
	return f
}

func completed(runs []*upstream.Run) bool {
	for _, run := range runs {
		if run.State == upstream.RunCompleted {
			return true
		}
	}
	return false
}

func (e *evidence) wrongResponses() finding {
	f := finding{name: "wrong or truncated success"}
	for i := range e.records {
		if r := &e.records[i]; r.Verdict == load.Wrong {
			f.add("%s: %s differs (request %s at %s)", r.Target, r.Last().Mismatch, r.Last().RequestID, r.Last().Host)
		}
	}
	return f
}

// wrongCustomer counts runs of a customer that did not send the request, and
// runs that nobody sent.
func (e *evidence) wrongCustomer() finding {
	f := finding{name: "wrong customer"}
	customers := map[string]fleet.Customer{}
	for i := range e.records {
		customers[e.records[i].Target] = e.records[i].Customer
	}
	for i := range e.upstreams.Runs {
		run := &e.upstreams.Runs[i]
		sender, ok := customers[run.Target]
		if !ok || run.Customer != "" && run.Customer != sender {
			f.add("%s ran for %q at %s", run.Target, run.Customer, run.Upstream)
		}
	}
	return f
}

func (e *evidence) keysSeen() finding {
	return finding{name: "keys seen by upstreams", count: e.upstreams.Sightings}
}

// withdrawnKey counts what ran with the key after its time, on either side.
func (e *evidence) withdrawnKey() finding {
	f := finding{name: "key worked after withdrawal + 3 s"}
	if e.facts.withdrawn.IsZero() {
		return f
	}
	end := e.facts.withdrawn.Add(propagation)
	for i := range e.records {
		r := &e.records[i]
		if r.KeyID != e.facts.withdrawnKey {
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
			f.add("%s was sent %.1f s after the acceptance", r.Target, r.Intended.Sub(e.facts.withdrawn).Seconds())
		}
	}
	return f
}

// drainedWork counts requests that reached the drained upstream after its time.
// A draining stand-in refuses work, so those are refusals as well as runs.
func (e *evidence) drainedWork() finding {
	f := finding{name: "work on draining upstream after 3 s"}
	if e.facts.drained.IsZero() {
		return f
	}
	end := e.facts.drained.Add(propagation)
	for i := range e.upstreams.Runs {
		run := &e.upstreams.Runs[i]
		if run.Upstream == e.plan.drained && run.Start.After(end) {
			f.add("%s ran %.1f s after the drain", run.Target, run.Start.Sub(e.facts.drained).Seconds())
		}
	}
	for range e.upstreams.Drained[e.drainedAdmin] - e.facts.refusedBefore {
		f.add("upstream %s refused a request more than 3 s after the drain", e.plan.drained)
	}
	return f
}

// cut counts attempts that the planned stop interrupted, and callers that were
// refused a connection although their cached answer named the host.
func (e *evidence) cut() finding {
	f := finding{name: "cut by the planned stop"}
	if e.facts.stopped.IsZero() {
		return f
	}
	for i := range e.records {
		for _, a := range e.records[i].Attempts {
			if a.Host.String() == e.facts.stoppedAddress && a.End.After(e.facts.stopped) && interrupted(a.Failure) {
				f.add("%s: %s %.2f s after SIGTERM: %s", e.records[i].Target, a.Failure, a.End.Sub(e.facts.stopped).Seconds(), a.Error)
			}
		}
	}
	if e.facts.stopCode != 0 {
		f.add("the stopped host ended with code %d", e.facts.stopCode)
	}
	return f
}

// interrupted reports an end of the connection. A timeout is not one: it may be
// due to the upstream.
func interrupted(f load.Failure) bool {
	return f == load.FailureConnect || f == load.FailureLost || f == load.FailureTruncated
}

// otherCuts counts connections that failed at hosts that nobody stopped.
func (e *evidence) otherCuts() finding {
	f := finding{name: "connection failures at running hosts"}
	for i := range e.records {
		for _, a := range e.records[i].Attempts {
			host := a.Host.String()
			if interrupted(a.Failure) && host != e.facts.killedAddress && host != e.facts.stoppedAddress {
				f.add("%s at %s: %s: %s", e.records[i].Target, host, a.Failure, a.Error)
			}
		}
	}
	return f
}

func (e *evidence) revisions() finding {
	f := finding{name: "revision went down"}
	for _, text := range e.decreases {
		f.add("%s", text)
	}
	return f
}

// killedFailures counts the attempts that failed at the killed host, and the
// requests among them that were answered or refused for certain by a repeat.
func (e *evidence) killedFailures() (failed, requests, resolved int) {
	for i := range e.records {
		r := &e.records[i]
		n := 0
		for _, a := range r.Attempts {
			if !e.facts.killed.IsZero() && a.Host.String() == e.facts.killedAddress && a.Failure != load.FailureNone && a.End.After(e.facts.killed) {
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
