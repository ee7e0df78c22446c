// Package settings reads the settings file of one process.
//
// The file is JSON with comments. Parse reports all errors at once, each with
// line, column, path, value and what is expected. The file holds no secrets: it
// refers to files or environment variables that hold them.
package settings
