// Package cli parses the command line and runs the chosen command.
package cli

import (
	"fmt"
	"io"
)

// Exit codes of the binary.
const (
	ExitOK    = 0
	ExitFault = 1 // the command ran and found a fault
	ExitUsage = 2 // the command line or a setting is wrong
)

// Version is the release of the binary.
const Version = "0.1.0"

// Main runs one command and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	if len(args) == 1 && args[0] == "version" {
		fmt.Fprintln(stdout, "pollenlug", Version)
		return ExitOK
	}
	fmt.Fprintln(stderr, "usage: pollenlug dev|serve|standin|config|bench|version")
	return ExitUsage
}
