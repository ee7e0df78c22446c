package configuration

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/internal/faulttest"
	"github.com/catkinspring/catkinspring/machine"
)

const (
	matrixHosts = 5
	// effectBound is the target of docs/design.md: a note is in force on all hosts, and
	// a withdrawn key is refused, within 3 s.
	effectBound = 3 * time.Second
	// faultDuration is the duration of a temporary fault.
	faultDuration  = 2500 * time.Millisecond
	acceptor       = fleet.HostID("h3")
	secondAcceptor = fleet.HostID("h4")
)

// request is a note that is sent to a host.
type request struct {
	host fleet.HostID
	note *Note
}

// scenario is one run: the store holds revision 2, the hosts start, and notes are
// applied 300 ms later.
type scenario struct {
	*cell
	requests    []request
	olderBackup map[machine.StoreKey][]byte
	baseBackup  map[machine.StoreKey][]byte
	// disruptedUntil holds the time until which a host is cut off, paused or starting.
	disruptedUntil map[fleet.HostID]machine.Instant
	storeDownUntil machine.Instant
	// faultsEnd is when all faults applied so far have ended.
	faultsEnd         machine.Instant
	replaced          bool
	restored          bool
	effectAt          machine.Instant
	headVersion       uint64
	usableTooLate     map[fleet.HostID]bool
	suspendedAtEffect int
}

func newScenario(seed uint64, build func(fleet.Member) (machine.Machine, func() fleet.Revision), requests ...request) *scenario {
	s := &scenario{requests: requests, disruptedUntil: map[fleet.HostID]machine.Instant{}, usableTooLate: map[fleet.HostID]bool{}}
	s.cell = newCell(seed, matrixHosts, build)
	first := preload(s.rig.Store, emptySnapshot(), &Head{}, addNote("note-1", 10))
	s.olderBackup = s.rig.Store.Snapshot()
	head, _ := s.storeHead()
	preload(s.rig.Store, first, head, rateNote("note-2", 20))
	s.baseBackup = s.rig.Store.Snapshot()
	s.onTick = s.observeKey
	return s
}

// preload applies a note to a snapshot and writes the result to the store.
func preload(store *faulttest.Store, base *Snapshot, head *Head, n *Note) *Snapshot {
	next, err := Apply(base, n)
	if err != nil {
		panic(err)
	}
	order, parts := cutShards(next, nil)
	for _, digest := range order {
		part := parts[digest]
		store.Write(digest.key(), part.encode())
	}
	store.Write(HeadKey, mustEncode(nextHead(head, order, AcceptedNote{ID: n.ID, Revision: next.Revision, Digest: noteDigest(n)})))
	return next
}

func (s *scenario) storeHead() (*Head, uint64) {
	raw, version := s.rig.Store.Read(HeadKey)
	head, err := decodeHead(raw)
	if err != nil {
		panic(err)
	}
	return head, version
}

func (s *scenario) Rig() *faulttest.Rig { return s.rig }

// Run advances until every request is answered, or can no longer be, and then until
// effectBound has passed since the end of the last fault.
func (s *scenario) Run() {
	s.rig.Run(300 * time.Millisecond)
	for i, r := range s.requests {
		s.rig.Inject(s.rig.Node(r.host), ApplyNote{RequestID: uint64(i + 1), Note: r.note})
	}
	for range 130 {
		s.rig.Run(100 * time.Millisecond)
		if len(s.results) == len(s.requests) || !s.answerable() {
			break
		}
	}
	decided := s.rig.Now()
	for s.rig.Now() < max(decided, s.faultsEnd).Add(effectBound+500*time.Millisecond) {
		s.rig.Run(100 * time.Millisecond)
	}
}

// answerable reports whether an answer may still arrive: a host that received an
// unanswered note is running, or its disruption is not over.
func (s *scenario) answerable() bool {
	for i, r := range s.requests {
		_, answered := s.results[uint64(i+1)]
		if !answered && s.rig.Node(r.host).Running() && !s.replaced {
			return true
		}
		if !answered && s.rig.Now() < s.disruptedUntil[r.host] {
			return true
		}
	}
	return false
}

// observeKey records hosts that still accept the withdrawn key too late.
func (s *scenario) observeKey(h *host) {
	if _, version := s.rig.Store.Read(HeadKey); version != s.headVersion {
		head, _ := s.storeHead()
		s.headVersion = version
		if s.effectAt == 0 && head.note("withdraw") != nil {
			s.effectAt = s.rig.Now()
			for _, id := range s.ids {
				if !s.hosts[id].usable() {
					s.suspendedAtEffect++
				}
			}
		}
	}
	overdue := s.effectAt > 0 && s.rig.Now() > max(s.effectAt, s.disruptedUntil[h.id]).Add(effectBound)
	if overdue && h.usable() {
		s.usableTooLate[h.id] = true
	}
}

// Check returns the violated invariants.
func (s *scenario) Check() []string {
	violations := append([]string(nil), s.errors...)
	failf := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	head, _ := s.storeHead()
	seen := map[fleet.Revision]string{}
	for _, n := range head.Notes {
		if other := seen[n.Revision]; other != "" {
			failf("notes %s and %s have the same revision", other, n.ID)
		}
		seen[n.Revision] = n.ID
	}
	for i, r := range s.requests {
		s.checkResult(uint64(i+1), r, head, failf)
	}
	for _, id := range s.ids {
		h := s.hosts[id]
		if !s.rig.Node(id).Running() {
			continue
		}
		if h.revision() != head.Revision {
			failf("%s ends with revision %d, the store with %d", id, h.revision(), head.Revision)
		}
		if len(h.published.Suspended) > 0 {
			failf("%s still suspends keys although all notes can be resolved", id)
		}
	}
	if s.repairs > 0 && !s.restored {
		failf("%d repairs of a store that was not restored", s.repairs)
	}
	if head.note("withdraw") != nil {
		for id := range s.usableTooLate {
			failf("%s accepts the withdrawn key %v after its withdrawal", id, effectBound)
		}
		if majority := matrixHosts/2 + 1; s.suspendedAtEffect < majority && !s.replaced {
			failf("the key was suspended on %d hosts when the note took effect; a majority is %d", s.suspendedAtEffect, majority)
		}
	}
	return violations
}

func (s *scenario) checkResult(id uint64, r request, head *Head, failf func(string, ...any)) {
	result, answered := s.results[id]
	var undecided *UndecidedError
	switch {
	case !answered:
		if s.rig.Node(r.host).Running() && !s.replaced {
			failf("request %d has no result", id)
		}
	case result.Err == nil:
		note := head.note(r.note.ID)
		if note == nil || note.Revision != result.Revision {
			failf("%s was accepted as revision %d but is not in the head", r.note.ID, result.Revision)
		}
		s.checkInForce(id, r, result.Revision, failf)
	case !errors.As(result.Err, &undecided):
		if head.note(r.note.ID) != nil {
			failf("%s was refused (%v) but is in the head", r.note.ID, result.Err)
		}
	}
}

// checkInForce checks that every running host has the revision in force in time. If
// the accepting host can't distribute it, hosts depend on the store being up.
func (s *scenario) checkInForce(id uint64, r request, revision fleet.Revision, failf func(string, ...any)) {
	from := s.answered[id]
	if !s.rig.Node(r.host).Running() || s.disruptedUntil[r.host] > 0 {
		from = max(from, s.storeDownUntil)
	}
	for _, host := range s.ids {
		if !s.rig.Node(host).Running() {
			continue
		}
		reached, ok := s.hosts[host].reached[revision]
		due := max(from, s.disruptedUntil[host]).Add(effectBound)
		if !ok || reached > due {
			failf("%s had revision %d in force at %v, due at %v (%v)", host, revision, reached, due, ok)
		}
	}
}

// markDisrupted marks a host as unreachable for the duration of a fault.
func (s *scenario) markDisrupted(id fleet.HostID) {
	s.disruptedUntil[id] = max(s.disruptedUntil[id], s.rig.Now().Add(faultDuration))
}

func (s *scenario) restore(snapshot map[machine.StoreKey][]byte) {
	s.restored = true
	s.rig.Store.Restore(snapshot)
}

// endAfter calls f to end a fault after faultDuration.
func (s *scenario) endAfter(f func()) {
	s.faultsEnd = max(s.faultsEnd, s.rig.Now().Add(faultDuration))
	s.rig.After(faultDuration, f)
}

func newFault(name string, f func(s *scenario)) faulttest.Fault {
	return faulttest.Fault{Name: name, Apply: func(applied faulttest.Scenario) {
		s := applied.(*scenario)
		s.faultsEnd = max(s.faultsEnd, s.rig.Now())
		f(s)
	}}
}

func matrixFaults() []faulttest.Fault {
	pause := func(id fleet.HostID) func(s *scenario) {
		return func(s *scenario) {
			s.markDisrupted(id)
			n := s.rig.Node(id)
			n.Pause()
			s.endAfter(n.Resume)
		}
	}
	replace := func(id fleet.HostID) func(s *scenario) {
		return func(s *scenario) {
			s.replaced = true
			s.markDisrupted(id)
			s.rig.Node(id).Kill()
			s.start(id)
			s.sendViews()
		}
	}
	return []faulttest.Fault{
		newFault("kill", func(s *scenario) { s.rig.Node(acceptor).Kill() }),
		newFault("pause", pause(acceptor)),
		newFault("pause-peer", pause("h1")),
		newFault("cut", func(s *scenario) {
			s.markDisrupted(acceptor)
			s.rig.Isolate(acceptor)
			s.endAfter(s.rig.Heal)
		}),
		newFault("cut-peer", func(s *scenario) {
			s.rig.CutBoth(acceptor, "h1")
			s.endAfter(s.rig.Heal)
		}),
		newFault("one-way-cut", func(s *scenario) {
			s.rig.Cut(acceptor, "h1")
			s.rig.Cut("h2", acceptor)
			s.endAfter(s.rig.Heal)
		}),
		newFault("slow", func(s *scenario) {
			s.rig.DelayLink(acceptor, "h1", 400*time.Millisecond)
			s.rig.DelayLink("h2", acceptor, 400*time.Millisecond)
			s.endAfter(s.rig.Heal)
		}),
		newFault("drop", func(s *scenario) { s.rig.DropNext(3) }),
		newFault("duplicate", func(s *scenario) { s.rig.DuplicateNext(5) }),
		newFault("reorder", func(s *scenario) { s.rig.DelayNext(700 * time.Millisecond) }),
		newFault("store-outage", func(s *scenario) {
			s.storeDownUntil = s.rig.Now().Add(faultDuration)
			s.rig.Store.SetDown(true)
			s.endAfter(func() { s.rig.Store.SetDown(false) })
		}),
		newFault("store-slow", func(s *scenario) {
			s.rig.Store.Latency = 300 * time.Millisecond
			s.endAfter(func() { s.rig.Store.Latency = 5 * time.Millisecond })
		}),
		newFault("lost-answer", func(s *scenario) { s.rig.Store.LoseAnswers(1) }),
		newFault("restore-older", func(s *scenario) { s.restore(s.olderBackup) }),
		newFault("restore-base", func(s *scenario) { s.restore(s.baseBackup) }),
		newFault("replace", replace(acceptor)),
		newFault("replace-peer", replace("h0")),
	}
}

func withdrawal(build func(fleet.Member) (machine.Machine, func() fleet.Revision)) func(uint64) faulttest.Scenario {
	return func(seed uint64) faulttest.Scenario {
		return newScenario(seed, build, request{acceptor, withdrawNote("withdraw")})
	}
}

func race(build func(fleet.Member) (machine.Machine, func() fleet.Revision)) func(uint64) faulttest.Scenario {
	return func(seed uint64) faulttest.Scenario {
		return newScenario(seed, build, request{acceptor, withdrawNote("withdraw")}, request{secondAcceptor, rateNote("rate", 30)})
	}
}

// Checks every invariant of section 8 under single faults at each step and pairs of
// faults. The parts run in parallel.
func TestMatrix(t *testing.T) {
	faults := matrixFaults()
	builds := map[string]func(uint64) faulttest.Scenario{"withdrawal": withdrawal(buildMachine), "race": race(buildMachine)}
	for name, build := range builds {
		run := func(part string, m *faulttest.Matrix) {
			t.Run(name+"-"+part, func(t *testing.T) {
				t.Parallel()
				m.Module, m.Build, m.Seeds = "configuration-"+name+"-"+part, build, []uint64{1}
				m.Run(t)
			})
		}
		run("hosts", &faulttest.Matrix{Faults: faults[:len(faults)/2], MaxSteps: 120})
		run("messages-and-store", &faulttest.Matrix{Faults: faults[len(faults)/2:], MaxSteps: 120})
		run("pairs", &faulttest.Matrix{Faults: faults, PairSteps: 4, PairDelay: 40 * time.Millisecond})
	}
}

// Guards against two racing notes that are both accepted, and against a RacedError
// that doesn't report the other note.
func TestRaceHasOneWinner(t *testing.T) {
	for seed := range uint64(20) {
		s := race(buildMachine)(seed).(*scenario)
		s.Run()
		require.Empty(t, s.Check())
		won := 0
		for id := range uint64(2) {
			result := s.results[id+1]
			if result.Err == nil {
				won++
				continue
			}
			var raced *RacedError
			require.ErrorAs(t, result.Err, &raced)
			require.Len(t, raced.Notes, 1)
			require.EqualValues(t, 3, raced.Revision)
		}
		require.Equal(t, 1, won, "seed %d", seed)
	}
}
