package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

const (
	// digestInterval is the time between two digests of a host.
	digestInterval = time.Second
	// probeInterval is the time between two probes of an upstream over the whole
	// cell: 6 ms of an upstream's time every 2 s is 0.3%.
	probeInterval = 2 * time.Second
	probeTimeout  = time.Second
	// leavingMemory is how long an upstream that said it leaves is avoided while
	// the host list, which lags, still calls it live.
	leavingMemory = 60 * time.Second
	// listMissingGrace is how long an upstream that vanished from the list is kept
	// if it answers: the list lags and may lose entries for a moment.
	listMissingGrace = 5 * time.Second
)

// Machine shares figures on upstreams between the hosts of a cell.
type Machine struct {
	self   fleet.HostID
	region fleet.Region

	view      *fleet.View
	upstreams map[fleet.Upstream]*listed
	work      []OwnWork
	peers     map[fleet.HostID]*peerDigest
	sequence  uint64

	nextDigest machine.Instant
	published  []KnownUpstream
}

// listed is an upstream with what the cell knows of it.
type listed struct {
	ListedUpstream
	missingSince machine.Instant
	leavingUntil machine.Instant
	nextProbe    machine.Instant
	probe        *probeFigure
	home         int
}

type probeFigure struct {
	sent     machine.Instant
	inFlight float64
	draining bool
	failed   bool
}

type peerDigest struct {
	incarnation fleet.Incarnation
	sequence    uint64
	at          machine.Instant
	work        map[fleet.Upstream]int
}

// NewMachine returns the machine of a host.
func NewMachine(self fleet.HostID, region fleet.Region) *Machine {
	return &Machine{
		self:      self,
		region:    region,
		view:      &fleet.View{},
		upstreams: map[fleet.Upstream]*listed{},
		peers:     map[fleet.HostID]*peerDigest{},
	}
}

// Step applies one input.
func (m *Machine) Step(now machine.Now, in machine.Input) []machine.Output {
	switch in := in.(type) {
	case machine.Tick:
		return m.tick(now.Instant)
	case machine.ViewChanged:
		return m.changeView(now.Instant, in.View)
	case machine.Received:
		if d, ok := in.Message.(Digest); ok {
			return m.receive(now.Instant, in.From, d)
		}
	case UpstreamsListed:
		return m.list(now.Instant, in.Upstreams)
	case WorkMeasured:
		m.work = in.Work
	case ProbeDone:
		return m.probed(now.Instant, in)
	case LeavingSeen:
		return m.leaving(now.Instant, in.Upstream)
	}
	return nil
}

func (m *Machine) tick(now machine.Instant) []machine.Output {
	outputs := m.probes(now)
	if now < m.nextDigest {
		return outputs
	}
	m.nextDigest = now.Add(digestInterval)
	outputs = append(outputs, m.publish(now)...)
	outputs = append(outputs, m.estimates(now))
	return append(outputs, m.sendDigests(now)...)
}

func (m *Machine) changeView(now machine.Instant, view *fleet.View) []machine.Output {
	m.view = view
	for id := range m.peers {
		if view.Find(id) == nil {
			delete(m.peers, id)
		}
	}
	m.assignHomes()
	return m.publish(now)
}

// list merges a copy of the platform's host list. An upstream that is missing
// is kept for listMissingGrace.
func (m *Machine) list(now machine.Instant, upstreams []ListedUpstream) []machine.Output {
	present := make(map[fleet.Upstream]bool, len(upstreams))
	for _, l := range upstreams {
		present[l.Name] = true
		u := m.upstreams[l.Name]
		if u == nil || u.Address != l.Address {
			u = &listed{nextProbe: now.Add(m.probePhase(l.Name))}
			m.upstreams[l.Name] = u
		}
		u.ListedUpstream = l
		u.missingSince = 0
	}
	for name, u := range m.upstreams {
		if !present[name] && u.missingSince == 0 {
			u.missingSince = now
		}
	}
	m.assignHomes()
	return m.publish(now)
}

func (m *Machine) leaving(now machine.Instant, name fleet.Upstream) []machine.Output {
	u := m.upstreams[name]
	if u == nil {
		return nil
	}
	known := now < u.leavingUntil
	u.leavingUntil = now.Add(leavingMemory)
	if known {
		return nil
	}
	outputs := []machine.Output{machine.Event{Kind: "upstream.leaving", Subject: string(name), Text: "upstream said that it leaves"}}
	outputs = append(outputs, m.publish(now)...)
	return append(outputs, m.sendDigests(now)...)
}

// publish gives the upstreams to the table if they changed.
func (m *Machine) publish(now machine.Instant) []machine.Output {
	known := make([]KnownUpstream, 0, len(m.upstreams))
	for name, u := range m.upstreams {
		if u.missingSince != 0 && now.Sub(u.missingSince) >= listMissingGrace {
			delete(m.upstreams, name)
			continue
		}
		known = append(known, KnownUpstream{
			Name:      name,
			Pool:      u.Pool,
			Address:   u.Address,
			Location:  u.Location,
			Slots:     u.Slots,
			Leaving:   u.isLeaving(now),
			HomeSlots: u.home,
		})
	}
	slices.SortFunc(known, func(a, b KnownUpstream) int { return cmp.Compare(a.Name, b.Name) })
	if slices.Equal(known, m.published) {
		return nil
	}
	m.published = known
	return []machine.Output{UpstreamsChanged{Upstreams: known}}
}

// isLeaving combines the host list, the last probe and what responses said. A
// probe that says "not draining" does not clear what a response said, because
// health endpoints lag.
func (u *listed) isLeaving(now machine.Instant) bool {
	return u.Leaving || now < u.leavingUntil || (u.probe != nil && u.probe.draining)
}

func (m *Machine) receive(now machine.Instant, from fleet.Member, d Digest) []machine.Output {
	p := m.peers[from.Host]
	if p != nil && p.incarnation == from.Incarnation && d.Sequence <= p.sequence {
		return nil
	}
	p = &peerDigest{incarnation: from.Incarnation, sequence: d.Sequence, at: now, work: make(map[fleet.Upstream]int, len(d.Work))}
	for _, w := range d.Work {
		p.work[w.Upstream] = w.InFlight
	}
	m.peers[from.Host] = p
	for _, f := range d.Probes {
		m.adoptProbe(now, f)
	}
	var outputs []machine.Output
	for _, name := range d.Leaving {
		outputs = append(outputs, m.leavingFromPeer(now, name)...)
	}
	return append(outputs, m.publish(now)...)
}

// leavingFromPeer marks an upstream without telling others: the peer that saw it
// has told every host of the cell.
func (m *Machine) leavingFromPeer(now machine.Instant, name fleet.Upstream) []machine.Output {
	u := m.upstreams[name]
	if u == nil || now < u.leavingUntil {
		return nil
	}
	u.leavingUntil = now.Add(leavingMemory)
	return []machine.Output{machine.Event{Kind: "upstream.leaving", Subject: string(name), Text: "a peer saw that the upstream leaves"}}
}

func (m *Machine) sendDigests(now machine.Instant) []machine.Output {
	m.sequence++
	digest := Digest{Sequence: m.sequence, Work: m.work, Probes: m.ownProbes(now), Leaving: m.ownLeaving(now)}
	var outputs []machine.Output
	for _, member := range m.view.Members {
		if member.Host != m.self {
			outputs = append(outputs, machine.Send{To: member.Host, Message: digest})
		}
	}
	return outputs
}

func (m *Machine) ownLeaving(now machine.Instant) []fleet.Upstream {
	var names []fleet.Upstream
	for _, name := range slices.Sorted(maps.Keys(m.upstreams)) {
		// Only marks from the last two digests are sent, so that hosts do not keep
		// each other's marks alive for ever.
		if m.upstreams[name].leavingUntil.Sub(now) > leavingMemory-2*digestInterval {
			names = append(names, name)
		}
	}
	return names
}
