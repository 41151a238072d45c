// Package explain determines the cause of a failed request, and the state of nodes at a given time, from the log files
// of several nodes.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pollenlug/pollenlug/internal/logline"
)

// maxLineBytes is the maximum length of a log line. Reading fails at a longer one.
const maxLineBytes = 1 << 20

// Line is a parsed line of a node's log.
type Line struct {
	Time    time.Time      `json:"time"`
	Node    string         `json:"node"`
	Message string         `json:"msg"`
	Fields  map[string]any `json:"fields,omitempty"`
}

// Log holds the lines of several nodes' logs, sorted by time.
type Log struct {
	Lines []Line
	// Unreadable counts lines that are not JSON objects with a time and a message.
	Unreadable int
	// Dropped counts the lines that nodes dropped because their output was not read fast enough.
	Dropped int
}

// ReadFiles reads log files. For a directory it reads the files in it whose names end in .log.
func ReadFiles(paths []string) (*Log, error) {
	log := &Log{}
	var files []string
	for _, path := range paths {
		inside, err := filepath.Glob(filepath.Join(path, "*.log"))
		if err != nil {
			return nil, fmt.Errorf("read log: %w", err)
		}
		if info, err := os.Stat(path); err == nil && info.IsDir() {
			files = append(files, inside...)
			continue
		}
		files = append(files, path)
	}
	for _, path := range files {
		if err := log.readFile(path); err != nil {
			return nil, fmt.Errorf("read log: %w", err)
		}
	}
	log.sort()
	return log, nil
}

func (l *Log) readFile(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	return l.read(file)
}

// Read reads a single log.
func Read(r io.Reader) (*Log, error) {
	log := &Log{}
	err := log.read(r)
	log.sort()
	return log, err
}

func (l *Log) read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes())
		switch {
		case !ok:
			l.Unreadable++
		case line.Message == logline.Dropped:
			l.Dropped += int(fieldNumber(line.Fields[logline.Count]))
		default:
			l.Lines = append(l.Lines, line)
		}
	}
	return scanner.Err()
}

func (l *Log) sort() {
	slices.SortStableFunc(l.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// parse parses a line. It ignores text before the first brace, such as a host name.
func parse(data []byte) (Line, bool) {
	text := string(data)
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	if json.Unmarshal([]byte(text[start:]), &fields) != nil {
		return Line{}, false
	}
	line := Line{Fields: fields, Node: fieldText(fields[logline.Node]), Message: fieldText(fields[logline.Message])}
	at, err := time.Parse(time.RFC3339Nano, fieldText(fields[logline.Time]))
	if line.Message == "" || (err != nil && line.Message != logline.Dropped) {
		return Line{}, false
	}
	line.Time = at
	for _, name := range []string{logline.Time, logline.Node, logline.Message, logline.Level} {
		delete(fields, name)
	}
	return line, true
}

// fieldText returns the text of a field that is a string, number or boolean.
func fieldText(field any) string {
	switch f := field.(type) {
	case string:
		return f
	case float64:
		return strconv.FormatFloat(f, 'f', -1, 64)
	case bool:
		return strconv.FormatBool(f)
	}
	return ""
}

func fieldNumber(field any) float64 {
	f, _ := field.(float64) // a missing number is 0
	return f
}

// fieldList returns the texts of the items of a list field.
func fieldList(field any) []string {
	list, _ := field.([]any) // a missing list is empty
	out := make([]string, 0, len(list))
	for _, item := range list {
		out = append(out, fieldText(item))
	}
	return out
}
