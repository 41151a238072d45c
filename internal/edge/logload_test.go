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
	// logLoadCallers and logLoadCalls are more lines than a log keeps in memory.
	logLoadCallers = 40
	logLoadCalls   = 75
)

// medianUnderLoad returns the median time of a request while many callers send without a pause, to servers with far fewer
// slots than callers.
func medianUnderLoad(t *testing.T, logTo io.Writer) time.Duration {
	d := newDeployment(t)
	d.logTo = logTo
	d.configure()
	d.serve("desk-1", "desk", 0)
	n := d.node()
	var mu sync.Mutex
	var times []time.Duration
	var work sync.WaitGroup
	for range logLoadCallers {
		work.Go(func() {
			for range logLoadCalls {
				begin := time.Now()
				_ = n.do(t, call{path: "/book/1"}) // refusals count as well
				mu.Lock()
				times = append(times, time.Since(begin))
				mu.Unlock()
			}
		})
	}
	work.Wait()
	slices.Sort(times)
	return times[len(times)/2]
}

// Guards against requests that wait for a log whose reader has stopped, and against lines left out without a count.
func TestStoppedLogReaderDoesNotSlowRequests(t *testing.T) {
	reader, writer := io.Pipe() // nobody reads
	defer reader.Close()
	sink := logsink.New(writer)
	free := medianUnderLoad(t, io.Discard)
	stopped := medianUnderLoad(t, sink)
	assert.Assert(t, stopped < 3*free+50*time.Millisecond, "%v with a stopped reader, %v with none", stopped, free)
	assert.Assert(t, sink.Dropped() > 0)
}
