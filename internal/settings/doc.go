// Package settings defines the flags and environment variables of all commands.
//
// The struct tags are the single source of all settings. go-arg parses flags
// and variables into the structs, and Check reports all invalid settings by
// flag and variable. Markdown generates the content of docs/SETTINGS.md; a test
// fails if that file is out of date.
package settings
