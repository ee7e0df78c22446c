package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// rendezvous returns the score of a host for a subject. The host with the
// highest score is chosen (Thaler and Ravishankar, "Using Name-Based Mappings to
// Increase Hit Rates", 1998).
func rendezvous(host fleet.HostID, subject string, index int) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(host))
	_, _ = d.Write([]byte{0, byte(index), byte(index >> 8)})
	_, _ = d.WriteString(subject)
	return d.Sum64()
}

// highest returns the candidate with the highest score for a subject.
func highest(candidates []fleet.HostID, subject string, index int) fleet.HostID {
	var best fleet.HostID
	var bestScore uint64
	for _, id := range candidates {
		if score := rendezvous(id, subject, index); best == "" || score > bestScore {
			best, bestScore = id, score
		}
	}
	return best
}

// active returns the members that act, in a region, or in all if region is empty.
func (m *Machine) active(region fleet.Region) []fleet.HostID {
	var ids []fleet.HostID
	for _, member := range m.view.Members {
		acts := member.State == fleet.StateActive && (member.Reachable || member.Host == m.self)
		if acts && (region == "" || member.Region == region) {
			ids = append(ids, member.Host)
		}
	}
	return ids
}

// assignHomes gives each slot of each upstream to one host of its region, or of
// any region if it has no host. Hosts use their home slots first, so that hosts
// with the same lagging figures do not all choose the same upstream.
func (m *Machine) assignHomes() {
	everywhere := m.active("")
	byRegion := map[fleet.Region][]fleet.HostID{}
	for name, u := range m.upstreams {
		candidates, known := byRegion[u.Location.Region]
		if !known {
			candidates = m.active(u.Location.Region)
			if len(candidates) == 0 {
				candidates = everywhere
			}
			byRegion[u.Location.Region] = candidates
		}
		u.home = 0
		for index := range u.Slots {
			if highest(candidates, string(name), index) == m.self {
				u.home++
			}
		}
	}
}

// probePhase spreads the probes of different upstreams over the interval.
func (m *Machine) probePhase(name fleet.Upstream) time.Duration {
	return time.Duration(xxhash.Sum64String(string(name)) % uint64(probeInterval))
}

// probes asks for the probes that are due and that fall to this host.
func (m *Machine) probes(now machine.Instant) []machine.Output {
	var outputs []machine.Output
	var candidates []fleet.HostID
	for _, name := range slices.Sorted(maps.Keys(m.upstreams)) {
		u := m.upstreams[name]
		if now < u.nextProbe {
			continue
		}
		u.nextProbe = now.Add(probeInterval)
		if candidates == nil {
			candidates = m.active("")
		}
		if highest(candidates, string(name), 0) == m.self {
			outputs = append(outputs, Probe{Upstream: name, Address: u.Address, Timeout: probeTimeout})
		}
	}
	return outputs
}

func (m *Machine) probed(now machine.Instant, done ProbeDone) []machine.Output {
	u := m.upstreams[done.Upstream]
	if u == nil {
		return nil
	}
	u.probe = &probeFigure{sent: done.Sent, inFlight: done.InFlight, draining: done.Draining, failed: done.Failed}
	if done.Failed {
		// A failed probe says nothing about draining; keep nothing from it.
		return nil
	}
	if done.Draining {
		return m.leaving(now, done.Upstream)
	}
	return m.publish(now)
}

// adoptProbe takes a peer's probe result if it is newer than the known one.
func (m *Machine) adoptProbe(now machine.Instant, f ProbeResult) {
	u := m.upstreams[f.Upstream]
	if u == nil || f.AgeMillis < 0 {
		return
	}
	sent := now.Add(-time.Duration(f.AgeMillis) * time.Millisecond)
	if u.probe != nil && u.probe.sent >= sent {
		return
	}
	u.probe = &probeFigure{sent: sent, inFlight: f.InFlight, draining: f.Draining, failed: f.Failed}
}

// ownProbes returns the results that are new since the last digest.
func (m *Machine) ownProbes(now machine.Instant) []ProbeResult {
	candidates := m.active("")
	var figures []ProbeResult
	for _, name := range slices.Sorted(maps.Keys(m.upstreams)) {
		u := m.upstreams[name]
		if u.probe == nil || highest(candidates, string(name), 0) != m.self {
			continue
		}
		age := now.Sub(u.probe.sent)
		if age > probeInterval+digestInterval {
			continue
		}
		figures = append(figures, ProbeResult{
			Upstream:  name,
			InFlight:  u.probe.inFlight,
			Draining:  u.probe.draining,
			Failed:    u.probe.failed,
			AgeMillis: age.Milliseconds(),
		})
	}
	return figures
}
