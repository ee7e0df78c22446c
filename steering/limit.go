package steering

import (
	"math"
	"time"

	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/upstream"
)

const (
	// maxLimitHosts is the number of hosts that share the limit of one upstream. All
	// others stop sending, except for trials.
	maxLimitHosts = 4
	// usedLimit is the part of the limit that they use together. With four hosts it leaves
	// room for two more, whose lists of hosts differ, within the tolerance of 1.5; with
	// two, for one.
	usedLimit = 0.8
	// maxLimitShare bounds the part that one host uses.
	maxLimitShare = 0.4
	// trialShare is the part of the limit that the trials of all other hosts use.
	trialShare = 0.3
	// limitEndResponses is the number of responses in a row without a limit that end it. A
	// single one may be an error response that lacks the header.
	limitEndResponses = 2
	// minReportedChange is the relative change of a limit from which on it is reported; an
	// upstream may state another value in each response.
	minReportedChange = 0.1
	// minTrialInterval and maxTrialInterval bound the time between two trials of a host.
	minTrialInterval = 2 * time.Second
	maxTrialInterval = 5 * time.Minute
)

// statedLimit is the limit that an upstream states, for all hosts together, and this
// host's part in it.
type statedLimit struct {
	known     bool
	perSecond float64
	// reported is the limit in the last log line about it.
	reported float64
	// statedAt is when the last response with the limit arrived.
	statedAt machine.Instant
	// absent counts the responses without it since then.
	absent int
	bucket tokenBucket
	// trialAt is when a host that has no share of the limit may send a request, to find
	// out whether the limit still exists. The trials of all hosts are spread evenly.
	trialAt machine.Instant
}

// recordLimit applies the limit of a response, or its absence, and describes the change
// and whether the limit has ended. Responses to requests that were sent before the last
// response with a limit do not end it.
func (t *Table) recordLimit(now machine.Instant, m *member, r upstream.Result) (change string, ended bool) {
	stated, l := r.Response.Limit, &m.limit
	switch {
	case !stated.Known && l.known && now.Add(-r.Took) > l.statedAt:
		if l.absent++; l.absent < limitEndResponses {
			// The next trial finds out.
			l.trialAt = now
			return "", false
		}
		*l = statedLimit{}
		return "states no limit any more", true
	case !stated.Known:
		return "", false
	case !l.known:
		*l = statedLimit{known: true, perSecond: stated.PerSecond, reported: stated.PerSecond, statedAt: now, bucket: tokenBucket{refilledAt: now}}
		interval := t.trialInterval(m)
		l.trialAt = now.Add(time.Duration(float64(interval) * float64(t.rankOf(m).overall+1) / float64(max(1, len(t.hosts)))))
		return "states a limit", false
	}
	l.statedAt, l.absent, l.perSecond = now, 0, stated.PerSecond
	if math.Abs(l.perSecond-l.reported) <= minReportedChange*l.reported {
		return "", false
	}
	l.reported = l.perSecond
	return "changed its limit", false
}

// isLimitHost reports whether this host has a share of the limit of an upstream.
func (t *Table) isLimitHost(m *member) bool {
	rank := t.rankOf(m).inRegion
	return rank != unranked && rank < maxLimitHosts
}

// limitBucket returns the bucket from which a request to an upstream with a limit takes
// a token, or nil if this host may not send any. Invariant: the limit hosts admit at
// most one request each at once and usedLimit of the limit together, the trials of the
// others trialShare of it.
func (t *Table) limitBucket(now machine.Instant, m *member) *tokenBucket {
	l := &m.limit
	if t.isLimitHost(m) {
		hosts := min(maxLimitHosts, t.rankOf(m).regionHosts)
		l.bucket.refill(now, min(maxLimitShare, usedLimit/float64(hosts))*l.perSecond)
		return &l.bucket
	}
	if !t.trialDue(now, m) {
		return nil
	}
	l.trialAt = now.Add(t.trialInterval(m))
	l.bucket = tokenBucket{tokens: 1, refilledAt: now}
	return &l.bucket
}

// trialDue reports whether this host may try an upstream of whose limit it has no share.
func (t *Table) trialDue(now machine.Instant, m *member) bool {
	return now >= m.limit.trialAt && m.inFlight == 0
}

// trialInterval returns the time between two trials of one host.
func (t *Table) trialInterval(m *member) time.Duration {
	rate := trialShare * m.limit.perSecond
	if rate <= 0 || len(t.hosts) == 0 {
		return maxTrialInterval
	}
	interval := float64(len(t.hosts)) / rate * float64(time.Second)
	return time.Duration(min(float64(maxTrialInterval), max(float64(minTrialInterval), interval)))
}
