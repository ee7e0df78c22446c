// Package store is the client of the platform's object store and host list.
//
// The state machines never see the protocol: they ask with machine.StoreCall,
// and the host carries the call out through the Objects interface. Another
// wire format needs one more adapter of Objects and Hosts.
package store
