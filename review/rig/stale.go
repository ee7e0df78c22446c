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

	"github.com/catkinspring/catkinspring/platform/rig"
)

func init() { cases["stale"] = staleCase }

const (
	// staleLag is how old the store's answers to reads with StaleOk are.
	staleLag = 4 * time.Second
	// stopGap is the time between the SIGTERMs of two hosts.
	stopGap = 1300 * time.Millisecond
	// startDelay is the time from the end of the last process to the start of the next ones.
	startDelay = 500 * time.Millisecond
	// changeAfter is the time from the start of the last process to the change of the
	// configuration.
	changeAfter = 3 * time.Second
	// configBound is the time within which a version must be in force.
	configBound = rig.ConfigBound
	staleWork   = 15 * time.Millisecond
	// staleInterval is the time between two requests to one host with one key.
	staleInterval = 40 * time.Millisecond
	// movedService is the service to which the new version moves a route.
	movedService = rig.MovedService
	oldVersion   = 7
	newVersion   = 12
)

// keyedRequest is one request of the case.
type keyedRequest struct {
	id, host, key, path string
	sent                time.Time
	status              int
}

// staleCase removes two hosts for good. Later it restarts two others in turn, drops a key
// and moves a route a moment after that, and checks when the hosts that were not touched
// stop to act on the version before.
func staleCase(r *setup) (bool, error) {
	r.Store.StaleLag = staleLag
	set := &rig.Upstreams{Rig: r.Rig, Work: staleWork}
	services := map[string]string{}
	for i, zone := range []string{"ost-a", "ost-b", "vest-a", "vest-b", "nord-a", "nord-b"} {
		for _, service := range []string{rig.ServiceName, movedService} {
			id := fmt.Sprintf("i-%s-%d", service, i)
			services[id] = service
			if _, err := set.Add(id, service, zone, 12); err != nil {
				return false, err
			}
		}
	}
	r.Store.Put("config", "main", rig.Configuration(oldVersion, rig.KeyKept, rig.KeyRevoked))
	// The first configuration is written before the hosts start.
	time.Sleep(staleLag + time.Second)
	var hosts []*rig.Host
	for _, name := range []string{"nord-a-1", "ost-a-1", "nord-a-2", "ost-a-2", "nord-b-1", "ost-b-1", "vest-a-1", "vest-b-1"} {
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
	time.Sleep(contact)
	removed, restarted, calm := hosts[:2], hosts[2:4], hosts[4:]
	for _, h := range removed {
		r.Record("SIGTERM to host %s (process %d), which is removed for good", h.Name, h.Pid())
		h.Signal(syscall.SIGTERM)
		if !h.Wait(grace) {
			return false, fmt.Errorf("host %s did not stop", h.Name)
		}
	}
	time.Sleep(2 * contact)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group sync.WaitGroup
	var mu sync.Mutex
	var requests []*keyedRequest
	for _, h := range calm {
		for _, c := range []keyedRequest{{key: rig.KeyRevoked, path: rig.ReadPath}, {key: rig.KeyKept, path: rig.WritePath}} {
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
		if err := restartInTurn(r, restarted); err != nil {
			return false, err
		}
	}
	time.Sleep(changeAfter)
	next := rig.Configuration(newVersion, rig.KeyKept)
	next["Routes"].([]any)[1].(map[string]any)["Service"] = movedService
	next["Services"] = append(next["Services"].([]any), map[string]any{
		"Name": movedService, "HealthPath": "/healthz", "MaxConnections": 390, "Protocol": "h1", "Tls": false, "SlowStart": "3s", "WarmupPerS": 3.6,
	})
	acknowledged := r.Store.Put("config", "main", next)
	r.Record("the store acknowledges r%d: a key dropped, %s moved to another service", newVersion, rig.WritePath)
	time.Sleep(time.Until(acknowledged.Add(staleLag + 4*time.Second)))
	cancel()
	group.Wait()

	runs, late := set.Runs(), 0
	last := map[string]time.Duration{}
	for _, q := range requests {
		after := q.sent.Sub(acknowledged)
		if after <= 0 {
			continue
		}
		for _, e := range runs[q.id] {
			old := q.key == rig.KeyRevoked || q.path == rig.WritePath && services[e.Upstream] == rig.ServiceName
			if !old {
				continue
			}
			what := "with the dropped key"
			if q.key != rig.KeyRevoked {
				what = "by the old service"
			}
			last[q.host+" "+what] = max(last[q.host+" "+what], after)
			if after > configBound {
				late++
				r.Record("request %s, sent to %s %.3f s after the acknowledgement, answered %d: run %s at backend %s: CONFIG", q.id, q.host, after.Seconds(), q.status, what, e.Upstream)
			}
		}
	}
	for what, after := range last {
		r.Record("last request run by host %s: sent %.3f s after the acknowledgement", what, after.Seconds())
	}
	r.Record("%d requests sent, %d handled as only the version before allows later than %v", len(requests), late, configBound)
	return late > 0, nil
}

// restartInTurn stops hosts by SIGTERM, stopGap apart, and starts them again startDelay
// after the last of them has ended.
func restartInTurn(r *setup, hosts []*rig.Host) error {
	for i, h := range hosts {
		if i > 0 {
			time.Sleep(stopGap)
		}
		r.Record("SIGTERM to host %s (process %d)", h.Name, h.Pid())
		h.Signal(syscall.SIGTERM)
	}
	for _, h := range hosts {
		if !h.Wait(grace) {
			return fmt.Errorf("host %s did not stop", h.Name)
		}
	}
	time.Sleep(startDelay)
	for _, h := range hosts {
		if err := h.Start(false); err != nil {
			return err
		}
	}
	return nil
}

// sendSequence sends requests to a host on a kept connection until the context ends.
func sendSequence(ctx context.Context, h *rig.Host, key, path string, sent func(*keyedRequest)) {
	method := http.MethodGet
	if path == rig.WritePath {
		method = http.MethodPost
	}
	var conn net.Conn
	var reader *bufio.Reader
	for n := 0; rig.Sleep(ctx, staleInterval); n++ {
		if conn == nil {
			opened, err := net.DialTimeout("tcp", h.Public, time.Second)
			if err != nil {
				continue
			}
			conn, reader = opened, bufio.NewReader(opened)
		}
		q := &keyedRequest{id: fmt.Sprintf("%s-%s-%d", h.Name, key, n), host: h.Name, key: key, path: path, sent: time.Now()}
		_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
		_, err := fmt.Fprintf(conn, "%s %s%d HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 2500\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
			method, path, n, rig.EntryName, rig.HeaderRequestID, q.id, rig.HeaderDeadline, rig.HeaderCredential, key)
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
