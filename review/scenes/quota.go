package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/catkinspring/catkinspring/platform/rig"
)

const (
	// hotTenant sends many times its rate. The host that the store turns away holds the whole
	// limit of this tenant by version r1; for other tenants another host does.
	hotTenant = "hot-tenant-5"
	hotKey    = "key-of-the-hot-tenant"
	// hotRate and the bursts are the tenant's limit in versions r1 and r2.
	hotRate  = 40
	oldBurst = 6
	newBurst = 16
	// hotTimes is the demand as a multiple of the rate.
	hotTimes = 4.5
	// The bounds of the rule.
	quotaWindow = 5 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 20
	// turnedAway is how long the store turns a host away.
	turnedAway = 9 * time.Second
)

// quotaConfiguration returns a version with the burst of the hot tenant.
func quotaConfiguration(version int, burst float64) map[string]any {
	c := configuration(version)
	c["Tenants"] = append(c["Tenants"].([]any), map[string]any{
		"Name": hotTenant, "ApiKeys": []string{hotKey}, "Priority": 1, "RatePerS": hotRate, "Burst": burst, "AllowedRegions": []string{},
	})
	return c
}

// sendHot sends the demand of the hot tenant to one host until the context ends.
func (s *scene) sendHot(ctx context.Context, group *sync.WaitGroup, h *rig.Host, perSecond float64) {
	const senders = 6
	for range senders {
		group.Go(func() {
			ticker := time.NewTicker(time.Duration(senders / perSecond * float64(time.Second)))
			defer ticker.Stop()
			for ctx.Err() == nil {
				a := callWithKey(h, hotKey, "GET", rig.ReadPath+"item", newID("hot"), nil, time.Second)
				s.recordAnswer(h, a)
				select {
				case <-ctx.Done():
				case <-ticker.C:
				}
			}
		})
	}
}

// quotaHolders changes a tenant's burst while the store turns one of three hosts away.
func quotaHolders(s *scene) (bool, error) {
	s.Store.Put("config", "main", quotaConfiguration(1, oldBurst))
	s.upstreams.Work = 5 * time.Millisecond
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
	time.Sleep(10 * time.Second) // the hosts record how they divide the limits
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, h := range s.Hosts() {
		s.sendHot(ctx, &group, h, hotRate*hotTimes/float64(len(s.Hosts())))
	}
	time.Sleep(12 * time.Second)
	away := s.Hosts()[0]
	if s.trouble {
		away.Door.Partition()
		s.Record("the store is silent to %s", away.Name)
	}
	time.Sleep(200 * time.Millisecond)
	s.Store.Put("config", "main", quotaConfiguration(2, newBurst))
	s.Record("version r2 raises the burst of %s from %d to %d", hotTenant, oldBurst, newBurst)
	time.Sleep(turnedAway - 200*time.Millisecond)
	if s.trouble {
		away.Door.Heal()
		s.Record("the store serves %s again", away.Name)
	}
	time.Sleep(10 * time.Second)
	cancel()
	group.Wait()
	return s.judgeQuota(), nil
}

// judgeQuota looks for the window in which most requests of the hot tenant were run.
func (s *scene) judgeQuota() bool {
	var runs []time.Time
	for _, e := range s.upstreams.Executions() {
		if e.Customer == hotTenant {
			runs = append(runs, e.Started)
			s.Record("%s was run by %s at second %.3f", e.ID, e.Upstream, e.Started.Sub(s.Started).Seconds())
		}
	}
	slices.SortFunc(runs, time.Time.Compare)
	for second := range int(time.Since(s.Started).Seconds()) {
		from := s.Started.Add(time.Duration(second) * time.Second)
		n := 0
		for _, at := range runs {
			if !at.Before(from) && at.Before(from.Add(time.Second)) {
				n++
			}
		}
		s.Record("from second %d: %d requests of %s were run", second, n, hotTenant)
	}
	most, at, first := 0, time.Time{}, 0
	for i := range runs {
		for runs[i].Sub(runs[first]) >= quotaWindow {
			first++
		}
		if n := i - first + 1; n > most {
			most, at = n, runs[first]
		}
	}
	// The higher burst is in favour of the hosts at all times.
	allowed := (hotRate*quotaWindow.Seconds()+newBurst)*(1+quotaOver) + quotaSlack
	s.Record("most requests of %s in %v: %d, from second %.1f on; allowed are %.1f", hotTenant, quotaWindow, most, at.Sub(s.Started).Seconds(), allowed)
	return float64(most) <= allowed
}
