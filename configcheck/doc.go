// Package configcheck checks a configuration before operators put it in force: entries
// that are invalid, that can never match or that contradict each other, and the
// differences from the version in force. It works on the types of package policy. The
// package that reads a file provides the positions of its fields and the findings of
// decoding.
package configcheck
