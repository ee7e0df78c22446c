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
	// digestInterval is the time between two load digests of a host.
	digestInterval = time.Second
	// probeInterval is the time between two probes of an upstream by any host of
	// the cell. A probe takes 6 ms of an upstream's time, 0.3% of the interval.
	probeInterval = 2 * time.Second
	probeTimeout  = time.Second
	// leavingTTL is how long an upstream that announced its shutdown is avoided
	// while the host list, which lags, still has it as live.
	leavingTTL = 60 * time.Second
	// missingGracePeriod is how long an upstream is kept after it disappeared from
	// the list, because the list lags and may lose entries for a moment.
	missingGracePeriod = 5 * time.Second
)

// Machine exchanges the load and state of upstreams between the hosts of a cell.
type Machine struct {
	self   fleet.HostID
	region fleet.Region

	view      *fleet.View
	upstreams map[fleet.Upstream]*upstreamState
	work      []OwnWork
	peers     map[fleet.HostID]*peerDigest
	sequence  uint64

	nextDigest machine.Instant
	published  []KnownUpstream
}

// upstreamState is a listed upstream with the cell's state of it.
type upstreamState struct {
	ListedUpstream
	missingSince machine.Instant
	leavingUntil machine.Instant
	nextProbe    machine.Instant
	probe        *probeResult
	homeSlots    int
}

type probeResult struct {
	sent     machine.Instant
	inFlight float64
	draining bool
	failed   bool
}

type peerDigest struct {
	incarnation fleet.Incarnation
	sequence    uint64
	receivedAt  machine.Instant
	work        map[fleet.Upstream]int
}

// NewMachine returns the machine of a host.
func NewMachine(self fleet.HostID, region fleet.Region) *Machine {
	return &Machine{
		self:      self,
		region:    region,
		view:      &fleet.View{},
		upstreams: map[fleet.Upstream]*upstreamState{},
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
		if digest, ok := in.Message.(Digest); ok {
			return m.receiveDigest(now.Instant, in.From, digest)
		}
	case UpstreamsListed:
		return m.mergeList(now.Instant, in.Upstreams)
	case WorkMeasured:
		m.work = in.Work
	case ProbeDone:
		return m.recordProbe(now.Instant, in)
	case LeavingSeen:
		return m.markLeaving(now.Instant, in.Upstream)
	}
	return nil
}

func (m *Machine) tick(now machine.Instant) []machine.Output {
	outputs := m.dueProbes(now)
	if now < m.nextDigest {
		return outputs
	}
	m.nextDigest = now.Add(digestInterval)
	outputs = append(outputs, m.publish(now)...)
	outputs = append(outputs, m.computeEstimates(now))
	return append(outputs, m.sendDigests(now)...)
}

func (m *Machine) changeView(now machine.Instant, view *fleet.View) []machine.Output {
	m.view = view
	for id := range m.peers {
		if view.Find(id) == nil {
			delete(m.peers, id)
		}
	}
	m.assignHomeSlots()
	return m.publish(now)
}

// mergeList merges a copy of the platform's host list. An upstream that is missing
// is kept for missingGracePeriod.
func (m *Machine) mergeList(now machine.Instant, upstreams []ListedUpstream) []machine.Output {
	present := make(map[fleet.Upstream]bool, len(upstreams))
	for _, entry := range upstreams {
		present[entry.Name] = true
		u := m.upstreams[entry.Name]
		if u == nil || u.Address != entry.Address {
			u = &upstreamState{nextProbe: now.Add(m.probePhase(entry.Name))}
			m.upstreams[entry.Name] = u
		}
		u.ListedUpstream = entry
		u.missingSince = 0
	}
	for name, u := range m.upstreams {
		if !present[name] && u.missingSince == 0 {
			u.missingSince = now
		}
	}
	m.assignHomeSlots()
	return m.publish(now)
}

func (m *Machine) markLeaving(now machine.Instant, name fleet.Upstream) []machine.Output {
	u := m.upstreams[name]
	if u == nil {
		return nil
	}
	alreadyLeaving := now < u.leavingUntil
	u.leavingUntil = now.Add(leavingTTL)
	if alreadyLeaving {
		return nil
	}
	outputs := []machine.Output{machine.Event{Kind: "upstream.leaving", Subject: string(name), Text: "upstream said that it leaves"}}
	outputs = append(outputs, m.publish(now)...)
	return append(outputs, m.sendDigests(now)...)
}

// publish outputs the upstreams for the table if they changed.
func (m *Machine) publish(now machine.Instant) []machine.Output {
	known := make([]KnownUpstream, 0, len(m.upstreams))
	for name, u := range m.upstreams {
		if u.missingSince != 0 && now.Sub(u.missingSince) >= missingGracePeriod {
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
			HomeSlots: u.homeSlots,
		})
	}
	slices.SortFunc(known, func(a, b KnownUpstream) int { return cmp.Compare(a.Name, b.Name) })
	if slices.Equal(known, m.published) {
		return nil
	}
	m.published = known
	return []machine.Output{UpstreamsChanged{Upstreams: known}}
}

// isLeaving combines the host list, the last probe and the draining marks of
// responses. A probe that reports "not draining" does not clear the mark of a
// response, because health endpoints lag.
func (u *upstreamState) isLeaving(now machine.Instant) bool {
	return u.Leaving || now < u.leavingUntil || (u.probe != nil && u.probe.draining)
}

func (m *Machine) receiveDigest(now machine.Instant, from fleet.Member, digest Digest) []machine.Output {
	p := m.peers[from.Host]
	if p != nil && p.incarnation == from.Incarnation && digest.Sequence <= p.sequence {
		return nil
	}
	p = &peerDigest{incarnation: from.Incarnation, sequence: digest.Sequence, receivedAt: now, work: make(map[fleet.Upstream]int, len(digest.Work))}
	for _, w := range digest.Work {
		p.work[w.Upstream] = w.InFlight
	}
	m.peers[from.Host] = p
	for _, result := range digest.Probes {
		m.mergePeerProbe(now, result)
	}
	var outputs []machine.Output
	for _, name := range digest.Leaving {
		outputs = append(outputs, m.markLeavingFromPeer(now, name)...)
	}
	return append(outputs, m.publish(now)...)
}

// markLeavingFromPeer marks an upstream as leaving without notifying other hosts:
// the peer that observed it has notified every host of the cell.
func (m *Machine) markLeavingFromPeer(now machine.Instant, name fleet.Upstream) []machine.Output {
	u := m.upstreams[name]
	if u == nil || now < u.leavingUntil {
		return nil
	}
	u.leavingUntil = now.Add(leavingTTL)
	return []machine.Output{machine.Event{Kind: "upstream.leaving", Subject: string(name), Text: "a peer saw that the upstream leaves"}}
}

func (m *Machine) sendDigests(now machine.Instant) []machine.Output {
	m.sequence++
	digest := Digest{Sequence: m.sequence, Work: m.work, Probes: m.ownProbes(now), Leaving: m.recentlyLeaving(now)}
	var outputs []machine.Output
	for _, member := range m.view.Members {
		if member.Host != m.self {
			outputs = append(outputs, machine.Send{To: member.Host, Message: digest})
		}
	}
	return outputs
}

func (m *Machine) recentlyLeaving(now machine.Instant) []fleet.Upstream {
	var names []fleet.Upstream
	for _, name := range slices.Sorted(maps.Keys(m.upstreams)) {
		// Only marks set within the last two digest intervals are sent, so that hosts
		// do not refresh each other's marks for ever.
		if m.upstreams[name].leavingUntil.Sub(now) > leavingTTL-2*digestInterval {
			names = append(names, name)
		}
	}
	return names
}
