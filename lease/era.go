package lease

import (
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// start begins with the first entries. A store that states no era never comes back from an older
// copy.
func (m *Machine) start(now machine.Instant) {
	m.startedAt = now
	if m.joins && m.era > 0 {
		m.sharesFrom = now.Add(startTime)
	}
}

// learnEra notes what another host knows of the beginning of the era.
func (m *Machine) learnEra(now, asked machine.Instant, from fleet.HostID, in Answer) {
	switch {
	case !m.isStarting(now):
	case in.EraKnown && in.EraMillis > 0:
		m.eraAt = max(1, asked.Add(-time.Duration(in.EraMillis)*time.Millisecond))
		m.sharesFrom = now.Add(EraDelay)
	case in.EraKnown:
		m.sharesFrom = now
	default:
		m.starting[from] = true
		if len(m.starting) >= len(m.entries)/2 {
			m.sharesFrom = max(now, m.startedAt.Add(minStartTime))
		}
	}
}

// isStarting reports whether the host still has to learn when the era of the store began.
func (m *Machine) isStarting(now machine.Instant) bool {
	return m.joins && m.eraAt == 0 && m.startedAt != 0 && now < m.sharesFrom && now < m.startedAt.Add(startTime)
}

// beginEra forgets what entries of an earlier era of the store confirm. A host that has no
// lease then may have lost parts to others in the changes that the store has lost. They may
// use them for as long as a lease of the earlier era lasts.
func (m *Machine) beginEra(now machine.Instant) {
	if now >= m.state.ValidUntil {
		m.notBefore = now.Add(EraDelay)
	}
	m.eraAt, m.entriesReadAt = now, 0
	m.sharesFrom = max(m.sharesFrom, now.Add(EraDelay))
	clear(m.votes)
	clear(m.asked)
	clear(m.watched)
}
