package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/catkinspring/catkinspring/platform/rig"
)

const (
	// crashPath is the path of the request that crashes each upstream that begins to run it.
	crashPath = rig.WritePath + "large/1"
	// crashLimit is the number of retries that may still reach upstreams, by the rule.
	crashLimit = 3
	// crashesCounted is the number of crashes after which the rule counts retries.
	crashesCounted = 3
	// orderTime is the work of an order.
	orderTime = 400 * time.Millisecond
	// readyWait bounds the start of the hosts.
	readyWait = 20 * time.Second
)

// crashUpstreams is the number of upstreams in each region. A crashed one is away for some
// seconds.
const crashUpstreams = 5

var hostZones = []string{"ost-a", "vest-a", "nord-a"}

// configuration returns a version with one tenant without a rate limit and additional
// at-most-once routes.
func configuration(version int, routes ...map[string]any) map[string]any {
	c := rig.Configuration(version, rig.KeyKept)
	tenant := c["Tenants"].([]any)[0].(map[string]any)
	tenant["RatePerS"], tenant["Burst"] = 0, 0
	for _, r := range routes {
		c["Routes"] = append(c["Routes"].([]any), r)
	}
	return c
}

// orderRoute returns an at-most-once route.
func orderRoute(name, path string) map[string]any {
	return map[string]any{
		"Name": name, "Host": rig.EntryName, "PathPrefix": path, "Kind": "non_idempotent", "Timeout": rig.WriteTimeout, "TargetLatency": "600ms",
		"Priority": 1, "Service": rig.ServiceName, "MaxAttempts": 2, "Anonymous": false, "Sticky": false, "AllowedRegions": []string{},
	}
}

// startFleet starts one host and some upstreams in each region and waits until the hosts are
// in touch.
func (s *scene) startFleet() error {
	s.Store.Put("config", "main", configuration(1))
	s.upstreams.Work, s.upstreams.Poison, s.upstreams.NewIDs = orderTime, crashPath, true
	for _, zone := range hostZones {
		for i := range crashUpstreams {
			if _, err := s.upstreams.Add(fmt.Sprintf("i-%s-%d", zone, i), rig.ServiceName, zone, 3); err != nil {
				return err
			}
		}
		if _, err := s.AddHost("edge-"+zone+"-1", zone); err != nil {
			return err
		}
	}
	return s.startHosts(true)
}

// startHosts starts the processes of all hosts and waits until they are ready and in touch.
func (s *scene) startHosts(bootstrap bool) error {
	for _, h := range s.Hosts() {
		if err := h.Start(bootstrap); err != nil {
			return err
		}
	}
	if err := rig.AwaitReady(readyWait, s.Hosts()...); err != nil {
		return err
	}
	for _, h := range s.Hosts() {
		time.Sleep(time.Until(h.StartedAt.Add(rig.Contact + 200*time.Millisecond)))
	}
	return nil
}

// sendOrders lets callers place orders at all hosts until the context ends, and returns the
// answers.
func (s *scene) sendOrders(ctx context.Context, group *sync.WaitGroup) func() []answer {
	var mu sync.Mutex
	var answers []answer
	for _, h := range s.Hosts() {
		for range 3 {
			group.Go(func() {
				for rig.Sleep(ctx, 100*time.Millisecond) {
					a := call(h, "POST", rig.WritePath+"order", newID("order"), []byte("one stack of sieves"), 3*time.Second)
					s.recordAnswer(h, a)
					mu.Lock()
					answers = append(answers, a)
					mu.Unlock()
				}
			})
		}
	}
	return func() []answer {
		mu.Lock()
		defer mu.Unlock()
		return slices.Clone(answers)
	}
}

// crashRun is the request that crashes upstreams and comes again.
type crashRun struct {
	*scene
	// sent has the retries in their order, and at the host that each was sent to.
	sent []answer
	at   []*rig.Host
}

// retry sends the request again, at the next host.
func (c *crashRun) retry() {
	h := c.Hosts()[len(c.sent)%len(c.Hosts())]
	a := call(h, "POST", crashPath, newID("crash"), []byte("the body that crashes upstreams"), 3*time.Second)
	c.sent, c.at = append(c.sent, a), append(c.at, h)
	c.recordAnswer(h, a)
}

// crashes returns the runs of the request.
func (c *crashRun) crashes() []rig.Execution {
	var runs []rig.Execution
	for _, e := range c.upstreams.Executions() {
		if slices.ContainsFunc(c.sent, func(a answer) bool { return a.id == e.ID }) {
			runs = append(runs, e)
		}
	}
	return runs
}

// judge counts the retries that reached upstreams although the request had crashed the third
// one more than Contact before, and that machines in touch sent.
func (c *crashRun) judge(orders []answer) bool {
	runs := c.crashes()
	if len(runs) < crashesCounted {
		c.Record("only %d upstreams crashed", len(runs))
		return true
	}
	from := runs[crashesCounted-1].Started.Add(rig.Contact)
	counted := 0
	for i, a := range c.sent {
		reached := slices.ContainsFunc(runs, func(e rig.Execution) bool { return e.ID == a.id })
		if reached && a.sent.After(from) && a.sent.After(c.at[i].StartedAt.Add(rig.Contact)) {
			counted++
			c.Record("retry %s reached an upstream %.1f s after the third crash", a.id, a.sent.Sub(runs[crashesCounted-1].Started).Seconds())
		}
	}
	for _, e := range c.upstreams.Executions() {
		c.Record("%s was run by %s at second %.3f, whole: %v", e.ID, e.Upstream, e.Started.Sub(c.Started).Seconds(), e.Whole)
	}
	lost := 0
	for _, a := range orders {
		for _, e := range c.upstreams.Runs()[a.id] {
			if e.BrokenOff && e.Started.After(from) {
				lost++
				c.Record("order %s was at work at %s when that crashed; the caller got %s", a.id, e.Upstream, a)
			}
		}
	}
	c.Record("retries that reached upstreams: %d, allowed are %d; orders lost in their crashes: %d of %d", counted, crashLimit, lost, len(orders))
	return counted <= crashLimit
}

// play sends the request every interval until end, and calls disrupt once after it has crashed
// three upstreams and Contact has passed.
func (c *crashRun) play(interval, length time.Duration, wait time.Duration, disrupt func() error) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	orders := c.sendOrders(ctx, &group)
	end := time.Now().Add(length)
	var disruptAt time.Time
	disrupted := false
	for next := time.Now(); time.Now().Before(end); next = next.Add(interval) {
		time.Sleep(time.Until(next))
		c.retry()
		if runs := c.crashes(); disruptAt.IsZero() && len(runs) >= crashesCounted {
			disruptAt = runs[crashesCounted-1].Started.Add(wait)
		}
		if c.trouble && !disrupted && !disruptAt.IsZero() && !time.Now().Add(interval).Before(disruptAt) {
			disrupted = true
			time.Sleep(time.Until(disruptAt))
			if err := disrupt(); err != nil {
				cancel()
				group.Wait()
				return false, err
			}
		}
	}
	cancel()
	group.Wait()
	return c.judge(orders()), nil
}

// crashAfterRoute adds a route with a longer prefix that covers the path of the request.
func crashAfterRoute(s *scene) (bool, error) {
	if err := s.startFleet(); err != nil {
		return false, err
	}
	c := &crashRun{scene: s}
	return c.play(2*time.Second, 88*time.Second, 6*time.Second, func() error {
		s.Store.Put("config", "main", configuration(2, orderRoute("r-large", rig.WritePath+"large/")))
		s.Record("version r2 splits the route: %slarge/ is a route of its own", rig.WritePath)
		return nil
	})
}

// crashAfterRestart kills all processes at the same moment.
func crashAfterRestart(s *scene) (bool, error) {
	if err := s.startFleet(); err != nil {
		return false, err
	}
	c := &crashRun{scene: s}
	return c.play(5*time.Second, 92*time.Second, 300*time.Millisecond, func() error {
		for _, h := range s.Hosts() {
			h.Signal(syscall.SIGKILL)
		}
		for _, h := range s.Hosts() {
			if !h.Wait(readyWait) {
				return &rig.NotReadyError{Host: h.Name, Waited: readyWait}
			}
		}
		s.Record("all processes were killed")
		for _, h := range s.Hosts() {
			if err := h.Start(false); err != nil {
				return err
			}
		}
		return nil
	})
}
