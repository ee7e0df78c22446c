package limitsim

import (
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// membershipInterval is the time between two updates of the membership model.
const membershipInterval = 250 * time.Millisecond

// updateMembership models membership: it renews the leases of hosts that reach a
// majority, retires incarnations whose lease ended, and moves their weight.
func (w *World) updateMembership() {
	for _, h := range w.hosts {
		w.renewLease(h)
	}
	if !w.StoreUnavailable {
		w.retire()
		w.rejoin()
		w.rebalance()
	}
	w.rig.After(membershipInterval, w.updateMembership)
}

// renewLease renews the lease of a host that runs and reaches a majority. The host
// gets an earlier end than the one that membership waits for.
func (w *World) renewLease(h *Host) {
	if !h.running() || h.noLease || h.share.retired || !w.reachesMajority(h) {
		return
	}
	h.share.leaseEnd = w.rig.Now().Add(w.Lease)
	until := h.node.Time().Instant.Add(w.Lease)
	node := h.node
	w.rig.After(time.Duration(w.rig.Rand.Int64N(int64(10*time.Millisecond))), func() {
		if h.node == node {
			w.rig.Inject(node, machine.LeaseChanged{ValidUntil: until})
		}
	})
}

func (w *World) reachesMajority(h *Host) bool {
	reached := 0
	for _, other := range w.hosts {
		if other == h || other.running() && !w.cuts[[2]fleet.HostID{h.ID, other.ID}] && !w.cuts[[2]fleet.HostID{other.ID, h.ID}] {
			reached++
		}
	}
	return 2*reached > len(w.hosts)
}

// retire removes incarnations whose lease ended at least Reassign ago.
func (w *World) retire() {
	if w.Reassign == 0 {
		return
	}
	now := w.rig.Now()
	expired := func(s *share) bool { return now.Sub(s.leaseEnd) >= w.Reassign }
	kept := w.unretired[:0]
	for _, s := range w.unretired {
		if !expired(&s) {
			kept = append(kept, s)
		}
	}
	w.unretired = kept
	for _, h := range w.hosts {
		if !h.share.retired && expired(&h.share) {
			h.share.retired = true
			h.share.sentWeight, h.share.appliedWeight = 0, 0
			w.rig.Logf("retired %s", h.ID)
			if w.Center == h.ID {
				w.moveCenter()
			}
		}
	}
}

// rejoin starts new incarnations of retired hosts that reach a majority again.
func (w *World) rejoin() {
	for _, h := range w.hosts {
		if h.share.retired && h.running() && w.reachesMajority(h) {
			w.Replace(h)
		}
	}
}

// moveCenter moves the central counter, with an empty bucket, to the next host.
func (w *World) moveCenter() {
	for _, h := range w.hosts {
		if h.running() && w.serves(h) {
			w.Center = h.ID
			if d, ok := h.driver.(*centralDriver); ok {
				d.becomeCenter()
			}
			return
		}
	}
}

// rebalance splits the weight evenly among the members. Decreases apply at once,
// increases only when each host whose weight decreases has applied that.
func (w *World) rebalance() {
	members := int64(0)
	for _, h := range w.hosts {
		if w.getsWeight(h) {
			members++
		}
	}
	if members == 0 {
		return
	}
	free := int64(fleet.TotalWeight)
	for _, s := range w.unretired {
		free -= max(s.sentWeight, s.appliedWeight)
	}
	for _, h := range w.hosts {
		if h.dead && !h.share.retired {
			free -= max(h.share.sentWeight, h.share.appliedWeight)
		}
	}
	target := free / members
	changed, decreasesApplied := false, true
	for _, h := range w.hosts {
		if w.getsWeight(h) && h.share.sentWeight > target {
			h.share.sentWeight = target
			changed = true
		}
		if h.share.leaving && h.share.sentWeight > 0 {
			h.share.sentWeight = 0
			changed = true
		}
		if h.share.appliedWeight != h.share.sentWeight || h.share.appliedVersion < h.share.version {
			decreasesApplied = decreasesApplied && (h.dead || h.share.retired)
		}
	}
	if changed {
		w.publishViews()
		return
	}
	if !decreasesApplied {
		return
	}
	for _, h := range w.hosts {
		if w.getsWeight(h) && h.share.sentWeight < target {
			h.share.sentWeight = target
			changed = true
		}
	}
	if changed {
		w.publishViews()
	}
}

// getsWeight reports whether a host gets a share of the weight.
func (w *World) getsWeight(h *Host) bool { return !h.share.retired && !h.dead && !h.share.leaving }

// publishViews sends a new view to every host.
func (w *World) publishViews() {
	w.version++
	members := make([]fleet.ViewMember, 0, len(w.hosts))
	for _, h := range w.hosts {
		if h.share.retired {
			continue
		}
		state := fleet.StateActive
		if h.share.leaving {
			state = fleet.StateLeaving
		}
		members = append(members, fleet.ViewMember{
			Member:    h.share.member,
			Location:  fleet.Location{Region: h.Region},
			State:     state,
			Weight:    uint32(h.share.sentWeight),
			Reachable: true,
		})
	}
	for _, h := range w.hosts {
		if h.dead || h.share.retired {
			continue
		}
		h.share.version = w.version
		w.inject(h, machine.ViewChanged{View: &fleet.View{Version: w.version, Self: h.share.member, Members: members}})
	}
}

// Kill stops a host permanently.
func (w *World) Kill(h *Host) {
	if h.dead {
		return
	}
	h.node.Kill()
	h.dead = true
	w.refreshLimits()
}

// Pause stops a host as SIGSTOP does and resumes it after a time.
func (w *World) Pause(h *Host, d time.Duration) {
	if !h.running() {
		return
	}
	h.paused = true
	h.node.Pause()
	node := h.node
	w.rig.After(d, func() {
		if h.node == node && !h.dead {
			w.resume(h)
		}
	})
}

// resume resumes a paused host. Its traffic goroutines run before its control
// loop, with the state that the table had before the pause.
func (w *World) resume(h *Host) {
	h.paused = false
	for customer := range w.customers {
		for range 8 {
			w.offer(h, customer)
		}
	}
	h.poll()
	h.node.Resume()
	if h.share.retired {
		w.Replace(h)
	}
}

// Replace starts a new incarnation with empty memory on a host. The share of
// the old one stays reserved until it is retired.
func (w *World) Replace(h *Host) {
	w.Kill(h)
	if !h.share.retired {
		w.unretired = append(w.unretired, h.share)
	}
	h.startIncarnation()
	w.sendRevision(h)
	if !w.StoreUnavailable {
		w.publishViews()
	}
}

// Leave marks a host as leaving.
func (w *World) Leave(h *Host) {
	if h.running() {
		h.share.leaving = true
		w.publishViews()
	}
}

// LoseLease stops the renewal of a host's lease for the given time.
func (w *World) LoseLease(h *Host, d time.Duration) {
	h.noLease = true
	w.rig.After(d, func() { h.noLease = false })
}

// Cut drops the messages from one host to another, and back if both is set.
func (w *World) Cut(from, to *Host, both bool) {
	w.cuts[[2]fleet.HostID{from.ID, to.ID}] = true
	w.rig.Cut(from.ID, to.ID)
	if both {
		w.Cut(to, from, false)
	}
}

// CutRegion cuts a region from all others.
func (w *World) CutRegion(region fleet.Region) {
	for _, a := range w.hosts {
		for _, b := range w.hosts {
			if a.Region == region && b.Region != region {
				w.Cut(a, b, true)
			}
		}
	}
}

// HealAfter removes all cuts after a time.
func (w *World) HealAfter(d time.Duration) {
	w.rig.After(d, func() {
		w.cuts = map[[2]fleet.HostID]bool{}
		w.rig.Heal()
		w.setLatencies()
	})
}
