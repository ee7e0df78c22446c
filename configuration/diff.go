package configuration

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/catkinspring/catkinspring/fleet"
)

// Action is the way in which an item was changed.
type Action string

// The actions.
const (
	ActionAdded     Action = "added"
	ActionChanged   Action = "changed"
	ActionWithdrawn Action = "withdrawn"
)

// Change is one difference between two snapshots.
type Change struct {
	Item   Item   `json:"item"`
	Action Action `json:"action"`
	// Detail lists the changed fields with their old and new values.
	Detail string `json:"detail,omitempty"`
}

func (c Change) String() string {
	text := string(c.Action) + " " + c.Item.String()
	if c.Detail != "" {
		text += ": " + c.Detail
	}
	return text
}

// Diff returns the differences from one snapshot to another, in the order
// routes, customers, keys, client blocks, alert rules, each by name; withdrawn
// items precede the others, except in client blocks. Key digests are not shown.
func Diff(from, to *Snapshot) []Change {
	var changes []Change
	changes = append(changes, diffMaps(KindRoute, indexByName(from.Routes, routeName), indexByName(to.Routes, routeName))...)
	changes = append(changes, diffMaps(KindCustomer, indexByName(limitsOf(from), limitsName), indexByName(limitsOf(to), limitsName))...)
	changes = append(changes, diffMaps(KindKey, indexByName(keyList(from), keyName), indexByName(keyList(to), keyName))...)
	changes = append(changes, diffBlocks(from.Blocks, to.Blocks)...)
	changes = append(changes, diffMaps(KindAlertRule, indexByName(from.AlertRules, ruleName), indexByName(to.AlertRules, ruleName))...)
	return changes
}

func routeName(r Route) string           { return string(r.Name) }
func limitsName(l CustomerLimits) string { return string(l.ID) }
func keyName(k ownedKey) string          { return k.ID }
func ruleName(line string) string        { return line }

// ownedKey is a key with its owner. The digest is compared but not shown.
type ownedKey struct {
	ID       string         `json:"-"`
	Customer fleet.Customer `json:"customer"`
	digest   string
}

func limitsOf(s *Snapshot) []CustomerLimits {
	list := make([]CustomerLimits, 0, len(s.Customers))
	for _, c := range s.Customers {
		list = append(list, CustomerLimits{ID: c.ID, Rate: c.Rate, Burst: c.Burst, Weight: c.Weight})
	}
	return list
}

func keyList(s *Snapshot) []ownedKey {
	var list []ownedKey
	for _, c := range s.Customers {
		for _, key := range c.Keys {
			list = append(list, ownedKey{ID: key.ID, Customer: c.ID, digest: key.Digest})
		}
	}
	return list
}

// namedList holds the entries of a list by name, and the names in list order.
type namedList[T any] struct {
	names  []string
	values map[string]T
}

func indexByName[T any](list []T, name func(T) string) namedList[T] {
	t := namedList[T]{names: make([]string, 0, len(list)), values: make(map[string]T, len(list))}
	for _, v := range list {
		t.names = append(t.names, name(v))
		t.values[name(v)] = v
	}
	return t
}

func diffMaps[T any](kind Kind, from, to namedList[T]) []Change {
	var changes []Change
	for _, name := range from.names {
		if _, kept := to.values[name]; !kept {
			changes = append(changes, Change{Item: Item{kind, name}, Action: ActionWithdrawn})
		}
	}
	for _, name := range to.names {
		old, existed := from.values[name]
		switch {
		case !existed:
			changes = append(changes, Change{Item: Item{kind, name}, Action: ActionAdded})
		case !reflect.DeepEqual(old, to.values[name]):
			changes = append(changes, Change{Item: Item{kind, name}, Action: ActionChanged, Detail: fieldDiff(old, to.values[name])})
		}
	}
	return changes
}

// fieldDiff lists the exported fields that differ, with old and new values.
func fieldDiff(old, new any) string {
	a, b := reflect.ValueOf(old), reflect.ValueOf(new)
	if a.Kind() != reflect.Struct {
		return ""
	}
	var parts []string
	for i := range a.NumField() {
		field := a.Type().Field(i)
		if !field.IsExported() || reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			continue
		}
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		parts = append(parts, fmt.Sprintf("%s %v -> %v", name, a.Field(i).Interface(), b.Field(i).Interface()))
	}
	return strings.Join(parts, ", ")
}
