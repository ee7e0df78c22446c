package timeline

import (
	"slices"
	"strings"
	"sync"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// Event is an entry of the timeline.
type Event struct {
	Time     Timestamp      `json:"time" cbor:"1,keyasint"`
	Host     fleet.HostID   `json:"host" cbor:"2,keyasint"`
	Sequence uint64         `json:"sequence" cbor:"3,keyasint"`
	Kind     string         `json:"kind" cbor:"4,keyasint"`
	Customer fleet.Customer `json:"customer,omitempty" cbor:"5,keyasint,omitempty"`
	Request  string         `json:"request,omitempty" cbor:"6,keyasint,omitempty"`
	Subject  string         `json:"subject,omitempty" cbor:"7,keyasint,omitempty"`
	Text     string         `json:"text,omitempty" cbor:"8,keyasint,omitempty"`
}

// MaxTextBytes bounds the text of an event and thereby the memory of the ring.
const MaxTextBytes = 512

// Filter selects events. Empty fields match everything.
type Filter struct {
	Kind     string
	Customer fleet.Customer
	Request  string
	Subject  string
	// AfterSequence excludes events up to and including a sequence number of the ring.
	AfterSequence uint64
	// FromMillis (inclusive) and ToMillis (exclusive) bound the time, in Unix
	// milliseconds. 0 means no bound.
	FromMillis, ToMillis int64
}

// kindMatches reports whether a kind matches a filter. A filter that ends with a
// dot is a prefix.
func kindMatches(filter, kind string) bool {
	return filter == "" || filter == kind || strings.HasSuffix(filter, ".") && strings.HasPrefix(kind, filter)
}

func (f Filter) matches(e *Event) bool {
	return e.Sequence > f.AfterSequence &&
		(f.FromMillis == 0 || e.Time.WallMillis >= f.FromMillis) &&
		(f.ToMillis == 0 || e.Time.WallMillis < f.ToMillis) &&
		kindMatches(f.Kind, e.Kind) &&
		(f.Customer == "" || f.Customer == e.Customer) &&
		(f.Request == "" || f.Request == e.Request) &&
		(f.Subject == "" || f.Subject == e.Subject)
}

// Ring is a ring buffer with the latest events of one process. It is safe for
// concurrent use.
type Ring struct {
	host   fleet.HostID
	clock  *Clock
	redact func(string) string

	mu       sync.Mutex
	events   []Event
	sequence uint64
}

// NewRing returns a ring that holds the last size events of a host. Every text
// passes through redact, which removes customers' keys.
func NewRing(host fleet.HostID, clock *Clock, size int, redact func(string) string) *Ring {
	return &Ring{host: host, clock: clock, redact: redact, events: make([]Event, 0, size)}
}

// Record adds an event at the given wall-clock time and returns its timestamp.
func (r *Ring) Record(wallMillis int64, e machine.Event) Timestamp {
	event := Event{
		Time:     r.clock.Next(wallMillis),
		Host:     r.host,
		Kind:     e.Kind,
		Customer: e.Customer,
		Request:  r.redact(e.Request),
		Subject:  r.redact(e.Subject),
		Text:     truncate(r.redact(e.Text)),
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	event.Sequence = r.sequence
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, event)
		return event.Time
	}
	r.events[r.slot(event.Sequence)] = event
	return event.Time
}

// Select returns at most limit events that match the filter, oldest first.
func (r *Ring) Select(f Filter, limit int) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var selected []Event
	for sequence := r.oldest(); sequence <= r.sequence && len(selected) < limit; sequence++ {
		e := &r.events[r.slot(sequence)]
		if f.matches(e) {
			selected = append(selected, *e)
		}
	}
	return selected
}

// Last returns at most limit of the newest events that match the filter, oldest
// first, and the sequence number of the newest event of the ring. An AfterSequence
// that the ring has not reached comes from an earlier process and is ignored.
func (r *Ring) Last(f Filter, limit int) ([]Event, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f.AfterSequence > r.sequence {
		f.AfterSequence = 0
	}
	var selected []Event
	for sequence := r.sequence; sequence >= r.oldest() && sequence > f.AfterSequence && len(selected) < limit; sequence-- {
		if e := &r.events[r.slot(sequence)]; f.matches(e) {
			selected = append(selected, *e)
		}
	}
	slices.Reverse(selected)
	return selected, r.sequence
}

func (r *Ring) oldest() uint64 {
	return r.sequence - uint64(len(r.events)) + 1
}

func (r *Ring) slot(sequence uint64) int {
	return int((sequence - 1) % uint64(cap(r.events)))
}

func truncate(text string) string {
	if len(text) <= MaxTextBytes {
		return text
	}
	return strings.ToValidUTF8(text[:MaxTextBytes], "")
}
