package membership

import (
	"net/netip"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// Leave makes the host leave the cell. Left follows when its weight and its
// partitions have been handed over.
type Leave struct{}

// MachineInput marks Leave as an input.
func (Leave) MachineInput() {}

// SetLoad sets the advertised load, 0 to 1.
type SetLoad struct {
	Load float64
}

// MachineInput marks SetLoad as an input.
func (SetLoad) MachineInput() {}

// SetRevision sets the configuration revision that the host advertises.
type SetRevision struct {
	Revision fleet.Revision
}

// MachineInput marks SetRevision as an input.
func (SetRevision) MachineInput() {}

// SetUncommitted announces that the host is about to grant claims that are not
// in the store. It must not do so before UncommittedAcknowledged.
type SetUncommitted struct {
	// Since is repeated in UncommittedAcknowledged.
	Since machine.Instant
}

// MachineInput marks SetUncommitted as an input.
func (SetUncommitted) MachineInput() {}

// ClearUncommitted reports that every claim of the host is in the store.
type ClearUncommitted struct{}

// MachineInput marks ClearUncommitted as an input.
func (ClearUncommitted) MachineInput() {}

// PlatformHosts is the platform's list of entry hosts. It is only a hint: it
// supplies addresses and, when no majority of the voters answers, shows which
// hosts no longer exist.
type PlatformHosts struct {
	Hosts []PlatformHost
}

// MachineInput marks PlatformHosts as an input.
func (PlatformHosts) MachineInput() {}

// PlatformHost is one entry host of the platform's list.
type PlatformHost struct {
	Host        fleet.HostID
	PeerAddress netip.AddrPort
	// Live is false if the platform lists the host as leaving.
	Live bool
}

// PeerAddresses are the peers named in the settings. The host requests the
// roster from them while the store is unreachable.
type PeerAddresses struct {
	Peers map[fleet.HostID]netip.AddrPort
}

// MachineInput marks PeerAddresses as an input.
func (PeerAddresses) MachineInput() {}

// ViewPublished carries a new view. It must be applied before the outputs that
// follow it, because they may confirm to peers that the view is in force.
type ViewPublished struct {
	View *fleet.View
}

// MachineOutput marks ViewPublished as an output.
func (ViewPublished) MachineOutput() {}

// LeaseRenewed carries the end of the host's lease. The end moves to an earlier
// time only if the incarnation was retired or has left; the lease then ends at
// once.
type LeaseRenewed struct {
	ValidUntil machine.Instant
}

// MachineOutput marks LeaseRenewed as an output.
func (LeaseRenewed) MachineOutput() {}

// Retired reports that this incarnation was retired. The machine does nothing
// from then on; the process starts another one with a new incarnation.
type Retired struct{}

// MachineOutput marks Retired as an output.
func (Retired) MachineOutput() {}

// Left reports that the host has left the cell and may exit.
type Left struct{}

// MachineOutput marks Left as an output.
func (Left) MachineOutput() {}

// ContactsChanged carries the addresses of all peers that the host may send to.
type ContactsChanged struct {
	Peers map[fleet.HostID]netip.AddrPort
}

// MachineOutput marks ContactsChanged as an output.
func (ContactsChanged) MachineOutput() {}

// RevisionSeen carries the highest configuration revision that peers advertise.
type RevisionSeen struct {
	Revision fleet.Revision
	// Hosts advertise the revision, sorted by host id.
	Hosts []fleet.HostID
}

// MachineOutput marks RevisionSeen as an output.
func (RevisionSeen) MachineOutput() {}

// UncommittedAcknowledged reports that a majority of the voters has recorded
// that the host grants uncommitted claims.
type UncommittedAcknowledged struct {
	Since machine.Instant
}

// MachineOutput marks UncommittedAcknowledged as an output.
func (UncommittedAcknowledged) MachineOutput() {}
