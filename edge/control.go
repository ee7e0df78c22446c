package edge

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	randv2 "math/rand/v2"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/catkinspring/catkinspring/advisory"
	"github.com/catkinspring/catkinspring/catalog"
	"github.com/catkinspring/catkinspring/dispatch"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/freshness"
	"github.com/catkinspring/catkinspring/gossip"
	"github.com/catkinspring/catkinspring/internal/control"
	"github.com/catkinspring/catkinspring/lease"
	"github.com/catkinspring/catkinspring/limits"
	"github.com/catkinspring/catkinspring/loadreport"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/peer"
	"github.com/catkinspring/catkinspring/policy"
	"github.com/catkinspring/catkinspring/steering"
)

// arrivalRateWeight is the weight of the last second in the EWMA of the arrival
// rate. Demand changes over several seconds, and random peaks must not dominate.
const arrivalRateWeight = 0.4

// moduleIDs identify the state machines in the control loop.
type moduleIDs struct {
	gossip, limits, quarantine, advisory, freshness, lease, loadReport control.ModuleID
}

// newIncarnation returns a random incarnation. It is not 0, which package gossip uses
// for an unknown incarnation.
func newIncarnation() uint32 {
	var b [4]byte
	_, _ = rand.Read(b[:]) // crypto/rand never fails; it ends the process instead
	return binary.LittleEndian.Uint32(b[:]) | 1
}

// openControl adds the state machines to the control loop and binds the peer socket.
func (e *Edge) openControl() error {
	incarnation := newIncarnation()
	e.member = fleet.Member{Host: e.Settings.ID, Incarnation: gossip.IncarnationOf(incarnation)}
	e.loop = control.New(e.clock, control.Effects{
		Send:   e.send,
		Call:   func(machine.StoreCall, func(machine.StoreResult)) {},
		Record: e.recordEvent,
	}, e.hostMetrics.registry)
	e.limits = limits.NewTable(e.clock, func(in machine.Input) { e.loop.Post(e.modules.limits, in) })
	e.modules.gossip = e.loop.Add(control.Module{
		Name: "gossip", Machine: gossip.New(gossip.Config{
			Host: e.Settings.ID, Location: e.Settings.Location, Incarnation: incarnation, Joins: !e.Settings.FirstStart,
		}), Output: e.gossipOutput,
	}, gossip.Messages())
	e.modules.limits = e.loop.Add(control.Module{
		Name: "limits", Machine: limits.NewRecordedMachine(e.limits, limits.RecordedBounds{EraKeep: lease.Duration, VersionWait: lease.Wait}), Output: e.limitsOutput,
	}, limits.Messages())
	e.modules.quarantine = e.loop.Add(control.Module{
		Name: "quarantine", Machine: dispatch.NewQuarantine(e.member, e.quarantine), Output: e.quarantineOutput,
	}, dispatch.Messages())
	e.modules.advisory = e.loop.Add(control.Module{
		Name: "advisory", Machine: advisory.New(e.Settings.ID), Output: e.advisoryOutput,
	}, advisory.Messages())
	e.modules.freshness = e.loop.Add(control.Module{
		Name: "freshness", Machine: freshness.New(freshness.Config{Self: e.member, Joins: !e.Settings.FirstStart}), Output: e.freshnessOutput,
	}, freshness.Messages())
	e.modules.lease = e.loop.Add(control.Module{
		Name: "lease", Machine: lease.New(lease.Config{Self: e.member, Joins: !e.Settings.FirstStart}), Output: e.leaseOutput,
	}, lease.Messages())
	e.modules.loadReport = e.loop.Add(control.Module{
		Name: "loadreport", Machine: loadreport.New(e.Settings.ID, e.Settings.Location.FailureDomain), Output: e.loadReportOutput,
	}, loadreport.Messages())
	e.loop.EverySecond = func() {
		e.updateSelf()
		e.publishTimes()
	}
	e.loop.EveryTick = func() {
		e.pauses.tick(e.now())
		e.checkCopies()
		e.checkStart()
		e.publishLoads()
	}
	datagrams, err := peer.ListenDatagrams(peer.DatagramConfig{
		Self: e.member, Listen: e.Settings.Listen.Peers,
		Types: slices.Concat(gossip.Messages(), limits.Messages(), dispatch.Messages(), advisory.Messages(), freshness.Messages(), lease.Messages(),
			loadreport.Messages()),
		Receive: e.loop.Receive, Metrics: e.hostMetrics.registry,
	})
	if err != nil {
		return err
	}
	e.datagrams = datagrams
	e.Settings.Listen.Peers = datagrams.Address()
	return nil
}

func (e *Edge) recordEvent(_ machine.Now, event machine.Event) {
	e.log.Info().Str("event", event.Kind).Str("customer", string(event.Customer)).Msg(event.Text)
}

// maxProposalDelay is the maximum random delay before a host proposes the shared
// key. When a whole fleet starts, all but the first few hosts then read the key
// that one of them has created.
const maxProposalDelay = time.Second

// keepKey reads the key that all entry hosts share, and proposes one if there is none. It
// does so again when the store may have lost it.
func (e *Edge) keepKey(ctx context.Context) {
	proposal := make([]byte, peer.DatagramKeySize)
	_, _ = rand.Read(proposal) // crypto/rand never fails; it ends the process instead
	for ctx.Err() == nil {
		if key := e.fetchKey(ctx, proposal); key != nil {
			proposal = key
		}
		select {
		case <-ctx.Done():
		case <-e.keyDue:
		}
	}
}

// wakeKey requests that the shared key is read, and written if it is missing.
func (e *Edge) wakeKey() {
	select {
	case e.keyDue <- struct{}{}:
	default:
		// keepKey has not yet handled the previous request.
	}
}

// fetchKey puts the shared key in force and returns it; nil if the context ends first.
func (e *Edge) fetchKey(ctx context.Context, proposal []byte) []byte {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		key, err := e.Store.SharedKey(ctx)
		if err == nil && key == nil && attempt > 0 {
			key, err = e.Store.ProposeKey(ctx, proposal)
		}
		if err == nil && key == nil {
			wait(ctx, randv2.N(maxProposalDelay))
			continue
		}
		if err == nil {
			err = e.datagrams.SetKey(key)
		}
		if err == nil {
			e.loop.Post(e.modules.gossip, gossip.AnnounceSelf{})
			return key
		}
		e.log.Warn().Err(err).Msg("shared key is not available")
		wait(ctx, storeRetryInterval)
	}
	return nil
}

// arrivals measures the arrival rate of requests.
type arrivals struct {
	count atomic.Int64
	// last, lastAt and rate are accessed only by the control loop.
	last   int64
	lastAt machine.Instant
	rate   float64
}

// measure updates the moving average and returns it in requests per second.
func (a *arrivals) measure(now machine.Instant) float64 {
	count := a.count.Load()
	if seconds := now.Sub(a.lastAt).Seconds(); a.lastAt != 0 && seconds > 0 {
		a.rate += arrivalRateWeight * (float64(count-a.last)/seconds - a.rate)
	}
	a.last, a.lastAt = count, now
	return a.rate
}

// updateSelf passes this host's state to the gossip machine.
func (e *Edge) updateSelf() {
	e.loop.Forward(e.modules.gossip, gossip.SetSelf{
		Leaving: e.isStopping(), Rate: e.arrivals.measure(e.now()), Revisions: e.revisions(),
	})
}

func (e *Edge) gossipOutput(_ machine.Now, out machine.Output) {
	changed, ok := out.(gossip.PeersChanged)
	if !ok {
		return
	}
	e.peers.Store(&changed.Peers)
	e.highestRevisions = freshness.MergeRevisions(e.highestRevisions, changed.Revisions)
	e.loop.Forward(e.modules.freshness, freshness.SetPeers{Peers: changed.Peers})
	e.loop.Forward(e.modules.lease, lease.SetPeers{Peers: changed.Peers})
	e.steering.SetDemand(demandByRegion(changed.Peers))
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
	view := machine.ViewChanged{View: e.view(changed)}
	e.loop.Forward(e.modules.limits, view)
	e.loop.Forward(e.modules.quarantine, view)
	e.loop.Forward(e.modules.advisory, view)
	e.loop.Forward(e.modules.loadReport, view)
	if alive != e.servingHosts {
		e.servingHosts = alive
		e.log.Info().Int("hosts", len(changed.Peers)).Int("serving", alive).Msg("serving hosts changed")
	}
}

// advisoryOutput applies what upstreams stated to other hosts, and answers hosts that start.
func (e *Edge) advisoryOutput(now machine.Now, out machine.Output) {
	switch out := out.(type) {
	case advisory.Learned:
		e.logUpstreams(nil, e.steering.Advise(now.Instant, out.Advisories), 0)
		e.learnEvacuated(now.Instant, out)
	case advisory.Asked:
		e.loop.Forward(e.modules.advisory, advisory.Reply{To: out.From, State: e.coldState(now.Instant)})
	case advisory.CaughtUp:
		e.endStart(now.Instant, out.Known)
	}
}

// publishChangedEntries notifies the other hosts of upstreams that are cold according to
// changed entries. Only the fresh readers do that, so that a change costs few messages;
// it matters for hosts that do not reach the store.
func (e *Edge) publishChangedEntries(changed []steering.UpstreamChange) {
	if e.freshReader.Load() {
		e.publish(changed...)
	}
}

// publish notifies the other hosts of what upstreams have stated.
func (e *Edge) publish(changed ...steering.UpstreamChange) {
	var list []advisory.Advisory
	for _, c := range changed {
		if c.StatedColdFor > 0 || c.LimitEnded {
			list = append(list, advisory.Advisory{
				Upstream: advisory.KeyOf(c.Upstream), ColdMillis: uint32(c.StatedColdFor.Milliseconds()), LimitEnded: c.LimitEnded,
			})
		}
	}
	if len(list) > 0 && !e.loop.Post(e.modules.advisory, advisory.Publish{Advisories: list}) {
		e.log.Warn().Int("upstreams", len(list)).Msg("advisories dropped, the control loop's inbox is full")
	}
}

func demandByRegion(peers []gossip.Peer) map[fleet.Region]float64 {
	demand := make(map[fleet.Region]float64)
	for _, p := range peers {
		demand[p.Location.Region] += p.Rate
	}
	return demand
}

// view returns the hosts with their shares of each limit, which is divided equally
// among the regions, then among the hosts of a region.
func (e *Edge) view(changed gossip.PeersChanged) *fleet.View {
	peers := changed.Peers
	hosts := make([]catalog.Host, 0, len(peers))
	for _, p := range peers {
		if p.Registered > 0 {
			hosts = append(hosts, p.Host)
		}
	}
	regions := steering.HostCountByRegion(hosts)
	v := &fleet.View{Self: e.member, Era: changed.Era}
	for _, p := range peers {
		state := fleet.StateActive
		if p.Leaving {
			state = fleet.StateLeaving
		}
		v.Members = append(v.Members, fleet.ViewMember{
			Member: fleet.Member{Host: p.ID, Incarnation: p.Member.Incarnation}, Location: p.Location, State: state,
			PeerAddress: p.Peers, CallerAddress: p.Callers, Reachable: p.Alive,
			Registered: p.Registered, Joined: p.Joined, ConfirmedGeneration: p.Generation, Holder: p.Holder(),
			Weight: weightOf(p.Host, regions),
		})
	}
	return v
}

// weightOf returns the share of each limit of a host, 0 for one that has no entry in the store.
func weightOf(h catalog.Host, regions map[fleet.Region]int) uint32 {
	if h.Registered == 0 {
		return 0
	}
	return uint32(fleet.TotalWeight / len(regions) / regions[h.Location.Region])
}

// defaultBurst is the burst of a customer without one, in requests over all hosts: otherwise
// no host would ever hold a whole token. The platform tolerates 20 requests more than the
// limit.
const defaultBurst = 8

func burstOf(c *policy.Customer) float64 {
	if c.Burst < 1 {
		return defaultBurst
	}
	return c.Burst
}

// setCustomers posts the customers' limits of a configuration to the control loop.
func (e *Edge) setCustomers(s *policy.Snapshot) {
	input := limits.SetCustomers{Revision: fleet.Revision(s.Version), Customers: []limits.CustomerLimit{}}
	for i := range s.Customers {
		if c := &s.Customers[i]; c.Rate > 0 {
			input.Customers = append(input.Customers, limits.CustomerLimit{ID: c.Name, Rate: c.Rate, Burst: burstOf(c)})
		}
	}
	if e.limitedCustomers == nil || !limits.DivideAlike(e.limitedCustomers, input.Customers) {
		e.dividingVersion = s.Version
	}
	e.limitedCustomers = input.Customers
	// The limits apply the version before the lease can be renewed with it.
	e.post(e.modules.limits, input)
	e.post(e.modules.lease, lease.SetVersion{InForce: s.Version, Divides: e.dividingVersion})
}
