package configcheck

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/policy"
)

// Change is the kind of a difference.
type Change string

// The kinds of differences.
const (
	ChangeAdded   Change = "added"
	ChangeRemoved Change = "removed"
	ChangeChanged Change = "changed"
)

// Difference is one difference between two configurations.
type Difference struct {
	Change Change `json:"change"`
	// Entry is what differs, such as route "search".
	Entry string `json:"entry"`
	// Text describes the difference.
	Text string `json:"text"`
}

// property is a property of an entry and its value in words.
type property struct{ name, value string }

// entry is one route, service or customer with its properties.
type entry struct {
	name       string
	properties []property
	// keys are the keys of a customer, which are only counted.
	keys []policy.Digest
}

// Compare returns the differences of the second configuration from the first one.
// Entries are compared by name.
func Compare(from, to *policy.Configuration) []Difference {
	differences := []Difference{}
	differences = appendChanges(differences, "version", []property{{"number", show(from.Version)}}, []property{{"number", show(to.Version)}})
	differences = appendChanges(differences, "limits", limitProperties(from.Limits), limitProperties(to.Limits))
	differences = appendEntries(differences, "service", serviceEntries(from), serviceEntries(to))
	differences = appendEntries(differences, "route", routeEntries(from), routeEntries(to))
	return appendEntries(differences, "customer", customerEntries(from), customerEntries(to))
}

func appendEntries(list []Difference, what string, from, to []entry) []Difference {
	former := make(map[string]entry, len(from))
	for _, e := range from {
		former[e.name] = e
	}
	current := make(map[string]bool, len(to))
	for _, e := range to {
		current[e.name] = true
		name := fmt.Sprintf("%s %q", what, e.name)
		earlier, known := former[e.name]
		if !known {
			list = append(list, Difference{Change: ChangeAdded, Entry: name, Text: "is new"})
			continue
		}
		list = appendChanges(list, name, earlier.properties, e.properties)
		if added, removed := missing(e.keys, earlier.keys), missing(earlier.keys, e.keys); added+removed > 0 {
			list = append(list, Difference{Change: ChangeChanged, Entry: name, Text: fmt.Sprintf("keys: %d added, %d removed", added, removed)})
		}
	}
	for _, e := range from {
		if !current[e.name] {
			list = append(list, Difference{Change: ChangeRemoved, Entry: fmt.Sprintf("%s %q", what, e.name), Text: "is removed"})
		}
	}
	return list
}

// appendChanges appends the properties that differ.
func appendChanges(list []Difference, name string, from, to []property) []Difference {
	for i, p := range to {
		if from[i].value != p.value {
			list = append(list, Difference{Change: ChangeChanged, Entry: name, Text: fmt.Sprintf("%s: from %s to %s", p.name, from[i].value, p.value)})
		}
	}
	return list
}

// missing returns how many of the keys are not among others.
func missing(keys, others []policy.Digest) int {
	known := make(map[policy.Digest]bool, len(others))
	for _, key := range others {
		known[key] = true
	}
	n := 0
	for _, key := range keys {
		if !known[key] {
			n++
		}
	}
	return n
}

func limitProperties(l policy.Limits) []property {
	return []property{
		{"header bytes", show(l.HeaderBytes)}, {"body bytes", show(l.BodyBytes)},
		{"header timeout", show(l.HeaderTimeout)}, {"idle timeout", show(l.IdleTimeout)},
	}
}

func serviceEntries(c *policy.Configuration) []entry {
	list := make([]entry, 0, len(c.Services))
	for _, s := range c.Services {
		list = append(list, entry{name: string(s.Name), properties: []property{
			{"connections", show(s.MaxConnections)}, {"warm-up time", show(s.SlowStart)}, {"warm-up rate", show(s.WarmupRate)},
		}})
	}
	return list
}

func routeEntries(c *policy.Configuration) []entry {
	list := make([]entry, 0, len(c.Routes))
	for _, r := range c.Routes {
		list = append(list, entry{name: string(r.Name), properties: []property{
			{"host", r.Host}, {"prefix", r.PathPrefix}, {"services", showParts(r.Parts)}, {"may be repeated", show(r.Idempotent)},
			{"timeout", show(r.Timeout)}, {"target latency", show(r.TargetLatency)}, {"attempts", show(r.MaxAttempts)},
			{"priority", show(r.Priority)}, {"requests without a key", show(r.AllowsAnonymous)}, {"sticky", show(r.Sticky)},
			{"regions", show(sorted(r.Homes))},
		}})
	}
	return list
}

func customerEntries(c *policy.Configuration) []entry {
	list := make([]entry, 0, len(c.Customers))
	for _, t := range c.Customers {
		priority := "of the route"
		if t.HasPriority {
			priority = show(t.Priority)
		}
		list = append(list, entry{name: string(t.Name), keys: t.Keys, properties: []property{
			{"priority", priority}, {"rate", show(t.Rate)}, {"burst", show(t.Burst)}, {"regions", show(sorted(t.Homes))},
		}})
	}
	return list
}

// sorted returns the different regions in an order that does not depend on the file.
func sorted(regions []fleet.Region) []fleet.Region {
	return slices.Compact(slices.Sorted(slices.Values(regions)))
}

func showParts(parts []policy.WeightedService) string {
	if len(parts) == 1 && parts[0].Weight == 1 {
		return strconv.Quote(string(parts[0].Service))
	}
	list := make([]string, len(parts))
	for i, p := range parts {
		list[i] = fmt.Sprintf("%q (weight %d)", p.Service, p.Weight)
	}
	return strings.Join(list, ", ")
}
