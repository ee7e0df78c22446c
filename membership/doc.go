// Package membership decides which hosts form a cell, which of them may act on
// the state they hold, and how weight and partitions are divided between them.
//
// It is a state machine without clock, goroutine or socket. README.md describes
// the rules that prevent two incarnations from holding the same weight or
// partition at the same time, and explains why they are sufficient.
package membership
