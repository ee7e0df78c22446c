// Package jsonc decodes JSON with comments strictly.
//
// It reports all problems of a text at once, each with line, column, path, value
// and the expected form. Unknown and duplicate fields are problems.
// Settings files and release notes are read with it.
package jsonc
