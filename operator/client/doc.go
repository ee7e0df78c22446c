// Package client is the typed client of the operators' interface. It asks one
// host, or all hosts of a cell and puts their answers together.
package client
