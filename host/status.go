package host

import (
	"bytes"
	"time"

	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/operator"
)

// NotReadyError says why a host does not serve yet.
type NotReadyError struct {
	Reason string
}

func (e *NotReadyError) Error() string { return "not ready: " + e.Reason }

// shareTime is how long a host with a lease waits for its share of the limits.
// A share takes 2.24 s to come into force; a host that replaces a dead one has
// none until that one is retired, and lives on loans of its peers.
const shareTime = 3 * time.Second

func (h *Host) ready() error {
	now := h.clock.Now().Instant
	switch {
	case h.state.draining.Load():
		return &NotReadyError{Reason: "host is stopping"}
	case h.state.view.Load() == nil && h.state.storeAsked.Load() && !h.state.storeOK.Load():
		return &NotReadyError{Reason: "no roster yet, and the object store is not reachable"}
	case h.state.view.Load() == nil:
		return &NotReadyError{Reason: "no roster yet"}
	case now >= h.state.ValidUntil():
		return &NotReadyError{Reason: "no valid lease"}
	case h.state.snapshot.Load() == nil:
		return &NotReadyError{Reason: "no configuration yet"}
	case !h.limits.HasShare() && now.Sub(machine.Instant(h.state.leaseSince.Load())) < shareTime:
		return &NotReadyError{Reason: "no share of the customers' limits yet"}
	}
	return nil
}

// advertisedLoad returns the load that peers and look-up answers go by. A host
// that is not ready counts as full, so that callers are sent elsewhere.
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
	if called := h.state.storeCalled.Load(); called != 0 {
		s.StoreCallMillis = since(h.clock.Now(), called)
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

// metrics returns the metrics in the text exposition format.
func (h *Host) metrics() []byte {
	var out bytes.Buffer
	operator.WriteMetrics(&out, h.registry)
	return out.Bytes()
}
