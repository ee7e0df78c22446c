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
	// effectBound is the target of docs/design.md: in force everywhere, and a
	// withdrawn key dead, within 3 s.
	effectBound = 3 * time.Second
	// disturbance is how long a fault that ends lasts.
	disturbance = 2500 * time.Millisecond
	acceptor    = fleet.HostID("h3")
	rival       = fleet.HostID("h4")
)

// request is one note given to a host.
type request struct {
	host fleet.HostID
	note *Note
}

// scenario is one run: a store that holds revision 2, hosts that start, and
// notes that are applied 300 ms later.
type scenario struct {
	*cell
	requests []request
	older    map[machine.StoreKey][]byte
	base     map[machine.StoreKey][]byte
	// disturbed holds until when a host is cut off, paused or starting.
	disturbed map[fleet.HostID]machine.Instant
	storeDown machine.Instant
	// faultsEnd is when the last fault ends that was applied so far.
	faultsEnd    machine.Instant
	replaced     bool
	restored     bool
	effect       machine.Instant
	headVersion  uint64
	usableAfter  map[fleet.HostID]bool
	knowAtEffect int
}

func newScenario(seed uint64, build func(fleet.Member) (machine.Machine, func() fleet.Revision), requests ...request) *scenario {
	s := &scenario{requests: requests, disturbed: map[fleet.HostID]machine.Instant{}, usableAfter: map[fleet.HostID]bool{}}
	s.cell = newCell(seed, matrixHosts, build)
	first := preload(s.rig.Store, emptySnapshot(), &Head{}, addNote("note-1", 10))
	s.older = s.rig.Store.Snapshot()
	head, _ := s.storeHead()
	preload(s.rig.Store, first, head, rateNote("note-2", 20))
	s.base = s.rig.Store.Snapshot()
	s.onTick = s.observeKey
	return s
}

// preload writes what a note makes of a snapshot.
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

// Run plays until every request is answered, or can't be, and the last
// disturbance has been over for the time in which all must be well.
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

// answerable reports whether an answer is still to come: the hosts that work on
// notes are alive, or time for resolution by others is not over.
func (s *scenario) answerable() bool {
	for i, r := range s.requests {
		_, answered := s.results[uint64(i+1)]
		if !answered && s.rig.Node(r.host).Running() && !s.replaced {
			return true
		}
		if !answered && s.rig.Now() < s.disturbed[r.host] {
			return true
		}
	}
	return false
}

// observeKey looks for traffic that would still take the withdrawn key.
func (s *scenario) observeKey(h *host) {
	if _, version := s.rig.Store.Read(HeadKey); version != s.headVersion {
		head, _ := s.storeHead()
		s.headVersion = version
		if s.effect == 0 && head.note("withdraw") != nil {
			s.effect = s.rig.Now()
			for _, id := range s.ids {
				if !s.hosts[id].usable() {
					s.knowAtEffect++
				}
			}
		}
	}
	late := s.effect > 0 && s.rig.Now() > max(s.effect, s.disturbed[h.id]).Add(effectBound)
	if late && h.usable() {
		s.usableAfter[h.id] = true
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
			failf("%s still suspends keys although every note can be resolved", id)
		}
	}
	if s.repairs > 0 && !s.restored {
		failf("%d repairs of a store that was not restored", s.repairs)
	}
	if head.note("withdraw") != nil {
		for id := range s.usableAfter {
			failf("%s takes the withdrawn key %v after its withdrawal", id, effectBound)
		}
		if majority := matrixHosts/2 + 1; s.knowAtEffect < majority && !s.replaced {
			failf("the key was suspended on %d hosts when the note took effect; a majority is %d", s.knowAtEffect, majority)
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
			failf("%s was accepted as revision %d and is not in the head", r.note.ID, result.Revision)
		}
		s.checkInForce(id, r, result.Revision, failf)
	case !errors.As(result.Err, &undecided):
		if head.note(r.note.ID) != nil {
			failf("%s was refused (%v) and is in the head", r.note.ID, result.Err)
		}
	}
}

// checkInForce checks that every reachable host has the revision in time. If
// the host that accepted it can't pass it on, the store has to be there.
func (s *scenario) checkInForce(id uint64, r request, revision fleet.Revision, failf func(string, ...any)) {
	from := s.answered[id]
	if !s.rig.Node(r.host).Running() || s.disturbed[r.host] > 0 {
		from = max(from, s.storeDown)
	}
	for _, host := range s.ids {
		if !s.rig.Node(host).Running() {
			continue
		}
		reached, ok := s.hosts[host].reached[revision]
		due := max(from, s.disturbed[host]).Add(effectBound)
		if !ok || reached > due {
			failf("%s had revision %d in force at %v, due at %v (%v)", host, revision, reached, due, ok)
		}
	}
}

// disturb marks a host as unreachable for the time of a fault.
func (s *scenario) disturb(id fleet.HostID) {
	s.disturbed[id] = max(s.disturbed[id], s.rig.Now().Add(disturbance))
}

func (s *scenario) restore(snapshot map[machine.StoreKey][]byte) {
	s.restored = true
	s.rig.Store.Restore(snapshot)
}

// after ends a fault.
func (s *scenario) after(f func()) {
	s.faultsEnd = max(s.faultsEnd, s.rig.Now().Add(disturbance))
	s.rig.After(disturbance, f)
}

func on(name string, f func(s *scenario)) faulttest.Fault {
	return faulttest.Fault{Name: name, Apply: func(applied faulttest.Scenario) {
		s := applied.(*scenario)
		s.faultsEnd = max(s.faultsEnd, s.rig.Now())
		f(s)
	}}
}

func matrixFaults() []faulttest.Fault {
	pause := func(id fleet.HostID) func(s *scenario) {
		return func(s *scenario) {
			s.disturb(id)
			n := s.rig.Node(id)
			n.Pause()
			s.after(n.Resume)
		}
	}
	replace := func(id fleet.HostID) func(s *scenario) {
		return func(s *scenario) {
			s.replaced = true
			s.disturb(id)
			s.rig.Node(id).Kill()
			s.start(id)
			s.sendViews()
		}
	}
	return []faulttest.Fault{
		on("kill", func(s *scenario) { s.rig.Node(acceptor).Kill() }),
		on("pause", pause(acceptor)),
		on("pause-peer", pause("h1")),
		on("cut", func(s *scenario) {
			s.disturb(acceptor)
			s.rig.Isolate(acceptor)
			s.after(s.rig.Heal)
		}),
		on("cut-peer", func(s *scenario) {
			s.rig.CutBoth(acceptor, "h1")
			s.after(s.rig.Heal)
		}),
		on("one-way-cut", func(s *scenario) {
			s.rig.Cut(acceptor, "h1")
			s.rig.Cut("h2", acceptor)
			s.after(s.rig.Heal)
		}),
		on("slow", func(s *scenario) {
			s.rig.Slow(acceptor, "h1", 400*time.Millisecond)
			s.rig.Slow("h2", acceptor, 400*time.Millisecond)
			s.after(s.rig.Heal)
		}),
		on("drop", func(s *scenario) { s.rig.DropNext(3) }),
		on("duplicate", func(s *scenario) { s.rig.DuplicateNext(5) }),
		on("reorder", func(s *scenario) { s.rig.DelayNext(700 * time.Millisecond) }),
		on("store-outage", func(s *scenario) {
			s.storeDown = s.rig.Now().Add(disturbance)
			s.rig.Store.SetDown(true)
			s.after(func() { s.rig.Store.SetDown(false) })
		}),
		on("store-slow", func(s *scenario) {
			s.rig.Store.Latency = 300 * time.Millisecond
			s.after(func() { s.rig.Store.Latency = 5 * time.Millisecond })
		}),
		on("lost-answer", func(s *scenario) { s.rig.Store.LoseAnswers(1) }),
		on("restore-older", func(s *scenario) { s.restore(s.older) }),
		on("restore-base", func(s *scenario) { s.restore(s.base) }),
		on("replace", replace(acceptor)),
		on("replace-peer", replace("h0")),
	}
}

func withdrawal(build func(fleet.Member) (machine.Machine, func() fleet.Revision)) func(uint64) faulttest.Scenario {
	return func(seed uint64) faulttest.Scenario {
		return newScenario(seed, build, request{acceptor, withdrawNote("withdraw")})
	}
}

func race(build func(fleet.Member) (machine.Machine, func() fleet.Revision)) func(uint64) faulttest.Scenario {
	return func(seed uint64) faulttest.Scenario {
		return newScenario(seed, build, request{acceptor, withdrawNote("withdraw")}, request{rival, rateNote("rate", 30)})
	}
}

// Guards every invariant of section 8 against single faults at each step and
// pairs of faults. The parts run in parallel.
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

// Guards against two winners of a race, and against a loser that isn't told
// what changed.
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
