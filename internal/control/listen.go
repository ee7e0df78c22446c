package control

import (
	"fmt"
	"net/netip"
)

// ListenError reports an address that can't be listened on.
type ListenError struct {
	Purpose string
	Address netip.AddrPort
	Cause   error
}

func (e *ListenError) Error() string {
	return fmt.Sprintf("listening for %s on %s: %v", e.Purpose, e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }
