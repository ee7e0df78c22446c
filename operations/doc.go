// Package operations runs each at-most-once operation at most once over the
// fleet.
//
// Machine is the control side. As an owner of partitions of the operation id
// space it grants claims and keeps their results; as a requester it asks the
// owner of a partition for a claim and reports how the operation ended. Client
// is the traffic side and implements traffic.Claimer.
//
// README.md describes the claim log, the takeover of a partition and why no id
// is granted twice.
package operations
