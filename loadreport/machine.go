package loadreport

import (
	"cmp"
	"slices"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/hedge"
	"github.com/catkinspring/catkinspring/machine"
)

const (
	// maxRecipients bounds the hosts that get the reports of one round. A host of a failure
	// domain with 90 hosts sends no more than one of a domain with 17.
	maxRecipients = 16
	// maxLoad and maxSlowdown are the largest plausible values. Larger ones can't be
	// distinguished from corrupted ones, and would keep requests away from the upstream.
	maxLoad     = 10_000
	maxSlowdown = 100
	// MinPause is the time without a step, which are 50 ms apart, from which on this process
	// was paused. Responses and messages that it reads within backlogTime after a pause may
	// have waited as long.
	MinPause    = 500 * time.Millisecond
	backlogTime = 500 * time.Millisecond
)

// Machine exchanges load reports and the times of attempts. It is a machine.Machine.
type Machine struct {
	self   fleet.HostID
	domain fleet.FailureDomain
	// peers are the reachable hosts of the failure domain in the order of their IDs, from
	// the one that follows this host. Each host therefore begins with other recipients.
	peers []fleet.HostID
	// reportRounds and timesRounds are the rotations of the two messages. With a common one, a
	// message could reach the same hosts in each round.
	reportRounds, timesRounds rotation
	lastStep                  machine.Instant
	// paused is how long this process did not run before resumedAt.
	paused    time.Duration
	resumedAt machine.Instant
}

var _ machine.Machine = (*Machine)(nil)

// New returns the machine of a host.
func New(self fleet.HostID, domain fleet.FailureDomain) *Machine {
	return &Machine{self: self, domain: domain}
}

// Step applies one input.
func (m *Machine) Step(now machine.Now, in machine.Input) []machine.Output {
	m.notePause(now.Instant)
	switch in := in.(type) {
	case Publish:
		return m.publish(now.Instant, in.Reports)
	case machine.Received:
		if message, ok := in.Message.(Reports); ok {
			valid, out := m.validate(now.Instant, message.List)
			return append(out, Learned{From: in.From.Host, Reports: valid})
		}
		if message, ok := in.Message.(Times); ok {
			valid, out := validSamples(message.Samples)
			return append(out, LearnedTimes{From: in.From.Host, Samples: valid})
		}
	case PublishTimes:
		return m.publishTimes(in.Samples)
	case machine.ViewChanged:
		m.setPeers(in.View)
	}
	return nil
}

// notePause detects that this process has not run for a while.
func (m *Machine) notePause(now machine.Instant) {
	if gap := now.Sub(m.lastStep); m.lastStep != 0 && gap >= MinPause {
		m.paused, m.resumedAt = gap, now
	}
	m.lastStep = now
}

// maxWait returns how long what is read now may have waited to be read.
func (m *Machine) maxWait(now machine.Instant) time.Duration {
	if m.paused == 0 || now.Sub(m.resumedAt) > backlogTime {
		return 0
	}
	return m.paused
}

func (m *Machine) setPeers(view *fleet.View) {
	m.peers = m.peers[:0]
	for i := range view.Members {
		if p := &view.Members[i]; p.Host != m.self && p.Reachable && p.FailureDomain == m.domain {
			m.peers = append(m.peers, p.Host)
		}
	}
	slices.Sort(m.peers)
	following, _ := slices.BinarySearch(m.peers, m.self)
	m.peers = slices.Concat(m.peers[following:], m.peers[:following])
}

// publish sends the newest valid reports to the recipients of a round.
func (m *Machine) publish(now machine.Instant, reports []Report) []machine.Output {
	if len(reports) == 0 || len(m.peers) == 0 {
		return nil
	}
	list, out := m.validate(now, reports)
	if len(list) == 0 {
		return out
	}
	if len(list) > maxPerMessage {
		slices.SortFunc(list, func(a, b Report) int { return cmp.Compare(a.Age, b.Age) })
		out = append(out, Dropped{Reports: len(list) - maxPerMessage})
		list = list[:maxPerMessage]
	}
	return append(out, m.sendRound(&m.reportRounds, Reports{List: list})...)
}

// publishTimes sends the samples with the highest counts to the recipients of a round.
func (m *Machine) publishTimes(samples []hedge.Sample) []machine.Output {
	if len(m.peers) == 0 {
		return nil
	}
	list, out := validSamples(samples)
	if len(list) == 0 {
		return out
	}
	if len(list) > maxSamples {
		out = append(out, DroppedTimes{Samples: len(list) - maxSamples})
		list = highestCounts(list, maxSamples)
	}
	return append(out, m.sendRound(&m.timesRounds, Times{Samples: list})...)
}

// highestCounts returns the n samples with the highest counts. Of those with the lowest count that
// is included, it takes some at equal distances in the order of routes and buckets: the first ones
// would have the shortest times of each route.
func highestCounts(samples SampleList, n int) SampleList {
	slices.SortFunc(samples, func(a, b hedge.Sample) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Bucket, b.Bucket))
	})
	lowest := samples[n-1].Count
	first := slices.IndexFunc(samples, func(s hedge.Sample) bool { return s.Count == lowest })
	equal := samples[first:]
	if end := slices.IndexFunc(equal, func(s hedge.Sample) bool { return s.Count < lowest }); end >= 0 {
		equal = equal[:end]
	}
	chosen := slices.Clone(samples[:first])
	for i := range n - first {
		chosen = append(chosen, equal[i*len(equal)/(n-first)])
	}
	return chosen
}

// validSamples returns the samples that are valid, and a DroppedTimes if there are others.
func validSamples(samples []hedge.Sample) (valid SampleList, out []machine.Output) {
	for _, s := range samples {
		if s.Valid() {
			valid = append(valid, s)
		}
	}
	if dropped := len(samples) - len(valid); dropped > 0 {
		out = append(out, DroppedTimes{Samples: dropped})
	}
	return valid, out
}

// rotation selects the recipients of one message.
type rotation struct {
	// next is the index of the first recipient of the next round.
	next int
}

// sendRound sends a message to the recipients of a round. There must be peers.
func (m *Machine) sendRound(r *rotation, message machine.Message) (out []machine.Output) {
	recipients := min(len(m.peers), maxRecipients)
	for i := range recipients {
		out = append(out, machine.Send{To: m.peers[(r.next+i)%len(m.peers)], Message: message})
	}
	r.next = (r.next + recipients) % len(m.peers)
	return out
}

// validate returns the reports that are plausible and not too old, and a Dropped if there
// are others.
func (m *Machine) validate(now machine.Instant, reports []Report) (valid List, out []machine.Output) {
	waited := m.maxWait(now)
	for _, r := range reports {
		r.Age += waited
		// The comparisons are false for a slowdown that is not a number.
		if r.Load >= 0 && r.Load <= maxLoad && r.Slowdown > 0 && r.Slowdown <= maxSlowdown && r.Age >= 0 && r.Age < MaxAge {
			valid = append(valid, r)
		}
	}
	if dropped := len(reports) - len(valid); dropped > 0 {
		out = append(out, Dropped{Reports: dropped})
	}
	return valid, out
}
