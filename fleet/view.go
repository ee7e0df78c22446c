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

// Partitions is the number of partitions of the operation ID space.
const Partitions = 64

// TotalWeight is the sum of the members' weights in a roster in which all
// units are assigned.
const TotalWeight = 1_000_000

// ViewMember is one entry of a View.
type ViewMember struct {
	Member
	Location
	State         State          `json:"state"`
	PeerAddress   netip.AddrPort `json:"peerAddress"`
	CallerAddress netip.AddrPort `json:"callerAddress"`
	// Weight is the member's share of every customer's limit, in units of
	// 1/TotalWeight.
	Weight uint32 `json:"weight"`
	// ConfirmedGeneration is the highest roster generation that the member reported
	// to apply.
	ConfirmedGeneration uint64 `json:"confirmed"`
	// Registered is the store revision at which the member was registered, and Joined
	// that of its first record of a division of the limits; 0 if there is none.
	// ConfirmedGeneration is then the Registered of the last host in the list that the
	// member acts on.
	Registered uint64 `json:"registered,omitempty"`
	Joined     uint64 `json:"joined,omitempty"`
	// Holder is the host that uses the recorded share of this member: the member itself,
	// one that replaces it, or none if empty.
	Holder HostID `json:"holder,omitempty"`
	// Reachable is true while the member responds to heartbeats; it becomes false
	// after three heartbeat intervals without a response. It does not indicate
	// whether the member's lease is valid.
	Reachable bool `json:"reachable"`
	// Load is the member's last advertised load, 0 to 1; negative if unknown.
	Load float64 `json:"load"`
}

// Partition is the ownership of one partition of the operation ID space.
type Partition struct {
	Owner Member
	// Epoch increases with each change of owner.
	Epoch uint64
	// Previous is the owner before Owner; zero if there was none.
	Previous Member
	// PreviousUncommitted is true if the previous owner may have granted claims
	// that are not in the store.
	PreviousUncommitted bool
	// TakenOverMillis is the time of the last change of owner in Unix milliseconds.
	TakenOverMillis int64
}

// View is a host's immutable snapshot of its cell.
type View struct {
	// Version is the roster generation of the view; 0 before the first roster. It
	// never decreases, even if the store is restored with older versions.
	Version uint64
	// Era is that of the store in which the members' records were read. Records of two eras
	// can't be compared.
	Era  uint64
	Self Member
	// Members are sorted by host ID. Retiring members are included.
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

// Owns reports whether this host owns a partition in this view.
func (v *View) Owns(partition int) bool {
	return v.Partitions[partition].Owner == v.Self
}
