//go:build !crowd

package integration_test

// buildFlags are the flags with which the program under test is built.
var buildFlags = []string{"-race"}
