package loadreport

import (
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/hedge"
	"github.com/catkinspring/catkinspring/machine"
)

// The message numbers are from the package's range 950 to 999.
const (
	reportsNumber = 950
	timesNumber   = 951
)

// Messages returns the package's message types for the codec.
func Messages() []machine.MessageType {
	return []machine.MessageType{machine.TypeOf[Reports](), machine.TypeOf[Times]()}
}

// Reports is the message with what upstreams stated to the sender.
type Reports struct {
	_    struct{} `cbor:",toarray"`
	List List
}

// MessageNumber returns 950.
func (Reports) MessageNumber() uint16 { return reportsNumber }

// Publish requests that reports are sent to the other hosts of the failure domain. Their
// ages are those at the time of the step.
type Publish struct {
	Reports []Report
}

// MachineInput marks Publish as an input.
func (Publish) MachineInput() {}

// Learned is the output for each message of another host. Reports has the valid ones and
// may be empty.
type Learned struct {
	From    fleet.HostID
	Reports []Report
}

// MachineOutput marks Learned as an output.
func (Learned) MachineOutput() {}

// Dropped is the output with the number of reports that were dropped because they are
// invalid, too old, or more than a message may have.
type Dropped struct {
	Reports int
}

// MachineOutput marks Dropped as an output.
func (Dropped) MachineOutput() {}

// Times is the message with the times of attempts that the sender measured.
type Times struct {
	_       struct{} `cbor:",toarray"`
	Samples SampleList
}

// MessageNumber returns 951.
func (Times) MessageNumber() uint16 { return timesNumber }

// PublishTimes requests that samples are sent to the other hosts of the failure domain.
type PublishTimes struct {
	Samples []hedge.Sample
}

// MachineInput marks PublishTimes as an input.
func (PublishTimes) MachineInput() {}

// LearnedTimes is the output for each Times message of another host. Samples has the valid ones
// and may be empty.
type LearnedTimes struct {
	From    fleet.HostID
	Samples []hedge.Sample
}

// MachineOutput marks LearnedTimes as an output.
func (LearnedTimes) MachineOutput() {}

// DroppedTimes is the output with the number of samples that were dropped because they are invalid
// or more than a message may have.
type DroppedTimes struct {
	Samples int
}

// MachineOutput marks DroppedTimes as an output.
func (DroppedTimes) MachineOutput() {}
