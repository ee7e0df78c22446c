package edge

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/loadreport"
	"github.com/catkinspring/catkinspring/machine"
)

// loadReportInterval is the time between two messages to the other hosts of the failure
// domain. It is below the duration of most requests, so that loads change little meanwhile.
const loadReportInterval = 200 * time.Millisecond

// loadReports is the state of the exchange of load reports. Only the control loop uses it.
type loadReports struct {
	// due is when the next reports are sent.
	due                     machine.Instant
	sent, received, dropped metrics.Counter
}

func newLoadReports(registry metrics.Registry) loadReports {
	return loadReports{
		sent:     metrics.NewRegisteredCounter("loadreports.sent", registry),
		received: metrics.NewRegisteredCounter("loadreports.received", registry),
		dropped:  metrics.NewRegisteredCounter("loadreports.dropped", registry),
	}
}

// send sends a message of the control loop to a host.
func (e *Edge) send(to fleet.HostID, m machine.Message) {
	switch m.(type) {
	case loadreport.Reports:
		e.loadReports.sent.Inc(1)
	case loadreport.Times:
		e.hostMetrics.count("second_attempts.times_sent")
	}
	e.datagrams.Send(to, m)
}

// publishLoads sends what upstreams have stated to this host, if it is due.
func (e *Edge) publishLoads() {
	now := e.now()
	if now < e.loadReports.due {
		return
	}
	// Ticks vary by some milliseconds, which must not add up to a tick per interval.
	e.loadReports.due = max(e.loadReports.due.Add(loadReportInterval), now)
	if reports := e.steering.TakeReports(now); len(reports) > 0 {
		// A forwarded input would wait for the next step of the loop, and the ages would be too low.
		e.loop.StepNow(e.modules.loadReport, loadreport.Publish{Reports: reports})
	}
}

// publishTimes sends the times of attempts that were measured on this host since the last call.
func (e *Edge) publishTimes() {
	if e.hedging == nil {
		return
	}
	if samples := e.hedging.delays.TakeSamples(); len(samples) > 0 {
		e.loop.Forward(e.modules.loadReport, loadreport.PublishTimes{Samples: samples})
	}
}

// loadReportOutput applies what upstreams stated to other hosts, and what these measured.
func (e *Edge) loadReportOutput(now machine.Now, out machine.Output) {
	switch out := out.(type) {
	case loadreport.Learned:
		e.loadReports.received.Inc(1)
		e.steering.Learn(now.Instant, out.Reports)
	case loadreport.Dropped:
		e.loadReports.dropped.Inc(int64(out.Reports))
	case loadreport.LearnedTimes:
		if e.hedging == nil {
			return
		}
		e.hostMetrics.count("second_attempts.times_received")
		if dropped := e.hedging.delays.Learn(out.Samples); dropped > 0 {
			e.hostMetrics.add("second_attempts.times_dropped", dropped)
		}
	case loadreport.DroppedTimes:
		if e.hedging != nil {
			e.hostMetrics.add("second_attempts.times_dropped", out.Samples)
		}
	}
}
