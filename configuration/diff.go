package configuration

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/catkinspring/catkinspring/fleet"
)

// Action says what happened to an item.
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
	// Detail names the fields that changed, with old and new value.
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
// routes, customers, keys, client blocks, alert rules, each by name. Key
// digests are left out.
func Diff(from, to *Snapshot) []Change {
	var changes []Change
	changes = append(changes, diffMaps(KindRoute, keyed(from.Routes, routeName), keyed(to.Routes, routeName))...)
	changes = append(changes, diffMaps(KindCustomer, keyed(limitsOf(from), limitsName), keyed(limitsOf(to), limitsName))...)
	changes = append(changes, diffMaps(KindKey, keyed(keyList(from), keyName), keyed(keyList(to), keyName))...)
	changes = append(changes, diffBlocks(from.Blocks, to.Blocks)...)
	changes = append(changes, diffMaps(KindAlertRule, keyed(from.AlertRules, ruleName), keyed(to.AlertRules, ruleName))...)
	return changes
}

func routeName(r Route) string           { return string(r.Name) }
func limitsName(l CustomerLimits) string { return string(l.ID) }
func keyName(k ownedKey) string          { return k.ID }
func ruleName(line string) string        { return line }

// ownedKey is a key without what a person need not see.
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

// table is a list with its entries by name.
type table[T any] struct {
	names  []string
	values map[string]T
}

func keyed[T any](list []T, name func(T) string) table[T] {
	t := table[T]{names: make([]string, 0, len(list)), values: make(map[string]T, len(list))}
	for _, v := range list {
		t.names = append(t.names, name(v))
		t.values[name(v)] = v
	}
	return t
}

func diffMaps[T any](kind Kind, from, to table[T]) []Change {
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

// fieldDiff names the exported fields that differ.
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
