package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/catkinspring/catkinspring/platform/rig"
)

func init() { cases["withdraw"] = withdrawCase }

const (
	// withdrawLag is how old the store's answers to reads with StaleOk are: more than the
	// longest of the bounds.
	withdrawLag   = 8 * time.Second
	drainBound    = 2500 * time.Millisecond
	evacuateBound = 5000 * time.Millisecond
)

// withdrawal is something that the operator or a backend has withdrawn.
type withdrawal struct {
	what         string
	bound        time.Duration
	acknowledged time.Time
	// uses reports whether a run uses what was withdrawn.
	uses func(q *keyedRequest, backend string) bool
}

// withdrawCase kills the two hosts that read the latest state, withdraws a key, a backend
// and a zone at once, and checks until when the other hosts use them.
func withdrawCase(r *setup) (bool, error) {
	r.Store.StaleLag = withdrawLag
	set := &rig.Upstreams{Rig: r.Rig, Work: staleWork}
	zoneOf := map[string]string{}
	var drained *rig.Upstream
	for i, zone := range []string{"ost-a", "ost-b", "vest-a", "vest-b", "nord-a", "nord-b"} {
		one, err := set.Add(fmt.Sprintf("i-%s-%d", rig.ServiceName, i), rig.ServiceName, zone, 12)
		if err != nil {
			return false, err
		}
		zoneOf[one.ID] = zone
		if zone == "vest-a" {
			drained = one
		}
	}
	r.Store.Put("config", "main", rig.Configuration(oldVersion, rig.KeyKept, rig.KeyRevoked))
	// What is there at first is written before the hosts start.
	time.Sleep(withdrawLag + time.Second)
	var hosts []*rig.Host
	for _, name := range []string{"nord-a-1", "ost-a-1", "nord-b-1", "ost-b-1", "vest-a-1", "vest-b-1"} {
		h, err := r.AddHost("edge-"+name, name[:len(name)-2])
		if err != nil {
			return false, err
		}
		hosts = append(hosts, h)
		if err := h.Start(true); err != nil {
			return false, err
		}
	}
	if err := rig.AwaitReady(20*time.Second, hosts...); err != nil {
		return false, err
	}
	time.Sleep(2 * contact)
	readers, calm := hosts[:2], hosts[2:]
	requests, end := sendToAll(calm)
	time.Sleep(time.Second)
	if r.trouble {
		for _, h := range readers {
			r.Record("SIGKILL to host %s (process %d)", h.Name, h.Pid())
			h.Signal(syscall.SIGKILL)
		}
	}
	withdrawn := []*withdrawal{
		{what: "the dropped key", bound: configBound, acknowledged: r.Store.Put("config", "main", rig.Configuration(newVersion, rig.KeyKept)),
			uses: func(q *keyedRequest, _ string) bool { return q.key == rig.KeyRevoked }},
		{what: "the drained backend", bound: drainBound, acknowledged: drained.Register("draining", 0),
			uses: func(_ *keyedRequest, backend string) bool { return backend == drained.ID }},
		{what: "the evacuated zone", bound: evacuateBound, acknowledged: r.Store.Put("evacuations", "vest-b", map[string]any{}),
			uses: func(_ *keyedRequest, backend string) bool { return zoneOf[backend] == "vest-b" }},
	}
	time.Sleep(withdrawLag + time.Second)
	end()
	runs, broken := set.Runs(), false
	for _, w := range withdrawn {
		late, last := 0, time.Duration(0)
		for _, q := range *requests {
			for _, e := range runs[q.id] {
				if !w.uses(q, e.Upstream) {
					continue
				}
				after := q.sent.Sub(w.acknowledged)
				last = max(last, after)
				if after > w.bound {
					late++
				}
			}
		}
		broken = broken || late > 0
		r.Record("%s: last used by a request sent %.3f s after the acknowledgement, %d later than %v", w.what, last.Seconds(), late, w.bound)
	}
	return broken, nil
}

// sendToAll sends requests to hosts with both keys until end is called. The list is
// complete after that.
func sendToAll(hosts []*rig.Host) (requests *[]*keyedRequest, end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	var mu sync.Mutex
	requests = &[]*keyedRequest{}
	for _, h := range hosts {
		for _, key := range []string{rig.KeyRevoked, rig.KeyKept} {
			group.Add(1)
			go func() {
				defer group.Done()
				sendSequence(ctx, h, key, rig.ReadPath, func(q *keyedRequest) {
					mu.Lock()
					defer mu.Unlock()
					*requests = append(*requests, q)
				})
			}()
		}
	}
	return requests, func() { cancel(); group.Wait() }
}
