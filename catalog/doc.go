// Package catalog follows objects that other systems keep in the platform's
// store: the operators' configuration, the upstreams' entries, evacuations of
// failure domains, and the entry hosts themselves.
//
// A Source reads one kind of object; the adapter of a platform implements it.
// Follow keeps a local copy up to date with one list and a chain of watches. It
// decides when to call, when to list again, and how long to wait between calls;
// a Source decides nothing.
package catalog
