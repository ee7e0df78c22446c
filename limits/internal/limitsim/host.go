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
	// share is the weight that membership counts for the running incarnation.
	share share
	// waiting are the requests that wait for a decision.
	waiting []request

	dead   bool
	paused bool
	// noLease is true while membership renews no lease of the host.
	noLease bool
	// applied is the revision that the host applies, with its factor of the rates.
	revision fleet.Revision
	factor   float64
}

// share is what membership knows of one incarnation's weight.
type share struct {
	member fleet.Member
	// told is the weight in the last view sent, applied the one in the last view
	// that the host took.
	told, applied int64
	version       uint64
	appliedAt     uint64
	leaseEnd      machine.Instant
	retired       bool
	leaving       bool
}

// request is a request that waits.
type request struct {
	customer int
	attempt  Attempt
	ideal    bool
	began    machine.Instant
}

// incarnate starts a new incarnation of the host.
func (h *Host) incarnate() {
	w := h.world
	member := fleet.Member{Host: h.ID, Incarnation: w.rig.Incarnation()}
	h.share = share{member: member, leaseEnd: w.rig.Now()}
	h.dead, h.paused, h.waiting = false, false, nil
	h.revision, h.factor = 0, 0
	h.node = w.rig.AddNode(member, h)
	h.driver = w.variant.New(w, h)
}

// Step passes an input to the driver and notes what the host applied.
func (h *Host) Step(now machine.Now, in machine.Input) []machine.Output {
	switch in := in.(type) {
	case machine.ViewChanged:
		if in.View.Version < h.share.appliedAt {
			return nil
		}
		h.share.appliedAt = in.View.Version
		if self := in.View.Find(h.ID); self != nil && self.Member == h.share.member {
			h.share.applied = int64(self.Weight)
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

// running reports whether the host takes requests.
func (h *Host) running() bool { return !h.dead && !h.paused }

// begin starts an admission for a request that a caller sent to the host.
func (h *Host) begin(customer int, ideal bool) {
	w := h.world
	r := request{customer: customer, ideal: ideal, began: w.rig.Now()}
	r.attempt = h.driver.Begin(w.customers[customer].ID)
	if !h.decide(r) {
		h.waiting = append(h.waiting, r)
	}
}

// decide takes the decision on a request if there is one.
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

// poll looks again at the requests that wait.
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
