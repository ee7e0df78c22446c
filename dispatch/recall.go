package dispatch

import (
	"github.com/catkinspring/catkinspring/machine"
)

// maxStoredCrashes bounds the crashes of Quarantined.
const maxStoredCrashes = 64

// Quarantined is the output when this host has seen a crash under a fingerprint that is
// refused: the crashes of all such fingerprints, which must outlast all processes.
type Quarantined struct {
	Crashes []Crash
}

// MachineOutput marks Quarantined as an output.
func (Quarantined) MachineOutput() {}

// Recall is the input with the crashes of earlier processes.
type Recall struct {
	Crashes []Crash
}

// MachineInput marks Recall as an input.
func (Recall) MachineInput() {}

// recall counts crashes that earlier processes have seen.
func (q *Quarantine) recall(now machine.Instant, in Recall) []machine.Output {
	for _, c := range in.Crashes {
		if _, cleared := q.cleared[observation{c.Fingerprint, c.ID}]; !cleared {
			q.recordCrash(now, c)
		}
	}
	return q.updateQuarantine(now)
}

// quarantinedCrashes returns Quarantined if one of the fingerprints is refused.
func (q *Quarantine) quarantinedCrashes(now machine.Instant, fingerprints []uint64) []machine.Output {
	for _, fingerprint := range fingerprints {
		if s := q.suspects[fingerprint]; s != nil && s.quarantined {
			crashes := q.knownCrashes(now, true)
			return []machine.Output{Quarantined{Crashes: crashes[:min(len(crashes), maxStoredCrashes)]}}
		}
	}
	return nil
}
