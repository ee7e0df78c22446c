// Package configuration manages what operators define: routes, customers, client
// blocks and alert rules.
//
// Operators change the configuration with release notes. The state machine
// accepts a note with a conditional update of the head object in the store and
// replicates accepted revisions to every host. Request handling reads an
// immutable Snapshot.
package configuration
