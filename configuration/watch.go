package configuration

import "github.com/catkinspring/catkinspring/fleet"

// WatchesHead reports whether the host of a view has to keep a watch on the
// head: it has the lowest id among the reachable members of its region. Hosts
// may disagree for a moment; then none or two of them watch.
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
