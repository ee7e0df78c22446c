package main

import (
	"strings"
	"syscall"
	"time"

	"github.com/catkinspring/catkinspring/platform/rig"
)

func init() { cases["directory"] = directoryCase }

const (
	// restartAfter is how long the killed process is down.
	restartAfter = 300 * time.Millisecond
	// askInterval is the time between two questions to the directory.
	askInterval = 100 * time.Millisecond
	// askFor is how long the directory is asked after the start of its process.
	askFor = 8 * time.Second
	// allowedAnswers is the number of wrong answers that DRAIN allows.
	allowedAnswers = 3
)

// directoryCase removes a host for good (SIGTERM), kills another one later and asks the
// directory of its next process once that is in touch.
func directoryCase(r *setup) (bool, error) {
	set := &rig.Upstreams{Rig: r.Rig, Work: staleWork}
	if _, err := set.Add("i-0", rig.ServiceName, "ost-a", 8); err != nil {
		return false, err
	}
	r.Store.Put("config", "main", rig.Configuration(oldVersion, rig.KeyKept))
	var hosts []*rig.Host
	for _, one := range [][2]string{{"edge-ost-a-1", "ost-a"}, {"edge-ost-a-2", "ost-a"}, {"edge-ost-b-1", "ost-b"}, {"edge-vest-a-1", "vest-a"}} {
		h, err := r.AddHost(one[0], one[1])
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
	time.Sleep(contact + 3*time.Second)
	asked, removed, running := hosts[0], hosts[1], hosts[2]
	var removedAt time.Time
	if r.trouble {
		r.Record("SIGTERM to host %s (process %d), which does not come back", removed.Name, removed.Pid())
		removed.Signal(syscall.SIGTERM)
		if !removed.Wait(grace + time.Second) {
			removed.Signal(syscall.SIGKILL)
			removed.Wait(time.Second)
		}
		removedAt = time.Now()
		r.Record("host %s has ended", removed.Name)
		time.Sleep(contact + 3*time.Second + time.Second)
		r.Record("SIGKILL to host %s (process %d)", asked.Name, asked.Pid())
		asked.Signal(syscall.SIGKILL)
		asked.Wait(time.Second)
		time.Sleep(restartAfter)
		if err := asked.Start(false); err != nil {
			return false, err
		}
	}
	startedAt, wrong := asked.StartedAt, 0
	if !r.trouble {
		startedAt = time.Now()
	}
	for time.Since(startedAt) < askFor {
		time.Sleep(askInterval)
		text, err := asked.Resolve(rig.Regions[asked.Zone], asked.Zone)
		if err != nil {
			r.Record("directory of %s: %v", asked.Name, err)
			continue
		}
		verdict := ""
		if r.trouble && strings.Contains(text, `"`+removed.Public+`"`) && strings.Contains(text, `"`+running.Public+`"`) {
			verdict = "names the removed host"
			if time.Since(startedAt) > contact && time.Since(removedAt) > contact+3*time.Second {
				wrong++
				verdict += ", in touch: DRAIN"
			}
		}
		r.Record("directory of %s, %.3f s after its start: %s %s", asked.Name, time.Since(startedAt).Seconds(), text, verdict)
	}
	r.Record("%d answers of a machine in touch named a host that had been removed over %v before", wrong, contact+3*time.Second)
	return wrong > allowedAnswers, nil
}
