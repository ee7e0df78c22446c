package host

import (
	"github.com/catkinspring/catkinspring/internal/control"
	mathrand "math/rand/v2"

	"github.com/catkinspring/catkinspring/alert"
	"github.com/catkinspring/catkinspring/configuration"
	"github.com/catkinspring/catkinspring/directory"
	"github.com/catkinspring/catkinspring/dispatch"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/limits"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/membership"
	"github.com/catkinspring/catkinspring/operations"
	"github.com/catkinspring/catkinspring/operator"
	"github.com/catkinspring/catkinspring/placement"
)

// moduleIDs holds the IDs under which the control loop runs the modules.
type moduleIDs struct {
	membership    control.ModuleID
	configuration control.ModuleID
	limits        control.ModuleID
	placement     control.ModuleID
	quarantine    control.ModuleID
	operations    control.ModuleID
	directory     control.ModuleID
	contacts      control.ModuleID
	alert         control.ModuleID
}

func (h *Host) addModules() {
	h.operations = operations.New(operations.Options{Self: h.self})
	h.modules.membership = h.loop.Add(control.Module{
		Name: "membership",
		Machine: membership.New(membership.Options{
			Self:          h.self,
			Location:      h.location,
			PeerAddress:   h.settings.Advertise.Peers,
			CallerAddress: h.settings.Advertise.Callers,
			Cell:          h.settings.Host.Cell,
			LeaseDuration: h.settings.Lease.Duration,
			LeaveDelay:    h.settings.Lookup.MaxAge,
			Rand:          mathrand.New(mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64())),
		}),
		Output: h.membershipOutput,
	}, membership.Messages())
	h.modules.configuration = h.loop.Add(control.Module{
		Name:    "configuration",
		Machine: configuration.New(h.self),
		Output:  h.configurationOutput,
	}, configuration.Messages())
	h.modules.limits = h.loop.Add(control.Module{
		Name:    "limits",
		Machine: limits.NewMachine(h.limits, nil),
		Output:  ignoreOutput,
	}, limits.Messages())
	h.modules.placement = h.loop.Add(control.Module{
		Name:    "placement",
		Machine: placement.NewMachine(h.self.Host, h.location.Region),
		Output:  h.placementOutput,
	}, placement.Messages())
	h.modules.quarantine = h.loop.Add(control.Module{
		Name:    "quarantine",
		Machine: dispatch.NewQuarantine(h.self, h.quarantine),
		Output:  ignoreOutput,
	}, dispatch.Messages())
	h.modules.operations = h.loop.Add(control.Module{
		Name:    "operations",
		Machine: h.operations,
		Output:  h.operationsOutput,
	}, operations.Messages())
	h.modules.directory = h.loop.Add(control.Module{
		Name:    "directory",
		Machine: directory.NewMachine(h.self.Host),
		Output:  h.directoryOutput,
	}, directory.Messages())
	h.modules.contacts = h.loop.Add(control.Module{
		Name:    "contacts",
		Machine: operator.NewContacts(h.self, h.settings.Advertise.Operators),
		Output:  h.contactsOutput,
	}, operator.Messages())
	h.modules.alert = h.loop.Add(control.Module{
		Name:    "alert",
		Machine: alert.New(h.self),
		Output:  h.alertOutput,
	}, alert.Messages())
}

func ignoreOutput(machine.Now, machine.Output) {}

// messageTypes returns the message types of all modules for the peer codec.
func messageTypes() []machine.MessageType {
	var types []machine.MessageType
	types = append(types, membership.Messages()...)
	types = append(types, configuration.Messages()...)
	types = append(types, limits.Messages()...)
	types = append(types, placement.Messages()...)
	types = append(types, dispatch.Messages()...)
	types = append(types, operations.Messages()...)
	types = append(types, directory.Messages()...)
	types = append(types, operator.Messages()...)
	return append(types, alert.Messages()...)
}

// membershipOutput executes the outputs of the membership module. All modules
// apply a new view or lease before later outputs run, because those may report to
// peers that the view is in effect.
func (h *Host) membershipOutput(now machine.Now, out machine.Output) {
	switch out := out.(type) {
	case membership.ViewPublished:
		h.state.view.Store(out.View)
		h.applyShiftCaps()
		h.loop.StepOthers(h.modules.membership, machine.ViewChanged{View: out.View})
	case membership.LeaseRenewed:
		h.updateLease(now, out.ValidUntil)
		h.loop.StepOthers(h.modules.membership, machine.LeaseChanged{ValidUntil: out.ValidUntil})
	case membership.RevisionSeen:
		h.lastRevisionSeen = out
		h.forwardPeerRevisions()
	case membership.ContactsChanged:
		h.transport.SetPeers(out.Peers)
	case membership.UncommittedAcknowledged:
		h.loop.Forward(h.modules.operations, operations.UncommittedAcknowledged{Since: out.Since})
	case membership.Retired:
		h.log.Warn().Msg("incarnation was retired by its cell")
		h.signalEnd(h.retired)
	case membership.Left:
		h.signalEnd(h.left)
	}
}

// forwardPeerRevisions reports to the configuration module which peers hold the
// highest revision. The report is repeated every second, because the
// configuration drops peers without recent reports and membership reports
// changes only.
func (h *Host) forwardPeerRevisions() {
	for _, holder := range h.lastRevisionSeen.Hosts {
		h.loop.Forward(h.modules.configuration, configuration.PeerRevision{Revision: h.lastRevisionSeen.Revision, Host: holder})
	}
}

// signalEnd closes the channel that ends the incarnation, the first time only.
func (h *Host) signalEnd(ended chan struct{}) {
	if !h.endSignaled {
		h.endSignaled = true
		close(ended)
	}
}

// updateLease stores the end of the lease. It logs the first lease, and one that
// is renewed after it had expired.
func (h *Host) updateLease(now machine.Now, until machine.Instant) {
	previousEnd := machine.Instant(h.state.leaseUntil.Swap(int64(until)))
	if previousEnd < now.Instant && until > now.Instant {
		h.state.leaseSince.Store(int64(now.Instant))
		h.log.Info().Msg("lease is valid")
		h.record(now, machine.Event{Kind: "lease.valid", Text: "lease is valid"})
	}
}

func (h *Host) configurationOutput(now machine.Now, out machine.Output) {
	switch out := out.(type) {
	case configuration.Published:
		h.publish(now, out)
	case configuration.NoteResult:
		h.pendingNotes.resolve(out)
	}
}

// publish makes a configuration revision effective on this host.
func (h *Host) publish(now machine.Now, p configuration.Published) {
	h.state.suspended.Store(&p.Suspended)
	if p.Snapshot == nil || p.Snapshot.Revision == h.state.revision() {
		return
	}
	h.regions.update(p.Snapshot.Blocks)
	h.state.snapshot.Store(p.Snapshot)
	h.applyShiftCaps()
	h.loop.StepNow(h.modules.limits, customerLimits(p.Snapshot))
	h.loop.Forward(h.modules.alert, alertRules(p.Snapshot))
	h.loop.Forward(h.modules.membership, membership.SetRevision{Revision: p.Snapshot.Revision})
	h.log.Info().Uint64("revision", uint64(p.Snapshot.Revision)).Msg("configuration is in force")
}

func customerLimits(s *configuration.Snapshot) limits.SetCustomers {
	list := make([]limits.CustomerLimit, 0, len(s.Customers))
	for i := range s.Customers {
		c := &s.Customers[i]
		list = append(list, limits.CustomerLimit{ID: c.ID, Rate: c.Rate, Burst: c.Burst})
	}
	return limits.SetCustomers{Revision: s.Revision, Customers: list}
}

// applyShiftCaps sets this host's share of each route's shift caps.
func (h *Host) applyShiftCaps() {
	snapshot, view := h.state.snapshot.Load(), h.state.view.Load()
	if snapshot == nil || view == nil {
		return
	}
	caps := make(map[fleet.Route]placement.ShiftCap, len(snapshot.Routes))
	for i := range snapshot.Routes {
		r := &snapshot.Routes[i]
		caps[r.Name] = placement.ShiftCap{Mbit: r.ShiftCapMbit, SharePerSecond: r.ShiftSharePerSecond}
	}
	fraction := 0.0
	if self := view.Find(h.self.Host); self != nil {
		fraction = float64(self.Weight) / fleet.TotalWeight
	}
	h.placement.SetShiftCaps(caps, fraction)
}

func (h *Host) directoryOutput(_ machine.Now, out machine.Output) {
	switch out := out.(type) {
	case directory.ReadList:
		h.readHostList()
	case directory.Changed:
		h.applyHostList(out.Hosts)
	case directory.Confirmed:
		h.loop.Forward(h.modules.membership, membership.PlatformHosts{Hosts: h.listedEntryHosts})
	}
}

func (h *Host) contactsOutput(_ machine.Now, out machine.Output) {
	if changed, ok := out.(operator.ContactsChanged); ok {
		h.state.contacts.Store(&changed.Addresses)
	}
}

func (h *Host) operationsOutput(_ machine.Now, out machine.Output) {
	switch out := out.(type) {
	case operations.Decided:
		h.claims.Deliver(out)
	case operations.DeclareUncommitted:
		h.loop.Forward(h.modules.membership, membership.SetUncommitted{Since: out.Since})
	case operations.ClearUncommitted:
		h.loop.Forward(h.modules.membership, membership.ClearUncommitted{})
	}
}

func (h *Host) placementOutput(_ machine.Now, out machine.Output) {
	switch out := out.(type) {
	case placement.UpstreamsChanged:
		h.state.upstreams.Store(&out.Upstreams)
		h.placement.SetUpstreams(out.Upstreams)
	case placement.EstimatesChanged:
		h.placement.SetEstimates(out.Estimates)
		h.placement.SetRemoteLimits(out.Limits)
		h.loop.Forward(h.modules.placement, placement.WorkMeasured{Work: h.placement.InFlight()})
		h.loop.Forward(h.modules.membership, membership.SetLoad{Load: h.advertisedLoad()})
	case placement.Probe:
		h.startProbe(out)
	}
}
