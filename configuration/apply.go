package configuration

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/catkinspring/catkinspring/fleet"
)

// Apply returns the snapshot that results from applying a note to a base, with
// the next revision. The base is not modified. Adding an item that exists, or
// changing or withdrawing one that does not, is an error; all such errors are
// returned together in a *NoteError.
func Apply(base *Snapshot, n *Note) (*Snapshot, error) {
	a := newApplier(base, n)
	a.withdraw()
	a.change()
	a.add()
	next := a.build()
	a.checkRoutes(next)
	if len(a.problems) > 0 {
		return nil, &NoteError{NoteID: n.ID, Revision: base.Revision, Problems: a.problems}
	}
	next.Index()
	return next, nil
}

// WithdrawnKeys returns the sorted ids of the keys that a note withdraws from a
// base, including those of withdrawn customers.
func WithdrawnKeys(base *Snapshot, n *Note) []string {
	ids := append(keysOf(base, n.Withdrawn.Customers), n.Withdrawn.Keys...)
	slices.Sort(ids)
	return slices.Compact(ids)
}

// maxApplyProblems bounds the problems reported for one note.
const maxApplyProblems = 200

type applier struct {
	note      *Note
	base      *Snapshot
	routes    map[fleet.Route]Route
	customers map[fleet.Customer]Customer
	keys      map[string]fleet.Customer
	rules     []string
	problems  []Problem
}

func newApplier(base *Snapshot, n *Note) *applier {
	a := &applier{
		note: n, base: base,
		routes:    make(map[fleet.Route]Route, len(base.Routes)),
		customers: make(map[fleet.Customer]Customer, len(base.Customers)),
		keys:      map[string]fleet.Customer{},
		rules:     slices.Clone(base.AlertRules),
	}
	for _, r := range base.Routes {
		a.routes[r.Name] = r
	}
	for _, c := range base.Customers {
		a.customers[c.ID] = c
		for _, key := range c.Keys {
			a.keys[key.ID] = c.ID
		}
	}
	return a
}

func (a *applier) fail(path string, item Item, want string) {
	if len(a.problems) >= maxApplyProblems {
		return
	}
	line, column := 1, 1
	if a.note.positions != nil {
		line, column = a.note.positions.Position(path)
	}
	a.problems = append(a.problems, Problem{Line: line, Column: column, Path: path, Value: item.String(), Want: want})
}

const (
	wantNew      = "exists already; change it instead"
	wantExisting = "does not exist"
)

// remove deletes an entry and returns it. A missing entry is a problem.
func remove[K comparable, V any](a *applier, m map[K]V, key K, path string, item Item) (V, bool) {
	v, ok := m[key]
	if !ok {
		a.fail(path, item, wantExisting)
	}
	delete(m, key)
	return v, ok
}

// insert adds an entry. An existing entry is a problem.
func insert[K comparable, V any](a *applier, m map[K]V, key K, v V, path string, item Item) bool {
	if _, exists := m[key]; exists {
		a.fail(path, item, wantNew)
		return false
	}
	m[key] = v
	return true
}

func (a *applier) withdraw() {
	w := &a.note.Withdrawn
	for i, name := range w.Routes {
		remove(a, a.routes, name, index("withdrawn.routes", i), Item{KindRoute, string(name)})
	}
	for i, id := range w.Keys {
		owner, ok := remove(a, a.keys, id, index("withdrawn.keys", i), Item{KindKey, id})
		if ok {
			a.setKeys(owner, slices.DeleteFunc(slices.Clone(a.customers[owner].Keys), func(k Key) bool { return k.ID == id }))
		}
	}
	for i, id := range w.Customers {
		c, _ := remove(a, a.customers, id, index("withdrawn.customers", i), Item{KindCustomer, string(id)})
		for _, key := range c.Keys {
			delete(a.keys, key.ID)
		}
	}
	for i, line := range w.AlertRules {
		pos := slices.Index(a.rules, line)
		if pos < 0 {
			a.fail(index("withdrawn.alertRules", i), Item{KindAlertRule, line}, wantExisting)
			continue
		}
		a.rules = slices.Delete(a.rules, pos, pos+1)
	}
}

func (a *applier) setKeys(id fleet.Customer, keys []Key) {
	c := a.customers[id]
	c.Keys = keys
	a.customers[id] = c
}

func (a *applier) change() {
	for i, r := range a.note.Changed.Routes {
		if _, ok := remove(a, a.routes, r.Name, index("changed.routes", i), Item{KindRoute, string(r.Name)}); ok {
			a.routes[r.Name] = r
		}
	}
	for i, limits := range a.note.Changed.Customers {
		c, ok := a.customers[limits.ID]
		if !ok {
			a.fail(index("changed.customers", i), Item{KindCustomer, string(limits.ID)}, wantExisting)
			continue
		}
		c.Rate, c.Burst, c.Weight = limits.Rate, limits.Burst, limits.Weight
		a.customers[limits.ID] = c
	}
}

func (a *applier) add() {
	for i, r := range a.note.Added.Routes {
		insert(a, a.routes, r.Name, r, index("added.routes", i), Item{KindRoute, string(r.Name)})
	}
	for i, c := range a.note.Added.Customers {
		path := index("added.customers", i)
		keys := c.Keys
		c.Keys = nil
		if !insert(a, a.customers, c.ID, c, path, Item{KindCustomer, string(c.ID)}) {
			continue
		}
		for k, key := range keys {
			a.addKey(index(path+".keys", k), c.ID, key)
		}
	}
	for i, key := range a.note.Added.Keys {
		a.addKey(index("added.keys", i), key.Customer, Key{ID: key.ID, Digest: key.Digest})
	}
	for i, line := range a.note.Added.AlertRules {
		if slices.Contains(a.rules, line) {
			a.fail(index("added.alertRules", i), Item{KindAlertRule, line}, "exists already")
			continue
		}
		a.rules = append(a.rules, line)
	}
}

func (a *applier) addKey(path string, id fleet.Customer, key Key) {
	c, ok := a.customers[id]
	if !ok {
		a.fail(path, Item{KindCustomer, string(id)}, wantExisting)
		return
	}
	if !insert(a, a.keys, key.ID, id, path, Item{KindKey, key.ID}) {
		return
	}
	if len(c.Keys) >= maxKeys {
		a.fail(path, Item{KindCustomer, string(id)}, fmt.Sprintf("must have at most %d keys", maxKeys))
		return
	}
	keys := append(slices.Clone(c.Keys), key)
	slices.SortFunc(keys, func(x, y Key) int { return cmp.Compare(x.ID, y.ID) })
	a.setKeys(id, keys)
}

// build returns the resulting snapshot. Routes, customers and blocks are sorted, so
// that equal contents encode to equal bytes.
func (a *applier) build() *Snapshot {
	next := &Snapshot{
		Revision:   a.base.Revision + 1,
		Routes:     slices.Collect(maps.Values(a.routes)),
		Customers:  slices.Collect(maps.Values(a.customers)),
		Blocks:     a.editBlocks(),
		AlertRules: a.rules,
	}
	slices.SortFunc(next.Routes, func(x, y Route) int { return cmp.Compare(x.Name, y.Name) })
	slices.SortFunc(next.Customers, func(x, y Customer) int { return cmp.Compare(x.ID, y.ID) })
	return next
}

// checkRoutes checks that path prefixes are unique and that customers exist.
func (a *applier) checkRoutes(next *Snapshot) {
	prefixes := map[string]fleet.Route{}
	for i := range next.Routes {
		r := &next.Routes[i]
		item := Item{KindRoute, string(r.Name)}
		prefix := strings.TrimSuffix(r.PathPrefix, "/")
		if other, taken := prefixes[prefix]; taken {
			a.fail(a.pathOf(r.Name, other), item, fmt.Sprintf("has the path prefix of route %s", other))
		}
		prefixes[prefix] = r.Name
		for _, id := range r.Customers {
			if _, ok := a.customers[id]; !ok {
				a.fail(a.pathOf(r.Name), item, fmt.Sprintf("names customer %s, who does not exist after this note", id))
			}
		}
	}
}

// pathOf returns the path of the first of the given routes in the note; empty if
// the note adds or changes none of them.
func (a *applier) pathOf(names ...fleet.Route) string {
	for i, r := range a.note.Added.Routes {
		if slices.Contains(names, r.Name) {
			return index("added.routes", i)
		}
	}
	for i, r := range a.note.Changed.Routes {
		if slices.Contains(names, r.Name) {
			return index("changed.routes", i)
		}
	}
	return ""
}
