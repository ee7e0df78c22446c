package edge

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"math"
	randv2 "math/rand/v2"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/catkinspring/catkinspring/catalog"
	"github.com/catkinspring/catkinspring/dispatch"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/gossip"
	"github.com/catkinspring/catkinspring/internal/control"
	"github.com/catkinspring/catkinspring/limits"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/peer"
	"github.com/catkinspring/catkinspring/policy"
	"github.com/catkinspring/catkinspring/steering"
)

// rateWeight is the weight of the last second in the running rate of arrivals:
// demand changes over several seconds, and the rate must not follow chance.
const rateWeight = 0.4

// moduleIDs are the places of the state machines in the control loop.
type moduleIDs struct {
	gossip, limits, quarantine control.ModuleID
}

func newIncarnation() uint32 {
	var b [4]byte
	_, _ = rand.Read(b[:]) // crypto/rand never fails; it ends the process instead
	return binary.LittleEndian.Uint32(b[:]) | 1
}

// openControl binds the socket for peers and adds the state machines.
func (e *Edge) openControl() error {
	incarnation := newIncarnation()
	e.member = fleet.Member{Host: e.Settings.ID, Incarnation: gossip.IncarnationOf(incarnation)}
	e.loop = control.New(e.clock, control.Effects{
		Send:   func(to fleet.HostID, m machine.Message) { e.datagrams.Send(to, m) },
		Call:   func(machine.StoreCall, func(machine.StoreResult)) {},
		Record: e.recordEvent,
	}, e.figures.registry)
	e.limits = limits.NewTable(e.clock, func(in machine.Input) { e.loop.Post(e.modules.limits, in) })
	e.modules.gossip = e.loop.Add(control.Module{
		Name: "gossip", Machine: gossip.New(e.Settings.ID, e.Settings.Location, incarnation), Output: e.gossipOutput,
	}, gossip.Messages())
	e.modules.limits = e.loop.Add(control.Module{
		Name: "limits", Machine: limits.NewMachine(e.limits, limits.DivideSmall), Output: func(machine.Now, machine.Output) {},
	}, limits.Messages())
	e.modules.quarantine = e.loop.Add(control.Module{
		Name: "quarantine", Machine: dispatch.NewQuarantine(e.member, e.quarantine), Output: func(machine.Now, machine.Output) {},
	}, dispatch.Messages())
	e.loop.EverySecond = e.tellSelf
	e.loop.EveryTick = e.lookBehind
	datagrams, err := peer.ListenDatagrams(peer.DatagramConfig{
		Self: e.member, Listen: e.Settings.Listen.Peers,
		Types:   slices.Concat(gossip.Messages(), limits.Messages(), dispatch.Messages()),
		Receive: e.loop.Receive, Metrics: e.figures.registry,
	})
	if err != nil {
		return err
	}
	e.datagrams = datagrams
	e.Settings.Listen.Peers = datagrams.Address()
	// A share belongs to the machine: a process that starts at its address follows
	// one that is certainly dead. So the share is held for as long as the process
	// lives, and the store's list of hosts is the only record of it.
	e.loop.Post(e.modules.limits, machine.LeaseChanged{ValidUntil: machine.Instant(math.MaxInt64 / 2)})
	return nil
}

func (e *Edge) recordEvent(_ machine.Now, event machine.Event) {
	e.log.Info().Str("event", event.Kind).Str("customer", string(event.Customer)).Msg(event.Text)
}

// proposeWithin is the time within which the hosts of a fleet that starts propose
// the shared key, each at a time of its own. All but the first few then read the
// key that one of them has created.
const proposeWithin = time.Second

// fetchKey gets the key that all entry hosts share, and proposes one if there is
// none.
func (e *Edge) fetchKey(ctx context.Context) {
	proposal := make([]byte, peer.DatagramKeySize)
	_, _ = rand.Read(proposal) // crypto/rand never fails; it ends the process instead
	for attempt := 0; ctx.Err() == nil; attempt++ {
		key, err := e.Store.SharedKey(ctx)
		if err == nil && key == nil && attempt > 0 {
			key, err = e.Store.ProposeKey(ctx, proposal)
		}
		if err == nil && key == nil {
			wait(ctx, randv2.N(proposeWithin))
			continue
		}
		if err == nil {
			err = e.datagrams.SetKey(key)
		}
		if err == nil {
			e.loop.Post(e.modules.gossip, gossip.AnnounceSelf{})
			return
		}
		e.log.Warn().Err(err).Msg("shared key is not available")
		wait(ctx, registerRetry)
	}
}

// arrivals measures the rate of arriving requests.
type arrivals struct {
	count atomic.Int64
	// last and rate belong to the control loop.
	last   int64
	lastAt machine.Instant
	rate   float64
}

func (a *arrivals) measure(now machine.Instant) float64 {
	count := a.count.Load()
	if seconds := now.Sub(a.lastAt).Seconds(); a.lastAt != 0 && seconds > 0 {
		a.rate += rateWeight * (float64(count-a.last)/seconds - a.rate)
	}
	a.last, a.lastAt = count, now
	return a.rate
}

func (e *Edge) tellSelf() {
	e.loop.Forward(e.modules.gossip, gossip.SetSelf{
		Leaving: e.draining.Load(), Rate: e.arrivals.measure(e.now()), Revisions: e.revisions(),
	})
}

func (e *Edge) gossipOutput(_ machine.Now, out machine.Output) {
	changed, ok := out.(gossip.PeersChanged)
	if !ok {
		return
	}
	e.peers.Store(&changed.Peers)
	e.known = changed.Revisions
	if reads := e.reads(changed.Peers); e.reader.Swap(reads) != reads && reads {
		// The watches that are waiting now may wait for long.
		for i := range e.progress {
			e.progress[i].askForList()
		}
	}
	e.steering.SetDemand(demandOf(changed.Peers))
	if !changed.Membership {
		return
	}
	alive := 0
	addresses := make(map[fleet.HostID]netip.AddrPort, len(changed.Peers))
	for _, p := range changed.Peers {
		addresses[p.ID] = p.Peers
		if p.Alive && !p.Leaving {
			alive++
		}
	}
	e.datagrams.SetPeers(addresses)
	view := machine.ViewChanged{View: e.view(changed.Peers)}
	e.loop.Forward(e.modules.limits, view)
	e.loop.Forward(e.modules.quarantine, view)
	if alive != e.serving {
		e.serving = alive
		e.log.Info().Int("hosts", len(changed.Peers)).Int("serving", alive).Msg("serving hosts changed")
	}
}

// readers is the number of hosts whose watches wait shortly. Two are enough for
// one to be there after the loss of a region.
const readers = 2

// readersKnown is the time after the start at which a host may become a reader. The
// hosts of a fleet that starts register one after the other, and each would take
// itself for one at first.
const readersKnown = 3 * time.Second

// reads reports whether this host is one of the readers: the first host by name
// that serves in each of the first regions by name.
func (e *Edge) reads(peers []gossip.Peer) bool {
	if e.now() < machine.Instant(readersKnown) {
		return false
	}
	var regions []fleet.Region
	for _, p := range peers {
		if !p.Alive || p.Leaving || slices.Contains(regions, p.Location.Region) {
			continue
		}
		regions = append(regions, p.Location.Region)
		if p.ID == e.Settings.ID {
			return true
		}
		if len(regions) == readers {
			return false
		}
	}
	return false
}

func demandOf(peers []gossip.Peer) map[fleet.Region]float64 {
	demand := make(map[fleet.Region]float64)
	for _, p := range peers {
		demand[p.Location.Region] += p.Rate
	}
	return demand
}

// view returns the hosts with their shares: every region has the same part of
// each limit, and every host of a region has the same part of that.
func (e *Edge) view(peers []gossip.Peer) *fleet.View {
	hosts := make([]catalog.Host, 0, len(peers))
	for _, p := range peers {
		hosts = append(hosts, p.Host)
	}
	regions := steering.HostCountByRegion(hosts)
	v := &fleet.View{Self: e.member}
	for _, p := range peers {
		state := fleet.StateActive
		if p.Leaving {
			state = fleet.StateLeaving
		}
		v.Members = append(v.Members, fleet.ViewMember{
			Member: fleet.Member{Host: p.ID, Incarnation: p.Member.Incarnation}, Location: p.Location, State: state,
			PeerAddress: p.Peers, CallerAddress: p.Callers, Reachable: p.Alive,
			Weight: uint32(fleet.TotalWeight / len(regions) / regions[p.Location.Region]),
		})
	}
	return v
}

// setCustomers gives the limits of a configuration to the control loop.
func (e *Edge) setCustomers(s *policy.Snapshot) {
	set := limits.SetCustomers{Revision: fleet.Revision(s.Version)}
	for i := range s.Customers {
		if c := &s.Customers[i]; c.Rate > 0 {
			set.Customers = append(set.Customers, limits.CustomerLimit{ID: c.Name, Rate: c.Rate, Burst: c.Burst})
		}
	}
	for !e.loop.Post(e.modules.limits, set) {
		time.Sleep(maintenanceInterval)
	}
}
