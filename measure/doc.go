// Package measure counts what a host did with requests over the last seconds, in
// a form that can be added up over the hosts of a cell.
//
// Counts and histograms are merged; rates and quantiles are computed after that,
// because quantiles of several hosts can't be averaged.
package measure
