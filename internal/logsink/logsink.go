// Package logsink writes log lines without ever making a request wait.
//
// Lines go through a bounded queue to one writer. When the reader of the output is slower than the log, lines are
// dropped and counted, and the count is written as a line of its own as soon as there is room.
package logsink

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/pollenlug/pollenlug/internal/logline"
)

const (
	// queueLines bounds the lines in memory; a line has a few hundred bytes.
	queueLines = 2048
	// flushWait bounds how long Close waits for a slow reader.
	flushWait = 300 * time.Millisecond
)

// Sink is an io.Writer that queues each write as one line.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// New returns a Sink that writes to out.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go s.run()
	return s
}

// Write implements io.Writer. It never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped and not reported yet.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes what is queued, within a short time. Writes after Close are not allowed.
func (s *Sink) Close() {
	close(s.lines)
	select {
	case <-s.done:
	case <-time.After(flushWait):
	}
}

func (s *Sink) run() {
	defer close(s.done)
	for line := range s.lines {
		// An output that cannot be written to has no other place to report it.
		_, _ = s.out.Write(line)
		if n := s.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(s.out, "{\"level\":\"warning\",\"msg\":%q,\"count\":%d}\n", logline.Dropped, n)
		}
	}
}
