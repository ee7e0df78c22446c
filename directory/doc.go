// Package directory spreads the platform's host list over a cell.
//
// One host of the cell, the reader, reads the list every ReadInterval and tells
// the others when it changed, so that the calls to the platform grow with the
// cells and not with the hosts. A host that has not heard from a reader for
// SilenceLimit reads the list itself. The list lags anyway and is only a hint;
// a list that is older than the known one is ignored.
package directory
