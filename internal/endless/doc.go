// Package endless serves bytes that are no HTTP response, or not the end of one, to tests of
// clients: whoever reads them must neither hold them all nor wait for their end.
package endless
