// Package store is the client of the platform's object store and host list.
//
// The state machines are independent of the protocol: they return a
// machine.StoreCall, and the host executes it through the Objects interface.
// Support for another wire format takes one more implementation of Objects and
// Hosts.
package store
