// Package bytebudget bounds the memory that the bodies of a process hold together.
//
// A body reserves bytes before it is read. It may hold at most as many bytes as are
// left for the others (dynamic threshold, as used for shared buffers of switches), so
// a few bodies without end can't take the memory from small ones.
package bytebudget
