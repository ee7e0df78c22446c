// Package lookup answers the question which entry host a client should use.
//
// A Table maps client addresses to regions by longest prefix. It is built once
// for each configuration revision and never changes. A Builder turns a region
// and a membership view into an ordered list of entry hosts and caches the
// encoded answers until the view changes.
package lookup
