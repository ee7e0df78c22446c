// Package problem defines the failures that callers see.
//
// Every refusal is an *Error with a Kind. The gateway writes it as an RFC 9457
// problem document. The outcome says whether the request ran at an upstream.
package problem
