package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/catkinspring/catkinspring/platform/rig"
)

func init() { cases["drain"] = drainCase }

const (
	// The client sends a request every drainInterval; each is at work for drainWork, so
	// that several are unanswered at any moment.
	drainInterval = 250 * time.Millisecond
	drainWork     = 800 * time.Millisecond
	drainDeadline = 3000 * time.Millisecond
	// drainWarmup is how long the client sends before the SIGTERM.
	drainWarmup = 2 * time.Second
	// Bounds of the deployment.
	grace   = rig.Grace
	contact = rig.Contact
	// lateAfterStop is from when on a request is not excused if its backend was still at
	// work in the last sixth of the grace period.
	lateAfterStop = 3 * time.Second
)

// pipelined is a request of a client that sends further requests before the first one is
// answered.
type pipelined struct {
	id       string
	sent     time.Time
	answered time.Time
	status   int
	whole    bool
}

// drainCase stops a host (SIGTERM) while a client pipelines idempotent requests on an
// open connection. The client has a directory answer from just before the stop and
// keeps it three times as long as the answer says.
func drainCase(r *setup) (bool, error) {
	set := &rig.Upstreams{Rig: r.Rig, Work: drainWork}
	for i, zone := range []string{"ost-a", "ost-b", "vest-a", "vest-b", "nord-a", "nord-b"} {
		if _, err := set.Add(fmt.Sprintf("i-%d", i), rig.ServiceName, zone, 8); err != nil {
			return false, err
		}
	}
	r.Store.Put("config", "main", rig.Configuration(7, rig.KeyKept))
	var hosts []*rig.Host
	for i, zone := range []string{"ost-a", "vest-a", "nord-a"} {
		h, err := r.AddHost(fmt.Sprintf("edge-%s-%d", zone, i), zone)
		if err != nil {
			return false, err
		}
		hosts = append(hosts, h)
		if err := h.Start(true); err != nil {
			return false, err
		}
	}
	if err := rig.AwaitReady(15*time.Second, hosts...); err != nil {
		return false, err
	}
	// The hosts are in touch once they have run for Contact.
	time.Sleep(contact + time.Second)
	target := hosts[0]
	conn, err := net.Dial("tcp", target.Public)
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }()
	c := &pipeliningClient{rig: r, conn: conn, closing: make(chan struct{})}
	go c.readAnswers()

	until := time.Now().Add(drainWarmup)
	c.sendUntil(until)
	text, err := target.Resolve(rig.Regions[target.Zone], target.Zone)
	if err != nil {
		return false, err
	}
	var answer struct {
		Addresses []string
		Ttl       string //nolint:revive // the platform's spelling
	}
	if err := json.Unmarshal([]byte(text), &answer); err != nil {
		return false, err
	}
	ttl, err := time.ParseDuration(answer.Ttl)
	if err != nil {
		return false, err
	}
	resolved := time.Now()
	r.Record("directory answer: %s", text)
	stopped := time.Now()
	if r.trouble {
		r.Record("SIGTERM to host %s (process %d)", target.Name, target.Pid())
		target.Signal(syscall.SIGTERM)
	}
	c.sendUntil(resolved.Add(3 * ttl))
	r.Record("the client's directory answer has ended, it sends nothing more")
	c.awaitEnd(drainDeadline + time.Second)
	if r.trouble {
		if !target.Wait(3 * time.Second) {
			r.Record("host %s still runs", target.Name)
		}
	}
	return c.judge(set, stopped), nil
}

// pipeliningClient is a client with one kept connection.
type pipeliningClient struct {
	rig  *setup
	conn net.Conn
	// closing is closed when an answer says Connection: close, or the connection ends.
	closing chan struct{}

	mu       sync.Mutex
	requests []*pipelined
	next     int
	ended    time.Time
}

// sendUntil sends a request every drainInterval, unless the connection is closing.
func (c *pipeliningClient) sendUntil(until time.Time) {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for time.Now().Before(until) {
		select {
		case <-c.closing:
			return
		default:
		}
		c.send()
		select {
		case <-c.closing:
			return
		case <-ticker.C:
		}
	}
}

func (c *pipeliningClient) send() {
	c.mu.Lock()
	p := &pipelined{id: fmt.Sprintf("%016x", time.Now().UnixNano()), sent: time.Now()}
	c.requests = append(c.requests, p)
	c.mu.Unlock()
	c.rig.Record("client sends %s", p.id)
	_, err := fmt.Fprintf(c.conn, "GET %s%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s: %s\r\n\r\n",
		rig.ReadPath, p.id, rig.EntryName, rig.HeaderRequestID, p.id, rig.HeaderDeadline, drainDeadline.Milliseconds(), rig.HeaderCredential, rig.KeyKept)
	if err != nil {
		c.rig.Record("client could not send %s: %v", p.id, err)
	}
}

// readAnswers reads the answers, which come in the order of the requests.
func (c *pipeliningClient) readAnswers() {
	reader := bufio.NewReader(c.conn)
	open := true
	for {
		answer, err := http.ReadResponse(reader, nil)
		var body []byte
		if err == nil {
			body, err = io.ReadAll(answer.Body)
		}
		c.mu.Lock()
		if err != nil {
			c.ended = time.Now()
			c.mu.Unlock()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			c.rig.Record("the client's connection ends: %v", err)
			if open {
				close(c.closing)
			}
			return
		}
		p := c.requests[c.next]
		c.next++
		p.answered, p.status, p.whole = time.Now(), answer.StatusCode, answer.Header.Get(rig.HeaderRequestID) == p.id
		c.mu.Unlock()
		c.rig.Record("client gets %d for %s, %d bytes, Connection: %q", answer.StatusCode, p.id, len(body), answer.Header.Get("Connection"))
		if answer.Close && open {
			open = false
			close(c.closing)
		}
	}
}

// awaitEnd waits until all requests are answered or the connection has ended.
func (c *pipeliningClient) awaitEnd(longest time.Duration) {
	for end := time.Now().Add(longest); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		c.mu.Lock()
		done := c.next == len(c.requests) || !c.ended.IsZero()
		c.mu.Unlock()
		if done {
			return
		}
	}
}

// judge applies LOST around a SIGTERM as RULES.md says it.
func (c *pipeliningClient) judge(set *rig.Upstreams, stopped time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	runs, lost := set.Runs(), 0
	for _, p := range c.requests {
		if !p.answered.IsZero() || c.ended.IsZero() {
			continue
		}
		passedOn := len(runs[p.id]) > 0
		afterStop := p.sent.Sub(stopped)
		excuse := ""
		switch {
		case !passedOn:
			excuse = "not counted: not passed on to a backend"
		case c.ended.Sub(p.sent) >= drainDeadline:
			excuse = "not counted: its deadline was reached"
		case c.ended.Sub(stopped) > grace+time.Second:
			excuse = "not counted: more than 1 s after Grace"
		case afterStop <= lateAfterStop && c.ended.Sub(stopped) >= grace*5/6:
			excuse = "not counted: its backend was at work in the last sixth of Grace"
		}
		if excuse == "" {
			lost++
			excuse = "LOST"
		}
		for _, e := range runs[p.id] {
			c.rig.Record("backend %s began to run %s %.3f s after the SIGTERM", e.Upstream, e.ID, e.Started.Sub(stopped).Seconds())
		}
		c.rig.Record("request %s, sent %.3f s after the SIGTERM, has no answer; its connection ended %.3f s after it: %s", p.id, afterStop.Seconds(), c.ended.Sub(stopped).Seconds(), excuse)
	}
	c.rig.Record("%d requests sent, %d answered, %d lost", len(c.requests), c.next, lost)
	return lost > 0
}
