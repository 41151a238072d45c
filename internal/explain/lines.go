// Package explain finds the cause of a failed request, and what nodes believed at a time, in the log files of several
// nodes.
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

// maxLine bounds one line of a log, in bytes; longer ones are counted as unreadable.
const maxLine = 1 << 20

// Line is one line of a node's log.
type Line struct {
	Time    time.Time      `json:"time"`
	Node    string         `json:"node"`
	Message string         `json:"msg"`
	Fields  map[string]any `json:"fields,omitempty"`
}

// Log is what the files of some nodes say, in the order of time.
type Log struct {
	Lines []Line
	// Unreadable counts lines that are not JSON with a time and a message.
	Unreadable int
	// Dropped counts the lines that nodes left out because their output was not read fast enough.
	Dropped int
}

// ReadFiles reads log files, and the files of directories whose names end in .log.
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

// Read reads one log.
func Read(r io.Reader) (*Log, error) {
	log := &Log{}
	err := log.read(r)
	log.sort()
	return log, err
}

func (l *Log) read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes())
		switch {
		case !ok:
			l.Unreadable++
		case line.Message == logline.Dropped:
			l.Dropped += int(number(line.Fields[logline.Count]))
		default:
			l.Lines = append(l.Lines, line)
		}
	}
	return scanner.Err()
}

func (l *Log) sort() {
	slices.SortStableFunc(l.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// parse reads a line. Text before the first brace, such as the name of a machine, is passed over.
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
	line := Line{Fields: fields, Node: word(fields[logline.Node]), Message: word(fields[logline.Message])}
	at, err := time.Parse(time.RFC3339Nano, word(fields[logline.Time]))
	if line.Message == "" || (err != nil && line.Message != logline.Dropped) {
		return Line{}, false
	}
	line.Time = at
	for _, name := range []string{logline.Time, logline.Node, logline.Message, logline.Level} {
		delete(fields, name)
	}
	return line, true
}

// word returns a field that is text, number or boolean as text.
func word(field any) string {
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

func number(field any) float64 {
	f, _ := field.(float64) // a missing count is 0
	return f
}

// words returns the texts of a field that is a list.
func words(field any) []string {
	list, _ := field.([]any) // a missing list is empty
	out := make([]string, 0, len(list))
	for _, item := range list {
		out = append(out, word(item))
	}
	return out
}
