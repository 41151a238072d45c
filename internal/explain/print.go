package explain

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// timeLayout has milliseconds, to tell decisions apart, and no date, which is rarely needed.
const timeLayout = "15:04:05.000"

// PrintRequest writes the attempts with cause and evidence as text.
func PrintRequest(w io.Writer, attempts []Attempt) error {
	for _, a := range attempts {
		text := fmt.Sprintf("%s to %s on %s: %s\ncause: %s\n", a.StartedAt.Format(timeLayout), a.Time.Format(timeLayout), a.Node, a.Outcome, a.Cause)
		for _, line := range append([]Line{a.Line}, a.Evidence...) {
			text += "  " + line.text() + "\n"
		}
		if _, err := io.WriteString(w, text); err != nil {
			return err
		}
	}
	return nil
}

// PrintTimeline writes lines as text.
func PrintTimeline(w io.Writer, lines []Line) error {
	for _, line := range lines {
		if _, err := fmt.Fprintln(w, line.text()); err != nil {
			return err
		}
	}
	return nil
}

// text returns the line with its fields sorted by name.
func (l *Line) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.Time.Format(timeLayout), l.Node, l.Message)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		value := fieldText(l.Fields[name])
		if list, ok := l.Fields[name].([]any); ok {
			value = strings.Join(fieldList(list), ",")
		}
		if value != "" {
			fmt.Fprintf(&b, " %s=%s", name, value)
		}
	}
	return b.String()
}

// ParseTime parses a time argument: either a full RFC 3339 time or a time of day, which is taken on the date of the
// log's first line. An empty text gives the zero time.
func (l *Log) ParseTime(text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if at, err := time.Parse(time.RFC3339Nano, text); err == nil {
		return at, nil
	}
	at, err := time.Parse("15:04:05", text)
	if err != nil {
		return time.Time{}, fmt.Errorf("time %q is neither like 2006-01-02T15:04:05Z nor like 15:04:05", text)
	}
	if len(l.Lines) == 0 {
		return at, nil
	}
	first := l.Lines[0].Time
	return time.Date(first.Year(), first.Month(), first.Day(), at.Hour(), at.Minute(), at.Second(), at.Nanosecond(), first.Location()), nil
}
