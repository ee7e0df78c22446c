// Package freshness decides which hosts read the latest state of the store on behalf of
// all hosts.
//
// Most hosts use stale reads, which may be seconds old. A few, the fresh readers, read
// the latest state and report to the others which revisions they have seen. A fresh
// reader whose copy is up to date says so to all hosts twice a second. Two rules keep
// changes from being missed when fresh readers stop, die, are cut off, or when hosts
// disagree about who they are:
//
//   - A fresh reader continues until its successors have reported that they are up to
//     date.
//   - A host that receives no heartbeat of a reader that is up to date becomes a reader
//     itself, after a delay that lets few of many hosts do so.
//
// The number of readers, and so of calls to the store, does not grow with the fleet.
package freshness
