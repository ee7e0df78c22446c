package main

import (
	"strings"
	"syscall"
	"time"
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
func directoryCase(r *rig) (bool, error) {
	set := &backends{rig: r, work: staleWork}
	if _, err := set.add("i-0", serviceName, "ost-a", 8); err != nil {
		return false, err
	}
	r.store.put("config", "main", configuration(oldVersion, keyKept))
	var hosts []*host
	for _, one := range [][2]string{{"edge-ost-a-1", "ost-a"}, {"edge-ost-a-2", "ost-a"}, {"edge-ost-b-1", "ost-b"}, {"edge-vest-a-1", "vest-a"}} {
		h, err := r.addHost(one[0], one[1])
		if err != nil {
			return false, err
		}
		hosts = append(hosts, h)
		if err := h.start(true); err != nil {
			return false, err
		}
	}
	if err := awaitReady(15*time.Second, hosts...); err != nil {
		return false, err
	}
	time.Sleep(contact + 3*time.Second)
	asked, removed, running := hosts[0], hosts[1], hosts[2]
	var removedAt time.Time
	if r.trouble {
		r.record("SIGTERM to host %s (process %d), which does not come back", removed.name, removed.process.Process.Pid)
		removed.signal(syscall.SIGTERM)
		if !removed.wait(grace + time.Second) {
			removed.signal(syscall.SIGKILL)
			removed.wait(time.Second)
		}
		removedAt = time.Now()
		r.record("host %s has ended", removed.name)
		time.Sleep(contact + 3*time.Second + time.Second)
		r.record("SIGKILL to host %s (process %d)", asked.name, asked.process.Process.Pid)
		asked.signal(syscall.SIGKILL)
		asked.wait(time.Second)
		time.Sleep(restartAfter)
		if err := asked.start(false); err != nil {
			return false, err
		}
	}
	startedAt, wrong := asked.startedAt, 0
	if !r.trouble {
		startedAt = time.Now()
	}
	for time.Since(startedAt) < askFor {
		time.Sleep(askInterval)
		text, err := asked.resolve(zones[asked.zone], asked.zone)
		if err != nil {
			r.record("directory of %s: %v", asked.name, err)
			continue
		}
		verdict := ""
		if r.trouble && strings.Contains(text, `"`+removed.public+`"`) && strings.Contains(text, `"`+running.public+`"`) {
			verdict = "names the removed host"
			if time.Since(startedAt) > contact && time.Since(removedAt) > contact+3*time.Second {
				wrong++
				verdict += ", in touch: DRAIN"
			}
		}
		r.record("directory of %s, %.3f s after its start: %s %s", asked.name, time.Since(startedAt).Seconds(), text, verdict)
	}
	r.record("%d answers of a machine in touch named a host that had been removed over %v before", wrong, contact+3*time.Second)
	return wrong > allowedAnswers, nil
}
