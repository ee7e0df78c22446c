package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/catkinspring/catkinspring/platform/rig"
)

func init() { cases["poison"] = poisonCase }

const (
	// repeatInterval is the time between two attempts of the client.
	repeatInterval = 9 * time.Second
	// repeats is the number of attempts.
	repeats = 7
	// crashesBefore is the number of crashes from which on retries count, allowedRetries
	// how many may reach a backend.
	crashesBefore  = 3
	allowedRetries = 3
	poisonPath     = rig.WritePath + "poison"
)

// poisonCase sends a request that crashes each backend that begins to run it, again and
// again, to the hosts of the client's region. The backends start again under their IDs.
func poisonCase(r *setup) (bool, error) {
	set := &rig.Upstreams{Rig: r.Rig, Work: staleWork, NewIDs: os.Getenv("NEW_IDS") == "1"}
	if r.trouble {
		set.Poison = poisonPath
	}
	for _, zone := range []string{"ost-a", "ost-b", "vest-a", "vest-b", "nord-a", "nord-b"} {
		for i := range 2 {
			if _, err := set.Add(fmt.Sprintf("i-%s-%d", zone, i), rig.ServiceName, zone, 3); err != nil {
				return false, err
			}
		}
	}
	next := rig.Configuration(oldVersion, rig.KeyKept)
	for _, route := range next["Routes"].([]any) {
		route.(map[string]any)["Sticky"] = true
	}
	r.Store.Put("config", "main", next)
	var hosts []*rig.Host
	for _, name := range []string{"ost-a-1", "ost-b-1", "vest-a-1", "nord-a-1"} {
		h, err := r.AddHost("edge-"+name, name[:len(name)-2])
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
	time.Sleep(contact)
	local := hosts[:2]
	for n := range repeats {
		if n > 0 {
			time.Sleep(repeatInterval)
		}
		h := local[n%len(local)]
		id := fmt.Sprintf("poison-%d", n)
		r.Record("client sends POST %s as %s to host %s", poisonPath, id, h.Name)
		status, err := sendPoison(h, id)
		r.Record("client gets %d (error: %v)", status, err)
	}
	time.Sleep(time.Second)

	crashes, counted := 0, 0
	var third time.Time
	for _, e := range set.Executions() {
		if !r.trouble {
			continue
		}
		if crashes >= crashesBefore && e.Started.Sub(third) > contact {
			counted++
			r.Record("request %s reached backend %s %.1f s after the third crash: BUDGET", e.ID, e.Upstream, e.Started.Sub(third).Seconds())
		}
		if crashes++; crashes == crashesBefore {
			third = e.Started
		}
	}
	r.Record("%d attempts, %d crashes, %d retries reached a backend later than %v after the third crash", repeats, crashes, counted, contact)
	return counted > allowedRetries, nil
}

// sendPoison sends one attempt on a new connection.
func sendPoison(h *rig.Host, id string) (int, error) {
	conn, err := net.DialTimeout("tcp", h.Public, time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 3500\r\n%s: %s\r\nCookie: X-Catkinspring-Affinity-Key=17\r\nContent-Length: 4\r\n\r\nbody",
		poisonPath, rig.EntryName, rig.HeaderRequestID, id, rig.HeaderDeadline, rig.HeaderCredential, rig.KeyKept)
	if err != nil {
		return 0, err
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, err
}
