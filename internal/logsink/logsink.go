// Package logsink writes log lines without ever blocking a request.
//
// Lines pass through a bounded queue to a single writer. When the output is read more slowly than lines are logged,
// lines are dropped and counted, and the count is written as a separate line after the next line that is written.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollenlug/pollenlug/internal/logline"
)

const (
	// queueLines bounds the lines held in memory; a line has a few hundred bytes.
	queueLines = 2048
	// flushWait bounds how long Close waits for a slow reader of the output.
	flushWait = 300 * time.Millisecond
)

// Sink is an io.Writer that queues each write as one line.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	mu     sync.RWMutex
	closed bool
}

// New returns a Sink that writes to out until the Sink is closed.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go s.run()
	return s
}

// Write implements io.Writer. It never waits for the output and never fails. A line written after Close is dropped.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.closed {
		s.dropped.Add(1)
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped but not yet reported in the output.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes the queued lines, waiting at most flushWait. Later calls do nothing.
func (s *Sink) Close() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	close(s.lines)
	s.mu.Unlock()
	select {
	case <-s.done:
	case <-time.After(flushWait):
	}
}

func (s *Sink) run() {
	defer close(s.done)
	for line := range s.lines {
		// There is no other place to report that the output cannot be written to.
		_, _ = s.out.Write(line)
		if n := s.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(s.out, "{\"level\":\"warning\",\"msg\":%q,\"count\":%d}\n", logline.Dropped, n)
		}
	}
}
