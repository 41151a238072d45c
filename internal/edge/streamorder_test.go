package edge_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/internal/logline"
	"github.com/pollenlug/pollenlug/platform/standin"
)

// Guards against cutting off the stream of a sound server because its event ids have gaps (review/13).
func TestStreamWithGapsInItsEventIDsIsWhole(t *testing.T) {
	for _, path := range []string{"/draft/1", "/quote/1"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.configure()
			s := d.serve("engine-1", "engine", 9)
			s.IDStep = 2
			got := d.node().do(t, call{path: path})
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, eventsApart(2, 1, 9))
			assert.Equal(t, len(s.Runs()), 1)
		})
	}
}

// Guards against cutting off a stream whose event ids have gaps when another server goes on with it, and against events that
// are sent twice when that server begins again.
func TestStreamWithGapsInItsEventIDsGoesOnElsewhere(t *testing.T) {
	for name, next := range map[string]standin.Behavior{"goes on": {}, "begins again": {Restart: true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.configure()
			breaksFirst := onlyFirst(standin.Behavior{CutAfter: 3})
			for _, id := range []string{"engine-1", "engine-2"} {
				s := d.serve(id, "engine", 9)
				s.IDStep = 5
				s.SetBehavior(func(r *http.Request) standin.Behavior {
					if b := breaksFirst(r); b != (standin.Behavior{}) {
						return b
					}
					return next
				})
			}
			got := d.node().do(t, call{path: "/quote/1"})
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, eventsApart(5, 1, 9))
		})
	}
}

// Guards against a stream that looks complete although another server has left out events, or has gone on with a run whose
// events are others, when it took over.
func TestStreamIsNotContinuedByOtherEvents(t *testing.T) {
	for name, test := range map[string]struct{ first, next string }{
		"consecutive ids, left out":        {stream(1, 2, 3), stream(5, 6)},
		"even gaps, left out":              {stream(2, 4, 6), stream(10, 12)},
		"begins again, other ids":          {stream(2, 4, 6), stream(1, 3, 5, 7, 9)},
		"begins again, ends too early":     {stream(2, 4, 6), stream(2, 4)},
		"begins again, last one left out":  {stream(2, 4, 6), stream(2, 4, 8, 10)},
		"goes on, not in order afterwards": {stream(2, 5, 6), stream(9, 8, 10)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got := resumed(t, test.first, test.next)
			assert.Assert(t, got.err != nil, "complete: %q", got.body)
			assert.Assert(t, strings.HasPrefix(got.body, test.first), got.body)
		})
	}
}

// Guards against events that the caller never gets because they arrived together with one that does not continue the stream,
// while the next server is told that the caller has them.
func TestEventsBeforeOneOutOfOrderAreSent(t *testing.T) {
	t.Parallel()
	got := resumed(t, stream(2, 4, 6, 5, 8), stream(7, 9))
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, stream(2, 4, 6, 7, 9))
}

// Guards against taking events out of order for a broken connection, which makes the request a suspect when servers crash.
func TestEventsOutOfOrderAreNoSignOfACrash(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.configure()
	d.script("engine-1", "engine", func(conn net.Conn, attempt string, _ int) bool {
		write(conn, signed(attempt)+"Content-Type: text/event-stream\r\n\r\n"+stream(2, 4, 6, 5))
		return false
	})
	got := d.node().do(t, call{path: "/draft/1"})
	assert.Assert(t, got.err != nil)
	time.Sleep(2500 * time.Millisecond) // longer than a crash is awaited after a connection broke
	lost := ""
	for _, line := range d.logs.read(t).Lines {
		assert.Assert(t, line.Message != logline.StrikeDecision, "%v", line.Fields)
		if line.Message == logline.Request {
			lost = fmt.Sprint(line.Fields[logline.Lost])
		}
	}
	assert.Equal(t, lost, "events_out_of_order: event id 5 follows 6")
}

// Guards against events that come twice when another server begins a stream again whose ids are no numbers, are larger than
// an integer or are missing from some events, and against cutting such a stream off.
func TestStreamsWithOtherEventIDsGoOnElsewhere(t *testing.T) {
	const big = "3402823669209384634633746074317682114"
	for name, ids := range map[string][]string{
		"no numbers":            {"a-1", "a-2", "a-3", "a-4"},
		"numbers and others":    {"1", "2", "x", "4"},
		"larger than integers":  {big + "51", big + "53", big + "59", "1" + big + "00"},
		"missing in the middle": {"2", "4", "", "8"},
		"missing in the end":    {"2", "", "", "8"},
	} {
		for first := 2; first <= 3; first++ {
			t.Run(fmt.Sprint(name, ", after ", first), func(t *testing.T) {
				t.Parallel()
				got := resumed(t, stream(ids[:first]...), stream(ids...))
				assert.NilError(t, got.err)
				assert.Equal(t, got.body, stream(ids...))
			})
		}
	}
}

// Guards against events that come twice because another server begins a stream again although nothing shows where its
// events meet those that the caller has.
func TestStreamThatCannotBeResumedIsBrokenOff(t *testing.T) {
	for name, ids := range map[string][]string{
		"no ids":       {"", "", "", ""},
		"the same ids": {"a", "a", "a", "a"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got := resumed(t, stream(ids[:2]...), stream(ids...))
			assert.Assert(t, got.err != nil, "complete: %q", got.body)
			assert.Equal(t, got.body, stream(ids[:2]...))
		})
	}
}

// Guards against leaving a silent server although no other server can go on with its stream.
func TestSilentServerOfAStreamWithoutIDsIsKept(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.configure()
	whole := stream("", "", "", "")
	for i := range 2 {
		d.script(fmt.Sprint("engine-", i), "engine", func(conn net.Conn, attempt string, _ int) bool {
			write(conn, signed(attempt)+"Content-Type: text/event-stream\r\n\r\n"+stream("", ""))
			time.Sleep(1700 * time.Millisecond)
			write(conn, strings.TrimPrefix(whole, stream("", "")))
			return false
		})
	}
	got := d.node().do(t, call{path: "/quote/1"})
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, whole)
}

// resumed returns what a caller gets of a stream whose first server breaks off after some events and whose second server
// completes it with others.
func resumed(t *testing.T, first, next string) reply {
	d := newDeployment(t)
	d.configure()
	var started atomic.Bool
	for i := range 2 {
		d.script(fmt.Sprint("engine-", i), "engine", func(conn net.Conn, attempt string, _ int) bool {
			body := first + "id: 99\ndata: pie"
			if started.Swap(true) {
				body = next
			}
			write(conn, signed(attempt)+"Content-Type: text/event-stream\r\n\r\n"+body)
			return false
		})
	}
	return d.node().do(t, call{path: "/quote/1"})
}

// stream returns events with the given ids, or without an id where it is empty.
func stream[ID any](ids ...ID) string {
	var b strings.Builder
	for i, id := range ids {
		if text := fmt.Sprint(id); text != "" {
			fmt.Fprintf(&b, "id: %s\ndata: piece %s\n\n", text, text)
		} else {
			fmt.Fprintf(&b, "data: piece number %d\n\n", i)
		}
	}
	return b.String()
}
