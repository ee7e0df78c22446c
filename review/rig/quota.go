package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/catkinspring/catkinspring/platform/rig"
)

func init() { cases["quota"] = quotaCase }

const (
	// Each tenant has a rate and a small burst.
	quotaTenants = 8
	quotaRate    = 100.0
	quotaBurst   = 20.0
	// quotaInterval is the time between two requests of a tenant to one host.
	quotaInterval = 16 * time.Millisecond
	// cutFor is how long the hosts are cut off from the store.
	cutFor = 12 * time.Second
	// addAfter is the time from the cut to the start of the added hosts.
	addAfter = 200 * time.Millisecond
	// Bounds of the deployment.
	quotaWindow = 5 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 20
)

// quotaCase cuts two hosts off from the store, adds machines at once, and counts what all
// hosts together admit of each tenant.
func quotaCase(r *setup) (bool, error) {
	set := &rig.Upstreams{Rig: r.Rig, Work: time.Millisecond}
	for i, zone := range []string{"ost-a", "ost-b", "vest-a", "vest-b", "nord-a", "nord-b"} {
		for n := range 2 {
			if _, err := set.Add(fmt.Sprintf("i-%d-%d", i, n), rig.ServiceName, zone, 64); err != nil {
				return false, err
			}
		}
	}
	next := rig.Configuration(oldVersion)
	var tenants []any
	for n := range quotaTenants {
		tenants = append(tenants, map[string]any{
			"Name": quotaTenant(n), "ApiKeys": []string{"key-of-" + quotaTenant(n)}, "Priority": 1,
			"RatePerS": quotaRate, "Burst": quotaBurst, "AllowedRegions": []string{},
		})
	}
	next["Tenants"] = tenants
	r.Store.Put("config", "main", next)
	var hosts []*rig.Host
	for _, name := range []string{"ost-a-1", "ost-b-1", "vest-a-1", "vest-b-1", "nord-a-1", "nord-b-1"} {
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

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group sync.WaitGroup
	load := func(h *rig.Host) {
		for n := range quotaTenants {
			group.Add(1)
			go func() {
				defer group.Done()
				sendTenant(ctx, h, quotaTenant(n))
			}()
		}
	}
	for _, h := range hosts {
		load(h)
	}
	time.Sleep(quotaWindow + time.Second)
	cut := []*rig.Host{hosts[0], hosts[2]}
	for _, h := range cut {
		if r.trouble {
			r.Record("host %s is cut off from the store, silently", h.Name)
			h.Door.Partition()
		}
	}
	cutAt := time.Now()
	time.Sleep(addAfter)
	for _, name := range []string{"ost-a-2", "ost-b-2", "vest-a-2", "vest-b-2", "nord-a-2", "nord-b-2"} {
		h, err := r.AddHost("edge-"+name, name[:len(name)-2])
		if err != nil {
			return false, err
		}
		if err := h.Start(false); err != nil {
			return false, err
		}
		load(h)
	}
	time.Sleep(time.Until(cutAt.Add(cutFor)))
	for _, h := range cut {
		if !r.trouble {
			break
		}
		r.Record("host %s reaches the store again", h.Name)
		h.Door.Heal()
	}
	time.Sleep(quotaWindow)
	cancel()
	group.Wait()

	allowed := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOver) + quotaSlack
	broken := false
	byTenant := map[string][]time.Time{}
	for _, e := range set.Executions() {
		byTenant[e.Customer] = append(byTenant[e.Customer], e.Started)
	}
	for n := range quotaTenants {
		most, from := busiestWindow(byTenant[quotaTenant(n)])
		verdict := ""
		if float64(most) > allowed {
			verdict, broken = ": QUOTA", true
		}
		r.Record("tenant %s: %d requests ran, at most %d in %v, from %.2f s after the cut; allowed are %.0f%s",
			quotaTenant(n), len(byTenant[quotaTenant(n)]), most, quotaWindow, from.Sub(cutAt).Seconds(), allowed, verdict)
	}
	return broken, nil
}

func quotaTenant(n int) string { return fmt.Sprintf("tenant-%d", n) }

// busiestWindow returns the largest number of times within quotaWindow and its start.
func busiestWindow(times []time.Time) (most int, from time.Time) {
	slices.SortFunc(times, time.Time.Compare)
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) > quotaWindow {
			first++
		}
		if n := i - first + 1; n > most {
			most, from = n, times[first]
		}
	}
	return most, from
}

// sendTenant sends requests of a tenant to a host on a kept connection until the context
// ends.
func sendTenant(ctx context.Context, h *rig.Host, tenant string) {
	var conn net.Conn
	var reader *bufio.Reader
	for n := 0; rig.Sleep(ctx, quotaInterval); n++ {
		if conn == nil {
			opened, err := net.DialTimeout("tcp", h.Public, time.Second)
			if err != nil {
				continue
			}
			conn, reader = opened, bufio.NewReader(opened)
		}
		_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
		id := fmt.Sprintf("%s-%s-%d", h.Name, tenant, n)
		_, err := fmt.Fprintf(conn, "GET %s%d HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 2500\r\n%s: key-of-%s\r\n\r\n",
			rig.ReadPath, n, rig.EntryName, rig.HeaderRequestID, id, rig.HeaderDeadline, rig.HeaderCredential, tenant)
		var answer *http.Response
		if err == nil {
			answer, err = http.ReadResponse(reader, nil)
		}
		if err == nil {
			_, err = io.Copy(io.Discard, answer.Body)
		}
		if err != nil || answer.Close {
			_ = conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		_ = conn.Close()
	}
}
