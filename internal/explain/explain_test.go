package explain

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const sample = `edge-2 | {"time":"2026-12-04T06:00:03.100Z","node":"n2","msg":"request","attempt":"b","outcome":"served","ms":400,"servers":["i-1","i-2"]}
{"time":"2026-12-04T06:00:01Z","node":"n1","msg":"configuration in force","version":7,"level":"info"}
{"time":"2026-12-04T06:00:02Z","node":"n1","msg":"dependency lost","dependency":"store servers"}
{"time":"2026-12-04T06:00:03Z","node":"n1","msg":"request","attempt":"a","outcome":"outcome_unknown","ms":200,"servers":["i-1"],"why":"the server's answer was lost"}
{"time":"2026-12-04T06:00:03.500Z","node":"n1","msg":"request","attempt":"c","outcome":"no_backend_server","ms":1,"why":"no server of the service can take the request"}
{"time":"2026-12-04T06:00:04Z","node":"n1","msg":"record of a request on crashed servers changed","digest":"d","servers":["-i-1#1781833789155"]}
{"time":"2026-12-04T06:00:03.600Z","node":"n1","msg":"request","attempt":"late","outcome":"deadline_unreachable","ms":1,"expected_ms":31,"left_ms":20,"target_ms":1000}
{"time":"2026-12-04T06:00:03.700Z","node":"n1","msg":"request","attempt":"busy","outcome":"deadline_unreachable","ms":1,"expected_ms":2400,"left_ms":9000,"target_ms":1000}
{"time":"2026-12-04T06:00:03.400Z","node":"n1","msg":"dependency lost","dependency":"store configuration"}
{"level":"warning","msg":"log lines dropped","count":3}
panic: something that is no JSON
`

func sampleLog(t *testing.T) *Log {
	log, err := Read(strings.NewReader(sample))
	assert.NilError(t, err)
	return log
}

// Guards against missing lines that are not counted, and against lines sorted by file instead of by time.
func TestReadCountsMissingLinesAndSorts(t *testing.T) {
	log := sampleLog(t)
	assert.Equal(t, log.Unreadable, 1)
	assert.Equal(t, log.Dropped, 3)
	assert.Equal(t, log.Lines[0].Message, "configuration in force")
	assert.Equal(t, len(log.Lines), 9)
}

// Guards against explaining a crash as a broken connection, and against missing evidence.
func TestCrashOfTheServerIsTheCause(t *testing.T) {
	a := sampleLog(t).Request("a")
	assert.Equal(t, len(a), 1)
	assert.Equal(t, a[0].StartedAt.Format(timeLayout), "06:00:02.800")
	assert.Assert(t, strings.Contains(a[0].Cause, "had crashed"), a[0].Cause)
	assert.Equal(t, len(a[0].Evidence), 2, "the crash record, and the request on the other node that was retried on another server")
	var out bytes.Buffer
	assert.NilError(t, PrintRequest(&out, a))
	assert.Assert(t, strings.Contains(out.String(), "06:00:03.000 n1 request attempt=a ms=200 outcome=outcome_unknown servers=i-1"), out.String())
}

// Guards against explaining a refusal on arrival without the dependencies that the node had lost.
func TestRefusalOnArrivalShowsNodeState(t *testing.T) {
	a := sampleLog(t).Request("c")[0]
	assert.Assert(t, strings.Contains(a.Cause, "no server was tried"), a.Cause)
	assert.Equal(t, len(a.Evidence), 3)
	assert.Equal(t, a.Evidence[1].Fields["dependency"], "store configuration")
	assert.Equal(t, a.Evidence[2].Fields["dependency"], "store servers")
}

// Guards against a timeline that shows requests or excludes lines at its bounds.
func TestTimeline(t *testing.T) {
	log := sampleLog(t)
	from, err := log.ParseTime("06:00:02")
	assert.NilError(t, err)
	to, err := log.ParseTime("2026-12-04T06:00:04Z")
	assert.NilError(t, err)
	lines := log.Timeline(from, to)
	assert.Equal(t, len(lines), 3)
	assert.Equal(t, len(log.Timeline(time.Time{}, time.Time{})), 4)
	_, err = log.ParseTime("yesterday")
	assert.ErrorContains(t, err, "yesterday")
}

// Guards against attributing a caller's short deadline to overloaded engines.
func TestShortDeadlineIsNotOverload(t *testing.T) {
	log := sampleLog(t)
	late, busy := log.Request("late")[0], log.Request("busy")[0]
	assert.Assert(t, strings.Contains(late.Cause, "the caller left 20 ms"), late.Cause)
	assert.Assert(t, strings.Contains(busy.Cause, "more work than they could finish"), busy.Cause)
}
