package platform

import (
	"sort"
	"sync"
	"time"
)

// Limits of the call counters.
const (
	// historySeconds is the number of past seconds with separate counters.
	historySeconds = 900
	// maxClients is the number of clients with separate counters. Further
	// clients are counted under the name "other".
	maxClients  = 4096
	otherClient = "other"
)

// Call is a kind of API call.
type Call string

// The kinds of API call.
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

// CallCounts is the answer of GET /admin/calls. Calls that fail because of an
// outage or a cut-off client are only counted as refused.
type CallCounts struct {
	Total   map[Call]int            `json:"total"`
	Refused map[Call]int            `json:"refused"`
	Clients map[string]map[Call]int `json:"clients"`
	// Seconds lists the seconds that had calls, oldest first.
	Seconds []SecondCalls `json:"seconds"`
}

// callCounters counts calls in total, per client and per second.
type callCounters struct {
	mu      sync.Mutex
	now     func() time.Time
	total   map[Call]int
	refused map[Call]int
	clients map[string]map[Call]int
	seconds map[int64]map[Call]int
}

func newCallCounters(now func() time.Time) *callCounters {
	c := &callCounters{now: now}
	c.reset()
	return c
}

func (c *callCounters) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total = map[Call]int{}
	c.refused = map[Call]int{}
	c.clients = map[string]map[Call]int{}
	c.seconds = map[int64]map[Call]int{}
}

func (c *callCounters) count(call Call, client string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total[call]++
	c.clientCountsLocked(client)[call]++
	c.secondCountsLocked(c.now().Unix())[call]++
}

func (c *callCounters) countRefused(call Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused[call]++
}

func (c *callCounters) clientCountsLocked(client string) map[Call]int {
	if c.clients[client] == nil && len(c.clients) >= maxClients {
		client = otherClient
	}
	if c.clients[client] == nil {
		c.clients[client] = map[Call]int{}
	}
	return c.clients[client]
}

func (c *callCounters) secondCountsLocked(second int64) map[Call]int {
	if counts, ok := c.seconds[second]; ok {
		return counts
	}
	for old := range c.seconds {
		if old <= second-historySeconds {
			delete(c.seconds, old)
		}
	}
	c.seconds[second] = map[Call]int{}
	return c.seconds[second]
}

func (c *callCounters) report() CallCounts {
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
