// Package measure counts the requests of a host over a sliding window of a few
// seconds, in a form that can be merged over the hosts of a cell.
//
// Counts and histograms are merged first; rates and quantiles are computed from the
// result, because quantiles of several hosts can't be averaged.
package measure
