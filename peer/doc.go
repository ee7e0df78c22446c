// Package peer carries messages between the hosts of the fleet over QUIC with
// mutual TLS.
//
// A Transport keeps one connection to each peer. Small messages share one
// stream per direction; each large message has a stream of its own. Nothing
// that a peer does, or fails to do, blocks a caller of Send.
package peer
