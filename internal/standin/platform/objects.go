package platform

import (
	"sort"
	"strings"
	"sync"

	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/store"
)

// minLogLength is the number of most recent changes that stay available to
// watches. A watch from an earlier version is answered 410.
const minLogLength = 8192

// maxSnapshots limits the memory used by snapshots.
const maxSnapshots = 8

// entry is a stored object. Its value is never modified in place.
type entry struct {
	version uint64
	value   []byte
}

// loggedChange is an entry of the change log.
type loggedChange struct {
	kind string
	store.Change
}

// snapshot is a copy of all objects at one version.
type snapshot struct {
	version uint64
	objects map[machine.StoreKey]entry
}

// objects is a versioned store with compare-and-swap, watches and snapshots.
type objects struct {
	mu      sync.Mutex
	version uint64
	entries map[machine.StoreKey]entry
	log     []loggedChange
	// compacted is the version up to which the log was truncated.
	compacted uint64
	// changed is closed and replaced with each change.
	changed   chan struct{}
	snapshots map[string]snapshot
}

func newObjects() *objects {
	return &objects{
		entries:   map[machine.StoreKey]entry{},
		changed:   make(chan struct{}),
		snapshots: map[string]snapshot{},
	}
}

// get returns an object, or *store.NotFoundError.
func (o *objects) get(key machine.StoreKey) (entry, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	e, ok := o.entries[key]
	if !ok {
		return entry{}, &store.NotFoundError{Key: key}
	}
	return e, nil
}

// create writes a new object. It returns *store.ConflictError if the object exists.
func (o *objects) create(key machine.StoreKey, value []byte) (uint64, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if e, ok := o.entries[key]; ok {
		return 0, &store.ConflictError{Key: key, Current: e.version}
	}
	return o.writeLocked(key, value), nil
}

// update replaces an object if it has the given version. Otherwise it returns
// *store.ConflictError.
func (o *objects) update(key machine.StoreKey, version uint64, value []byte) (uint64, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	e, ok := o.entries[key]
	if !ok || e.version != version {
		return 0, &store.ConflictError{Key: key, Current: e.version}
	}
	return o.writeLocked(key, value), nil
}

// remove deletes an object if it has the given version. Otherwise it returns
// *store.NotFoundError or *store.ConflictError.
func (o *objects) remove(key machine.StoreKey, version uint64) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	e, ok := o.entries[key]
	if !ok {
		return &store.NotFoundError{Key: key}
	}
	if e.version != version {
		return &store.ConflictError{Key: key, Current: e.version}
	}
	o.removeLocked(key)
	return nil
}

func (o *objects) writeLocked(key machine.StoreKey, value []byte) uint64 {
	o.version++
	o.entries[key] = entry{version: o.version, value: value}
	o.logLocked(key, false)
	return o.version
}

func (o *objects) removeLocked(key machine.StoreKey) {
	o.version++
	delete(o.entries, key)
	o.logLocked(key, true)
}

func (o *objects) logLocked(key machine.StoreKey, deleted bool) {
	change := store.Change{Name: key.Name, Version: o.version, Deleted: deleted}
	o.log = append(o.log, loggedChange{kind: key.Kind, Change: change})
	// Dropping half of the log at a time keeps the amortized cost of an append low.
	if len(o.log) > 2*minLogLength {
		drop := len(o.log) - minLogLength
		o.compacted = o.log[drop-1].Version
		o.log = append([]loggedChange(nil), o.log[drop:]...)
	}
	o.notifyWatchersLocked()
}

func (o *objects) notifyWatchersLocked() {
	close(o.changed)
	o.changed = make(chan struct{})
}

// listedObject is one element of the answer of a list call.
type listedObject struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

// list returns at most limit objects, sorted by name, and the store's version.
// A limit of zero means no limit.
func (o *objects) list(kind, prefix string, limit int) ([]listedObject, uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	found := []listedObject{}
	for key, e := range o.entries {
		if key.Kind == kind && strings.HasPrefix(key.Name, prefix) {
			found = append(found, listedObject{Name: key.Name, Version: e.version})
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Name < found[j].Name })
	if limit > 0 && len(found) > limit {
		found = found[:limit]
	}
	return found, o.version
}

// changesSince returns the changes of a kind of object after version since, and
// a channel that the next change closes. It returns *store.CompactedError if since
// is older than the log, or newer than the store, which happens after a restore.
func (o *objects) changesSince(kind string, since uint64) (store.Changes, <-chan struct{}, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if since < o.compacted || since > o.version {
		return store.Changes{}, nil, &store.CompactedError{Since: since}
	}
	first := sort.Search(len(o.log), func(i int) bool { return o.log[i].Version > since })
	changes := store.Changes{Version: o.version, Changes: []store.Change{}}
	for _, c := range o.log[first:] {
		if c.kind == kind {
			changes.Changes = append(changes.Changes, c.Change)
		}
	}
	return changes, o.changed, nil
}

// takeSnapshot stores a copy of all objects under a name and returns its version.
func (o *objects) takeSnapshot(name string) (uint64, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.snapshots[name]; !ok && len(o.snapshots) >= maxSnapshots {
		return 0, &SnapshotLimitError{Limit: maxSnapshots}
	}
	o.snapshots[name] = snapshot{version: o.version, objects: cloneEntries(o.entries)}
	return o.version, nil
}

// restore replaces all objects by those of a snapshot and returns the store's
// version. With rewind, the versions of the objects and the store are reset to
// those of the snapshot, and watches from an older version are answered 410.
// Without it, every object that differs is written with a new version.
func (o *objects) restore(name string, rewind bool) (uint64, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s, ok := o.snapshots[name]
	if !ok {
		return 0, &SnapshotNotFoundError{Name: name}
	}
	if rewind {
		o.version = s.version
		o.entries = cloneEntries(s.objects)
		o.log = nil
		o.compacted = s.version
		o.notifyWatchersLocked()
		return o.version, nil
	}
	for key := range o.entries {
		if _, kept := s.objects[key]; !kept {
			o.removeLocked(key)
		}
	}
	for key, e := range s.objects {
		if o.entries[key].version != e.version {
			o.writeLocked(key, e.value)
		}
	}
	return o.version, nil
}

func cloneEntries(entries map[machine.StoreKey]entry) map[machine.StoreKey]entry {
	clone := make(map[machine.StoreKey]entry, len(entries))
	for key, e := range entries {
		clone[key] = e
	}
	return clone
}
