// Package client is a typed client of the operators' interface. It sends requests
// to one host, or to all hosts of a cell and combines their responses.
package client
