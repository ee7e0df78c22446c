// Package configuration holds what operators create: routes, customers, client
// blocks and alert rules.
//
// Operators change the configuration with release notes. The state machine
// accepts notes through a conditional update in the store and carries accepted
// revisions to every host. Traffic code reads an immutable Snapshot.
package configuration
