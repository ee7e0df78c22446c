package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// rendezvousScore returns the score of a host for one item of a subject, for example
// the slot of an upstream with the given index. The host with the highest score is
// chosen (Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
// 1998).
func rendezvousScore(host fleet.HostID, subject string, index int) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(host))
	_, _ = d.Write([]byte{0, byte(index), byte(index >> 8)})
	_, _ = d.WriteString(subject)
	return d.Sum64()
}

// rendezvousWinner returns the candidate with the highest score.
func rendezvousWinner(candidates []fleet.HostID, subject string, index int) fleet.HostID {
	var winner fleet.HostID
	var topScore uint64
	for _, id := range candidates {
		if score := rendezvousScore(id, subject, index); winner == "" || score > topScore {
			winner, topScore = id, score
		}
	}
	return winner
}

// activeHosts returns the active and reachable hosts of a region, or of all regions
// if region is empty.
func (m *Machine) activeHosts(region fleet.Region) []fleet.HostID {
	var ids []fleet.HostID
	for _, member := range m.view.Members {
		usable := member.State == fleet.StateActive && (member.Reachable || member.Host == m.self)
		if usable && (region == "" || member.Region == region) {
			ids = append(ids, member.Host)
		}
	}
	return ids
}

// assignHomeSlots assigns each slot of each upstream to one host of its region, or
// of any region if its own has no host. Hosts use their home slots first, so that
// hosts with the same outdated estimates do not all choose the same upstream.
func (m *Machine) assignHomeSlots() {
	allRegions := m.activeHosts("")
	byRegion := map[fleet.Region][]fleet.HostID{}
	for name, u := range m.upstreams {
		candidates, known := byRegion[u.Location.Region]
		if !known {
			candidates = m.activeHosts(u.Location.Region)
			if len(candidates) == 0 {
				candidates = allRegions
			}
			byRegion[u.Location.Region] = candidates
		}
		u.homeSlots = 0
		for index := range u.Slots {
			if rendezvousWinner(candidates, string(name), index) == m.self {
				u.homeSlots++
			}
		}
	}
}

// probePhase spreads the probes of different upstreams over probeInterval.
func (m *Machine) probePhase(name fleet.Upstream) time.Duration {
	return time.Duration(xxhash.Sum64String(string(name)) % uint64(probeInterval))
}

// dueProbes requests the due probes that are assigned to this host.
func (m *Machine) dueProbes(now machine.Instant) []machine.Output {
	var outputs []machine.Output
	var candidates []fleet.HostID
	for _, name := range slices.Sorted(maps.Keys(m.upstreams)) {
		u := m.upstreams[name]
		if now < u.nextProbe {
			continue
		}
		u.nextProbe = now.Add(probeInterval)
		if candidates == nil {
			candidates = m.activeHosts("")
		}
		if rendezvousWinner(candidates, string(name), 0) == m.self {
			outputs = append(outputs, Probe{Upstream: name, Address: u.Address, Timeout: probeTimeout})
		}
	}
	return outputs
}

func (m *Machine) recordProbe(now machine.Instant, done ProbeDone) []machine.Output {
	u := m.upstreams[done.Upstream]
	if u == nil {
		return nil
	}
	u.probe = &probeResult{sent: done.Sent, inFlight: done.InFlight, draining: done.Draining, failed: done.Failed}
	if done.Failed {
		// A failed probe has no information about draining.
		return nil
	}
	if done.Draining {
		return m.markLeaving(now, done.Upstream)
	}
	return m.publish(now)
}

// mergePeerProbe takes a peer's probe result if it is newer than the known one.
func (m *Machine) mergePeerProbe(now machine.Instant, result ProbeResult) {
	u := m.upstreams[result.Upstream]
	if u == nil || result.AgeMillis < 0 {
		return
	}
	sent := now.Add(-time.Duration(result.AgeMillis) * time.Millisecond)
	if u.probe != nil && u.probe.sent >= sent {
		return
	}
	u.probe = &probeResult{sent: sent, inFlight: result.InFlight, draining: result.Draining, failed: result.Failed}
}

// ownProbes returns the recent results of the probes that this host runs.
func (m *Machine) ownProbes(now machine.Instant) []ProbeResult {
	candidates := m.activeHosts("")
	var results []ProbeResult
	for _, name := range slices.Sorted(maps.Keys(m.upstreams)) {
		u := m.upstreams[name]
		if u.probe == nil || rendezvousWinner(candidates, string(name), 0) != m.self {
			continue
		}
		age := now.Sub(u.probe.sent)
		if age > probeInterval+digestInterval {
			continue
		}
		results = append(results, ProbeResult{
			Upstream:  name,
			InFlight:  u.probe.inFlight,
			Draining:  u.probe.draining,
			Failed:    u.probe.failed,
			AgeMillis: age.Milliseconds(),
		})
	}
	return results
}
