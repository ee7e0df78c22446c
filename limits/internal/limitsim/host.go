package limitsim

import (
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/internal/faulttest"
	"github.com/catkinspring/catkinspring/limits"
	"github.com/catkinspring/catkinspring/machine"
)

// Host is one host of a world. It outlives its incarnations.
type Host struct {
	ID     fleet.HostID
	Region fleet.Region

	world  *World
	node   *faulttest.Node
	driver Driver
	// share is the weight that membership records for the running incarnation.
	share share
	// waiting are the requests that wait for a decision.
	waiting []request

	dead   bool
	paused bool
	// noLease is true while membership does not renew the lease of the host.
	noLease bool
	// revision is the configuration revision in force, and factor its factor of the rates.
	revision fleet.Revision
	factor   float64
}

// share is the state of one incarnation's weight in membership.
type share struct {
	member fleet.Member
	// sentWeight is the weight in the last view sent, appliedWeight the one in the last
	// view that the host applied; version and appliedVersion are those of the views.
	sentWeight, appliedWeight int64
	version                   uint64
	appliedVersion            uint64
	leaseEnd                  machine.Instant
	retired                   bool
	leaving                   bool
}

// request is a request whose decision is pending.
type request struct {
	customer int
	attempt  Attempt
	// idealAdmits is true if an ideal bucket for all hosts admits the request.
	idealAdmits bool
	began       machine.Instant
}

// startIncarnation starts a new incarnation of the host.
func (h *Host) startIncarnation() {
	w := h.world
	member := fleet.Member{Host: h.ID, Incarnation: w.rig.Incarnation()}
	h.share = share{member: member, leaseEnd: w.rig.Now()}
	h.dead, h.paused, h.waiting = false, false, nil
	h.revision, h.factor = 0, 0
	h.node = w.rig.AddNode(member, h)
	h.driver = w.variant.New(w, h)
}

// Step passes an input to the driver and records what the host applied.
func (h *Host) Step(now machine.Now, in machine.Input) []machine.Output {
	switch in := in.(type) {
	case machine.ViewChanged:
		if in.View.Version < h.share.appliedVersion {
			return nil
		}
		h.share.appliedVersion = in.View.Version
		if self := in.View.Find(h.ID); self != nil && self.Member == h.share.member {
			h.share.appliedWeight = int64(self.Weight)
		}
	case limits.SetCustomers:
		if w := h.world; in.Revision > h.revision {
			h.revision = in.Revision
			h.factor = w.revisions[in.Revision]
			w.refreshLimits()
		}
	}
	out := h.driver.Step(now, in)
	h.world.countMessages(out)
	return out
}

// running reports whether the host accepts requests.
func (h *Host) running() bool { return !h.dead && !h.paused }

// begin starts an admission for a request that a caller sent to the host.
func (h *Host) begin(customer int, idealAdmits bool) {
	w := h.world
	r := request{customer: customer, idealAdmits: idealAdmits, began: w.rig.Now()}
	r.attempt = h.driver.Begin(w.customers[customer].ID)
	if !h.decide(r) {
		h.waiting = append(h.waiting, r)
	}
}

// decide handles the decision on a request and reports whether there is one.
func (h *Host) decide(r request) bool {
	done, admission, _ := r.attempt.Poll()
	if !done {
		return false
	}
	if admission == nil {
		h.world.refused(r)
		return true
	}
	h.world.admitted(h, r, admission)
	return true
}

// poll polls the waiting requests.
func (h *Host) poll() {
	if !h.running() {
		return
	}
	kept := h.waiting[:0]
	for _, r := range h.waiting {
		if !h.decide(r) {
			kept = append(kept, r)
		}
	}
	h.waiting = kept
}
