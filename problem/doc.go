// Package problem defines the errors that callers receive.
//
// Every refusal is an *Error with a Kind. The gateway writes it as an RFC 9457
// problem document. The outcome states whether the request ran at an upstream.
package problem
