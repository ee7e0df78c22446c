package membership

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// rosterKind is the store kind of rosters; the object's name is the cell.
const rosterKind = "roster"

// Limits of an encoded roster. 4,900 members must fit.
const (
	maxRosterMembers = 16_384
	maxRosterNesting = 8
)

// entry is one incarnation in the roster.
type entry struct {
	_           struct{} `cbor:",toarray"`
	Host        fleet.HostID
	Incarnation fleet.Incarnation
	Peer        netip.AddrPort
	Caller      netip.AddrPort
	Region      fleet.Region
	Domain      fleet.FailureDomain
	State       state
	// Voter is true if the incarnation counts towards majorities. A joining one
	// does not; a retiring one does until it is removed.
	Voter bool
	// Fenced is true if the incarnation certainly holds no lease.
	Fenced bool
	// Superseded is true if a later incarnation of the host joined, so that this
	// one can't answer at its address any more.
	Superseded bool
	// Uncommitted is true if the incarnation may have granted uncommitted claims.
	Uncommitted bool
	// Weight is the weight that the incarnation may use under this roster.
	Weight uint32
	// Bound is the weight that the incarnation may still use under an older
	// roster. The bounds of a roster never sum to more than fleet.TotalWeight.
	Bound uint32
	// Changed is the generation in which State, Weight or Fenced last changed.
	Changed uint64
}

// partition is the ownership of one partition in the roster.
type partition struct {
	_     struct{} `cbor:",toarray"`
	Owner fleet.Incarnation
	// Next becomes the owner when Owner has confirmed generation Changed. Under
	// this roster Owner may no longer use the partition. Zero if it does not move.
	Next        fleet.Incarnation
	Changed     uint64
	Epoch       uint64
	Previous    fleet.Member
	Uncommitted bool
	TakenOver   int64
}

// roster is the content of the store object roster/<cell>.
type roster struct {
	_ struct{} `cbor:",toarray"`
	// Generation increases by one with each update.
	Generation uint64
	// Config is the generation in which the set of voters last changed.
	Config     uint64
	Entries    []entry
	Partitions [fleet.Partitions]partition
}

// state is the compact form of fleet.State.
type state uint8

const (
	stateJoining state = iota + 1
	stateActive
	stateLeaving
	stateRetiring
)

var fleetStates = map[state]fleet.State{
	stateJoining:  fleet.StateJoining,
	stateActive:   fleet.StateActive,
	stateLeaving:  fleet.StateLeaving,
	stateRetiring: fleet.StateRetiring,
}

// RosterError reports a roster object that can't be used.
type RosterError struct {
	Reason string
	Cause  error
}

func (e *RosterError) Error() string {
	if e.Cause == nil {
		return "roster: " + e.Reason
	}
	return fmt.Sprintf("roster: %s: %v", e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *RosterError) Unwrap() error { return e.Cause }

var rosterDecoder = newRosterDecoder()

func newRosterDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxRosterMembers,
		MaxNestedLevels:  maxRosterNesting,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func (r *roster) encode() ([]byte, error) {
	value, err := cbor.Marshal(r)
	if err != nil {
		return nil, &RosterError{Reason: "encode", Cause: err}
	}
	return value, nil
}

func decodeRoster(value []byte) (*roster, error) {
	r := &roster{}
	if err := rosterDecoder.Unmarshal(value, r); err != nil {
		return nil, &RosterError{Reason: "decode", Cause: err}
	}
	var bounds uint64
	for i := range r.Entries {
		e := &r.Entries[i]
		bounds += uint64(e.Bound)
		if e.Weight > e.Bound || fleetStates[e.State] == "" {
			return nil, &RosterError{Reason: "invalid entry of " + string(e.Host)}
		}
	}
	if bounds > fleet.TotalWeight {
		return nil, &RosterError{Reason: fmt.Sprintf("bounds sum to %d", bounds)}
	}
	return r, nil
}

func (r *roster) clone() *roster {
	copied := *r
	copied.Entries = slices.Clone(r.Entries)
	return &copied
}

// find returns the entry of an incarnation, or nil.
func (r *roster) find(incarnation fleet.Incarnation) *entry {
	for i := range r.Entries {
		if r.Entries[i].Incarnation == incarnation {
			return &r.Entries[i]
		}
	}
	return nil
}

// sort orders the entries by host id, live incarnations first, so that
// fleet.View.Find returns the live one.
func (r *roster) sort() {
	slices.SortStableFunc(r.Entries, func(a, b entry) int {
		if c := strings.Compare(string(a.Host), string(b.Host)); c != 0 {
			return c
		}
		return int(a.State) - int(b.State)
	})
}

func (r *roster) remove(incarnation fleet.Incarnation) {
	r.Entries = slices.DeleteFunc(r.Entries, func(e entry) bool { return e.Incarnation == incarnation })
}

// voters returns the number of voters.
func (r *roster) voters() int {
	n := 0
	for i := range r.Entries {
		if r.Entries[i].Voter {
			n++
		}
	}
	return n
}

// majority returns the smallest number of voters that is more than half of n.
func majority(n int) int { return n/2 + 1 }

// live reports whether the incarnation may renew its lease. A retiring one may
// not, but its last lease may still be valid until it is fenced.
func (e *entry) live() bool {
	return e.State == stateActive || e.State == stateLeaving
}

func (e *entry) member() fleet.Member {
	return fleet.Member{Host: e.Host, Incarnation: e.Incarnation}
}

func rosterKey(cell string) machine.StoreKey {
	return machine.StoreKey{Kind: rosterKind, Name: cell}
}
