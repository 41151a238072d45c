package cli

import "io"

func benchCommand() *command {
	c := newCommand("bench", "Puts a bounded load on a running deployment and reports on it.")
	c.run = func(_, stderr io.Writer) int { return ExitUsage }
	return c
}
