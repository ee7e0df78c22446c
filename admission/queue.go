package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

const (
	// MaxItems is the number of places of one queue. A service gets 5 to 15 requests a second
	// on one host, so this is several seconds of arrivals.
	MaxItems = 64
	// MaxHostItems and MaxHostBytes bound the items in all queues of a host and the bodies that
	// they hold. The smallest hosts have 136 MB.
	MaxHostItems = 256
	MaxHostBytes = 4 << 20
	// maxCustomerItems is the number of places that one customer holds while others wait.
	maxCustomerItems = MaxItems / 4
	// maxTries is the number of items that Next returns. Trying an item costs a comparison of
	// all upstreams of the service.
	maxTries = 8
	// triesInOrder of them are the first items in order. The others are taken in turn from the
	// rest of the queue: the first items may need upstreams that stay full while others have
	// free slots.
	triesInOrder = 4
	// targetMargin is the percentage of the estimated work that has to be left of the target. Without a
	// margin, items are served when their target is only just met, and half of them miss it.
	targetMargin = 125
	// oldestPart is the part of the served work, as its reciprocal, that goes to the item which has
	// waited longest. Counted in items, every eighth turn would take half of the work if most
	// items are short, because the longest waits are those of long items.
	oldestPart = 8
)

// Item is a request that waits.
type Item struct {
	Customer fleet.Customer
	// Priority is 0 for the most urgent requests.
	Priority int
	// Target is when the response is due to be fully useful; 0 if the route has no target. It is
	// counted from the arrival at this host.
	Target machine.Instant
	// Deadline is when the caller stops waiting.
	Deadline machine.Instant
	// Work is the estimated time from the begin of an attempt to its response.
	Work time.Duration
	// Bytes is the size of the request body.
	Bytes int64
}

// latestStart returns when an attempt has to begin to end by the deadline.
func (i *Item) latestStart() machine.Instant { return i.Deadline.Add(-i.Work) }

// meetsTarget reports whether an attempt that begins now probably ends by the target.
func (i *Item) meetsTarget(now machine.Instant) bool {
	return i.Target == 0 || now.Add(i.Work*targetMargin/100) <= i.Target
}

// Ticket identifies a waiting item on a host. 0 is no ticket.
type Ticket uint64

// Verdict is the result of Push.
type Verdict uint8

// The verdicts.
const (
	// Queued means that the item waits.
	Queued Verdict = iota
	// TooLate means that the item is not expected to be served by its deadline.
	TooLate
	// QueueFull means that all items of the full queue come before it.
	QueueFull
	// HostFull means that the queues of the host together hold too many items or bytes.
	HostFull
	// CustomerFull means that the customer holds its part of the places already.
	CustomerFull
)

// String returns the name of the verdict in logs.
func (v Verdict) String() string {
	return [...]string{"queued", "too_late", "queue_full", "host_full", "customer_full"}[v]
}

// Entry describes an item that was queued.
type Entry struct {
	Ticket Ticket
	// Position is the number of items before it.
	Position int
	// Displaced is the ticket of the item that was removed for this one; 0 if there is none.
	Displaced Ticket
}

// Host bounds the queues of one host together. Its zero value is ready for use.
type Host struct {
	items int
	bytes int64
	last  Ticket
}

// Items returns the number of items in all queues.
func (h *Host) Items() int { return h.items }

// Bytes returns the bytes of request bodies in all queues.
func (h *Host) Bytes() int64 { return h.bytes }

// Queue holds the waiting items of one service.
type Queue struct {
	host *Host
	// entries are in the order of arrival.
	entries []*entry
	// sorted holds the entries as compare last ordered them, which is almost their present order:
	// sorting them again takes little time.
	sorted []*entry
	// oldestCredit is the work that may go to the item that has waited longest.
	oldestCredit time.Duration
	// lastInTurn is the last item that Next returned from the rest of the queue.
	lastInTurn Ticket
	// classes are the departures by class; see classOf.
	classes [classes]class
}

// class holds the departures of the items of some priorities. A common rate would be too
// high for items of low priority that are overtaken by many short ones.
type class struct {
	departures
	items int
}

// classes is the number of classes. Priorities that are not among the first ones share the last.
const classes = 4

func classOf(priority int) int { return max(0, min(priority, classes-1)) }

type entry struct {
	Item
	ticket Ticket
}

// NewQueue returns an empty queue whose items count against the bounds of the host.
func (h *Host) NewQueue() *Queue { return &Queue{host: h} }

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.entries) }

// due returns when the response is due to be fully useful.
func (i *Item) due() machine.Instant { return cmp.Or(i.Target, i.Deadline) }

// compare orders the items of all customers. Items that meet their targets are ordered by target: a
// caller that was refused elsewhere has an earlier deadline than a new one, but its target starts
// again with each request. By deadline, it would come first and new ones would miss their targets.
func compare(now machine.Instant, a, b *entry) int {
	if c := cmp.Compare(a.Priority, b.Priority); c != 0 {
		return c
	}
	meets := a.meetsTarget(now)
	if meets != b.meetsTarget(now) {
		if meets {
			return -1
		}
		return 1
	}
	if meets {
		return cmp.Or(cmp.Compare(a.due(), b.due()), cmp.Compare(a.ticket, b.ticket))
	}
	return cmp.Or(cmp.Compare(a.Deadline, b.Deadline), cmp.Compare(a.ticket, b.ticket))
}

// ordered returns items in the order in which they are served, and sorts them by compare. What a
// customer holds beyond its part of the places comes after everything else.
func ordered(now machine.Instant, entries []*entry) []*entry {
	slices.SortFunc(entries, func(a, b *entry) int { return compare(now, a, b) })
	list := make([]*entry, 0, len(entries))
	if len(entries) <= maxCustomerItems {
		return append(list, entries...)
	}
	held := make(map[fleet.Customer]int)
	var beyond []*entry
	for _, e := range entries {
		if held[e.Customer]++; held[e.Customer] > maxCustomerItems {
			beyond = append(beyond, e)
		} else {
			list = append(list, e)
		}
	}
	return append(list, beyond...)
}

// Push adds an item unless it is refused. It removes at most one other item for it.
func (q *Queue) Push(now machine.Instant, item Item) (Entry, Verdict) {
	q.advance(now)
	added := &entry{Item: item, ticket: q.host.last + 1}
	order := ordered(now, append(slices.Clone(q.sorted), added))
	position := slices.Index(order, added)
	own := &q.classes[classOf(item.Priority)]
	if now > item.latestStart() || own.exceeds(now, before(order, position), item.latestStart(), own.items > 0) {
		return Entry{}, TooLate
	}
	displaced, verdict := q.makeRoom(order, added)
	if verdict != Queued {
		return Entry{}, verdict
	}
	if own.items == 0 {
		own.begin(now)
	}
	result := Entry{Ticket: added.ticket, Position: position}
	if displaced != nil {
		q.remove(displaced.ticket)
		result.Displaced = displaced.ticket
	}
	q.host.last++
	q.host.items++
	own.items++
	q.host.bytes += item.Bytes
	q.entries, q.sorted = append(q.entries, added), append(q.sorted, added)
	return result, Queued
}

// before returns the number of items of the same class before the one at a position.
func before(order []*entry, position int) int {
	n := 0
	for _, e := range order[:position] {
		if classOf(e.Priority) == classOf(order[position].Priority) {
			n++
		}
	}
	return n
}

// advance updates the observed departures to now.
func (q *Queue) advance(now machine.Instant) {
	for i := range q.classes {
		q.classes[i].advance(now, q.classes[i].items > 0)
	}
}

// makeRoom returns the item that has to be removed for another one; nil if a place is free. order
// contains both.
func (q *Queue) makeRoom(order []*entry, added *entry) (displaced *entry, verdict Verdict) {
	own := 0
	var lastOwn *entry
	for _, e := range order {
		if e.Customer == added.Customer {
			own, lastOwn = own+1, e
		}
	}
	last := order[len(order)-1]
	bytesFit := q.host.bytes+added.Bytes <= MaxHostBytes
	switch {
	case own > maxCustomerItems && own < len(order):
		if lastOwn == added {
			return nil, CustomerFull
		}
		displaced = lastOwn
	case len(order) > MaxItems:
		if last == added {
			return nil, QueueFull
		}
		displaced = last
	case q.host.items >= MaxHostItems || !bytesFit:
		if last == added {
			return nil, HostFull
		}
		displaced = last
	}
	if displaced != nil && q.host.bytes-displaced.Bytes+added.Bytes > MaxHostBytes {
		return nil, HostFull
	}
	return displaced, Queued
}

// Remove removes an item that is given up. It does nothing if the item does not wait.
func (q *Queue) Remove(now machine.Instant, t Ticket) {
	q.advance(now)
	q.remove(t)
}

// Served removes an item that an upstream gets, which counts as a departure.
func (q *Queue) Served(now machine.Instant, t Ticket) {
	q.advance(now)
	i := q.index(t)
	if i < 0 {
		return
	}
	work := q.entries[i].Work
	if i == 0 {
		q.oldestCredit = max(0, q.oldestCredit-work)
	}
	q.oldestCredit += work / oldestPart
	q.classes[classOf(q.entries[i].Priority)].add(now)
	q.remove(t)
}

func (q *Queue) index(t Ticket) int {
	return slices.IndexFunc(q.entries, func(e *entry) bool { return e.ticket == t })
}

func (q *Queue) remove(t Ticket) {
	i := q.index(t)
	if i < 0 {
		return
	}
	q.classes[classOf(q.entries[i].Priority)].items--
	q.host.items--
	q.host.bytes -= q.entries[i].Bytes
	q.entries = slices.Delete(q.entries, i, i+1)
	q.sorted = slices.DeleteFunc(q.sorted, func(e *entry) bool { return e.ticket == t })
}

// Next returns the items that should be tried now, in this order. They stay in the queue.
func (q *Queue) Next(now machine.Instant) []Ticket {
	if len(q.entries) == 0 {
		return nil
	}
	order := ordered(now, q.sorted)
	if oldest := q.entries[0]; q.oldestCredit >= oldest.Work {
		q.oldestCredit = oldest.Work // the rest lapses
		i := slices.Index(order, oldest)
		order = slices.Insert(slices.Delete(order, i, i+1), 0, oldest)
	}
	if len(order) > maxTries {
		rest := order[triesInOrder:]
		// Tickets increase, so the turn continues with the oldest item behind the last one.
		slices.SortFunc(rest, func(a, b *entry) int {
			return cmp.Or(cmp.Compare(q.turnOf(a), q.turnOf(b)), cmp.Compare(a.ticket, b.ticket))
		})
		order = order[:maxTries]
		q.lastInTurn = order[maxTries-1].ticket
	}
	next := make([]Ticket, len(order))
	for i, e := range order {
		next[i] = e.ticket
	}
	return next
}

// turnOf returns 0 for items behind the last one that was taken in turn, otherwise 1.
func (q *Queue) turnOf(e *entry) int {
	if e.ticket > q.lastInTurn {
		return 0
	}
	return 1
}

// Expired removes and returns the items that can no longer be served by their deadlines: their
// work does not end by then, or serving the items before them takes too long. A caller that is
// refused early still has time to retry.
func (q *Queue) Expired(now machine.Instant) []Ticket {
	q.advance(now)
	var expired []Ticket
	var positions [classes]int
	for _, e := range ordered(now, q.sorted) {
		c := classOf(e.Priority)
		needed, known := q.classes[c].timeFor(positions[c])
		if left := e.latestStart().Sub(now); left < 0 || known && needed > left {
			expired = append(expired, e.ticket)
		} else {
			positions[c]++
		}
	}
	for _, t := range expired {
		q.remove(t)
	}
	return expired
}
