package platform

import (
	"sort"
	"sync"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/store"
)

// hostChange is a change of the host list that becomes visible to callers at due.
type hostChange struct {
	due  time.Time
	name string
	// host is nil if the host was removed.
	host *store.ListedHost
}

// hostList is a host list whose changes become visible after a lag.
type hostList struct {
	mu     sync.Mutex
	now    func() time.Time
	lag    time.Duration
	frozen bool
	// asOf is the time of the state that the visible list shows.
	asOf    time.Time
	actual  map[string]store.ListedHost
	visible map[string]store.ListedHost
	pending []hostChange
}

func newHostList(now func() time.Time) *hostList {
	return &hostList{
		now:     now,
		actual:  map[string]store.ListedHost{},
		visible: map[string]store.ListedHost{},
	}
}

// setLag sets the lag of later changes. Pending changes keep their due time.
func (h *hostList) setLag(lag time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lag = lag
}

// setFrozen stops or resumes updates of the visible list.
func (h *hostList) setFrozen(frozen bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.applyDueLocked()
	h.frozen = frozen
}

// put adds or replaces a host. An immediate change has no lag.
func (h *hostList) put(host store.ListedHost, immediate bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.actual[host.Name] = host
	h.queueLocked(hostChange{name: host.Name, host: &host}, immediate)
}

// remove removes a host and reports whether it was listed.
func (h *hostList) remove(name string, immediate bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.actual[name]; !ok {
		return false
	}
	delete(h.actual, name)
	h.queueLocked(hostChange{name: name}, immediate)
	return true
}

func (h *hostList) queueLocked(change hostChange, immediate bool) {
	change.due = h.now()
	if !immediate {
		change.due = change.due.Add(h.lag)
	}
	// Changes become visible in the order in which they were made, even after
	// the lag was shortened.
	if last := len(h.pending) - 1; last >= 0 && h.pending[last].due.After(change.due) {
		change.due = h.pending[last].due
	}
	h.pending = append(h.pending, change)
	h.applyDueLocked()
}

// applyDueLocked applies the due changes to the visible list, unless it is frozen.
func (h *hostList) applyDueLocked() {
	if h.frozen {
		return
	}
	now := h.now()
	h.asOf = now.Add(-h.lag)
	done := 0
	for ; done < len(h.pending) && !h.pending[done].due.After(now); done++ {
		change := h.pending[done]
		if change.host == nil {
			delete(h.visible, change.name)
			continue
		}
		h.visible[change.name] = *change.host
	}
	h.pending = append([]hostChange(nil), h.pending[done:]...)
}

// list returns the visible hosts, sorted by name.
func (h *hostList) list() store.HostList {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.applyDueLocked()
	return store.HostList{AsOf: h.asOf, Hosts: sortedHosts(h.visible)}
}

// current returns the hosts without lag, sorted by name.
func (h *hostList) current() store.HostList {
	h.mu.Lock()
	defer h.mu.Unlock()
	return store.HostList{AsOf: h.now(), Hosts: sortedHosts(h.actual)}
}

// region returns the region of the named host, or "" if it is not listed.
func (h *hostList) region(name string) fleet.Region {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.actual[name].Region
}

func sortedHosts(listed map[string]store.ListedHost) []store.ListedHost {
	sorted := make([]store.ListedHost, 0, len(listed))
	for _, host := range listed {
		sorted = append(sorted, host)
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Name < sorted[j].Name })
	return sorted
}
