package client

import (
	"cmp"
	"context"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/operator"
	"github.com/catkinspring/catkinspring/timeline"
)

// Peer is a host of the cell as listed by the first host that was reached.
type Peer struct {
	Host fleet.HostID
	// Address is empty if it is not known.
	Address string
	State   fleet.State
}

// HostStatus is the status of one host, or why there is none.
type HostStatus struct {
	Peer   Peer
	Status *operator.Status
	Err    error
}

// Cell holds the hosts listed by the first host that was reached, with the status
// of each.
type Cell struct {
	// Source is the host that returned the list.
	Source fleet.HostID
	Hosts  []HostStatus
}

// peers requests the members of the cell from the first reachable host.
func (c *Client) peers(ctx context.Context) (operator.Status, []Peer, error) {
	var s operator.Status
	address, err := c.sendToFirst(ctx, apiCall{method: http.MethodGet, path: operator.PathStatus}, &s)
	if err != nil {
		return s, nil, err
	}
	peers := []Peer{{Host: s.Host, Address: address}}
	for i := range s.Members {
		m := &s.Members[i]
		if m.Host == s.Host {
			peers[0].State = m.State
			continue
		}
		peer := Peer{Host: m.Host, State: m.State}
		if contact, known := s.Operators[m.Host]; known {
			peer.Address = contact.String()
		}
		peers = append(peers, peer)
	}
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.Host, b.Host) })
	return s, peers, nil
}

// UnknownAddressError reports a member whose operators' address is not known.
type UnknownAddressError struct{}

func (*UnknownAddressError) Error() string { return "operators' address is not known" }

// sendToAll sends a request to all peers concurrently.
func sendToAll[T any](ctx context.Context, c *Client, peers []Peer, call apiCall) ([]T, []error) {
	answers, errs := make([]T, len(peers)), make([]error, len(peers))
	var group sync.WaitGroup
	for i, peer := range peers {
		if peer.Address == "" {
			errs[i] = &UnknownAddressError{}
			continue
		}
		group.Add(1)
		go func() {
			defer group.Done()
			errs[i] = c.send(ctx, peer.Address, call, &answers[i])
		}()
	}
	group.Wait()
	return answers, errs
}

// Cell requests the status of every host that the first reachable one lists.
func (c *Client) Cell(ctx context.Context) (Cell, error) {
	source, peers, err := c.peers(ctx)
	if err != nil {
		return Cell{}, err
	}
	answers, errs := sendToAll[operator.Status](ctx, c, peers, apiCall{method: http.MethodGet, path: operator.PathStatus})
	cell := Cell{Source: source.Host}
	for i, peer := range peers {
		h := HostStatus{Peer: peer, Err: errs[i]}
		if errs[i] == nil {
			h.Status = &answers[i]
		}
		cell.Hosts = append(cell.Hosts, h)
	}
	return cell, nil
}

// EventQuery selects events of the timeline. Empty fields match everything.
type EventQuery struct {
	Kind     string
	Host     fleet.HostID
	Customer fleet.Customer
	Request  string
	Subject  string
	From, To time.Time
	// Limit bounds the events of each host; 0 means the server's limit.
	Limit int
}

func (q EventQuery) values() url.Values {
	values := url.Values{}
	set := func(name, value string) {
		if value != "" {
			values.Set(name, value)
		}
	}
	set("kind", q.Kind)
	set("customer", string(q.Customer))
	set("request", q.Request)
	set("subject", q.Subject)
	if !q.From.IsZero() {
		set("from", strconv.FormatInt(q.From.UnixMilli(), 10))
	}
	if !q.To.IsZero() {
		set("to", strconv.FormatInt(q.To.UnixMilli(), 10))
	}
	if q.Limit > 0 {
		set("limit", strconv.Itoa(q.Limit))
	}
	return values
}

// Unreached is a host that could not be reached, so that its data is missing.
type Unreached struct {
	Host   fleet.HostID `json:"host"`
	Reason string       `json:"reason"`
}

// Timeline is the merged timeline of a cell.
type Timeline struct {
	Events    []timeline.Event `json:"events"`
	Unreached []Unreached      `json:"unreached"`

	peers   []Peer
	cursors map[fleet.HostID]string
}

// Timeline requests the events of every host that the first reachable one lists
// and merges them.
func (c *Client) Timeline(ctx context.Context, q EventQuery) (Timeline, error) {
	_, peers, err := c.peers(ctx)
	if err != nil {
		return Timeline{}, err
	}
	if q.Host != "" {
		peers = slices.DeleteFunc(peers, func(p Peer) bool { return p.Host != q.Host })
	}
	t := Timeline{peers: peers, cursors: map[fleet.HostID]string{}}
	return c.fetchEvents(ctx, q, t), nil
}

// Follow returns the events since an earlier result. For hosts that joined since
// then, it returns all events.
func (c *Client) Follow(ctx context.Context, q EventQuery, earlier Timeline) (Timeline, error) {
	if _, peers, err := c.peers(ctx); err == nil {
		if q.Host != "" {
			peers = slices.DeleteFunc(peers, func(p Peer) bool { return p.Host != q.Host })
		}
		earlier.peers = peers
	} else if ctx.Err() != nil {
		return Timeline{}, err
	}
	return c.fetchEvents(ctx, q, earlier), nil
}

// fetchEvents requests the events of each peer that follow the cursor of that peer.
func (c *Client) fetchEvents(ctx context.Context, q EventQuery, earlier Timeline) Timeline {
	next := Timeline{Events: []timeline.Event{}, Unreached: []Unreached{}, peers: earlier.peers, cursors: earlier.cursors}
	answers := make([]operator.Events, len(earlier.peers))
	errs := make([]error, len(earlier.peers))
	var group sync.WaitGroup
	for i, peer := range earlier.peers {
		if peer.Address == "" {
			errs[i] = &UnknownAddressError{}
			continue
		}
		values := q.values()
		if cursor := earlier.cursors[peer.Host]; cursor != "" {
			values.Set("after", cursor)
		}
		group.Add(1)
		go func() {
			defer group.Done()
			errs[i] = c.send(ctx, peer.Address, apiCall{method: http.MethodGet, path: operator.PathTimeline, query: values}, &answers[i])
		}()
	}
	group.Wait()
	var perHost [][]timeline.Event
	for i, peer := range earlier.peers {
		if errs[i] != nil {
			next.Unreached = append(next.Unreached, Unreached{Host: peer.Host, Reason: errs[i].Error()})
			continue
		}
		perHost = append(perHost, answers[i].Events)
		next.cursors[peer.Host] = answers[i].Next
	}
	next.Events = append(next.Events, timeline.Merge(perHost...)...)
	return next
}
