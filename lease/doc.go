// Package lease decides how long a host may use the parts of the limits that it holds,
// and which host takes over the parts of a host that is gone.
//
// Each entry of a host in the store stands for one part of every limit. The host that an
// entry names as holder uses that part while it holds a lease: it knows that the entry
// named it, without a suspicion, at most Duration ago. It learns that from its own reads
// of the store's latest state, from a fresh reader (package freshness), or, while the
// store is away, because most of the listed hosts answer it.
//
// A host that finds a holder silent records a suspicion in the entry. A holder that is
// alive removes it. If the suspicion stays for longer than any lease that began before it,
// another host replaces the holder. All these writes name the revision that they replace,
// so of two that conflict only one takes effect.
//
// Assumption: most of the listed hosts are never alive and together cut off from both the
// store and all other hosts. docs/design.md, section 4, has the argument.
package lease
