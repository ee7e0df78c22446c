package operations

import (
	"slices"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/traffic"
)

// Limits of the claims table of one owner.
const (
	// MaxIDs is the maximum number of ids of one owner.
	MaxIDs = 200_000
	// MaxResultBytes is the maximum total size of the response bodies stored for
	// repeated requests. The bodies of the oldest results are dropped first.
	MaxResultBytes = 16 << 20
	// maxWaiters is the maximum number of requests that wait for a running attempt,
	// and maxWaitersPerID the maximum for one id.
	maxWaiters      = 4096
	maxWaitersPerID = 64
	// expirySlot is the time range of claims that are checked for expiry together.
	expirySlot = 10 * time.Minute
)

// entry is an owner's state of one id.
type entry struct {
	record
	partition uint8
	// granted is true once the grant was sent to the holder.
	granted bool
	// durable is true if the current state of the entry is in the log.
	durable bool
	// queued is true while the entry is in the queue of the log.
	queued bool
	// acceptedHere is true if this owner, not an earlier one, accepted the claim.
	acceptedHere bool
	// stateVersion counts the state changes of the entry.
	stateVersion uint32
	// segment is 1 plus the number of the log segment with the last record.
	segment uint64
	waiters []waiter
	// reporter is the attempt whose report is acknowledged once the entry is durable.
	reporter *reporter
}

type waiter struct {
	from        fleet.Member
	attempt     uint64
	fingerprint uint64
	until       machine.Instant
}

type reporter struct {
	from    fleet.Member
	attempt uint64
}

// table holds the entries of all partitions of one owner.
type table struct {
	limit       int
	resultLimit int
	size        int
	entries     [fleet.Partitions]map[traffic.OperationID]*entry
	slots       map[int64][]*entry
	oldest      int64
	results     []*entry
	resultBytes int
	waiting     map[*entry]struct{}
	waiters     int
}

func newTable(limit, resultLimit int) *table {
	t := &table{
		limit:       limit,
		resultLimit: resultLimit,
		slots:       map[int64][]*entry{},
		waiting:     map[*entry]struct{}{},
	}
	for i := range t.entries {
		t.entries[i] = map[traffic.OperationID]*entry{}
	}
	return t
}

func (t *table) full() bool { return t.size >= t.limit }

// holds reports whether the entry is still the current entry of its id.
func (t *table) holds(e *entry) bool { return t.entries[e.partition][e.ID] == e }

// add creates an entry from a record and replaces an older entry of the id.
func (t *table) add(r record, partition int) *entry {
	if old := t.entries[partition][r.ID]; old != nil {
		t.remove(old)
	}
	e := &entry{record: r, partition: uint8(partition)}
	t.entries[partition][r.ID] = e
	t.size++
	t.scheduleExpiry(e)
	t.addResult(e)
	return e
}

// scheduleExpiry adds the entry to the expiry slot of its claim time.
func (t *table) scheduleExpiry(e *entry) {
	slot := e.ClaimedMillis / expirySlot.Milliseconds()
	if len(t.slots) == 0 || slot < t.oldest {
		t.oldest = slot
	}
	t.slots[slot] = append(t.slots[slot], e)
}

// addResult counts the body of an entry's result towards resultLimit and drops
// the oldest bodies while the limit is exceeded.
func (t *table) addResult(e *entry) {
	if e.Result == nil || len(e.Result.Body) == 0 {
		return
	}
	t.results = append(t.results, e)
	t.resultBytes += len(e.Result.Body)
	for t.resultBytes > t.resultLimit && len(t.results) > 0 {
		oldest := t.results[0]
		t.results = t.results[1:]
		t.dropBody(oldest)
	}
}

func (t *table) dropBody(e *entry) {
	if e.Result == nil || len(e.Result.Body) == 0 {
		return
	}
	t.resultBytes -= len(e.Result.Body)
	dropped := *e.Result
	dropped.Body = nil
	dropped.BodyDropped = true
	e.Result = &dropped
}

// remove deletes an entry.
func (t *table) remove(e *entry) {
	if !t.holds(e) {
		return
	}
	delete(t.entries[e.partition], e.ID)
	t.size--
	t.removeAllWaiters(e)
	t.dropBody(e)
}

// expire removes the claims that are older than the retention. An id that was
// claimed again after a release moves to the slot of its last claim.
func (t *table) expire(wallMillis int64) {
	limit := (wallMillis - (retention + retentionMargin).Milliseconds()) / expirySlot.Milliseconds()
	if len(t.slots) == 0 || t.oldest >= limit {
		return
	}
	for slot, entries := range t.slots {
		if slot >= limit {
			continue
		}
		delete(t.slots, slot)
		for _, e := range entries {
			if !t.holds(e) {
				continue
			}
			if e.isExpired(wallMillis) {
				t.remove(e)
				continue
			}
			t.scheduleExpiry(e)
		}
	}
	t.oldest = limit
}

// isExpired reports whether a record is older than the retention.
func (r *record) isExpired(wallMillis int64) bool {
	return r.ClaimedMillis < wallMillis-(retention+retentionMargin).Milliseconds()
}

// wait adds a request that waits for the running attempt, or replaces an
// earlier one of the same attempt. It returns false if a limit on waiters is reached.
func (t *table) wait(e *entry, w waiter) bool {
	for i := range e.waiters {
		if e.waiters[i].from == w.from && e.waiters[i].attempt == w.attempt {
			e.waiters[i] = w
			return true
		}
	}
	if t.waiters >= maxWaiters || len(e.waiters) >= maxWaitersPerID {
		return false
	}
	e.waiters = append(e.waiters, w)
	t.waiters++
	t.waiting[e] = struct{}{}
	return true
}

// removeWaiters removes and returns the waiters that satisfy condition, in order.
func (t *table) removeWaiters(e *entry, condition func(w waiter) bool) []waiter {
	var removed, rest []waiter
	for _, w := range e.waiters {
		if condition(w) {
			removed = append(removed, w)
			continue
		}
		rest = append(rest, w)
	}
	e.waiters = rest
	t.waiters -= len(removed)
	if len(rest) == 0 {
		e.waiters = nil
		delete(t.waiting, e)
	}
	return removed
}

func (t *table) removeAllWaiters(e *entry) []waiter {
	return t.removeWaiters(e, func(waiter) bool { return true })
}

func sortedEntries(entries []*entry) []*entry {
	slices.SortFunc(entries, compareEntries)
	return entries
}
