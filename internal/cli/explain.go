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
	c := newCommand("explain", "Reads log files of nodes and explains one request, or shows what the nodes believed between two times. "+
		"Without --request it prints the timeline.")
	id, from, to, asJSON := "", "", "", false
	var paths []string
	c.parsed.StringSlice(&paths, "l", "log", "A log file, or a directory whose files that end in .log are read. May be repeated.")
	c.parsed.String(&id, "r", "request", "The id of the request's attempt.")
	c.parsed.String(&from, "f", "from", "Begin of the timeline, like 2006-01-02T15:04:05Z or 15:04:05.")
	c.parsed.String(&to, "t", "to", "End of the timeline.")
	c.parsed.Bool(&asJSON, "j", "json", "Prints JSON.")
	c.run = func(stdout, stderr io.Writer) int {
		if len(paths) == 0 {
			return fail(stderr, errNoLogs)
		}
		log, err := explain.ReadFiles(paths)
		if err != nil {
			return fail(stderr, err)
		}
		defer warnOfGaps(stderr, log)
		if id != "" {
			return explainRequest(stdout, stderr, log, id, asJSON)
		}
		begin, err := log.ParseTime(from)
		if err != nil {
			return fail(stderr, err)
		}
		end, err := log.ParseTime(to)
		if err != nil {
			return fail(stderr, err)
		}
		lines := log.Timeline(begin, end)
		if asJSON {
			return printJSON(stdout, stderr, lines)
		}
		return exitOf(stderr, explain.PrintTimeline(stdout, lines))
	}
	return c
}

func explainRequest(stdout, stderr io.Writer, log *explain.Log, id string, asJSON bool) int {
	attempts := log.Request(id)
	if len(attempts) == 0 {
		fmt.Fprintf(stderr, "pollenlug: no node has logged attempt %s; it did not reach one whose log is here\n", id)
		return ExitFault
	}
	if asJSON {
		return printJSON(stdout, stderr, attempts)
	}
	return exitOf(stderr, explain.PrintRequest(stdout, attempts))
}

// warnOfGaps tells what the logs lack, so that a missing line is not taken for proof.
func warnOfGaps(stderr io.Writer, log *explain.Log) {
	if log.Unreadable > 0 || log.Dropped > 0 {
		fmt.Fprintf(stderr, "pollenlug: %d lines cannot be read, %d were dropped by nodes\n", log.Unreadable, log.Dropped)
	}
}

func printJSON(stdout, stderr io.Writer, value any) int {
	encoder := json.NewEncoder(stdout)
	encoder.SetIndent("", "  ")
	return exitOf(stderr, encoder.Encode(value))
}

func exitOf(stderr io.Writer, err error) int {
	if err != nil {
		fmt.Fprintln(stderr, "pollenlug:", err)
		return ExitFault
	}
	return ExitOK
}
