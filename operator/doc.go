// Package operator implements the operators' HTTP interface of an entry host.
//
// Liveness, readiness and metrics need no credential, because probes and
// scrapers have none. Everything else requires the operators' bearer token, which
// is separate from the customers' keys.
package operator
