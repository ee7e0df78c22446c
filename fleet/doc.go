// Package fleet holds the identifiers and the membership view that all modules
// share.
//
// It has no behaviour beyond parsing and look-up, so that every module can
// import it without a cycle. The view is immutable: the membership state
// machine publishes a new one for every change.
package fleet
