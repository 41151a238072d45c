package logsink

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a stopped reader of the log that blocks requests, and against dropped lines that are not reported.
func TestStoppedReaderNeverBlocks(t *testing.T) {
	reader, writer := io.Pipe()
	s := New(writer)
	start := time.Now()
	for i := range 3 * queueLines {
		_, err := fmt.Fprintf(s, "line %d\n", i)
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(start) < time.Second)
	dropped := s.Dropped()
	assert.Assert(t, dropped >= queueLines)
	var out bytes.Buffer
	var done sync.WaitGroup
	done.Go(func() { _, _ = io.Copy(&out, reader) })
	s.Close()
	assert.NilError(t, writer.Close())
	done.Wait()
	assert.Assert(t, strings.Contains(out.String(), fmt.Sprintf(`"count":%d`, dropped)))
}

// Guards against requests that end while the process exits and crash it with their log lines.
func TestLinesAfterTheEndAreDropped(t *testing.T) {
	var out bytes.Buffer
	s := New(&out)
	var writers sync.WaitGroup
	for range 8 {
		writers.Go(func() {
			for range 1000 {
				_, err := io.WriteString(s, "line\n")
				assert.Check(t, err)
			}
		})
	}
	s.Close()
	writers.Wait()
	written := strings.Count(out.String(), "line\n")
	n, err := io.WriteString(s, "late\n")
	assert.NilError(t, err)
	assert.Equal(t, n, len("late\n"))
	s.Close()
	assert.Equal(t, strings.Count(out.String(), "line\n"), written)
	assert.Assert(t, !strings.Contains(out.String(), "late"))
}
