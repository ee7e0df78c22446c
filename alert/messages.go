package alert

import (
	"cmp"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/measure"
)

// The wire numbers; see docs/design.md, section 2.
const (
	numberReport   = 700
	numberState    = 701
	numberStateAck = 702
	numberRefused  = 703
	numberTakeover = 704
	numberPromise  = 705
)

// Term numbers evaluators. A member follows the highest term that it promised.
type Term struct {
	Number uint64       `cbor:"1,keyasint"`
	Host   fleet.HostID `cbor:"2,keyasint"`
}

// Compare orders terms.
func (t Term) Compare(u Term) int {
	return cmp.Or(cmp.Compare(t.Number, u.Number), cmp.Compare(t.Host, u.Host))
}

// Report tells the evaluator the measures of the sender.
type Report struct {
	Report measure.Report `cbor:"1,keyasint"`
}

// MessageNumber returns the wire number.
func (Report) MessageNumber() uint16 { return numberReport }

// RuleState is a rule whose condition holds.
type RuleState struct {
	Line string `cbor:"1,keyasint"`
	// HeldMillis is the time for which the condition was seen to hold.
	HeldMillis int64 `cbor:"2,keyasint"`
	Firing     bool  `cbor:"3,keyasint"`
	// SinceMillis is the wall clock at which the rule fired, Unix milliseconds.
	SinceMillis int64   `cbor:"4,keyasint"`
	Value       float64 `cbor:"5,keyasint"`
}

// Change is a rule that fired or cleared.
type Change struct {
	Line  string `cbor:"1,keyasint"`
	Fired bool   `cbor:"2,keyasint"`
	// SinceMillis tells one firing of a rule from another one.
	SinceMillis int64   `cbor:"3,keyasint"`
	Value       float64 `cbor:"4,keyasint"`
	// Reason says why a rule cleared other than by its value.
	Reason string `cbor:"5,keyasint,omitempty"`
}

// State is what an evaluator knows of all rules. Rules whose condition does not
// hold are left out.
type State struct {
	Term     Term           `cbor:"1,keyasint"`
	Sequence uint64         `cbor:"2,keyasint"`
	Revision fleet.Revision `cbor:"3,keyasint"`
	Rules    []RuleState    `cbor:"4,keyasint,omitempty"`
	// Unannounced are changes that are not on the time line yet.
	Unannounced []Change `cbor:"5,keyasint,omitempty"`
}

// MessageNumber returns the wire number.
func (State) MessageNumber() uint16 { return numberState }

func (s *State) newer(than *State) bool {
	return cmp.Or(s.Term.Compare(than.Term), cmp.Compare(s.Sequence, than.Sequence)) > 0
}

func (s *State) rule(line string) *RuleState {
	for i := range s.Rules {
		if s.Rules[i].Line == line {
			return &s.Rules[i]
		}
	}
	return nil
}

// StateAck says that the sender holds a state.
type StateAck struct {
	Term     Term   `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
}

// MessageNumber returns the wire number.
func (StateAck) MessageNumber() uint16 { return numberStateAck }

// Refused says that the sender follows a higher term.
type Refused struct {
	Promised Term `cbor:"1,keyasint"`
}

// MessageNumber returns the wire number.
func (Refused) MessageNumber() uint16 { return numberRefused }

// Takeover asks a member to follow a new term.
type Takeover struct {
	Term Term `cbor:"1,keyasint"`
}

// MessageNumber returns the wire number.
func (Takeover) MessageNumber() uint16 { return numberTakeover }

// Promise says that the sender follows a term, and the newest state it holds.
type Promise struct {
	Term  Term  `cbor:"1,keyasint"`
	State State `cbor:"2,keyasint"`
}

// MessageNumber returns the wire number.
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

// SetRules is the input with the rules of the revision in force.
type SetRules struct {
	Revision fleet.Revision
	Lines    []string
	// Rates are the rates of all customers in requests a second.
	Rates map[fleet.Customer]float64
}

// MachineInput marks SetRules as an input.
func (SetRules) MachineInput() {}

// Measured is the input with the host's own measures; it answers Collect.
type ReportCollected struct {
	Report measure.Report
}

// MachineInput marks Measured as an input.
func (ReportCollected) MachineInput() {}

// Collect is the output that asks for the host's own measures.
type CollectReport struct{}

// MachineOutput marks Collect as an output.
func (CollectReport) MachineOutput() {}

// Firing is a rule that fires.
type Firing struct {
	Name        string
	Severity    string
	Line        string
	Value       float64
	SinceMillis int64
}

// Current is the output with what the host knows of the alerts.
type CurrentAlerts struct {
	// Evaluator is empty if the host knows none.
	Evaluator fleet.HostID
	Firing    []Firing
}

// MachineOutput marks Current as an output.
func (CurrentAlerts) MachineOutput() {}
