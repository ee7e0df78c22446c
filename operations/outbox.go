package operations

import (
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// Limits of the reports that are kept until an owner has them in its log.
const (
	maxReports     = 20_000
	maxReportBytes = 16 << 20
)

// Waits before a report is resent.
const (
	minReportInterval = 250 * time.Millisecond
	maxReportInterval = 4 * time.Second
	// acceptedReportInterval applies after the owner has accepted the report but not
	// yet written it to its log. The owner answers again once it has.
	acceptedReportInterval = 30 * time.Second
)

// pendingReport is a report that is not yet in the log of an owner.
type pendingReport struct {
	report    Report
	partition int
	owner     fleet.Member
	next      machine.Instant
	interval  time.Duration
}

// outbox resends reports until they are acknowledged as durable.
type outbox struct {
	m       *Machine
	reports map[uint64]*pendingReport
	order   []*pendingReport
	bytes   int
	// dropped is true once a report was dropped. From then on an attempt without a
	// report may have run.
	dropped bool
}

func newOutbox(m *Machine) outbox {
	return outbox{m: m, reports: map[uint64]*pendingReport{}}
}

func (o *outbox) add(a *attempt, in Finish) {
	report := Report{
		Attempt:       a.request.Attempt,
		ID:            a.request.ID,
		Fingerprint:   a.request.Fingerprint,
		Ending:        in.Ending,
		ClaimedMillis: a.startMillis,
	}
	if in.Ending == EndingComplete {
		report.Result = limitResult(&in.Result)
		if o.bytes+len(report.Result.Body) > maxReportBytes {
			report.Result.Body = nil
			report.Result.BodyDropped = true
		}
		o.bytes += len(report.Result.Body)
	}
	p := &pendingReport{report: report, partition: a.partition}
	o.reports[report.Attempt] = p
	o.order = append(o.order, p)
	o.dropOldest()
	o.send(p)
}

// dropOldest limits the number of reports. The oldest ones have usually been
// received by an owner that waits for the store.
func (o *outbox) dropOldest() {
	for len(o.reports) > maxReports {
		oldest := o.order[0]
		o.order = o.order[1:]
		if o.reports[oldest.report.Attempt] == oldest {
			o.remove(oldest)
			o.dropped = true
			o.m.event("operation-report-dropped", string(oldest.report.ID.Customer), "too many reports wait for the store")
		}
	}
}

func (o *outbox) remove(p *pendingReport) {
	delete(o.reports, p.report.Attempt)
	if p.report.Result != nil {
		o.bytes -= len(p.report.Result.Body)
	}
}

func (o *outbox) send(p *pendingReport) {
	p.owner = o.m.requester.owner(p.partition)
	p.interval = min(max(2*p.interval, minReportInterval), maxReportInterval)
	p.next = o.m.now.Instant.Add(p.interval)
	if p.owner.Host != "" {
		o.m.send(p.owner.Host, p.report)
	}
}

func (o *outbox) tick() {
	kept := o.order[:0]
	for _, p := range o.order {
		if o.reports[p.report.Attempt] != p {
			continue
		}
		if o.m.now.WallMillis-p.report.ClaimedMillis > retention.Milliseconds() {
			o.remove(p)
			continue
		}
		kept = append(kept, p)
		if o.m.now.Instant >= p.next {
			o.send(p)
		}
	}
	clear(o.order[len(kept):])
	o.order = kept
}

// viewChanged schedules reports to new owners of partitions for the next tick.
func (o *outbox) viewChanged() {
	for _, p := range o.order {
		if o.reports[p.report.Attempt] == p && o.m.requester.owner(p.partition) != p.owner {
			p.interval = 0
			p.next = o.m.now.Instant
		}
	}
}

func (r *requester) receiveReportAnswer(answer ReportAnswer) {
	p := r.outbox.reports[answer.Attempt]
	if p == nil || answer.To != r.m.o.Self.Incarnation {
		return
	}
	if answer.Durable {
		r.outbox.remove(p)
		return
	}
	p.next = r.m.now.Instant.Add(acceptedReportInterval)
}
