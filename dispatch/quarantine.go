package dispatch

import (
	"bytes"
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
	// QuarantineTime is how long a crash is counted, and so how long a fingerprint
	// is quarantined after its last crash.
	QuarantineTime = 10 * time.Minute
	// sameCrashWindow is the time within which reports of different hosts about
	// one upstream are treated as the same crash.
	sameCrashWindow = 10 * time.Second
	// crashesToQuarantine is the number of upstreams that must have crashed with a
	// fingerprint in flight if others were in flight too.
	crashesToQuarantine = 2
	// maxSuspects limits the fingerprints that are tracked, and the cleared
	// observations that are kept. A crash has at most as many suspects as the upstream
	// has slots.
	maxSuspects = 1024
	// maxReportsPerCrash limits the IDs that are kept of the reports about one crash.
	maxReportsPerCrash = 16
	// clearedRetention is how long a success is kept. It is longer than
	// QuarantineTime, so that no host can bring back a crash that another one
	// dropped.
	clearedRetention = QuarantineTime + time.Minute
	// Anti-entropy: known crashes are resent to a few hosts in turn, because the
	// first message may be lost and hosts may join later. Two hosts every 5 s and 64
	// crashes of about 40 bytes each are 1 KB/s at most.
	resendInterval   = 5 * time.Second
	resendHosts      = 2
	maxResentCrashes = 64
)

// Quarantine decides which requests are refused because they crash upstreams: those
// that were in flight at two upstreams that crashed, or the only request in flight
// at one that crashed. It is a machine.Machine.
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

type suspect struct {
	crashes     map[fleet.Upstream]crash
	quarantined bool
}

// crash is one crash of an upstream, as one or more hosts observed it.
type crash struct {
	at    machine.Instant
	alone bool
	ids   []uint64
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
	message := Suspicions{}
	id := q.nextID()
	for _, fingerprint := range in.Fingerprints {
		q.recordCrash(now, Crash{Fingerprint: fingerprint, Upstream: in.Upstream, ID: id, Alone: in.Alone})
		message.Crashes = append(message.Crashes, Crash{Fingerprint: fingerprint, Upstream: in.Upstream, ID: id, Alone: in.Alone})
	}
	return append(q.broadcast(message), q.updateQuarantine()...)
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
	for _, upstream := range slices.Sorted(maps.Keys(s.crashes)) {
		message.CrashIDs = append(message.CrashIDs, s.crashes[upstream].ids...)
	}
	q.clear(now, message)
	return append(q.broadcast(message), q.updateQuarantine()...)
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
	return append(out, q.updateQuarantine()...)
}

// clampAge returns the age in a message, limited to 0 to QuarantineTime. A faulty
// peer may send a negative age.
func clampAge(millis int64) time.Duration {
	return time.Duration(min(max(millis, 0), QuarantineTime.Milliseconds())) * time.Millisecond
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

func (q *Quarantine) tick(now machine.Instant) []machine.Output {
	changed := false
	for fingerprint, s := range q.suspects {
		maps.DeleteFunc(s.crashes, func(_ fleet.Upstream, c crash) bool { return now.Sub(c.at) >= QuarantineTime })
		if len(s.crashes) == 0 {
			delete(q.suspects, fingerprint)
			changed = true
		}
	}
	maps.DeleteFunc(q.cleared, func(_ observation, at machine.Instant) bool { return now.Sub(at) >= clearedRetention })
	var out []machine.Output
	if changed {
		out = q.updateQuarantine()
	}
	if now < q.nextResend || len(q.peers) == 0 {
		return out
	}
	q.nextResend = now.Add(resendInterval)
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
	message := Suspicions{}
	for _, quarantined := range []bool{true, false} {
		for _, fingerprint := range slices.Sorted(maps.Keys(q.suspects)) {
			s := q.suspects[fingerprint]
			if s.quarantined != quarantined {
				continue
			}
			for _, upstream := range slices.Sorted(maps.Keys(s.crashes)) {
				c := s.crashes[upstream]
				for _, id := range c.ids {
					message.Crashes = append(message.Crashes, Crash{
						Fingerprint: fingerprint, Upstream: upstream, ID: id,
						AgeMillis: now.Sub(c.at).Milliseconds(), Alone: c.alone,
					})
				}
			}
		}
	}
	message.Crashes = message.Crashes[:min(len(message.Crashes), maxResentCrashes)]
	var out []machine.Output
	for _, m := range to {
		out = append(out, machine.Send{To: m.Host, Message: message})
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
	at := now.Add(-clampAge(report.AgeMillis))
	s := q.suspects[report.Fingerprint]
	if s == nil {
		if len(q.suspects) >= maxSuspects {
			return
		}
		s = &suspect{crashes: map[fleet.Upstream]crash{}}
		q.suspects[report.Fingerprint] = s
	}
	known, ok := s.crashes[report.Upstream]
	if !ok || at.Sub(known.at) >= sameCrashWindow && !slices.Contains(known.ids, report.ID) {
		s.crashes[report.Upstream] = crash{at: at, alone: report.Alone, ids: []uint64{report.ID}}
		return
	}
	known.alone = known.alone && report.Alone
	if len(known.ids) < maxReportsPerCrash && !slices.Contains(known.ids, report.ID) {
		known.ids = append(slices.Clone(known.ids), report.ID)
	}
	s.crashes[report.Upstream] = known
}

// clear removes crashes after which a fingerprint succeeded.
func (q *Quarantine) clear(now machine.Instant, message Cleared) {
	for _, id := range message.CrashIDs {
		if len(q.cleared) < maxSuspects {
			q.cleared[observation{message.Fingerprint, id}] = now
		}
	}
	s := q.suspects[message.Fingerprint]
	if s == nil {
		return
	}
	for upstream, c := range s.crashes {
		c.ids = slices.DeleteFunc(slices.Clone(c.ids), func(id uint64) bool { return slices.Contains(message.CrashIDs, id) })
		s.crashes[upstream] = c
	}
	maps.DeleteFunc(s.crashes, func(_ fleet.Upstream, c crash) bool { return len(c.ids) == 0 })
	if len(s.crashes) == 0 {
		delete(q.suspects, message.Fingerprint)
	}
}

// updateQuarantine applies the quarantine rule to all suspects and publishes the result.
func (q *Quarantine) updateQuarantine() []machine.Output {
	byUpstream := map[fleet.Upstream][]suspicion{}
	for fingerprint, s := range q.suspects {
		for upstream, c := range s.crashes {
			byUpstream[upstream] = append(byUpstream[upstream], suspicion{fingerprint: fingerprint, at: c.at})
		}
	}
	var out []machine.Output
	entries := make(map[uint64]bool, len(q.suspects))
	for _, fingerprint := range slices.Sorted(maps.Keys(q.suspects)) {
		s := q.suspects[fingerprint]
		before := s.quarantined
		s.quarantined = len(s.crashes) >= crashesToQuarantine || s.crashedAlone(fingerprint, byUpstream)
		entries[fingerprint] = s.quarantined
		if s.quarantined != before {
			out = append(out, quarantineEvent(fingerprint, s.quarantined))
		}
	}
	q.table.publish(entries)
	return out
}

type suspicion struct {
	fingerprint uint64
	at          machine.Instant
}

// crashedAlone reports whether the fingerprint was the only one in flight at a
// crash, over all hosts: an upstream that fails by itself often has one request of
// each of several hosts, and each host reports its own as the only one.
func (s *suspect) crashedAlone(fingerprint uint64, byUpstream map[fleet.Upstream][]suspicion) bool {
	for upstream, c := range s.crashes {
		shared := slices.ContainsFunc(byUpstream[upstream], func(other suspicion) bool {
			return other.fingerprint != fingerprint && other.at.Sub(c.at).Abs() < sameCrashWindow
		})
		if c.alone && !shared {
			return true
		}
	}
	return false
}

func quarantineEvent(fingerprint uint64, quarantined bool) machine.Event {
	text := "requests are no longer refused"
	if quarantined {
		text = "requests are refused because upstreams crashed under them"
	}
	return machine.Event{Kind: "quarantine", Subject: fmt.Sprintf("%016x", fingerprint), Text: text}
}
