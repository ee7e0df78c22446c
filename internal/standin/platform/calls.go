package platform

import (
	"sort"
	"sync"
	"time"
)

// Bounds of the call counters.
const (
	// secondsKept is the number of seconds with own counters.
	secondsKept = 900
	// clientsKept is the number of clients with own counters. Further clients
	// are counted under the name "other".
	clientsKept = 4096
	otherClient = "other"
)

// Call is a kind of call.
type Call string

// The kinds of call.
const (
	CallGet    Call = "get"
	CallCreate Call = "create"
	CallUpdate Call = "update"
	CallDelete Call = "delete"
	CallList   Call = "list"
	CallWatch  Call = "watch"
	CallHosts  Call = "hosts"
)

// SecondCalls is the number of calls in one second.
type SecondCalls struct {
	UnixSecond int64        `json:"unixSecond"`
	Calls      map[Call]int `json:"calls"`
}

// CallCounts is the answer of GET /admin/calls. Calls in an outage and of cut
// off clients are counted as refused only.
type CallCounts struct {
	Total   map[Call]int            `json:"total"`
	Refused map[Call]int            `json:"refused"`
	Clients map[string]map[Call]int `json:"clients"`
	// Seconds holds the seconds that had calls, oldest first.
	Seconds []SecondCalls `json:"seconds"`
}

type calls struct {
	mu      sync.Mutex
	now     func() time.Time
	total   map[Call]int
	refused map[Call]int
	clients map[string]map[Call]int
	seconds map[int64]map[Call]int
}

func newCalls(now func() time.Time) *calls {
	c := &calls{now: now}
	c.reset()
	return c
}

func (c *calls) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total = map[Call]int{}
	c.refused = map[Call]int{}
	c.clients = map[string]map[Call]int{}
	c.seconds = map[int64]map[Call]int{}
}

func (c *calls) count(call Call, client string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total[call]++
	c.clientLocked(client)[call]++
	c.secondLocked(c.now().Unix())[call]++
}

func (c *calls) countRefused(call Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused[call]++
}

func (c *calls) clientLocked(client string) map[Call]int {
	if c.clients[client] == nil && len(c.clients) >= clientsKept {
		client = otherClient
	}
	if c.clients[client] == nil {
		c.clients[client] = map[Call]int{}
	}
	return c.clients[client]
}

func (c *calls) secondLocked(second int64) map[Call]int {
	if counts, ok := c.seconds[second]; ok {
		return counts
	}
	for old := range c.seconds {
		if old <= second-secondsKept {
			delete(c.seconds, old)
		}
	}
	c.seconds[second] = map[Call]int{}
	return c.seconds[second]
}

func (c *calls) report() CallCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	report := CallCounts{
		Total:   cloneCounts(c.total),
		Refused: cloneCounts(c.refused),
		Clients: make(map[string]map[Call]int, len(c.clients)),
		Seconds: make([]SecondCalls, 0, len(c.seconds)),
	}
	for client, counts := range c.clients {
		report.Clients[client] = cloneCounts(counts)
	}
	for second, counts := range c.seconds {
		report.Seconds = append(report.Seconds, SecondCalls{UnixSecond: second, Calls: cloneCounts(counts)})
	}
	sort.Slice(report.Seconds, func(i, j int) bool {
		return report.Seconds[i].UnixSecond < report.Seconds[j].UnixSecond
	})
	return report
}

func cloneCounts(counts map[Call]int) map[Call]int {
	clone := make(map[Call]int, len(counts))
	for call, n := range counts {
		clone[call] = n
	}
	return clone
}
