package advisory

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinspring/catkinspring/catalog"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

const (
	// maxPerMessage keeps a message within the size of a datagram.
	maxPerMessage = 48
	// maxPending bounds the advisories that wait for the next tick.
	maxPending = 1024
	// maxDirectPeers is the number of peers up to which a host sends to all of them. In
	// larger fleets it sends to one relay for each slice of the fleet, so that no host
	// sends more than about twice the square root of their number.
	maxDirectPeers = 24
	// maxSlices bounds the slices that are accepted from a peer.
	maxSlices = 1024
	// maxColdFor bounds the warm-up time that is accepted from a peer.
	maxColdFor = 10 * time.Minute
)

// messageNumber is from the package's range 800 to 849.
const messageNumber = 800

// Messages returns the package's message types for the codec.
func Messages() []machine.MessageType {
	return []machine.MessageType{machine.TypeOf[Advisories](), machine.TypeOf[StateRequest](), machine.TypeOf[State]()}
}

// Key identifies an upstream in messages: a hash of its ID.
type Key uint64

// KeyOf returns the key of an upstream.
func KeyOf(id fleet.Upstream) Key { return Key(xxhash.Sum64String(string(id))) }

// Advisory is what an upstream states about itself.
type Advisory struct {
	_        struct{} `cbor:",toarray"`
	Upstream Key
	// ColdMillis is the remaining warm-up time; 0 if the upstream did not state one.
	ColdMillis uint32
	// LimitEnded is true if the upstream no longer states a limit.
	LimitEnded bool
}

// ColdFor returns the remaining warm-up time.
func (a Advisory) ColdFor() time.Duration {
	return min(maxColdFor, time.Duration(a.ColdMillis)*time.Millisecond)
}

// Advisories is the message with which a host notifies the others.
type Advisories struct {
	_    struct{} `cbor:",toarray"`
	List []Advisory
	// Slices is the number of slices into which the fleet is divided, and Slice the one
	// to whose hosts the receiver relays the message; Slices is 0 if it does not.
	Slices, Slice uint16
}

// MessageNumber returns 800.
func (Advisories) MessageNumber() uint16 { return messageNumber }

// Publish requests that the other hosts are notified. An advisory is merged with one
// about the same upstream that is not sent yet.
type Publish struct {
	Advisories []Advisory
}

// MachineInput marks Publish as an input.
func (Publish) MachineInput() {}

// Learned is the output with advisories of another host.
type Learned struct {
	From       fleet.HostID
	Advisories []Advisory
	// Evacuated are the evacuated failure domains on that host at a position of the store.
	// Only answers to a StateRequest contain them.
	Evacuated []fleet.FailureDomain
	Position  catalog.Position
}

// MachineOutput marks Learned as an output.
func (Learned) MachineOutput() {}

// Machine broadcasts advisories. It is a machine.Machine.
type Machine struct {
	self    fleet.HostID
	peers   []fleet.HostID
	pending map[Key]Advisory
	// broadcasts counts the messages to the fleet; it rotates the relays.
	broadcasts int
	// askOrder has the peers in the order in which they are asked.
	askOrder []fleet.HostID
	catchUp  catchUp
}

var _ machine.Machine = (*Machine)(nil)

// New returns the machine of a host.
func New(self fleet.HostID) *Machine {
	return &Machine{self: self, pending: map[Key]Advisory{}}
}

// Step applies one input.
func (m *Machine) Step(now machine.Now, in machine.Input) []machine.Output {
	switch in := in.(type) {
	case Publish:
		for _, a := range in.Advisories {
			pending, merges := m.pending[a.Upstream]
			if !merges && len(m.pending) >= maxPending {
				continue
			}
			a.ColdMillis, a.LimitEnded = max(a.ColdMillis, pending.ColdMillis), a.LimitEnded || pending.LimitEnded
			m.pending[a.Upstream] = a
		}
	case machine.Received:
		return m.receiveAny(in.From.Host, in.Message)
	case machine.ViewChanged:
		m.setPeers(in.View)
		if m.catchUp.next == 0 {
			return m.ask(now.Instant)
		}
	case Ask:
		m.catchUp.begin()
		return m.ask(now.Instant)
	case Reply:
		return reply(in)
	case machine.Tick:
		return append(m.flush(), m.ask(now.Instant)...)
	}
	return nil
}

func (m *Machine) receiveAny(from fleet.HostID, message machine.Message) []machine.Output {
	switch message := message.(type) {
	case Advisories:
		if len(message.List) > 0 {
			return m.receive(from, message)
		}
	case StateRequest:
		return []machine.Output{Asked{From: from}}
	case State:
		return m.receiveState(from, message)
	}
	return nil
}

// receive passes a message on to this host, and to its slice if it is a relay.
func (m *Machine) receive(from fleet.HostID, message Advisories) []machine.Output {
	list := message.List[:min(len(message.List), maxPerMessage)]
	out := []machine.Output{Learned{From: from, Advisories: list}}
	if message.Slices == 0 || message.Slices > maxSlices {
		return out
	}
	for _, to := range m.peers {
		if to != from && sliceOf(to, message.Slices) == message.Slice {
			out = append(out, machine.Send{To: to, Message: Advisories{List: list}})
		}
	}
	return out
}

// flush sends the pending advisories to all peers.
func (m *Machine) flush() []machine.Output {
	if len(m.pending) == 0 {
		return nil
	}
	list := slices.SortedFunc(maps.Values(m.pending), func(a, b Advisory) int { return cmp.Compare(a.Upstream, b.Upstream) })
	clear(m.pending)
	var out []machine.Output
	for batch := range slices.Chunk(list, maxPerMessage) {
		out = append(out, m.broadcast(batch)...)
	}
	return out
}

// broadcast sends a message to all peers, or to a relay in each slice of a large fleet.
func (m *Machine) broadcast(list []Advisory) []machine.Output {
	var out []machine.Output
	if len(m.peers) <= maxDirectPeers {
		for _, to := range m.peers {
			out = append(out, machine.Send{To: to, Message: Advisories{List: list}})
		}
		return out
	}
	count := uint16(min(maxSlices, math.Ceil(math.Sqrt(float64(len(m.peers))))))
	members := make([][]fleet.HostID, count)
	for _, p := range m.peers {
		slice := sliceOf(p, count)
		members[slice] = append(members[slice], p)
	}
	m.broadcasts++
	for slice, candidates := range members {
		if len(candidates) == 0 {
			continue
		}
		// Hosts begin with different relays, and each uses another one the next time.
		first := xxhash.Sum64String(string(m.self)) + uint64(m.broadcasts)
		relay := candidates[first%uint64(len(candidates))]
		out = append(out, machine.Send{To: relay, Message: Advisories{List: list, Slices: count, Slice: uint16(slice)}})
	}
	return out
}

// sliceOf returns the slice of a host.
func sliceOf(host fleet.HostID, count uint16) uint16 {
	return uint16(xxhash.Sum64String(string(host)) % uint64(count))
}
