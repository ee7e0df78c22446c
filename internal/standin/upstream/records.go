package upstream

import (
	"sync"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
)

// Limits of the run records. A record has at most five texts and eight pairs of
// texts, which is under 6 KB; 100,000 records take at most 600 MB. Without
// key-like values and with short IDs, a record takes about 0.5 KB.
const (
	// DefaultRecords is the default number of most recent runs kept.
	DefaultRecords = 100_000
	// maxText limits a recorded path, ID or header value, in bytes.
	maxText = 256
	// maxKeysSeen limits the key-like values recorded for one request.
	maxKeysSeen = 8
	// maxSightings limits the recorded requests with key-like values.
	maxSightings = 1000
)

// RunState is the state of a run.
type RunState string

// The states of a run.
const (
	RunRunning   RunState = "running"
	RunCompleted RunState = "completed"
	// RunCancelled means that the client closed the connection, or that the
	// deadline passed, during the run.
	RunCancelled RunState = "cancelled"
	// RunCrashed means that the upstream crashed during the run.
	RunCrashed RunState = "crashed"
)

// Run is one run of an operation.
type Run struct {
	Index          uint64         `json:"index"`
	RequestID      string         `json:"requestId"`
	IdempotencyKey string         `json:"idempotencyKey,omitempty"`
	Customer       fleet.Customer `json:"customer,omitempty"`
	Upstream       fleet.Upstream `json:"upstream"`
	Method         string         `json:"method"`
	// Target is the path with its query.
	Target string `json:"target"`
	// BodyBytes is the size of the request body and BodyHash its xxHash64 in
	// hexadecimal.
	BodyBytes int        `json:"bodyBytes"`
	BodyHash  string     `json:"bodyHash"`
	Start     time.Time  `json:"start"`
	End       *time.Time `json:"end,omitempty"`
	State     RunState   `json:"state"`
	// Repeat is the number of earlier recorded runs with the same customer and
	// idempotency key.
	Repeat int `json:"repeat,omitempty"`
	// Fault is the fault that was applied to the run.
	Fault FaultKind `json:"fault,omitempty"`
	// KeysSeen lists the received names and values that look like a customer key.
	KeysSeen []string `json:"keysSeen,omitempty"`
}

// Totals holds counters since the start of the process.
type Totals struct {
	// Received counts requests that arrived completely, whether they ran or not.
	Received  int `json:"received"`
	Started   int `json:"started"`
	Completed int `json:"completed"`
	Cancelled int `json:"cancelled"`
	Crashed   int `json:"crashed"`
	// Duplicates counts runs whose customer and idempotency key had run before.
	Duplicates int `json:"duplicates"`
	// Shed, Drained, Expired and Malformed count requests that were answered but
	// not run: queue full, draining, deadline passed, bad request.
	Shed      int `json:"shed"`
	Drained   int `json:"drained"`
	Expired   int `json:"expired"`
	Malformed int `json:"malformed"`
	// Abandoned counts requests whose client disconnected, or whose upstream
	// crashed, before the run started.
	Abandoned int `json:"abandoned"`
	// TruncatedRequests counts requests whose body was incomplete. They do not run.
	TruncatedRequests int `json:"truncatedRequests"`
	// RequestsWithKeys counts requests that contained a key-like value.
	RequestsWithKeys int `json:"requestsWithKeys"`
	Probes           int `json:"probes"`
	// Connections counts accepted connections, ConnectionsRefused those that
	// were closed immediately because of MaxConnections.
	Connections        int               `json:"connections"`
	ConnectionsRefused int               `json:"connectionsRefused"`
	Faults             map[FaultKind]int `json:"faults"`
}

// KeySighting is a request with key-like values, whether it ran or not.
type KeySighting struct {
	Upstream  fleet.Upstream `json:"upstream"`
	RequestID string         `json:"requestId"`
	Values    []string       `json:"values"`
}

// operationID identifies an operation when duplicates are counted.
type operationID struct {
	customer fleet.Customer
	key      string
}

// Recorder holds the totals and the most recent runs of all upstreams of a process.
type Recorder struct {
	mu     sync.Mutex
	totals Totals
	// ring holds the runs with the indexes in [first, next).
	ring      []Run
	first     uint64
	next      uint64
	settled   uint64
	repeats   map[operationID]int
	sightings []KeySighting
}

// NewRecorder returns a Recorder that keeps the last capacity runs, at least one.
func NewRecorder(capacity int) *Recorder {
	return &Recorder{
		ring:    make([]Run, max(capacity, 1)),
		repeats: map[operationID]int{},
		totals:  Totals{Faults: map[FaultKind]int{}},
	}
}

// count updates the totals with change.
func (r *Recorder) count(change func(*Totals)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.totals)
}

// start records the start of a run and returns its index.
func (r *Recorder) start(run Run) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next-r.first == uint64(len(r.ring)) {
		r.dropOldestLocked()
	}
	run.Index = r.next
	run.State = RunRunning
	if run.IdempotencyKey != "" {
		id := operationID{customer: run.Customer, key: run.IdempotencyKey}
		run.Repeat = r.repeats[id]
		r.repeats[id]++
	}
	if run.Repeat > 0 {
		r.totals.Duplicates++
	}
	r.totals.Started++
	*r.runLocked(run.Index) = run
	r.next++
	return run.Index
}

func (r *Recorder) runLocked(index uint64) *Run {
	return &r.ring[index%uint64(len(r.ring))]
}

// dropOldestLocked removes the oldest run from the records.
func (r *Recorder) dropOldestLocked() {
	oldest := r.runLocked(r.first)
	id := operationID{customer: oldest.Customer, key: oldest.IdempotencyKey}
	if r.repeats[id]--; r.repeats[id] <= 0 {
		delete(r.repeats, id)
	}
	r.first++
}

// end records the final state of a run and when it ended.
func (r *Recorder) end(index uint64, state RunState, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch state {
	case RunCompleted:
		r.totals.Completed++
	case RunCancelled:
		r.totals.Cancelled++
	case RunCrashed:
		r.totals.Crashed++
	}
	if index >= r.first {
		run := r.runLocked(index)
		run.State = state
		run.End = &at
	}
}

// recordSighting records a request with key-like values.
func (r *Recorder) recordSighting(sighting KeySighting) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totals.RequestsWithKeys++
	if len(r.sightings) < maxSightings {
		r.sightings = append(r.sightings, sighting)
	}
}

// Report is the answer of GET /admin/runs.
type Report struct {
	Totals Totals `json:"totals"`
	// First is the oldest recorded index and Next the index of the next run.
	First uint64 `json:"first"`
	Next  uint64 `json:"next"`
	// Settled is the index below which every run has ended. A client that reads
	// the runs in steps passes it as the next "since".
	Settled   uint64        `json:"settled"`
	Sightings []KeySighting `json:"keySightings"`
	Runs      []Run         `json:"runs"`
}

// Report returns the totals and at most limit runs, starting with index since.
func (r *Recorder) Report(since uint64, limit int) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settled = max(r.settled, r.first)
	for r.settled < r.next && r.runLocked(r.settled).State != RunRunning {
		r.settled++
	}
	report := Report{
		Totals:    r.totals,
		First:     r.first,
		Next:      r.next,
		Settled:   r.settled,
		Sightings: append([]KeySighting{}, r.sightings...),
		Runs:      []Run{},
	}
	report.Totals.Faults = make(map[FaultKind]int, len(r.totals.Faults))
	for kind, n := range r.totals.Faults {
		report.Totals.Faults[kind] = n
	}
	for index := max(since, r.first); index < r.next && len(report.Runs) < limit; index++ {
		report.Runs = append(report.Runs, *r.runLocked(index))
	}
	return report
}
