package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/pollenlug/pollenlug/internal/explain"
)

var errNoLogs = errors.New("explain: --log is missing")

func explainCommand() *command {
	c := newCommand("explain", "Reads log files of nodes and explains one request, or shows the state changes that the nodes logged between two times. "+
		"Without --request it prints the timeline.")
	attemptID, from, to, asJSON := "", "", "", false
	var paths []string
	c.subcommand.StringSlice(&paths, "l", "log", "A log file, or a directory whose .log files are read. May be repeated.")
	c.subcommand.String(&attemptID, "r", "request", "The attempt ID of the request.")
	c.subcommand.String(&from, "f", "from", "Start of the timeline, like 2006-01-02T15:04:05Z or 15:04:05.")
	c.subcommand.String(&to, "t", "to", "End of the timeline.")
	c.subcommand.Bool(&asJSON, "j", "json", "Prints JSON.")
	c.run = func(stdout, stderr io.Writer) int {
		if len(paths) == 0 {
			return fail(stderr, errNoLogs)
		}
		log, err := explain.ReadFiles(paths)
		if err != nil {
			return fail(stderr, err)
		}
		defer warnIncompleteLogs(stderr, log)
		if attemptID != "" {
			return explainRequest(stdout, stderr, log, attemptID, asJSON)
		}
		start, err := log.ParseTime(from)
		if err != nil {
			return fail(stderr, err)
		}
		end, err := log.ParseTime(to)
		if err != nil {
			return fail(stderr, err)
		}
		lines := log.Timeline(start, end)
		if asJSON {
			return printJSON(stdout, stderr, lines)
		}
		return exitCodeOf(stderr, explain.PrintTimeline(stdout, lines))
	}
	return c
}

func explainRequest(stdout, stderr io.Writer, log *explain.Log, attemptID string, asJSON bool) int {
	attempts := log.Request(attemptID)
	if len(attempts) == 0 {
		fmt.Fprintf(stderr, "pollenlug: attempt %s is in none of the logs; it did not reach any of these nodes\n", attemptID)
		return ExitFault
	}
	if asJSON {
		return printJSON(stdout, stderr, attempts)
	}
	return exitCodeOf(stderr, explain.PrintRequest(stdout, attempts))
}

// warnIncompleteLogs reports unreadable and dropped lines, so that the absence of a line is not taken as evidence.
func warnIncompleteLogs(stderr io.Writer, log *explain.Log) {
	if log.Unreadable > 0 || log.Dropped > 0 {
		fmt.Fprintf(stderr, "pollenlug: incomplete logs: %d lines could not be parsed, %d were dropped by nodes\n", log.Unreadable, log.Dropped)
	}
}

func printJSON(stdout, stderr io.Writer, value any) int {
	encoder := json.NewEncoder(stdout)
	encoder.SetIndent("", "  ")
	return exitCodeOf(stderr, encoder.Encode(value))
}

func exitCodeOf(stderr io.Writer, err error) int {
	if err != nil {
		fmt.Fprintln(stderr, "pollenlug:", err)
		return ExitFault
	}
	return ExitOK
}
