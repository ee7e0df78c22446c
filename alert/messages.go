package alert

import (
	"cmp"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/measure"
)

// The message numbers on the wire; see docs/design.md, section 2.
const (
	numberReport   = 700
	numberState    = 701
	numberStateAck = 702
	numberRefused  = 703
	numberTakeover = 704
	numberPromise  = 705
)

// Term identifies a period in which Host is the evaluator or tries to become it. A
// member follows the highest term that it has promised to follow.
type Term struct {
	Number uint64       `cbor:"1,keyasint"`
	Host   fleet.HostID `cbor:"2,keyasint"`
}

// Compare orders terms by number, then by host.
func (t Term) Compare(u Term) int {
	return cmp.Or(cmp.Compare(t.Number, u.Number), cmp.Compare(t.Host, u.Host))
}

// Report sends the metrics of the sender to the evaluator.
type Report struct {
	Report measure.Report `cbor:"1,keyasint"`
}

// MessageNumber returns the number of the message type on the wire.
func (Report) MessageNumber() uint16 { return numberReport }

// RuleState is a rule whose condition holds.
type RuleState struct {
	Line string `cbor:"1,keyasint"`
	// HeldMillis is the time for which the condition was observed to hold.
	HeldMillis int64 `cbor:"2,keyasint"`
	Firing     bool  `cbor:"3,keyasint"`
	// SinceMillis is the wall-clock time at which the rule fired, in Unix milliseconds.
	SinceMillis int64   `cbor:"4,keyasint"`
	Value       float64 `cbor:"5,keyasint"`
}

// Change reports that a rule fired or cleared.
type Change struct {
	Line  string `cbor:"1,keyasint"`
	Fired bool   `cbor:"2,keyasint"`
	// SinceMillis is the time at which the rule fired; it identifies the firing.
	SinceMillis int64   `cbor:"3,keyasint"`
	Value       float64 `cbor:"4,keyasint"`
	// Reason is why a rule cleared, if not because of its value.
	Reason string `cbor:"5,keyasint,omitempty"`
}

// State is the replicated state of all rules. Rules whose condition does not hold are
// omitted.
type State struct {
	Term     Term           `cbor:"1,keyasint"`
	Sequence uint64         `cbor:"2,keyasint"`
	Revision fleet.Revision `cbor:"3,keyasint"`
	Rules    []RuleState    `cbor:"4,keyasint,omitempty"`
	// Unannounced holds the changes that may not have been recorded on the timeline yet.
	Unannounced []Change `cbor:"5,keyasint,omitempty"`
}

// MessageNumber returns the number of the message type on the wire.
func (State) MessageNumber() uint16 { return numberState }

func (s *State) newerThan(other *State) bool {
	return cmp.Or(s.Term.Compare(other.Term), cmp.Compare(s.Sequence, other.Sequence)) > 0
}

func (s *State) rule(line string) *RuleState {
	for i := range s.Rules {
		if s.Rules[i].Line == line {
			return &s.Rules[i]
		}
	}
	return nil
}

// StateAck acknowledges that the sender has stored a state.
type StateAck struct {
	Term     Term   `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
}

// MessageNumber returns the number of the message type on the wire.
func (StateAck) MessageNumber() uint16 { return numberStateAck }

// Refused rejects a message because the sender follows a higher term.
type Refused struct {
	Promised Term `cbor:"1,keyasint"`
}

// MessageNumber returns the number of the message type on the wire.
func (Refused) MessageNumber() uint16 { return numberRefused }

// Takeover requests a promise to follow a new term.
type Takeover struct {
	Term Term `cbor:"1,keyasint"`
}

// MessageNumber returns the number of the message type on the wire.
func (Takeover) MessageNumber() uint16 { return numberTakeover }

// Promise confirms that the sender follows a term, and carries its newest state.
type Promise struct {
	Term  Term  `cbor:"1,keyasint"`
	State State `cbor:"2,keyasint"`
}

// MessageNumber returns the number of the message type on the wire.
func (Promise) MessageNumber() uint16 { return numberPromise }

// Messages returns the message types of this package.
func Messages() []machine.MessageType {
	return []machine.MessageType{
		machine.TypeOf[Report](),
		machine.TypeOf[State](),
		machine.TypeOf[StateAck](),
		machine.TypeOf[Refused](),
		machine.TypeOf[Takeover](),
		machine.TypeOf[Promise](),
	}
}

// SetRules is the input that sets the rules of the active revision.
type SetRules struct {
	Revision fleet.Revision
	Lines    []string
	// Rates holds the configured rates of all customers in requests per second.
	Rates map[fleet.Customer]float64
}

// MachineInput marks SetRules as an input.
func (SetRules) MachineInput() {}

// ReportCollected is the input with the host's own metrics; it answers
// CollectReport.
type ReportCollected struct {
	Report measure.Report
}

// MachineInput marks ReportCollected as an input.
func (ReportCollected) MachineInput() {}

// CollectReport is the output that requests the host's own metrics.
type CollectReport struct{}

// MachineOutput marks CollectReport as an output.
func (CollectReport) MachineOutput() {}

// Firing is a firing alert rule.
type Firing struct {
	Name        string
	Severity    string
	Line        string
	Value       float64
	SinceMillis int64
}

// CurrentAlerts is the output with the evaluator and the firing alerts, as far as this
// host knows them.
type CurrentAlerts struct {
	// Evaluator is empty if it is unknown.
	Evaluator fleet.HostID
	Firing    []Firing
}

// MachineOutput marks CurrentAlerts as an output.
func (CurrentAlerts) MachineOutput() {}
