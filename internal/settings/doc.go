// Package settings holds the flags and environment variables of every command.
//
// The structs are the only source: go-arg parses them, Check collects all
// findings with the name of the flag and the variable, and Markdown derives
// docs/SETTINGS.md from them, which a test compares with the file.
package settings
