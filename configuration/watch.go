package configuration

import "github.com/catkinspring/catkinspring/fleet"

// ShouldWatchHead reports whether the host of a view must watch the head in the store.
// In each region, the reachable active or leaving member with the lowest id watches
// it. While hosts have different views, none or several may watch.
func ShouldWatchHead(view *fleet.View) bool {
	self := view.Find(view.Self.Host)
	if self == nil {
		return false
	}
	for i := range view.Members {
		m := &view.Members[i]
		serves := m.State == fleet.StateActive || m.State == fleet.StateLeaving
		if m.Region == self.Region && m.Host < self.Host && m.Reachable && serves {
			return false
		}
	}
	return true
}
