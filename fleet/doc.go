// Package fleet holds the identifiers and the membership view that all modules
// share.
//
// It contains only types, parsing and lookup, so that every module can import it
// without an import cycle. The view is immutable: the membership state
// machine publishes a new one for every change.
package fleet
