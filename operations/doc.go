// Package operations ensures that an operation with an idempotency key runs at
// most once across the fleet.
//
// Machine is the control side. As the owner of partitions of the operation id
// space it grants claims and stores their results; as a requester it requests
// claims from partition owners and reports how each operation ended. Client is
// the traffic side and implements traffic.Claimer.
//
// README.md describes the claim log, the takeover of a partition and why no id
// is granted twice.
package operations
