package store

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// MaxValueSize is the size in bytes of the largest value that the store accepts.
const MaxValueSize = 1 << 20

// Object is a stored object at one version.
type Object struct {
	Key     machine.StoreKey
	Version uint64
	Value   []byte
}

// Objects is the object store. Every method returns one of the error types of
// this package.
type Objects interface {
	// Get returns the object, or a *NotFoundError.
	Get(ctx context.Context, key machine.StoreKey) (Object, error)
	// Create writes a new object and returns its version, or a *ConflictError if
	// it exists.
	Create(ctx context.Context, key machine.StoreKey, value []byte) (uint64, error)
	// Update replaces the object if it has the given version and returns the new
	// version. It returns a *NotFoundError if the object does not exist, and a
	// *ConflictError if it has another version.
	Update(ctx context.Context, key machine.StoreKey, version uint64, value []byte) (uint64, error)
	// Delete removes the object if it has the given version. Its errors are those
	// of Update.
	Delete(ctx context.Context, key machine.StoreKey, version uint64) error
	// List returns names and versions, without values, of at most limit objects
	// whose name starts with prefix.
	List(ctx context.Context, kind, prefix string, limit int) ([]Object, error)
	// Watch waits up to timeout for changes to objects of a kind after a store
	// version.
	Watch(ctx context.Context, kind string, since uint64, timeout time.Duration) (Changes, error)
}

// Change is one change to an object.
type Change struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted"`
}

// Changes is the result of a watch.
type Changes struct {
	// Version is the store version up to which the changes are complete.
	Version uint64   `json:"version"`
	Changes []Change `json:"changes"`
}

// Role is the role of a listed host.
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

// HostList is the platform's list of live and leaving hosts. It lags behind their
// actual state.
type HostList struct {
	AsOf  time.Time    `json:"asOf"`
	Hosts []ListedHost `json:"hosts"`
}

// Hosts reads the platform's host list.
type Hosts interface {
	// ListHosts returns the list, or an *UnavailableError.
	ListHosts(ctx context.Context) (HostList, error)
}

// NotFoundError reports an object that does not exist.
type NotFoundError struct {
	Key machine.StoreKey
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("object %s/%s does not exist", e.Key.Kind, e.Key.Name)
}

// ConflictError reports a write whose version condition did not hold. Nothing was
// changed.
type ConflictError struct {
	Key machine.StoreKey
	// Current is the version in the store; 0 if unknown.
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

// AnswerLostError reports a write without a usable response. The write may have
// taken effect.
type AnswerLostError struct {
	Key   machine.StoreKey
	Cause error
}

func (e *AnswerLostError) Error() string {
	return fmt.Sprintf("answer for object %s/%s lost: %v", e.Key.Kind, e.Key.Name, e.Cause)
}

// Unwrap returns the cause.
func (e *AnswerLostError) Unwrap() error { return e.Cause }

// TooLargeError reports a value larger than MaxValueSize. Nothing was changed.
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
