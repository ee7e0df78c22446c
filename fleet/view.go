package fleet

import "net/netip"

// State is the state of a member in the roster.
type State string

// The states of a member.
const (
	StateJoining  State = "joining"
	StateActive   State = "active"
	StateLeaving  State = "leaving"
	StateRetiring State = "retiring"
)

// Partitions is the number of partitions of the operation id space.
const Partitions = 64

// TotalWeight is the sum of the share weights of a roster in which every unit
// is handed out.
const TotalWeight = 1_000_000

// ViewMember is one entry of a View.
type ViewMember struct {
	Member
	Location
	State         State          `json:"state"`
	PeerAddress   netip.AddrPort `json:"peerAddress"`
	CallerAddress netip.AddrPort `json:"callerAddress"`
	// Weight is the member's part of every customer's limit, of TotalWeight.
	Weight uint32 `json:"weight"`
	// Confirmed is the highest roster generation that the member said it applies.
	ConfirmedGeneration uint64 `json:"confirmed"`
	// Reachable is true while the member answers heartbeats; it becomes false after
	// three heartbeat intervals of silence. It says nothing of the member's lease.
	Reachable bool `json:"reachable"`
	// Load is the member's last advertised load, 0 to 1; negative if unknown.
	Load float64 `json:"load"`
}

// Partition is the ownership of one partition of the operation id space.
type Partition struct {
	Owner Member
	// Epoch counts the owners of the partition. It increases with each change.
	Epoch uint64
	// Previous is the owner before Owner; zero for the first one.
	Previous Member
	// PreviousUncommitted is true if the previous owner may have granted claims
	// that are not in the store.
	PreviousUncommitted bool
	// TakenOverMillis is the time of the change of owner, Unix milliseconds.
	TakenOverMillis int64
}

// View is what a host knows of its cell at one moment. It is immutable.
type View struct {
	// Version is the generation of the roster behind the view; 0 before the first.
	// It never decreases, also if the store comes back with older versions.
	Version uint64
	Self    Member
	// Members are sorted by host id. Retiring members are included.
	Members    []ViewMember
	Partitions [Partitions]Partition
}

// Find returns the entry of a host, or nil.
func (v *View) Find(id HostID) *ViewMember {
	for i := range v.Members {
		if v.Members[i].Host == id {
			return &v.Members[i]
		}
	}
	return nil
}

// Owns reports whether the member holds a partition at this view.
func (v *View) Owns(partition int) bool {
	return v.Partitions[partition].Owner == v.Self
}
