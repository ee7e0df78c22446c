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
	// interval is the time between two rounds. In a round, a host sends a digest to
	// one or two hosts of its own region and to one host of another region; the
	// regions take turns.
	interval = 700 * time.Millisecond
	// askFleet is the number of hosts from which on receivers answer with their own
	// digest. Without answers, news in a fleet of 48 was up to 5.5 s old.
	askFleet = 24
	// largeRegion is the number of other hosts in the own region from which on two of
	// them get a digest in each round.
	largeRegion = 48
	// deadAfter is the age at which a host counts as dead. News takes about three
	// rounds through a fleet of 12 and five through one of 300. A dead host must
	// not be named to callers 7 s after its end.
	deadAfter = 5500 * time.Millisecond
	// probeAfter is the age at which a host is asked directly, as in SWIM (Das, Gupta,
	// Motivala, 2002): by chance, news of a few hosts of a large fleet takes longer
	// than deadAfter. It leaves time for three probes. maxProbes bounds the probes of
	// a round, of which there are many when a region is lost.
	probeAfter = 3400 * time.Millisecond
	maxProbes  = 2
	// toldAtOnce bounds the hosts of this region, and those of the others, that are
	// told at once of a planned stop or a change that their watches may have missed.
	// At the start of a host fewer do, as all hosts of a fleet may start together.
	toldAtOnce  = 72
	toldAtStart = 24
	// maxEntries bounds a message to the size of a datagram.
	maxEntries = 100
	// maxKinds bounds the revisions of a message.
	maxKinds = 16
)

// numberDigest is of the range 750 to 799.
const numberDigest = 750

// Messages returns the message types of the package for the codec.
func Messages() []machine.MessageType {
	return []machine.MessageType{machine.TypeOf[Digest]()}
}

// Entry is what the sender knows of one host.
type Entry struct {
	// Host is a hash of the host's id.
	Host uint32
	// Incarnation is the part of the incarnation that is sent; the rest is zero.
	Incarnation uint32
	// AgeMillis is how long ago the host was heard of.
	AgeMillis uint32
	Leaving   bool
	// Rate is the number of requests that arrive at the host, in tenths a second.
	Rate uint32
}

// Digest is what a host knows of the others.
type Digest struct {
	_       struct{} `cbor:",toarray"`
	Entries Entries
	// Ask asks the receiver to answer with its own digest. Pushed digests alone reach
	// some hosts late by chance: in a fleet of 300, news of other regions was up to
	// 5.5 s old.
	Ask bool
	// Revisions are the store revisions of the last changes that any host has seen,
	// in the order of the kinds that the host follows.
	Revisions []uint64
}

// MessageNumber returns 750.
func (Digest) MessageNumber() uint16 { return numberDigest }

// SetHosts carries the entry hosts that the store lists.
type SetHosts struct {
	Hosts []catalog.Host
}

// MachineInput marks SetHosts as an input.
func (SetHosts) MachineInput() {}

// SetSelf carries what this host tells of itself.
type SetSelf struct {
	Leaving bool
	// Rate is in requests a second.
	Rate float64
	// Revisions are those of the last changes that this host has seen.
	Revisions []uint64
}

// MachineInput marks SetSelf as an input.
func (SetSelf) MachineInput() {}

// Announce asks to tell all hosts of this incarnation.
type AnnounceSelf struct{}

// MachineInput marks Announce as an input.
func (AnnounceSelf) MachineInput() {}

// Learned carries the revisions of changes that all hosts should hear of at once,
// because their watches may have missed them.
type RevisionsObserved struct {
	Revisions []uint64
}

// MachineInput marks Learned as an input.
func (RevisionsObserved) MachineInput() {}

// Peer is what is known of one entry host.
type Peer struct {
	catalog.Host
	// Member has the incarnation that was heard of last; zero if there is none.
	Member  fleet.Member
	Alive   bool
	Leaving bool
	// Rate is in requests a second; it is 0 for a host that is not alive.
	Rate float64
}

// Changed is the output for a change of the peers. The list has all hosts,
// including this one, sorted by id.
type PeersChanged struct {
	Peers []Peer
	// Revisions are the highest that any host has told.
	Revisions []uint64
	// Membership is true if more than a rate has changed.
	Membership bool
}

// MachineOutput marks Changed as an output.
func (PeersChanged) MachineOutput() {}

type known struct {
	catalog.Host
	incarnation uint32
	heardAt     machine.Instant
	leaving     bool
	rate        uint32
	alive       bool
}

// Machine is the state machine of the gossip.
type Machine struct {
	self     fleet.Member
	own      Entry
	location fleet.Location
	hosts    map[uint32]*known
	// revisions are the highest that are known.
	revisions []uint64
	// order has all hosts sorted by name, near and far those of this region and of
	// the others without this one.
	order []uint32
	near  []uint32
	far   []uint32
	// regions has the hosts of each other region.
	regions [][]uint32
	round   int
	next    machine.Instant
	out     []machine.Output
}

var _ machine.Machine = (*Machine)(nil)

// IncarnationOf expands the part of an incarnation that is sent. Incarnations of
// one host must differ, and 32 random bits do for the few of a day.
func IncarnationOf(sent uint32) fleet.Incarnation {
	var i fleet.Incarnation
	binary.LittleEndian.PutUint32(i[:], sent)
	return i
}

// New returns a machine for a host whose incarnation is IncarnationOf(sent).
func New(host fleet.HostID, location fleet.Location, sent uint32) *Machine {
	return &Machine{
		self:     fleet.Member{Host: host, Incarnation: IncarnationOf(sent)},
		own:      Entry{Host: hashOf(host), Incarnation: sent},
		location: location,
		hosts:    map[uint32]*known{},
	}
}

func hashOf(h fleet.HostID) uint32 { return uint32(xxhash.Sum64String(string(h))) }

// Step applies one input.
func (m *Machine) Step(now machine.Now, in machine.Input) []machine.Output {
	m.out = nil
	at := now.Instant
	switch in := in.(type) {
	case machine.Tick:
		m.tick(at)
	case machine.Received:
		if d, ok := in.Message.(Digest); ok {
			m.receive(at, in.From, d)
		}
	case SetHosts:
		m.setHosts(at, in.Hosts)
	case AnnounceSelf:
		m.tellAll(toldAtStart)
	case RevisionsObserved:
		if m.adopt(in.Revisions) {
			m.tellAll(toldAtOnce)
			m.publish(false)
		}
	case SetSelf:
		newer := m.adopt(in.Revisions)
		leaving := in.Leaving != m.own.Leaving
		m.own.Leaving = in.Leaving
		m.own.Rate = uint32(in.Rate * 10)
		if leaving {
			// Peers must stop naming this host at once.
			m.tellAll(toldAtOnce)
		}
		if leaving || newer {
			m.publish(leaving)
		}
	}
	return m.out
}

func (m *Machine) setHosts(now machine.Instant, hosts []catalog.Host) {
	next := make(map[uint32]*known, len(hosts))
	m.order, m.near, m.far, m.regions = nil, nil, nil, nil
	byRegion := make(map[fleet.Region][]uint32)
	hosts = slices.SortedFunc(slices.Values(hosts), func(a, b catalog.Host) int { return cmp.Compare(a.ID, b.ID) })
	for _, h := range hosts {
		id := hashOf(h.ID)
		k := m.hosts[id]
		if k == nil {
			k = &known{heardAt: now, alive: true}
		}
		k.Host = h
		next[id] = k
		m.order = append(m.order, id)
		switch {
		case h.ID == m.self.Host:
		case h.Location.Region == m.location.Region:
			m.near = append(m.near, id)
		default:
			m.far = append(m.far, id)
			byRegion[h.Location.Region] = append(byRegion[h.Location.Region], id)
		}
	}
	for _, region := range slices.Sorted(maps.Keys(byRegion)) {
		m.regions = append(m.regions, byRegion[region])
	}
	slices.Sort(m.near)
	slices.Sort(m.far)
	first := len(m.hosts) == 0
	m.hosts = next
	if first {
		m.tellAll(toldAtStart)
	}
	m.publish(true)
}

// tick sends a round and notices silence.
func (m *Machine) tick(now machine.Instant) {
	changed := false
	for id, k := range m.hosts {
		alive := id == m.own.Host || now.Sub(k.heardAt) < deadAfter
		if alive != k.alive {
			k.alive = alive
			changed = true
		}
	}
	if changed {
		m.publish(true)
	}
	if now < m.next {
		return
	}
	m.next = now.Add(interval)
	m.round++
	m.tell(now, m.near, 0)
	if len(m.near) >= largeRegion {
		m.tell(now, m.near, 1)
	}
	if len(m.regions) > 0 {
		m.tell(now, m.regions[m.round%len(m.regions)], 2)
	}
	m.probe(now)
	m.publish(false)
}

// probe asks the live hosts of which there was no news for longest. Hosts of which
// there never was any are asked as well.
func (m *Machine) probe(now machine.Instant) {
	var stale []uint32
	for id, k := range m.hosts {
		if id != m.own.Host && k.alive && now.Sub(k.heardAt) >= probeAfter {
			stale = append(stale, id)
		}
	}
	slices.SortFunc(stale, func(a, b uint32) int {
		return cmp.Or(cmp.Compare(m.hosts[a].heardAt, m.hosts[b].heardAt), cmp.Compare(a, b))
	})
	for _, id := range stale[:min(len(stale), maxProbes)] {
		m.out = append(m.out, machine.Send{To: m.hosts[id].ID, Message: Digest{Entries: Entries{m.own}, Ask: true, Revisions: m.revisions}})
	}
}

// tellAll tells at most limit hosts of this region, and as many others, of this
// host. The rounds tell the rest.
func (m *Machine) tellAll(limit int) {
	for _, list := range [][]uint32{m.near, m.far} {
		for i := range min(len(list), limit) {
			// Each host begins at another place, so that none is told by all.
			to := list[(int(m.own.Host%uint32(len(list)))+i)%len(list)]
			m.out = append(m.out, machine.Send{To: m.hosts[to].ID, Message: Digest{Entries: Entries{m.own}, Revisions: m.revisions}})
		}
	}
}

// tell sends what is known to one host of a list, which a hash of the round
// chooses. Hosts that take turns in the same order would tell each other the same
// news again and again.
func (m *Machine) tell(now machine.Instant, list []uint32, nonce int) {
	if len(list) == 0 {
		return
	}
	var seed [16]byte
	binary.LittleEndian.PutUint32(seed[:], m.own.Host)
	binary.LittleEndian.PutUint32(seed[4:], uint32(m.round))
	binary.LittleEndian.PutUint32(seed[8:], uint32(nonce))
	to := list[xxhash.Sum64(seed[:])%uint64(len(list))]
	d := m.digest(now)
	d.Ask = len(m.hosts) >= askFleet
	m.out = append(m.out, machine.Send{To: m.hosts[to].ID, Message: d})
}

// digest lists this host, then the hosts of its region, then the others, as far
// as they fit. In a fleet that does not fit, hosts thus hear of a region from its
// own hosts, whose news is fresh.
func (m *Machine) digest(now machine.Instant) Digest {
	d := Digest{Entries: Entries{m.own}, Revisions: m.revisions}
	room := maxEntries - 1
	for _, list := range [][]uint32{m.near, m.far} {
		entries := m.entries(now, list, room)
		d.Entries = append(d.Entries, entries...)
		room -= len(entries)
	}
	return d
}

// entries lists at most room live hosts: half of the room for those heard of last,
// the rest in turns.
func (m *Machine) entries(now machine.Instant, list []uint32, room int) []Entry {
	var entries []Entry
	for _, id := range list {
		if k := m.hosts[id]; k.alive && k.incarnation != 0 {
			entries = append(entries, Entry{
				Host: id, Incarnation: k.incarnation, AgeMillis: uint32(now.Sub(k.heardAt).Milliseconds()),
				Leaving: k.leaving, Rate: k.rate,
			})
		}
	}
	if len(entries) <= room {
		return entries
	}
	slices.SortStableFunc(entries, func(a, b Entry) int { return cmp.Compare(a.AgeMillis, b.AgeMillis) })
	half := room / 2
	fresh, rest := entries[:half:half], entries[half:]
	for i := range room - half {
		fresh = append(fresh, rest[(m.round*(room-half)+i)%len(rest)])
	}
	return fresh
}

func (m *Machine) receive(now machine.Instant, from fleet.Member, d Digest) {
	newer, changed := m.adopt(d.Revisions), false
	for _, e := range d.Entries {
		k := m.hosts[e.Host]
		if k == nil || e.Host == m.own.Host {
			continue
		}
		heard := now.Add(-time.Duration(e.AgeMillis) * time.Millisecond)
		if heard <= k.heardAt && k.incarnation != 0 {
			continue
		}
		changed = changed || k.incarnation != e.Incarnation || k.leaving != e.Leaving || !k.alive
		k.incarnation, k.leaving, k.rate, k.heardAt = e.Incarnation, e.Leaving, e.Rate, max(heard, k.heardAt)
		k.alive = now.Sub(k.heardAt) < deadAfter
	}
	if d.Ask {
		m.out = append(m.out, machine.Send{To: from.Host, Message: m.digest(now)})
	}
	if changed || newer {
		m.publish(changed)
	}
}

// adopt takes higher revisions and reports whether there were any.
func (m *Machine) adopt(revisions []uint64) bool {
	newer := false
	for i, r := range revisions[:min(len(revisions), maxKinds)] {
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

func (m *Machine) publish(membership bool) {
	c := PeersChanged{Membership: membership, Revisions: slices.Clone(m.revisions)}
	for _, id := range m.order {
		k := m.hosts[id]
		p := Peer{Host: k.Host, Alive: k.alive, Leaving: k.leaving}
		if id == m.own.Host {
			p.Member, p.Alive, p.Leaving, p.Rate = m.self, true, m.own.Leaving, float64(m.own.Rate)/10
		} else if k.incarnation != 0 {
			p.Member = fleet.Member{Host: k.ID, Incarnation: IncarnationOf(k.incarnation)}
			if k.alive {
				p.Rate = float64(k.rate) / 10
			}
		}
		c.Peers = append(c.Peers, p)
	}
	m.out = append(m.out, c)
}
