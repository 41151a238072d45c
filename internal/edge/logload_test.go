package edge_test

import (
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/internal/logsink"
)

const (
	// logLoadCallers * logLoadCalls is more lines than a log sink buffers in memory.
	logLoadCallers = 40
	logLoadCalls   = 75
)

// medianUnderLoad returns the median time of a request while many callers send without a pause to servers with far
// fewer slots than callers.
func medianUnderLoad(t *testing.T, logOutput io.Writer) time.Duration {
	d := newDeployment(t)
	d.logOutput = logOutput
	d.configure()
	d.serve("desk-1", "desk", 0)
	n := d.node()
	var mu sync.Mutex
	var times []time.Duration
	var work sync.WaitGroup
	for range logLoadCallers {
		work.Go(func() {
			for range logLoadCalls {
				start := time.Now()
				_ = n.do(t, call{path: "/book/1"}) // refusals are measured too
				mu.Lock()
				times = append(times, time.Since(start))
				mu.Unlock()
			}
		})
	}
	work.Wait()
	slices.Sort(times)
	return times[len(times)/2]
}

// Guards against requests blocked by a log whose reader has stopped, and against dropped log lines that are not
// counted.
func TestStoppedLogReaderDoesNotSlowRequests(t *testing.T) {
	reader, writer := io.Pipe() // without a reader
	defer reader.Close()
	sink := logsink.New(writer)
	baseline := medianUnderLoad(t, io.Discard)
	stopped := medianUnderLoad(t, sink)
	assert.Assert(t, stopped < 3*baseline+50*time.Millisecond, "%v with a stopped reader, %v without", stopped, baseline)
	assert.Assert(t, sink.Dropped() > 0)
}
