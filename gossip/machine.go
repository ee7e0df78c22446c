package gossip

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinspring/catkinspring/catalog"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

const (
	// roundInterval is the time between two rounds. In a round, a host sends a digest to
	// one or two hosts of its own region and to one host of another region; the
	// regions take turns.
	roundInterval = 700 * time.Millisecond
	// replyFleetSize is the fleet size from which on receivers reply with their own
	// digest. Without replies, updates in a fleet of 48 were up to 5.5 s old.
	replyFleetSize = 24
	// largeRegionSize is the number of other hosts in the own region from which on two
	// of them get a digest in each round.
	largeRegionSize = 48
	// deadAfter is the age at which a host is considered dead. An update takes about
	// three rounds to reach a fleet of 12 and five to reach one of 300. Lookup responses
	// must not contain a dead host 7 s after its end.
	deadAfter = 5500 * time.Millisecond
	// confirmTime is the time after which a process that joins a running fleet considers
	// a host of its first list dead if there is no sign of life of it: entries of hosts
	// that left for good stay in the store. It ends before the process counts as in
	// touch, 4 s after its start, and leaves time for three probes.
	confirmTime = 2500 * time.Millisecond
	// probeAfter is the age at which a host is probed directly, as in SWIM (Das, Gupta,
	// Motivala, 2002): by chance, updates of a few hosts of a large fleet take longer
	// than deadAfter. It leaves time for three probes. maxProbes limits the probes per
	// round, which would be many when a region is lost; maxFirstProbes limits those of
	// hosts of which there is no sign of life yet.
	probeAfter     = 3400 * time.Millisecond
	maxProbes      = 2
	maxFirstProbes = 8
	// relayTime is the time in which the digests of a host that is added to a large fleet
	// reach most hosts. The others probe it then, until probeAddedFor after it was added.
	relayTime     = roundInterval
	probeAddedFor = 10 * time.Second
	// minPause is the time without a step, which are 50 ms apart, from which on this process
	// was paused. Messages that it receives within backlogTime after a pause may have waited
	// as long.
	minPause    = 500 * time.Millisecond
	backlogTime = 500 * time.Millisecond
	// maxNotified is the number of hosts of this region, and of the others, that are
	// notified at once of a planned stop or of a change that their watches may have
	// missed. Fewer are notified at a host's start, as a whole fleet may start together.
	maxNotified        = 72
	maxNotifiedAtStart = 24
	// maxEntries keeps a message within the size of a datagram.
	maxEntries = 100
	// maxRevisions is the maximum number of revisions that are taken from a message.
	maxRevisions = 16
)

// hostState is the last received state of one host.
type hostState struct {
	catalog.Host
	incarnation uint32
	lastSeen    machine.Instant
	leaving     bool
	rate        uint32
	alive       bool
	// unconfirmed is true until there is a sign of life of the host. A host of the first
	// list may have left long before this process started.
	unconfirmed bool
	// addedAt is when the host was added to the list; 0 for those of the first one. It may
	// have ended before, so it counts as dead while it is unconfirmed.
	addedAt machine.Instant
}

// Machine is the gossip state machine.
type Machine struct {
	self     fleet.Member
	ownEntry Entry
	location fleet.Location
	joins    bool
	// listedAt is when the first list of hosts arrived, announcedAt when this host could
	// first send messages; 0 before.
	listedAt, announcedAt machine.Instant
	hosts                 map[uint32]*hostState
	// era is that of the store in which the hosts' entries were read.
	era uint64
	// revisions are the highest that any host has reported.
	revisions []uint64
	// sortedHosts has all hosts sorted by ID; localHosts has those of this region
	// without this host, remoteHosts those of the other regions.
	sortedHosts []uint32
	localHosts  []uint32
	remoteHosts []uint32
	// remoteRegions has the hosts of each other region.
	remoteRegions [][]uint32
	round         int
	nextRound     machine.Instant
	lastStep      machine.Instant
	// paused is how long this process did not run before resumedAt.
	paused    time.Duration
	resumedAt machine.Instant
	out       []machine.Output
}

var _ machine.Machine = (*Machine)(nil)

// IncarnationOf expands the encoded part of an incarnation. Incarnations of one host
// must differ; 32 random bits suffice for the few starts of a day.
func IncarnationOf(encoded uint32) fleet.Incarnation {
	var i fleet.Incarnation
	binary.LittleEndian.PutUint32(i[:], encoded)
	return i
}

// Config is the configuration of a Machine.
type Config struct {
	Host     fleet.HostID
	Location fleet.Location
	// Incarnation is the encoded part of this host's incarnation.
	Incarnation uint32
	// Joins is true if the fleet has been running before. All hosts of the first list are
	// then expected to answer at once; those of a fleet that starts for the first time
	// still learn of each other.
	Joins bool
}

// New returns the machine of a host.
func New(c Config) *Machine {
	return &Machine{
		self:     fleet.Member{Host: c.Host, Incarnation: IncarnationOf(c.Incarnation)},
		ownEntry: Entry{Host: hashOf(c.Host), Incarnation: c.Incarnation},
		location: c.Location,
		joins:    c.Joins,
		hosts:    map[uint32]*hostState{},
	}
}

func hashOf(h fleet.HostID) uint32 { return uint32(xxhash.Sum64String(string(h))) }

// Step applies one input.
func (m *Machine) Step(now machine.Now, in machine.Input) []machine.Output {
	m.out = nil
	at := now.Instant
	m.notePause(at)
	switch in := in.(type) {
	case machine.Tick:
		m.tick(at)
	case machine.Received:
		if d, ok := in.Message.(Digest); ok {
			m.receive(at, in.From, d)
		}
	case SetHosts:
		m.era = in.Era
		m.setHosts(at, in.Hosts)
	case AnnounceSelf:
		if m.announcedAt == 0 {
			m.announcedAt = at
		}
		m.notifyHosts(maxNotifiedAtStart)
	case RevisionsObserved:
		if m.mergeRevisions(in.Revisions) {
			m.notifyHosts(maxNotified)
			m.publish(false)
		}
	case SetSelf:
		newer := m.mergeRevisions(in.Revisions)
		leaving := in.Leaving != m.ownEntry.Leaving
		m.ownEntry.Leaving = in.Leaving
		m.ownEntry.Rate = uint32(in.Rate * 10)
		if leaving {
			// Peers must remove this host from lookup responses at once.
			m.notifyHosts(maxNotified)
		}
		if leaving || newer {
			m.publish(leaving)
		}
	}
	return m.out
}

func (m *Machine) setHosts(now machine.Instant, hosts []catalog.Host) {
	next := make(map[uint32]*hostState, len(hosts))
	first := m.listedAt == 0
	if first {
		m.listedAt = now
	}
	m.sortedHosts, m.localHosts, m.remoteHosts, m.remoteRegions = nil, nil, nil, nil
	byRegion := make(map[fleet.Region][]uint32)
	hosts = slices.SortedFunc(slices.Values(hosts), func(a, b catalog.Host) int { return cmp.Compare(a.ID, b.ID) })
	for _, h := range hosts {
		id := hashOf(h.ID)
		state := m.hosts[id]
		if state == nil {
			state = m.newHostState(now, first)
		}
		state.Host = h
		next[id] = state
		m.sortedHosts = append(m.sortedHosts, id)
		switch {
		case h.ID == m.self.Host:
		case h.Location.Region == m.location.Region:
			m.localHosts = append(m.localHosts, id)
		default:
			m.remoteHosts = append(m.remoteHosts, id)
			byRegion[h.Location.Region] = append(byRegion[h.Location.Region], id)
		}
	}
	for _, region := range slices.Sorted(maps.Keys(byRegion)) {
		m.remoteRegions = append(m.remoteRegions, byRegion[region])
	}
	slices.Sort(m.localHosts)
	slices.Sort(m.remoteHosts)
	wasEmpty := len(m.hosts) == 0
	m.hosts = next
	if wasEmpty {
		m.notifyHosts(maxNotifiedAtStart)
	} else {
		m.askAdded(now)
	}
	m.publish(true)
}

// tick detects dead hosts and sends the digests and probes of a round.
func (m *Machine) tick(now machine.Instant) {
	m.expire(now)
	if now < m.nextRound {
		return
	}
	m.nextRound = now.Add(roundInterval)
	m.round++
	m.sendDigest(now, m.localHosts, 0)
	if len(m.localHosts) >= largeRegionSize {
		m.sendDigest(now, m.localHosts, 1)
	}
	if len(m.remoteRegions) > 0 {
		m.sendDigest(now, m.remoteRegions[m.round%len(m.remoteRegions)], 2)
	}
	m.probe(now)
	m.publish(false)
}

// notifyHosts sends this host's own entry to at most limit hosts of this region and
// limit hosts of the others. The rounds reach the remaining hosts. Hosts of which there
// is no sign of life yet are asked for their digest, up to maxFirstProbes of each list.
func (m *Machine) notifyHosts(limit int) {
	for _, list := range [][]uint32{m.liveHosts(m.localHosts), m.liveHosts(m.remoteHosts)} {
		for i := range min(len(list), limit) {
			// Each host starts at another index, so that no host is notified by all.
			to := m.hosts[list[(int(m.ownEntry.Host%uint32(len(list)))+i)%len(list)]]
			ask := to.unconfirmed && i < maxFirstProbes
			m.out = append(m.out, machine.Send{To: to.ID, Message: Digest{Entries: Entries{m.ownEntry}, Ask: ask, Revisions: m.revisions}})
		}
	}
}

// liveHosts returns the live hosts of a list, or the whole list if there are none. A
// list may consist mostly of hosts that left for good.
func (m *Machine) liveHosts(list []uint32) []uint32 {
	live := make([]uint32, 0, len(list))
	for _, id := range list {
		if m.hosts[id].alive {
			live = append(live, id)
		}
	}
	if len(live) == 0 {
		return list
	}
	return live
}

// sendDigest sends a digest to one host of a list, selected by a hash of the round.
// Hosts that rotate in the same order would send each other the same updates again
// and again.
func (m *Machine) sendDigest(now machine.Instant, list []uint32, nonce int) {
	if len(list) == 0 {
		return
	}
	var seed [16]byte
	binary.LittleEndian.PutUint32(seed[:], m.ownEntry.Host)
	binary.LittleEndian.PutUint32(seed[4:], uint32(m.round))
	binary.LittleEndian.PutUint32(seed[8:], uint32(nonce))
	to := list[xxhash.Sum64(seed[:])%uint64(len(list))]
	d := m.digest(now)
	d.Ask = len(m.hosts) >= replyFleetSize
	m.out = append(m.out, machine.Send{To: m.hosts[to].ID, Message: d})
}

// digest lists this host, then the hosts of its region, then the others, as far as
// they fit. So if the fleet does not fit, updates of a region come from its own
// hosts, whose state is the most recent.
func (m *Machine) digest(now machine.Instant) Digest {
	d := Digest{Entries: Entries{m.ownEntry}, Revisions: m.revisions}
	limit := maxEntries - 1
	for _, list := range [][]uint32{m.localHosts, m.remoteHosts} {
		liveEntries := m.liveEntries(now, list, limit)
		d.Entries = append(d.Entries, liveEntries...)
		limit -= len(liveEntries)
	}
	return d
}

// liveEntries lists at most limit live hosts. If there are more, half of the entries
// are the most recently seen hosts, and the others rotate over the rounds.
func (m *Machine) liveEntries(now machine.Instant, list []uint32, limit int) []Entry {
	var liveEntries []Entry
	for _, id := range list {
		if state := m.hosts[id]; state.alive && state.incarnation != 0 {
			liveEntries = append(liveEntries, Entry{
				Host: id, Incarnation: state.incarnation, AgeMillis: uint32(now.Sub(state.lastSeen).Milliseconds()),
				Leaving: state.leaving, Rate: state.rate,
			})
		}
	}
	if len(liveEntries) <= limit {
		return liveEntries
	}
	slices.SortStableFunc(liveEntries, func(a, b Entry) int { return cmp.Compare(a.AgeMillis, b.AgeMillis) })
	half := limit / 2
	selected, rest := liveEntries[:half:half], liveEntries[half:]
	for i := range limit - half {
		selected = append(selected, rest[(m.round*(limit-half)+i)%len(rest)])
	}
	return selected
}

// receive merges a digest into the state and replies if requested.
func (m *Machine) receive(now machine.Instant, from fleet.Member, d Digest) {
	newer, changed := m.mergeRevisions(d.Revisions), false
	waited := m.maxWait(now)
	for _, e := range d.Entries {
		state := m.hosts[e.Host]
		if state == nil || e.Host == m.ownEntry.Host {
			continue
		}
		seen := now.Add(-waited - time.Duration(e.AgeMillis)*time.Millisecond)
		if seen <= state.lastSeen && state.incarnation != 0 {
			continue
		}
		changed = changed || state.incarnation != e.Incarnation || state.leaving != e.Leaving || !state.alive
		if state.incarnation != 0 || !state.unconfirmed {
			seen = max(seen, state.lastSeen)
		}
		state.incarnation, state.leaving, state.rate, state.lastSeen = e.Incarnation, e.Leaving, e.Rate, seen
		state.unconfirmed = false
		state.alive = now.Sub(state.lastSeen) < deadAfter
	}
	if d.Ask {
		m.out = append(m.out, machine.Send{To: from.Host, Message: m.digest(now)})
	}
	if changed || newer {
		m.publish(changed)
	}
}

// mergeRevisions adopts higher revisions and reports whether there were any.
func (m *Machine) mergeRevisions(revisions []uint64) bool {
	newer := false
	for i, r := range revisions[:min(len(revisions), maxRevisions)] {
		if i == len(m.revisions) {
			m.revisions = append(m.revisions, 0)
		}
		if r > m.revisions[i] {
			m.revisions[i] = r
			newer = true
		}
	}
	return newer
}

// publish outputs the current peers and revisions.
func (m *Machine) publish(membership bool) {
	c := PeersChanged{Membership: membership, Era: m.era, Revisions: slices.Clone(m.revisions)}
	for _, id := range m.sortedHosts {
		state := m.hosts[id]
		p := Peer{Host: state.Host, Alive: state.alive, Leaving: state.leaving}
		if id == m.ownEntry.Host {
			p.Member, p.Alive, p.Leaving, p.Rate = m.self, true, m.ownEntry.Leaving, float64(m.ownEntry.Rate)/10
		} else if state.incarnation != 0 {
			p.Member = fleet.Member{Host: state.ID, Incarnation: IncarnationOf(state.incarnation)}
			if state.alive {
				p.Rate = float64(state.rate) / 10
			}
		}
		c.Peers = append(c.Peers, p)
	}
	m.out = append(m.out, c)
}
