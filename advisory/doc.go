// Package advisory broadcasts what upstreams state about themselves to the hosts that
// have not received it from the upstream or the store, for example because they are cut
// off from the store.
//
// A host publishes only statements of upstreams, never its own conclusions: a host with
// a broken link would otherwise make all others avoid upstreams that only it can't
// reach.
//
// A host that starts asks others which upstreams are cold, because it has missed the
// statements before its start.
//
// In a small fleet a message goes to all hosts directly, in a large one through relays.
package advisory
