package platform

import (
	"sort"
	"sync"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/store"
)

// hostChange is a change of the host list that callers do not see before due.
type hostChange struct {
	due  time.Time
	name string
	// host is nil if the host was removed.
	host *store.ListedHost
}

// hosts is the lagging host list.
type hosts struct {
	mu     sync.Mutex
	now    func() time.Time
	lag    time.Duration
	frozen bool
	// asOf is the time of the last list before it was frozen.
	asOf    time.Time
	actual  map[string]store.ListedHost
	shown   map[string]store.ListedHost
	pending []hostChange
}

func newHosts(now func() time.Time) *hosts {
	return &hosts{
		now:    now,
		actual: map[string]store.ListedHost{},
		shown:  map[string]store.ListedHost{},
	}
}

// setLag sets the delay of later changes. Pending changes keep theirs.
func (h *hosts) setLag(lag time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lag = lag
}

// setFrozen stops or resumes the updates of the shown list.
func (h *hosts) setFrozen(frozen bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.showLocked()
	h.frozen = frozen
}

// put adds or replaces a host. An immediate change shows without lag.
func (h *hosts) put(host store.ListedHost, immediate bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.actual[host.Name] = host
	h.queueLocked(hostChange{name: host.Name, host: &host}, immediate)
}

// remove removes a host and reports whether it was listed.
func (h *hosts) remove(name string, immediate bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.actual[name]; !ok {
		return false
	}
	delete(h.actual, name)
	h.queueLocked(hostChange{name: name}, immediate)
	return true
}

func (h *hosts) queueLocked(change hostChange, immediate bool) {
	change.due = h.now()
	if !immediate {
		change.due = change.due.Add(h.lag)
	}
	// Changes show in the order in which they were made, even after the lag
	// was shortened.
	if last := len(h.pending) - 1; last >= 0 && h.pending[last].due.After(change.due) {
		change.due = h.pending[last].due
	}
	h.pending = append(h.pending, change)
	h.showLocked()
}

// showLocked applies the changes that are due.
func (h *hosts) showLocked() {
	if h.frozen {
		return
	}
	now := h.now()
	h.asOf = now.Add(-h.lag)
	done := 0
	for ; done < len(h.pending) && !h.pending[done].due.After(now); done++ {
		change := h.pending[done]
		if change.host == nil {
			delete(h.shown, change.name)
			continue
		}
		h.shown[change.name] = *change.host
	}
	h.pending = append([]hostChange(nil), h.pending[done:]...)
}

// list returns the list that callers see, sorted by name.
func (h *hosts) list() store.HostList {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.showLocked()
	return store.HostList{AsOf: h.asOf, Hosts: sortedHosts(h.shown)}
}

// current returns the list without lag, sorted by name.
func (h *hosts) current() store.HostList {
	h.mu.Lock()
	defer h.mu.Unlock()
	return store.HostList{AsOf: h.now(), Hosts: sortedHosts(h.actual)}
}

// region returns the region of a host by its name, empty if it is not listed.
func (h *hosts) region(name string) fleet.Region {
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
