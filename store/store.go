package store

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// MaxValueSize is the largest value that the store accepts, in bytes.
const MaxValueSize = 1 << 20

// Object is one version of a stored object.
type Object struct {
	Key     machine.StoreKey
	Version uint64
	Value   []byte
}

// Objects is the object store. Every method returns one of the error types of
// this package.
type Objects interface {
	// Get returns the object, or *NotFoundError.
	Get(ctx context.Context, key machine.StoreKey) (Object, error)
	// Create writes a new object and returns its version, or *ConflictError if
	// it exists.
	Create(ctx context.Context, key machine.StoreKey, value []byte) (uint64, error)
	// Update replaces the object if its version is the given one, else it
	// returns *ConflictError.
	Update(ctx context.Context, key machine.StoreKey, version uint64, value []byte) (uint64, error)
	// Delete removes the object if its version is the given one, else it
	// returns *ConflictError.
	Delete(ctx context.Context, key machine.StoreKey, version uint64) error
	// List returns names and versions, without values, of at most limit objects
	// whose name starts with prefix.
	List(ctx context.Context, kind, prefix string, limit int) ([]Object, error)
	// Watch waits up to timeout for changes of a kind after a store version.
	Watch(ctx context.Context, kind string, since uint64, timeout time.Duration) (Changes, error)
}

// Change is one change of an object.
type Change struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted"`
}

// Changes is the answer of a watch.
type Changes struct {
	// Version is the store version up to which the changes are complete.
	Version uint64   `json:"version"`
	Changes []Change `json:"changes"`
}

// Role says what a listed host is.
type Role string

// The roles of listed hosts.
const (
	RoleEntry    Role = "entry"
	RoleUpstream Role = "upstream"
)

// HostState is the state of a listed host.
type HostState string

// The states of listed hosts.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// ListedHost is one entry of the platform's host list.
type ListedHost struct {
	Name          string              `json:"name"`
	Role          Role                `json:"role"`
	Pool          fleet.Pool          `json:"pool,omitempty"`
	Address       netip.AddrPort      `json:"address"`
	PeerAddress   netip.AddrPort      `json:"peerAddress,omitzero"`
	Region        fleet.Region        `json:"region"`
	FailureDomain fleet.FailureDomain `json:"failureDomain"`
	Slots         int                 `json:"slots,omitempty"`
	State         HostState           `json:"state"`
}

// HostList is the platform's list of live and leaving hosts. It lags.
type HostList struct {
	AsOf  time.Time    `json:"asOf"`
	Hosts []ListedHost `json:"hosts"`
}

// Hosts reads the platform's host list.
type Hosts interface {
	// ListHosts returns the list, or *UnavailableError.
	ListHosts(ctx context.Context) (HostList, error)
}

// NotFoundError reports an object that does not exist.
type NotFoundError struct {
	Key machine.StoreKey
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("object %s/%s does not exist", e.Key.Kind, e.Key.Name)
}

// ConflictError reports a condition that did not hold. Nothing was changed.
type ConflictError struct {
	Key machine.StoreKey
	// Current is the version that the store holds; 0 if it did not say.
	Current uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("object %s/%s has version %d", e.Key.Kind, e.Key.Name, e.Current)
}

// UnavailableError reports a call that certainly changed nothing.
type UnavailableError struct {
	Cause error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("object store unavailable: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// AnswerLostError reports a change whose answer did not arrive. The change may
// have taken effect.
type AnswerLostError struct {
	Key   machine.StoreKey
	Cause error
}

func (e *AnswerLostError) Error() string {
	return fmt.Sprintf("answer for object %s/%s lost: %v", e.Key.Kind, e.Key.Name, e.Cause)
}

// Unwrap returns the cause.
func (e *AnswerLostError) Unwrap() error { return e.Cause }

// TooLargeError reports a value above MaxValueSize. Nothing was changed.
type TooLargeError struct {
	Key  machine.StoreKey
	Size int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("value of %s/%s has %d bytes; the store takes %d", e.Key.Kind, e.Key.Name, e.Size, MaxValueSize)
}

// CompactedError reports a watch from a version that the store no longer holds.
type CompactedError struct {
	Since uint64
}

func (e *CompactedError) Error() string {
	return fmt.Sprintf("store no longer holds the changes since version %d", e.Since)
}
