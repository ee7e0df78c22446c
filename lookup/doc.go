// Package lookup determines which entry hosts a client should use.
//
// A Table maps client addresses to regions by longest prefix and never changes;
// a Cache builds a new one when a configuration changes the client blocks. A
// Builder turns a region and a membership view into an ordered list of entry
// hosts, encoded for callers.
package lookup
