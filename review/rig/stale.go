package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stale"] = staleCase }

const (
	// staleLag is how old the store's answers to reads with StaleOk are.
	staleLag = 4 * time.Second
	// killedFor is how long the killed hosts are down.
	killedFor = 2 * time.Second
	// changeAfter is the time from the kill to the change of the configuration.
	changeAfter = 200 * time.Millisecond
	// configBound is the time within which a version must be in force.
	configBound = 2500 * time.Millisecond
	staleWork   = 15 * time.Millisecond
	// staleInterval is the time between two requests to one host with one key.
	staleInterval = 40 * time.Millisecond
	// movedService is the service to which the new version moves a route.
	movedService = "kalibrering"
	oldVersion   = 7
	newVersion   = 12
)

// keyedRequest is one request of the case.
type keyedRequest struct {
	id, host, key, path string
	sent                time.Time
	status              int
}

// staleCase kills half of the hosts at once, drops a key and moves a route a moment
// later, and checks when the other hosts stop to act on the version before.
func staleCase(r *rig) (bool, error) {
	r.store.staleLag = staleLag
	set := &backends{rig: r, work: staleWork}
	services := map[string]string{}
	for i, zone := range []string{"ost-a", "ost-b", "vest-a", "vest-b", "nord-a", "nord-b"} {
		for _, service := range []string{serviceName, movedService} {
			id := fmt.Sprintf("i-%s-%d", service, i)
			services[id] = service
			if _, err := set.add(id, service, zone, 12); err != nil {
				return false, err
			}
		}
	}
	r.store.put("config", "main", configuration(oldVersion, keyKept, keyRevoked))
	// The first configuration is written before the hosts start.
	time.Sleep(staleLag + time.Second)
	var hosts []*host
	for _, zone := range []string{"nord-a", "nord-b", "ost-a", "ost-b", "vest-a", "vest-b"} {
		h, err := r.addHost("edge-"+zone+"-1", zone)
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
	time.Sleep(contact + 3*time.Second)

	killed, calm := []*host{hosts[0], hosts[2], hosts[4]}, []*host{hosts[1], hosts[3], hosts[5]}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group sync.WaitGroup
	var mu sync.Mutex
	var requests []*keyedRequest
	for _, h := range calm {
		for _, c := range []keyedRequest{{key: keyRevoked, path: readPath}, {key: keyKept, path: writePath}} {
			group.Add(1)
			go func() {
				defer group.Done()
				sendSequence(ctx, h, c.key, c.path, func(q *keyedRequest) {
					mu.Lock()
					defer mu.Unlock()
					requests = append(requests, q)
				})
			}()
		}
	}
	time.Sleep(time.Second)
	if r.trouble {
		for _, h := range killed {
			r.record("SIGKILL to host %s (process %d)", h.name, h.process.Process.Pid)
			h.signal(syscall.SIGKILL)
		}
	}
	killedAt := time.Now()
	time.Sleep(changeAfter)
	next := configuration(newVersion, keyKept)
	next["Routes"].([]any)[1].(map[string]any)["Service"] = movedService
	next["Services"] = append(next["Services"].([]any), map[string]any{
		"Name": movedService, "HealthPath": "/healthz", "MaxConnections": 390, "Protocol": "h1", "Tls": false, "SlowStart": "3s", "WarmupPerS": 3.6,
	})
	acknowledged := r.store.put("config", "main", next)
	r.record("the store acknowledges r%d: a key dropped, %s moved to another service", newVersion, writePath)
	if r.trouble {
		time.Sleep(time.Until(killedAt.Add(killedFor)))
		for _, h := range killed {
			h.wait(time.Second)
			if err := h.start(false); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(time.Until(acknowledged.Add(staleLag + 4*time.Second)))
	cancel()
	group.Wait()

	runs, late := set.runs(), 0
	last := map[string]time.Duration{}
	for _, q := range requests {
		after := q.sent.Sub(acknowledged)
		if after <= 0 {
			continue
		}
		for _, e := range runs[q.id] {
			old := q.key == keyRevoked || q.path == writePath && services[e.backend] == serviceName
			if !old {
				continue
			}
			what := "with the dropped key"
			if q.key != keyRevoked {
				what = "by the old service"
			}
			last[q.host+" "+what] = max(last[q.host+" "+what], after)
			if after > configBound {
				late++
				r.record("request %s, sent to %s %.3f s after the acknowledgement, answered %d: run %s at backend %s: CONFIG", q.id, q.host, after.Seconds(), q.status, what, e.backend)
			}
		}
	}
	for what, after := range last {
		r.record("last request run by host %s: sent %.3f s after the acknowledgement", what, after.Seconds())
	}
	r.record("%d requests sent, %d handled as only the version before allows later than %v", len(requests), late, configBound)
	return late > 0, nil
}

// sendSequence sends requests to a host on a kept connection until the context ends.
func sendSequence(ctx context.Context, h *host, key, path string, sent func(*keyedRequest)) {
	method := http.MethodGet
	if path == writePath {
		method = http.MethodPost
	}
	var conn net.Conn
	var reader *bufio.Reader
	for n := 0; sleep(ctx, staleInterval); n++ {
		if conn == nil {
			opened, err := net.DialTimeout("tcp", h.public, time.Second)
			if err != nil {
				continue
			}
			conn, reader = opened, bufio.NewReader(opened)
		}
		q := &keyedRequest{id: fmt.Sprintf("%s-%s-%d", h.name, key, n), host: h.name, key: key, path: path, sent: time.Now()}
		_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
		_, err := fmt.Fprintf(conn, "%s %s%d HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 2500\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
			method, path, n, hostName, headerRequestID, q.id, headerDeadline, headerCredential, key)
		var answer *http.Response
		if err == nil {
			answer, err = http.ReadResponse(reader, nil)
		}
		if err == nil {
			q.status = answer.StatusCode
			_, err = io.Copy(io.Discard, answer.Body)
		}
		sent(q)
		if err != nil || answer.Close {
			_ = conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		_ = conn.Close()
	}
}
