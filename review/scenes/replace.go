package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/catkinspring/catkinspring/platform/rig"
)

const (
	// recoverTime is the bound Recover.
	recoverTime = 15 * time.Second
	// servedShare is the share of the requests that the rule asks for.
	servedShare = 0.25
	// downTime is how long no machine runs.
	downTime = 1500 * time.Millisecond
	// tenants is the number of tenants, tenantRate their rate and burst, askedPerS what each
	// of them asks.
	tenants    = 4
	tenantRate = 40
	askedPerS  = 10
)

// tenantsConfiguration returns a version in which all tenants have a rate.
func tenantsConfiguration(version int) map[string]any {
	c := rig.Configuration(version)
	var list []any
	for i := range tenants {
		list = append(list, map[string]any{
			"Name": fmt.Sprintf("tenant-%d", i), "ApiKeys": []string{tenantKey(i)}, "Priority": 1,
			"RatePerS": tenantRate, "Burst": tenantRate, "AllowedRegions": []string{},
		})
	}
	c["Tenants"] = list
	return c
}

func tenantKey(i int) string { return fmt.Sprintf("key-of-tenant-%d", i) }

// askTenants sends the requests of all tenants to the hosts in turn for a time, and returns
// the answers.
func (s *scene) askTenants(hosts []*rig.Host, d time.Duration) []answer {
	var group sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	for i := range tenants {
		group.Go(func() {
			ticker := time.NewTicker(time.Second / askedPerS)
			defer ticker.Stop()
			for n, end := 0, time.Now().Add(d); time.Now().Before(end); n++ {
				h := hosts[n%len(hosts)]
				a := callWithKey(h, tenantKey(i), "POST", rig.WritePath+"order", newID(fmt.Sprintf("tenant-%d", i)), []byte("one stack of sieves"), 3*time.Second)
				s.recordAnswer(h, a)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				<-ticker.C
			}
		})
	}
	group.Wait()
	return answers
}

// servedOf returns the share of the answers that are successes.
func servedOf(answers []answer) float64 {
	n := 0
	for _, a := range answers {
		if a.err == nil && a.status == http.StatusOK {
			n++
		}
	}
	return float64(n) / float64(max(1, len(answers)))
}

// replacedFleet kills all machines right after a version was acknowledged. They are removed
// for good, and others with the same roles are added at new addresses; without trouble the same
// machines come back.
func replacedFleet(s *scene) (bool, error) {
	s.Store.Put("config", "main", tenantsConfiguration(1))
	s.upstreams.Work = 20 * time.Millisecond
	for i := range 6 {
		if _, err := s.upstreams.Add(fmt.Sprintf("i-%d", i), rig.ServiceName, "ost-a", 3); err != nil {
			return false, err
		}
	}
	for _, name := range []string{"edge-ost-a-1", "edge-ost-a-2", "edge-ost-a-3"} {
		if _, err := s.AddHost(name, "ost-a"); err != nil {
			return false, err
		}
	}
	if err := s.startHosts(true); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	first := slices.Clone(s.Hosts())
	before := servedOf(s.askTenants(first, 8*time.Second))
	s.Store.Put("config", "main", tenantsConfiguration(2))
	s.Record("version r2 is acknowledged")
	for _, h := range first {
		h.Signal(syscall.SIGKILL)
	}
	for _, h := range first {
		if !h.Wait(readyWait) {
			return false, &rig.NotReadyError{Host: h.Name, Waited: readyWait}
		}
	}
	s.Record("all machines are down")
	time.Sleep(downTime)
	back := first
	if s.trouble {
		back = nil
		for _, name := range []string{"edge-ost-a-4", "edge-ost-a-5", "edge-ost-a-6"} {
			h, err := s.AddHost(name, "ost-a")
			if err != nil {
				return false, err
			}
			back = append(back, h)
		}
	}
	for _, h := range back {
		if err := h.Start(false); err != nil {
			return false, err
		}
	}
	started := time.Now()
	if err := rig.AwaitReady(readyWait, back...); err != nil {
		return false, err
	}
	s.Record("all hosts are ready %.1f s after their start", time.Since(started).Seconds())
	early := servedOf(s.askTenants(back, time.Until(started.Add(recoverTime))))
	after := servedOf(s.askTenants(back, 50*time.Second))
	for _, e := range s.upstreams.Executions() {
		s.Record("%s of %s was run by %s at second %.3f", e.ID, e.Customer, e.Upstream, e.Started.Sub(s.Started).Seconds())
	}
	s.Record("served: %.3f before the fault, %.3f in the first %v after the machines are back, %.3f in the 50 s after that; %.2f asked for", before, early, recoverTime, after, servedShare)
	return before < servedShare || after >= servedShare, nil
}
