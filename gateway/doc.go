// Package gateway implements the HTTP interface that an entry host offers callers.
//
// A request passes these checks in order: route, key, lease, customer, body,
// idempotency key, quarantine, rate, claim. The route, the key, the customer, the
// lease, the admission and the claim are checked again immediately before the first
// byte is written to an upstream. Every refusal is a problem document (RFC 9457)
// that states whether the request ran.
//
// The package makes no decisions of its own: it calls all other modules through
// the interfaces in Config.
package gateway
