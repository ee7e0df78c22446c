package peer

import (
	"fmt"

	"github.com/catkinspring/catkinspring/fleet"
)

// MessageError reports a message that can't be encoded or decoded.
type MessageError struct {
	// Number is the number of the message type; 0 if unknown.
	Number uint16
	Reason string
	Cause  error
}

func (e *MessageError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("message type %d: %s", e.Number, e.Reason)
	}
	return fmt.Sprintf("message type %d: %s: %v", e.Number, e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *MessageError) Unwrap() error { return e.Cause }

// VersionError reports a peer that uses another version of the protocol.
type VersionError struct {
	Host    fleet.HostID
	Version uint16
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("peer %s speaks protocol version %d, not %d", e.Host, e.Version, ProtocolVersion)
}

// CellError reports a peer of another cell.
type CellError struct {
	Host fleet.HostID
	Cell string
}

func (e *CellError) Error() string {
	return fmt.Sprintf("peer %s belongs to cell %q", e.Host, e.Cell)
}

// UnknownHostError reports a peer whose certificate names another host than
// expected, or none.
type UnknownHostError struct {
	// Host is the host that the certificate names; empty for none.
	Host fleet.HostID
	// Expected is the host that the peer should be; empty if any host is accepted.
	Expected fleet.HostID
}

func (e *UnknownHostError) Error() string {
	switch {
	case e.Host == "":
		return "certificate of the peer names no host of the fleet"
	case e.Expected == "":
		return fmt.Sprintf("host %q is unknown", e.Host)
	default:
		return fmt.Sprintf("peer is host %q, not %q", e.Host, e.Expected)
	}
}

// CertificateError reports certificate files that can't be used, or a peer
// certificate that the fleet's CA did not sign.
type CertificateError struct {
	Reason string
	Cause  error
}

func (e *CertificateError) Error() string {
	if e.Cause == nil {
		return "certificate: " + e.Reason
	}
	return fmt.Sprintf("certificate: %s: %v", e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *CertificateError) Unwrap() error { return e.Cause }

// ListenError reports an address on which the transport can't listen.
type ListenError struct {
	Address string
	Cause   error
}

func (e *ListenError) Error() string {
	return fmt.Sprintf("listen for peers on %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// ConfigError reports an invalid configuration of the transport.
type ConfigError struct {
	Reason string
}

func (e *ConfigError) Error() string { return "peer transport: " + e.Reason }
