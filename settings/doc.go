// Package settings reads the settings file of one process.
//
// The file is JSON with comments. Parse reports every error at once, each with
// line, column, path, value and what would be right. Secrets are never in the
// file: it names a file or an environment variable that holds them.
package settings
