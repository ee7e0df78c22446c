package fleet

import (
	"encoding/hex"
	"fmt"
)

// HostID is the name of an entry host, unique in the fleet. It is set in the
// settings of the process and stays the same after a restart.
type HostID string

// Region is the name of a region.
type Region string

// FailureDomain is the name of a failure domain, unique within its region.
type FailureDomain string

// Customer is the ID of a customer.
type Customer string

// Route is the name of a route.
type Route string

// Pool is the name of a set of upstreams that serve the same routes.
type Pool string

// Upstream is the name of an upstream, unique across all pools.
type Upstream string

// Revision is the number of an accepted configuration. Revisions start at 1 and
// only increase.
type Revision uint64

// Location is where a host or an upstream runs.
type Location struct {
	Region        Region        `cbor:"1,keyasint" json:"region"`
	FailureDomain FailureDomain `cbor:"2,keyasint" json:"failureDomain"`
}

// IncarnationSize is the size of an incarnation in bytes.
const IncarnationSize = 16

// Incarnation identifies one run of a process. A restarted host has a new
// incarnation, even at the same address.
type Incarnation [IncarnationSize]byte

// String returns the incarnation in hexadecimal.
func (i Incarnation) String() string {
	return hex.EncodeToString(i[:])
}

// IsZero reports whether the incarnation is unset.
func (i Incarnation) IsZero() bool {
	return i == Incarnation{}
}

// MarshalText returns the incarnation in hexadecimal. It never fails.
func (i Incarnation) MarshalText() ([]byte, error) {
	return []byte(i.String()), nil
}

// UnmarshalText parses an incarnation in hexadecimal. It returns an
// *IncarnationError for any other text.
func (i *Incarnation) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil || len(raw) != IncarnationSize {
		return &IncarnationError{Text: string(text)}
	}
	copy(i[:], raw)
	return nil
}

// IncarnationError reports a text that is not an incarnation.
type IncarnationError struct {
	Text string
}

func (e *IncarnationError) Error() string {
	return fmt.Sprintf("incarnation %q is not %d hexadecimal digits", e.Text, 2*IncarnationSize)
}

// Member is one incarnation of a host.
type Member struct {
	Host        HostID      `cbor:"1,keyasint" json:"host"`
	Incarnation Incarnation `cbor:"2,keyasint" json:"incarnation"`
}

// String returns the host ID and the first four bytes of the incarnation.
func (m Member) String() string {
	return fmt.Sprintf("%s/%x", m.Host, m.Incarnation[:4])
}
