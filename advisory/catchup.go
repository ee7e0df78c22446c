package advisory

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinspring/catkinspring/catalog"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// A process that starts has not seen the statements and the ends of evacuations of the last
// seconds, and the entries of upstreams contain them only after their next heartbeats. It
// therefore asks other hosts once it has listed the store's objects. Their answers are later than
// the lists, so that no change falls between the two.

const (
	// stateRequestNumber and stateNumber are from the package's range 800 to 849.
	stateRequestNumber = 801
	stateNumber        = 802
	// maxPerState and maxDomains keep a message within the size of a datagram.
	maxPerState = 32
	maxDomains  = 16
	// maxParts bounds the messages of one answer. Cold upstreams beyond it are left out.
	maxParts = 64
	// askedPerRound is the number of hosts that are asked in one round. A single one may be
	// cut off from the store or have ended.
	askedPerRound = 4
	// frequentRounds is the number of rounds of requests, one in each tick, while the start
	// waits for an answer. Further rounds are askInterval apart, until upstreams have written
	// their entries: they do so every 1.5 s. Rounds are counted because a process that is
	// paused can't receive answers.
	frequentRounds = 6
	maxRounds      = frequentRounds + 6
	askInterval    = 250 * time.Millisecond
)

// StateRequest asks a host for its State.
type StateRequest struct {
	_ struct{} `cbor:",toarray"`
}

// MessageNumber returns 801.
func (StateRequest) MessageNumber() uint16 { return stateRequestNumber }

// State is a part of an answer to a StateRequest.
type State struct {
	_ struct{} `cbor:",toarray"`
	// Known is false if the sender has just started itself or does not reach the store. It may
	// then lack what other hosts know.
	Known bool
	// List has the upstreams that are cold.
	List []Advisory
	// Evacuated are the evacuated failure domains at a position of the store.
	Evacuated []fleet.FailureDomain
	Position  catalog.Position
	// Parts is the number of messages of the answer, and Part the index of this one.
	Parts, Part uint16
}

// MessageNumber returns 802.
func (State) MessageNumber() uint16 { return stateNumber }

func (s State) valid() bool {
	return s.Part < s.Parts && s.Parts <= maxParts && len(s.List) <= maxPerState && len(s.Evacuated) <= maxDomains
}

// Ask requests that other hosts are asked for their State.
type Ask struct{}

// MachineInput marks Ask as an input.
func (Ask) MachineInput() {}

// Asked is the output when another host asks for the State of this one.
type Asked struct {
	From fleet.HostID
}

// MachineOutput marks Asked as an output.
func (Asked) MachineOutput() {}

// Reply requests that a State is sent to a host, in as many parts as necessary.
type Reply struct {
	To    fleet.HostID
	State State
}

// MachineInput marks Reply as an input.
func (Reply) MachineInput() {}

// CaughtUp is the output once no better answer is to be expected. It follows the Learned
// outputs of the answer.
type CaughtUp struct {
	// Known is false if too many hosts have just started themselves, or there is no other one.
	Known bool
}

// MachineOutput marks CaughtUp as an output.
func (CaughtUp) MachineOutput() {}

// catchUp is the state of the requests of a host that starts.
type catchUp struct {
	// asked is true from the first Ask on, asking until an answer is complete or all rounds
	// have passed.
	asked, asking bool
	rounds        int
	// next is the index of the next host to ask, and nextAt when it is asked.
	next   int
	nextAt machine.Instant
	// viewed is true once the other hosts are known.
	viewed bool
	// received has the parts of the answers, just are the hosts that have just started.
	received map[fleet.HostID][]bool
	just     map[fleet.HostID]bool
	done     bool
}

// begin starts to ask other hosts.
func (c *catchUp) begin() {
	if !c.asked {
		c.asked, c.asking = true, true
		c.received, c.just = map[fleet.HostID][]bool{}, map[fleet.HostID]bool{}
	}
}

// setPeers replaces the hosts that may be asked: first those of this host's region, whose
// answers arrive first. Hosts that start together begin with different ones.
func (m *Machine) setPeers(view *fleet.View) {
	var own fleet.Region
	for i := range view.Members {
		if p := &view.Members[i]; p.Host == m.self {
			own = p.Region
		}
	}
	m.peers = m.peers[:0]
	var local, remote []fleet.HostID
	for i := range view.Members {
		p := &view.Members[i]
		if p.Host == m.self || !p.Reachable {
			continue
		}
		m.peers = append(m.peers, p.Host)
		if p.Region == own {
			local = append(local, p.Host)
		} else {
			remote = append(remote, p.Host)
		}
	}
	m.askOrder = append(rotated(local, m.self), rotated(remote, m.self)...)
	m.catchUp.viewed = true
}

// rotated returns a list that begins at an index by the hash of a host.
func rotated(list []fleet.HostID, by fleet.HostID) []fleet.HostID {
	if len(list) == 0 {
		return nil
	}
	first := int(xxhash.Sum64String(string(by)) % uint64(len(list)))
	return slices.Concat(list[first:], list[:first])
}

// ask asks the next hosts.
func (m *Machine) ask(now machine.Instant) []machine.Output {
	c := &m.catchUp
	switch {
	case !c.asking || !c.viewed:
		return nil
	case len(m.askOrder) == 0:
		return c.finish(false)
	case now < c.nextAt:
		return nil
	}
	if c.rounds++; c.rounds >= frequentRounds {
		c.nextAt = now.Add(askInterval)
	}
	c.asking = c.rounds < maxRounds
	var out []machine.Output
	for range min(askedPerRound, len(m.askOrder)) {
		out = append(out, machine.Send{To: m.askOrder[c.next%len(m.askOrder)], Message: StateRequest{}})
		c.next++
	}
	return out
}

// finish reports that no better answer is to be expected.
func (c *catchUp) finish(known bool) []machine.Output {
	c.asking = c.asking && !known
	if c.done {
		return nil
	}
	c.done = true
	return []machine.Output{CaughtUp{Known: known}}
}

// receiveState passes on what a host has answered. Answers of hosts that have just started
// end the wait if they are more than half of all: the fleet has then started anew.
func (m *Machine) receiveState(from fleet.HostID, s State) []machine.Output {
	c := &m.catchUp
	if !c.asked || !s.valid() {
		return nil
	}
	out := []machine.Output{Learned{From: from, Advisories: s.List, Evacuated: s.Evacuated, Position: s.Position}}
	if !s.Known {
		if c.just[from] = true; 2*len(c.just) > len(m.peers) {
			out = append(out, c.finish(false)...)
		}
		return out
	}
	if len(c.received[from]) != int(s.Parts) {
		c.received[from] = make([]bool, s.Parts)
	}
	if c.received[from][s.Part] = true; !slices.Contains(c.received[from], false) {
		out = append(out, c.finish(true)...)
	}
	return out
}

// reply returns the messages of an answer. The upstreams are in the order of their keys, so that
// parts of two answers to the same host, of which others were lost, have them all.
func reply(r Reply) []machine.Output {
	list := slices.SortedFunc(slices.Values(r.State.List), func(a, b Advisory) int { return cmp.Compare(a.Upstream, b.Upstream) })
	list = list[:min(len(list), maxParts*maxPerState)]
	s := r.State
	s.Evacuated = s.Evacuated[:min(len(s.Evacuated), maxDomains)]
	s.Parts = uint16(max(1, (len(list)+maxPerState-1)/maxPerState))
	var out []machine.Output
	for s.Part = range s.Parts {
		n := min(len(list), maxPerState)
		s.List, list = list[:n], list[n:]
		out = append(out, machine.Send{To: r.To, Message: s})
	}
	return out
}
