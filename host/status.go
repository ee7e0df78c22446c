package host

import (
	"bytes"
	"time"

	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/operator"
)

// NotReadyError gives the reason why a host does not serve requests.
type NotReadyError struct {
	Reason string
}

func (e *NotReadyError) Error() string { return "not ready: " + e.Reason }

// shareGracePeriod is how long a host with a lease waits for its share of the
// customers' limits before it is ready without one. A share takes 2.24 s to take
// effect. A host that replaces a dead one has no share until that one is retired,
// and borrows from its peers until then.
const shareGracePeriod = 3 * time.Second

func (h *Host) ready() error {
	now := h.clock.Now().Instant
	switch {
	case h.state.draining.Load():
		return &NotReadyError{Reason: "host is stopping"}
	case h.state.view.Load() == nil && h.state.storeContacted.Load() && !h.state.storeOK.Load():
		return &NotReadyError{Reason: "no roster yet, and the object store is not reachable"}
	case h.state.view.Load() == nil:
		return &NotReadyError{Reason: "no roster yet"}
	case now >= h.state.ValidUntil():
		return &NotReadyError{Reason: "no valid lease"}
	case h.state.snapshot.Load() == nil:
		return &NotReadyError{Reason: "no configuration yet"}
	case !h.limits.Joined() && now.Sub(machine.Instant(h.state.leaseSince.Load())) < shareGracePeriod:
		return &NotReadyError{Reason: "no share of the customers' limits yet"}
	}
	return nil
}

// advertisedLoad returns the load that peers and lookup answers use for this host.
// A host that is not ready reports full load, so that callers are sent elsewhere.
func (h *Host) advertisedLoad() float64 {
	if h.ready() != nil {
		return 1
	}
	return h.active.load()
}

func (h *Host) status() operator.Status {
	s := operator.Status{
		Host:        h.self.Host,
		Incarnation: h.self.Incarnation,
		Location:    h.location,
		Version:     h.version,
		Draining:    h.state.draining.Load(),
		LeaseMillis: max(0, h.state.ValidUntil().Sub(h.clock.Now().Instant).Milliseconds()),
		Revision:    h.state.revision(),
		StoreOK:     h.state.storeOK.Load(),
		Running:     h.active.running(),

		StoreCallMillis: -1,
	}
	if lastResult := h.state.lastStoreResult.Load(); lastResult != 0 {
		s.StoreCallMillis = millisSince(h.clock.Now(), lastResult)
	}
	if contacts := h.state.contacts.Load(); contacts != nil {
		s.Operators = *contacts
	}
	if err := h.ready(); err != nil {
		s.NotReady = err.Error()
	} else {
		s.Ready = true
	}
	h.addTraffic(&s)
	h.addAlerts(&s)
	if view := h.state.view.Load(); view != nil {
		s.RosterVersion = view.Version
		s.Members = view.Members
		for i := range view.Partitions {
			if view.Owns(i) {
				s.Partitions++
			}
		}
	}
	return s
}

// metrics returns the metrics in the Prometheus text exposition format.
func (h *Host) metrics() []byte {
	var out bytes.Buffer
	operator.WriteMetrics(&out, h.registry)
	return out.Bytes()
}
