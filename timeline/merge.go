package timeline

import (
	"cmp"
	"slices"
)

// Merge sorts the events of several processes by time, host and sequence and
// removes duplicates.
func Merge(lists ...[]Event) []Event {
	var all []Event
	for _, list := range lists {
		all = append(all, list...)
	}
	slices.SortFunc(all, compareEvents)
	return slices.CompactFunc(all, func(a, b Event) bool { return compareEvents(a, b) == 0 })
}

func compareEvents(a, b Event) int {
	if c := a.Time.Compare(b.Time); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Host, b.Host); c != 0 {
		return c
	}
	return cmp.Compare(a.Sequence, b.Sequence)
}
