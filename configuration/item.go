package configuration

import (
	"net/netip"

	"github.com/catkinspring/catkinspring/fleet"
)

// Kind is the kind of an item of the configuration.
type Kind string

// The kinds of item.
const (
	KindRoute       Kind = "route"
	KindCustomer    Kind = "customer"
	KindKey         Kind = "key"
	KindClientBlock Kind = "client block"
	KindAlertRule   Kind = "alert rule"
)

// Item identifies one item of the configuration.
type Item struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

func (i Item) String() string { return string(i.Kind) + " " + i.Name }

// Note is a release note. It lists items to add, change and withdraw.
type Note struct {
	// ID is chosen by the operator. Sending a note again with the same id and
	// content has no further effect.
	ID string `json:"id" cbor:"1,keyasint"`
	// Comment is not stored.
	Comment   string    `json:"comment" cbor:"-"`
	Added     Added     `json:"added" cbor:"2,keyasint"`
	Changed   Changed   `json:"changed" cbor:"3,keyasint"`
	Withdrawn Withdrawn `json:"withdrawn" cbor:"4,keyasint"`

	positions positions
}

// Added lists items that must not exist.
type Added struct {
	Routes       []Route       `json:"routes" cbor:"1,keyasint"`
	Customers    []Customer    `json:"customers" cbor:"2,keyasint"`
	Keys         []CustomerKey `json:"keys" cbor:"3,keyasint"`
	ClientBlocks []ClientBlock `json:"clientBlocks" cbor:"4,keyasint"`
	AlertRules   []string      `json:"alertRules" cbor:"5,keyasint"`
}

// Changed lists items that must exist and are replaced.
type Changed struct {
	Routes       []Route          `json:"routes" cbor:"1,keyasint"`
	Customers    []CustomerLimits `json:"customers" cbor:"2,keyasint"`
	ClientBlocks []ClientBlock    `json:"clientBlocks" cbor:"3,keyasint"`
}

// Withdrawn names items that must exist and are removed.
type Withdrawn struct {
	Routes       []fleet.Route    `json:"routes" cbor:"1,keyasint"`
	Customers    []fleet.Customer `json:"customers" cbor:"2,keyasint"`
	Keys         []string         `json:"keys" cbor:"3,keyasint"`
	ClientBlocks []netip.Prefix   `json:"clientBlocks" cbor:"4,keyasint"`
	AlertRules   []string         `json:"alertRules" cbor:"5,keyasint"`
}

// CustomerKey is a key of a customer that exists or is added by the same note.
type CustomerKey struct {
	Customer fleet.Customer `json:"customer" cbor:"1,keyasint"`
	ID       string         `json:"id" cbor:"2,keyasint"`
	Digest   string         `json:"digest" cbor:"3,keyasint"`
}

// CustomerLimits holds the fields of a customer that a note can change. Keys are
// added and withdrawn separately.
type CustomerLimits struct {
	ID     fleet.Customer `json:"id" cbor:"1,keyasint"`
	Rate   float64        `json:"rate" cbor:"2,keyasint"`
	Burst  float64        `json:"burst" cbor:"3,keyasint"`
	Weight int            `json:"weight" cbor:"4,keyasint"`
}

// visit calls f for each item in the note, with the path of the item.
func (n *Note) visit(f func(path string, item Item)) {
	visitList("added.routes", n.Added.Routes, f, func(r Route) Item { return Item{KindRoute, string(r.Name)} })
	visitList("changed.routes", n.Changed.Routes, f, func(r Route) Item { return Item{KindRoute, string(r.Name)} })
	visitList("withdrawn.routes", n.Withdrawn.Routes, f, func(r fleet.Route) Item { return Item{KindRoute, string(r)} })
	visitList("added.customers", n.Added.Customers, f, func(c Customer) Item { return Item{KindCustomer, string(c.ID)} })
	visitList("changed.customers", n.Changed.Customers, f, func(c CustomerLimits) Item { return Item{KindCustomer, string(c.ID)} })
	visitList("withdrawn.customers", n.Withdrawn.Customers, f, func(c fleet.Customer) Item { return Item{KindCustomer, string(c)} })
	for i, c := range n.Added.Customers {
		path := index("added.customers", i) + ".keys"
		visitList(path, c.Keys, f, func(k Key) Item { return Item{KindKey, k.ID} })
	}
	visitList("added.keys", n.Added.Keys, f, func(k CustomerKey) Item { return Item{KindKey, k.ID} })
	visitList("withdrawn.keys", n.Withdrawn.Keys, f, func(id string) Item { return Item{KindKey, id} })
	visitList("added.clientBlocks", n.Added.ClientBlocks, f, func(b ClientBlock) Item { return Item{KindClientBlock, b.Prefix.String()} })
	visitList("changed.clientBlocks", n.Changed.ClientBlocks, f, func(b ClientBlock) Item { return Item{KindClientBlock, b.Prefix.String()} })
	visitList("withdrawn.clientBlocks", n.Withdrawn.ClientBlocks, f, func(p netip.Prefix) Item { return Item{KindClientBlock, p.String()} })
	visitList("added.alertRules", n.Added.AlertRules, f, func(line string) Item { return Item{KindAlertRule, line} })
	visitList("withdrawn.alertRules", n.Withdrawn.AlertRules, f, func(line string) Item { return Item{KindAlertRule, line} })
}

func visitList[T any](path string, list []T, f func(string, Item), item func(T) Item) {
	for i, v := range list {
		f(index(path, i), item(v))
	}
}

// Items returns the items in the note, grouped by kind.
func (n *Note) Items() []Item {
	var items []Item
	n.visit(func(_ string, item Item) { items = append(items, item) })
	return items
}
