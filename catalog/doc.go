// Package catalog follows objects that other systems keep in the platform's store: the
// operators' configuration, the upstreams' entries, evacuations of failure domains, and
// the entry hosts themselves.
//
// A Source reads one kind of object; each platform's adapter implements it. Follow keeps
// a local copy up to date with one list and a sequence of watches. Follow alone decides
// when to call, when to list again, and how long to wait between calls.
package catalog
