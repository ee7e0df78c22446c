// Package hedge decides when a slow request gets a second attempt (a hedged request).
//
// Delays estimates the time after which an attempt counts as slow, Limiter bounds the second
// attempts of a service. Neither has a clock, a goroutine or a socket. The reasons are
// in docs/design/second-attempts.md.
package hedge
