package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
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
func withdrawCase(r *rig) (bool, error) {
	r.store.staleLag = withdrawLag
	set := &backends{rig: r, work: staleWork}
	zoneOf := map[string]string{}
	var drained *backend
	for i, zone := range []string{"ost-a", "ost-b", "vest-a", "vest-b", "nord-a", "nord-b"} {
		one, err := set.add(fmt.Sprintf("i-%s-%d", serviceName, i), serviceName, zone, 12)
		if err != nil {
			return false, err
		}
		zoneOf[one.id] = zone
		if zone == "vest-a" {
			drained = one
		}
	}
	r.store.put("config", "main", configuration(oldVersion, keyKept, keyRevoked))
	// What is there at first is written before the hosts start.
	time.Sleep(withdrawLag + time.Second)
	var hosts []*host
	for _, name := range []string{"nord-a-1", "ost-a-1", "nord-b-1", "ost-b-1", "vest-a-1", "vest-b-1"} {
		h, err := r.addHost("edge-"+name, name[:len(name)-2])
		if err != nil {
			return false, err
		}
		hosts = append(hosts, h)
		if err := h.start(true); err != nil {
			return false, err
		}
	}
	if err := awaitReady(20*time.Second, hosts...); err != nil {
		return false, err
	}
	time.Sleep(2 * contact)
	readers, calm := hosts[:2], hosts[2:]
	requests, end := sendToAll(calm)
	time.Sleep(time.Second)
	if r.trouble {
		for _, h := range readers {
			r.record("SIGKILL to host %s (process %d)", h.name, h.process.Process.Pid)
			h.signal(syscall.SIGKILL)
		}
	}
	withdrawn := []*withdrawal{
		{what: "the dropped key", bound: configBound, acknowledged: r.store.put("config", "main", configuration(newVersion, keyKept)),
			uses: func(q *keyedRequest, _ string) bool { return q.key == keyRevoked }},
		{what: "the drained backend", bound: drainBound, acknowledged: drained.register("draining", 0),
			uses: func(_ *keyedRequest, backend string) bool { return backend == drained.id }},
		{what: "the evacuated zone", bound: evacuateBound, acknowledged: r.store.put("evacuations", "vest-b", map[string]any{}),
			uses: func(_ *keyedRequest, backend string) bool { return zoneOf[backend] == "vest-b" }},
	}
	time.Sleep(withdrawLag + time.Second)
	end()
	runs, broken := set.runs(), false
	for _, w := range withdrawn {
		late, last := 0, time.Duration(0)
		for _, q := range *requests {
			for _, e := range runs[q.id] {
				if !w.uses(q, e.backend) {
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
		r.record("%s: last used by a request sent %.3f s after the acknowledgement, %d later than %v", w.what, last.Seconds(), late, w.bound)
	}
	return broken, nil
}

// sendToAll sends requests to hosts with both keys until end is called. The list is
// complete after that.
func sendToAll(hosts []*host) (requests *[]*keyedRequest, end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	var mu sync.Mutex
	requests = &[]*keyedRequest{}
	for _, h := range hosts {
		for _, key := range []string{keyRevoked, keyKept} {
			group.Add(1)
			go func() {
				defer group.Done()
				sendSequence(ctx, h, key, readPath, func(q *keyedRequest) {
					mu.Lock()
					defer mu.Unlock()
					*requests = append(*requests, q)
				})
			}()
		}
	}
	return requests, func() { cancel(); group.Wait() }
}
