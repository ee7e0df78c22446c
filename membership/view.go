package membership

import (
	"maps"
	"net/netip"
	"slices"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// publishState holds what was published last.
type publishState struct {
	view     *fleet.View
	nextAt   machine.Instant
	revision RevisionSeen
}

// contactState collects the addresses of peers.
type contactState struct {
	configured         map[fleet.HostID]netip.AddrPort
	platform           map[fleet.HostID]PlatformHost
	platformReceivedAt machine.Instant
	published          map[fleet.HostID]netip.AddrPort
	order              []fleet.HostID
}

// unlistedSince reports whether the platform's list arrived after an instant and
// does not contain the host as live.
func (c *contactState) unlistedSince(host fleet.HostID, after machine.Instant) bool {
	return c.platform != nil && c.platformReceivedAt > after && !c.platform[host].Live
}

func (m *Membership) setPlatformHosts(in PlatformHosts) {
	m.contacts.platform = make(map[fleet.HostID]PlatformHost, len(in.Hosts))
	m.contacts.platformReceivedAt = m.now.Instant
	for _, h := range in.Hosts {
		m.contacts.platform[h.Host] = h
	}
	m.publishContacts()
}

// publishContacts emits the addresses of peers if they changed. The roster takes
// precedence over the settings, and these over the platform's list.
func (m *Membership) publishContacts() {
	contacts := map[fleet.HostID]netip.AddrPort{}
	for id, h := range m.contacts.platform {
		contacts[id] = h.PeerAddress
	}
	maps.Copy(contacts, m.contacts.configured)
	if m.known != nil {
		for i := len(m.known.Entries) - 1; i >= 0; i-- {
			contacts[m.known.Entries[i].Host] = m.known.Entries[i].Peer
		}
	}
	delete(contacts, m.options.Self.Host)
	maps.DeleteFunc(contacts, func(_ fleet.HostID, a netip.AddrPort) bool { return !a.IsValid() })
	if maps.Equal(contacts, m.contacts.published) {
		return
	}
	m.contacts.published = contacts
	m.contacts.order = slices.Sorted(maps.Keys(contacts))
	m.emit(ContactsChanged{Peers: maps.Clone(contacts)})
}

// publishView publishes the view after a change of the roster.
func (m *Membership) publishView() {
	m.published.view = m.view()
	m.emit(ViewPublished{View: m.published.view})
}

// publishMemberChanges publishes the view, at most once per heartbeat interval,
// if what this host knows about the members changed.
func (m *Membership) publishMemberChanges() {
	if m.known == nil || m.now.Instant < m.published.nextAt {
		return
	}
	m.published.nextAt = m.now.Instant.Add(m.heartbeatInterval())
	if !slices.Equal(m.viewMembers(), m.published.view.Members) {
		m.publishView()
	}
}

func (m *Membership) view() *fleet.View {
	v := &fleet.View{Version: m.known.Generation, Self: m.options.Self, Members: m.viewMembers()}
	owners := make(map[fleet.Incarnation]fleet.Member, len(m.known.Entries))
	for i := range m.known.Entries {
		e := &m.known.Entries[i]
		if e.Incarnation != m.options.Self.Incarnation || m.mayUseEntry(e) {
			owners[e.Incarnation] = e.member()
		}
	}
	for i := range m.known.Partitions {
		v.Partitions[i] = viewPartition(&m.known.Partitions[i], owners)
	}
	return v
}

func (m *Membership) viewMembers() []fleet.ViewMember {
	members := make([]fleet.ViewMember, 0, len(m.known.Entries))
	for i := range m.known.Entries {
		members = append(members, m.viewMember(&m.known.Entries[i]))
	}
	return members
}

// mayUseEntry reports whether this host may use the weight and the partitions
// that the roster assigns to it.
func (m *Membership) mayUseEntry(self *entry) bool {
	return self.live() && !m.leaving.fenced
}

func viewPartition(p *partition, owners map[fleet.Incarnation]fleet.Member) fleet.Partition {
	v := fleet.Partition{
		Epoch:               p.Epoch,
		Previous:            p.Previous,
		PreviousUncommitted: p.Uncommitted,
		TakenOverMillis:     p.TakenOver,
	}
	// A partition that is being moved has no owner.
	if p.Next.IsZero() {
		v.Owner = owners[p.Owner]
	}
	return v
}

func (m *Membership) viewMember(e *entry) fleet.ViewMember {
	v := fleet.ViewMember{
		Member:              e.member(),
		Location:            fleet.Location{Region: e.Region, FailureDomain: e.Domain},
		State:               fleetStates[e.State],
		PeerAddress:         e.Peer,
		CallerAddress:       e.Caller,
		Weight:              e.Weight,
		ConfirmedGeneration: m.confirmed(e.Incarnation),
	}
	if e.Incarnation == m.options.Self.Incarnation {
		v.Reachable = true
		v.Load = m.load
		if !m.mayUseEntry(e) {
			v.Weight = 0
		}
		return v
	}
	p := m.peers[e.Incarnation]
	if p == nil {
		return v
	}
	v.Load = p.load
	v.Reachable = p.everSeen && m.now.Instant.Sub(p.answeredSentAt) <= reachableHeartbeats*m.heartbeatInterval()
	if p.draining && e.State == stateActive {
		v.State = fleet.StateLeaving
	}
	return v
}

// recordRevision records a peer's revision. It emits RevisionSeen if the highest
// revision of the peers, or the set of hosts that have it, changed.
func (m *Membership) recordRevision(p *peer, revision fleet.Revision) {
	if p.revision == revision {
		return
	}
	p.revision = revision
	seen := RevisionSeen{}
	for _, other := range m.peers {
		if other.revision < seen.Revision || other.revision == 0 {
			continue
		}
		if other.revision > seen.Revision {
			seen = RevisionSeen{Revision: other.revision}
		}
		seen.Hosts = append(seen.Hosts, other.host)
	}
	slices.Sort(seen.Hosts)
	last := m.published.revision
	if seen.Revision == last.Revision && slices.Equal(seen.Hosts, last.Hosts) {
		return
	}
	m.published.revision = seen
	m.emit(RevisionSeen{Revision: seen.Revision, Hosts: slices.Clone(seen.Hosts)})
}
