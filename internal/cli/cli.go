// Package cli parses the command line and runs the chosen command.
package cli

import (
	"fmt"
	"io"

	"github.com/integrii/flaggy"
)

// Exit codes of the binary.
const (
	ExitOK    = 0
	ExitFault = 1 // the command ran and found a fault
	ExitUsage = 2 // the command line or a setting is invalid
)

// Version is the release of the binary.
const Version = "0.1.0"

// command is one subcommand; run returns an exit code.
type command struct {
	subcommand *flaggy.Subcommand
	run        func(stdout, stderr io.Writer) int
}

// Main runs one command and returns its exit code. An invalid command line prints an error, or the help if no command
// is given, and returns ExitUsage.
func Main(args []string, stdout, stderr io.Writer) int {
	parser := flaggy.NewParser("pollenlug")
	parser.Description = "Serves language models and plain services on reclaimable instances. " +
		"Exit codes: 0 success, 1 the command found a fault, 2 invalid command line or setting."
	parser.Version = Version
	parser.ShowCompletion = false
	commands := []*command{devCommand(), serveCommand(), edgeCommand(), standinCommand(), configCommand(), benchCommand(), explainCommand(), keysCommand(), versionCommand()}
	for _, c := range commands {
		parser.AttachSubcommand(c.subcommand, 1)
	}
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(stderr, "pollenlug:", err)
		return ExitUsage
	}
	for _, c := range commands {
		if c.subcommand.Used {
			return c.run(stdout, stderr)
		}
	}
	parser.ShowHelp()
	return ExitUsage
}

func newCommand(name, description string) *command {
	c := &command{subcommand: flaggy.NewSubcommand(name)}
	c.subcommand.Description = description
	return c
}

func versionCommand() *command {
	c := newCommand("version", "Prints the release.")
	c.run = func(stdout, _ io.Writer) int {
		fmt.Fprintln(stdout, "pollenlug", Version)
		return ExitOK
	}
	return c
}

func configCommand() *command {
	c := newCommand("config", "Checks an operators' folder, or files of the users' platform.")
	check := flaggy.NewSubcommand("check")
	check.Description = "Merges the folder and prints the merged configuration, or each fault as file: field: reason."
	dir, platformFiles := "", platformFiles{}
	check.AddPositionalValue(&dir, "DIR", 1, false, "The folder.")
	check.String(&platformFiles.settingsPath, "s", "settings", "A settings file of the platform to check.")
	check.String(&platformFiles.rowPath, "r", "row", "A file with a configuration row of the platform's store to check.")
	c.subcommand.AttachSubcommand(check, 1)
	c.run = func(stdout, stderr io.Writer) int {
		if !check.Used || (dir == "") == (platformFiles == noPlatformFiles) {
			fmt.Fprintln(stderr, "usage: pollenlug config check DIR, or pollenlug config check [--settings FILE] [--row FILE]")
			return ExitUsage
		}
		if dir == "" {
			return RunPlatformCheck(platformFiles, stdout)
		}
		return RunConfigCheck(dir, stdout)
	}
	return c
}

// fail prints one line and returns ExitUsage.
func fail(stderr io.Writer, err error) int {
	fmt.Fprintln(stderr, "pollenlug:", err)
	return ExitUsage
}
