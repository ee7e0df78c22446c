package dispatch

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

const (
	// crashesToQuarantine is the number of crashes with a fingerprint in flight after
	// which its requests are refused. Two are not enough: upstreams also crash for other
	// reasons, and a request may have been at both of them by chance.
	crashesToQuarantine = 3
	// suspicionTime is how long crashes are counted if no other one follows.
	suspicionTime = 10 * time.Minute
	// firstRefusal is how long a fingerprint is refused after its third crash, in case it
	// was in flight by chance each time. Each further crash takes refusalFactor times as
	// long, up to maxRefusal, so that a request that is repeated for hours reaches
	// upstreams three more times only.
	firstRefusal  = time.Minute
	refusalFactor = 10
	maxRefusal    = 100 * time.Minute
	// maxCrashAge is the longest time for which a crash is kept.
	maxCrashAge = maxRefusal + suspicionTime
	// minUptime is the shortest time between two crashes of one upstream. A crash breaks
	// all requests in flight within a round trip, and a start takes longer than that.
	minUptime = crashWindow
	// sameCrashWindow is the time within which reports of different hosts about one
	// incarnation of an upstream are treated as the same crash: messages are late by
	// that much at most. Later ones are not, because the hosts' copy of the upstream's
	// entry may be older than its last start.
	sameCrashWindow = 6 * time.Second
	// maxSuspects limits the fingerprints that are tracked, maxCleared the cleared
	// observations that are kept. A crash has at most as many suspects as the upstream
	// has slots.
	maxSuspects = 1024
	maxCleared  = 8 * maxSuspects
	// maxCrashes limits the crashes that are kept of one fingerprint.
	maxCrashes = 8
	// maxReportsPerCrash limits the IDs that are kept of the reports about one crash.
	maxReportsPerCrash = 16
	// clearedRetention is how long a success is kept. It is longer than maxCrashAge, so
	// that no host can bring back a crash that another one dropped.
	clearedRetention = maxCrashAge + time.Minute
	// Anti-entropy: known crashes are resent to a few hosts in turn, because the
	// first message may be lost and hosts may join later. Two hosts every 5 s and 64
	// crashes of about 50 bytes each are 1.3 KB/s at most.
	resendInterval   = 5 * time.Second
	resendHosts      = 2
	maxResentCrashes = 64
	// maxCrashesPerMessage keeps a message within the size of a datagram.
	maxCrashesPerMessage = 20
)

// Quarantine decides which requests are refused because they crash upstreams: those
// that were in flight at three crashes, of any upstreams, and have not succeeded
// since. Crashes that another quarantined fingerprint explains don't count. It is a
// machine.Machine.
type Quarantine struct {
	self  fleet.Member
	table *Table

	peers    []fleet.Member
	suspects map[uint64]*suspect
	// cleared holds the crashes after which a fingerprint succeeded, and when this
	// host was notified of the success.
	cleared      map[observation]machine.Instant
	sequence     uint64
	nextResend   machine.Instant
	resendCursor int
}

// suspect is a fingerprint that was in flight at crashes.
type suspect struct {
	crashes     []crash
	quarantined bool
}

// crash is one crash of an upstream, as one or more hosts observed it.
type crash struct {
	upstream fleet.Upstream
	// incarnation is that of the upstream as the first reporting host knew it; 0 if
	// unknown.
	incarnation int64
	at          machine.Instant
	ids         []uint64
}

// observation is one report of a crash about one fingerprint.
type observation struct {
	fingerprint uint64
	id          uint64
}

var _ machine.Machine = (*Quarantine)(nil)

// NewQuarantine returns the machine of a host. It publishes its results to the table.
func NewQuarantine(self fleet.Member, table *Table) *Quarantine {
	return &Quarantine{
		self:     self,
		table:    table,
		suspects: map[uint64]*suspect{},
		cleared:  map[observation]machine.Instant{},
	}
}

// Step applies one input.
func (q *Quarantine) Step(now machine.Now, in machine.Input) []machine.Output {
	switch in := in.(type) {
	case Suspected:
		return q.suspected(now.Instant, in)
	case Recall:
		return q.recall(now.Instant, in)
	case Succeeded:
		return q.succeeded(now.Instant, in.Fingerprint)
	case machine.Received:
		return q.received(now.Instant, in)
	case machine.ViewChanged:
		return q.viewChanged(now.Instant, in.View)
	case machine.Tick:
		return q.tick(now.Instant)
	}
	return nil
}

func (q *Quarantine) suspected(now machine.Instant, in Suspected) []machine.Output {
	var crashes []Crash
	id := q.nextID()
	for _, fingerprint := range in.Fingerprints {
		report := Crash{Fingerprint: fingerprint, Upstream: in.Upstream, Incarnation: in.Incarnation, ID: id}
		q.recordCrash(now, report)
		crashes = append(crashes, report)
	}
	out := append(sendCrashes(crashes, q.peers), q.updateQuarantine(now)...)
	return append(out, q.quarantinedCrashes(now, in.Fingerprints)...)
}

// nextID returns an ID that is unique across incarnations, except for hash
// collisions.
func (q *Quarantine) nextID() uint64 {
	q.sequence++
	return xxhash.Sum64(binary.BigEndian.AppendUint64(bytes.Clone(q.self.Incarnation[:]), q.sequence))
}

func (q *Quarantine) succeeded(now machine.Instant, fingerprint uint64) []machine.Output {
	s := q.suspects[fingerprint]
	if s == nil {
		return nil
	}
	message := Cleared{Fingerprint: fingerprint}
	for _, c := range s.crashes {
		message.CrashIDs = append(message.CrashIDs, c.ids...)
	}
	q.clear(now, message)
	return append(q.broadcast(message), q.updateQuarantine(now)...)
}

func (q *Quarantine) received(now machine.Instant, in machine.Received) []machine.Output {
	var out []machine.Output
	switch message := in.Message.(type) {
	case Suspicions:
		for _, c := range message.Crashes {
			if _, ok := q.cleared[observation{c.Fingerprint, c.ID}]; ok {
				reply := Cleared{Fingerprint: c.Fingerprint, CrashIDs: []uint64{c.ID}}
				out = append(out, machine.Send{To: in.From.Host, Message: reply})
				continue
			}
			q.recordCrash(now, c)
		}
	case Cleared:
		q.clear(now, message)
	default:
		return nil
	}
	return append(out, q.updateQuarantine(now)...)
}

// clampAge returns the age in a message, limited to 0 to maxCrashAge. A faulty
// peer may send a negative age.
func clampAge(millis int64) time.Duration {
	return time.Duration(min(max(millis, 0), maxCrashAge.Milliseconds())) * time.Millisecond
}

func (q *Quarantine) viewChanged(now machine.Instant, view *fleet.View) []machine.Output {
	var peers, joined []fleet.Member
	for i := range view.Members {
		m := &view.Members[i]
		if m.Host == q.self.Host || m.State == fleet.StateRetiring {
			continue
		}
		peers = append(peers, m.Member)
		if !slices.Contains(q.peers, m.Member) {
			joined = append(joined, m.Member)
		}
	}
	q.peers = peers
	return q.resend(now, joined)
}

// tick discards old crashes, ends refusals and resends the known crashes.
func (q *Quarantine) tick(now machine.Instant) []machine.Output {
	if now < q.nextResend {
		return nil
	}
	q.nextResend = now.Add(resendInterval)
	maps.DeleteFunc(q.cleared, func(_ observation, at machine.Instant) bool { return now.Sub(at) >= clearedRetention })
	if len(q.suspects) == 0 {
		return nil
	}
	maps.DeleteFunc(q.suspects, func(_ uint64, s *suspect) bool { return now.Sub(s.lastCrash()) >= s.retention() })
	out := q.updateQuarantine(now)
	var targets []fleet.Member
	for range min(resendHosts, len(q.peers)) {
		targets = append(targets, q.peers[q.resendCursor%len(q.peers)])
		q.resendCursor++
	}
	return append(out, q.resend(now, targets)...)
}

// resend sends the known crashes, those of quarantined fingerprints first.
func (q *Quarantine) resend(now machine.Instant, to []fleet.Member) []machine.Output {
	if len(to) == 0 || len(q.suspects) == 0 {
		return nil
	}
	crashes := append(q.knownCrashes(now, true), q.knownCrashes(now, false)...)
	return sendCrashes(crashes[:min(len(crashes), maxResentCrashes)], to)
}

// knownCrashes returns the crashes of the fingerprints that are refused, or of the others.
func (q *Quarantine) knownCrashes(now machine.Instant, quarantined bool) []Crash {
	var crashes []Crash
	for _, fingerprint := range slices.Sorted(maps.Keys(q.suspects)) {
		s := q.suspects[fingerprint]
		if s.quarantined != quarantined {
			continue
		}
		for _, c := range s.crashes {
			for _, id := range c.ids {
				crashes = append(crashes, Crash{
					Fingerprint: fingerprint, Upstream: c.upstream, Incarnation: c.incarnation, ID: id,
					AgeMillis: now.Sub(c.at).Milliseconds(),
				})
			}
		}
	}
	return crashes
}

// sendCrashes sends reports in as many messages as they need.
func sendCrashes(crashes []Crash, to []fleet.Member) []machine.Output {
	var out []machine.Output
	for part := range slices.Chunk(crashes, maxCrashesPerMessage) {
		for _, m := range to {
			out = append(out, machine.Send{To: m.Host, Message: Suspicions{Crashes: part}})
		}
	}
	return out
}

func (q *Quarantine) broadcast(message machine.Message) []machine.Output {
	var out []machine.Output
	for _, m := range q.peers {
		out = append(out, machine.Send{To: m.Host, Message: message})
	}
	return out
}

// recordCrash records a crash. For several reports about one crash the time of the
// first one is used, so that relayed ages don't extend a quarantine.
func (q *Quarantine) recordCrash(now machine.Instant, report Crash) {
	reported := crash{
		upstream: report.Upstream, incarnation: report.Incarnation,
		at: now.Add(-clampAge(report.AgeMillis)), ids: []uint64{report.ID},
	}
	s := q.suspects[report.Fingerprint]
	if s == nil {
		if len(q.suspects) >= maxSuspects {
			return
		}
		s = &suspect{}
		q.suspects[report.Fingerprint] = s
	}
	i := slices.IndexFunc(s.crashes, func(known crash) bool { return sameCrash(known, reported) })
	if i < 0 {
		if len(s.crashes) == maxCrashes {
			s.crashes = slices.Delete(s.crashes, 0, 1)
		}
		s.crashes = append(s.crashes, reported)
		slices.SortStableFunc(s.crashes, func(a, b crash) int { return cmp.Compare(a.at, b.at) })
		return
	}
	known := &s.crashes[i]
	if len(known.ids) < maxReportsPerCrash && !slices.Contains(known.ids, report.ID) {
		known.ids = append(known.ids, report.ID)
	}
}

// sameCrash reports whether two observations are of one crash of an upstream.
func sameCrash(a, b crash) bool {
	if slices.ContainsFunc(a.ids, func(id uint64) bool { return slices.Contains(b.ids, id) }) {
		return true
	}
	apart := a.at.Sub(b.at).Abs()
	sameIncarnation := a.incarnation != 0 && a.incarnation == b.incarnation
	return a.upstream == b.upstream && (apart < minUptime || sameIncarnation && apart < sameCrashWindow)
}

// clear removes crashes after which a fingerprint succeeded.
func (q *Quarantine) clear(now machine.Instant, message Cleared) {
	for _, id := range message.CrashIDs {
		if len(q.cleared) < maxCleared {
			q.cleared[observation{message.Fingerprint, id}] = now
		}
	}
	s := q.suspects[message.Fingerprint]
	if s == nil {
		return
	}
	for i := range s.crashes {
		c := &s.crashes[i]
		c.ids = slices.DeleteFunc(c.ids, func(id uint64) bool { return slices.Contains(message.CrashIDs, id) })
	}
	s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return len(c.ids) == 0 })
	if len(s.crashes) == 0 {
		delete(q.suspects, message.Fingerprint)
	}
}

// updateQuarantine applies the quarantine rule to all suspects and publishes the result.
func (q *Quarantine) updateQuarantine(now machine.Instant) []machine.Output {
	// A fingerprint with more crashes explains those that it shares with others, so it
	// is considered first.
	order := slices.SortedFunc(maps.Keys(q.suspects), func(a, b uint64) int {
		return cmp.Or(cmp.Compare(len(q.suspects[b].crashes), len(q.suspects[a].crashes)), cmp.Compare(a, b))
	})
	var out []machine.Output
	var culprits []*suspect
	entries := make(map[uint64]bool, len(q.suspects))
	for _, fingerprint := range order {
		s := q.suspects[fingerprint]
		before, crashes := s.quarantined, s.unexplainedCrashes(culprits)
		s.quarantined = crashes >= crashesToQuarantine && now.Sub(s.lastCrash()) < refusalTime(crashes)
		if crashes >= crashesToQuarantine {
			culprits = append(culprits, s)
		}
		entries[fingerprint] = s.quarantined
		if s.quarantined != before {
			out = append(out, quarantineEvent(fingerprint, s.quarantined))
		}
	}
	q.table.publish(entries)
	return out
}

// unexplainedCrashes returns the number of crashes at which none of the culprits with
// more crashes was in flight.
func (s *suspect) unexplainedCrashes(culprits []*suspect) int {
	n := 0
	for _, c := range s.crashes {
		explained := slices.ContainsFunc(culprits, func(other *suspect) bool {
			return len(other.crashes) > len(s.crashes) &&
				slices.ContainsFunc(other.crashes, func(o crash) bool { return sameCrash(o, c) })
		})
		if !explained {
			n++
		}
	}
	return n
}

// lastCrash returns the time of the last crash.
func (s *suspect) lastCrash() machine.Instant { return s.crashes[len(s.crashes)-1].at }

// retention returns how long the crashes are kept after the last one.
func (s *suspect) retention() time.Duration { return refusalTime(len(s.crashes)) + suspicionTime }

// refusalTime returns how long a fingerprint is refused after the last of its crashes.
func refusalTime(crashes int) time.Duration {
	if crashes < crashesToQuarantine {
		return 0
	}
	d := firstRefusal
	for range crashes - crashesToQuarantine {
		d = min(d*refusalFactor, maxRefusal)
	}
	return d
}

func quarantineEvent(fingerprint uint64, quarantined bool) machine.Event {
	text := "requests are no longer refused"
	if quarantined {
		text = "requests are refused because upstreams crashed under them"
	}
	return machine.Event{Kind: "quarantine", Subject: fmt.Sprintf("%016x", fingerprint), Text: text}
}
