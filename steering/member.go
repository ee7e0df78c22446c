package steering

import (
	"time"

	"github.com/catkinspring/catkinspring/advisory"
	"github.com/catkinspring/catkinspring/catalog"
	"github.com/catkinspring/catkinspring/loadreport"
	"github.com/catkinspring/catkinspring/machine"
)

const (
	// otherHostsHalfLife is the half-life of the load that other hosts put on an
	// upstream, as last reported by the upstream: about the duration of a request.
	otherHostsHalfLife = 500 * time.Millisecond
	// minBackoff and maxBackoff bound how long an upstream gets no requests after a
	// failure. maxBackoff is shorter than the time that an upstream takes to restart
	// after a crash.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 2 * time.Second
	// failureRateWeight is the weight of one attempt in the moving average (EWMA) of
	// failures, which covers about the last six attempts.
	failureRateWeight = 0.25
	// outlierRate is the failure rate above which an upstream is skipped as an outlier.
	outlierRate = 0.4
	// failureRateHalfLife is the half-life of the failure rate of an upstream that gets
	// no requests, so that it is tried again.
	failureRateHalfLife = 2 * time.Second
)

// member is the state that this host keeps for an upstream.
type member struct {
	catalog.Upstream
	// hash is the hash of the ID, for rendezvous hashing.
	hash uint64
	// missingSince is when the entry was found missing after an outage; 0 if it is
	// present.
	missingSince machine.Instant

	// inFlight is the number of this host's own requests in progress.
	inFlight int
	// otherHostsLoad is the load from other hosts at otherHostsLoadAt.
	otherHostsLoad   float64
	otherHostsLoadAt machine.Instant
	// slowdown is how long work takes on the upstream's machine relative to the usual
	// time, as stated at slowdownAt; 0 if it was not stated.
	slowdown   float64
	slowdownAt machine.Instant
	// statement is the last load that the upstream stated to this host, if it was not yet
	// taken by TakeReports.
	statement *loadreport.Report
	statedAt  machine.Instant

	// failures counts connection failures since the last answer.
	failures int
	// ejectedUntil is until when the upstream gets no requests, after a failure or
	// because it asked for a pause.
	ejectedUntil machine.Instant
	// paused is true from a request for a pause until the first response after it.
	paused bool
	// failureRate is the moving average (EWMA) of failed attempts at failureRateAt.
	failureRate   float64
	failureRateAt machine.Instant

	limiter warmupLimiter
	// startedAt is when this host was notified of the upstream's start; 0 if the
	// upstream was in the first list.
	startedAt machine.Instant
	// leaving is true once the upstream has stated that it is about to stop. Its entry
	// may never say so.
	leaving bool
	// limit is the limit that the upstream states.
	limit statedLimit
	// rank is this host's rank for the upstream in the list of hosts with the number
	// rankList; see rankOf.
	rank     hostRank
	rankList int
}

func newMember(item catalog.Upstream) *member {
	return &member{Upstream: item, hash: uint64(advisory.KeyOf(item.ID)), rankList: -1}
}

// departedMember is an upstream whose entry was removed.
type departedMember struct {
	*member
	at machine.Instant
}

// resume takes over the statements of an upstream whose entry had been removed, unless it
// has started again since. Without a known start, it has to be taken for a new one.
func (m *member) resume(departed departedMember) {
	if departed.member == nil || departed.StartedMillis != m.StartedMillis || m.StartedMillis == 0 {
		return
	}
	m.leaving, m.limit, m.ejectedUntil, m.paused = departed.leaving, departed.limit, departed.ejectedUntil, departed.paused
}

// load returns the estimated load of an upstream: this host's own requests plus the
// decayed load from other hosts that the upstream last reported.
func (m *member) load(now machine.Instant) float64 {
	return float64(m.inFlight) + decayed(m.otherHostsLoad, now.Sub(m.otherHostsLoadAt), otherHostsHalfLife)
}

// currentFailureRate returns the failure rate, decayed since the last attempt.
func (m *member) currentFailureRate(now machine.Instant) float64 {
	return decayed(m.failureRate, now.Sub(m.failureRateAt), failureRateHalfLife)
}

// healthy reports whether an upstream is neither ejected nor failing too often. One
// whose last attempts failed gets a single request at a time until it answers.
func (m *member) healthy(now machine.Instant) bool {
	if now < m.ejectedUntil || m.failures > 0 && m.inFlight > 0 {
		return false
	}
	return m.currentFailureRate(now) <= outlierRate
}
