// Package jsonc decodes JSON with comments strictly.
//
// It reports every problem of a text at once, each with line, column, path,
// value and what would be right. Unknown and duplicate fields are problems.
// Settings files and release notes are read with it.
package jsonc
