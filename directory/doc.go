// Package directory distributes the platform's host list within a cell.
//
// One host of the cell, the reader, reads the list every ReadInterval and sends
// it to the others when it changed, so that the calls to the platform grow with
// the number of cells and not of hosts. A host that has received no update for
// UpdateTimeout reads the list itself. The list lags behind the platform's state
// and is only a hint; a list that is older than the known one is ignored.
package directory
