// Package limitsim runs the limits of a cell under the virtual clock of
// internal/faulttest.
//
// A World has hosts in regions, customers with demand, a model of membership
// that hands out leases and weights, and a Checker of the rate and burst over
// all hosts. It runs the design of package limits and the baselines that it is
// compared with: a static split, one central counter, and a naive form of
// loans. The fault matrix and the measurements of package limits use it.
package limitsim
