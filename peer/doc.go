// Package peer carries messages between the hosts of the fleet over QUIC with
// mutual TLS.
//
// A Transport keeps one connection to each peer. Small messages share one
// stream per direction; each large message has a stream of its own. Send never
// blocks, however slow or unresponsive a peer is.
//
// Datagrams is independent of Transport: it exchanges short messages over UDP
// between hosts that share a key.
package peer
