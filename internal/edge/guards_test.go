package edge

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/internal/logline"
	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/strike"
)

// Guards against a log that is full of one record, because peers that know less of it are told again and again.
func TestUnchangedCrashRecordIsLoggedOnce(t *testing.T) {
	var out bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&out)
	g := newCrashGuard(logrus.NewEntry(logger))
	now := time.Unix(1000, 0)
	hear := func(servers ...string) {
		g.heard([]*pb.CrashRecord{{Digest: "d", Servers: servers}}, now)
		g.collect(now)
	}
	hear("i-1", "i-2")
	for range 10 {
		hear("i-1")
	}
	assert.Equal(t, strings.Count(out.String(), logline.CrashRecord), 1)
	assert.Equal(t, len(g.export(now)), 1, "peers that lack a part are still told")
	hear("i-3")
	assert.Equal(t, strings.Count(out.String(), logline.CrashRecord), 2)
}

// Guards against beats that carry all records all the time: they fill the link of a node in a large deployment, which then
// drops datagrams, and against old records that nodes which have started since never hear of.
func TestOldCrashRecordsAreToldInTurn(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	g := newCrashGuard(logrus.NewEntry(logger))
	now := time.Unix(1000, 0)
	for i := range 10 {
		change := strike.Change{Digest: fmt.Sprint(i), Record: strike.Record{Servers: []string{"i-1"}}}
		g.records = append(g.records, toldCrash{change, now})
	}
	assert.Equal(t, len(g.export(now)), 10)
	told := map[string]bool{}
	for beat := range 100 {
		later := now.Add(time.Minute + time.Duration(beat)*500*time.Millisecond)
		records := g.export(later)
		assert.Equal(t, len(records), 1)
		told[records[0].Digest] = true
		assert.Equal(t, g.export(later)[0].Digest, records[0].Digest, "the beat to other peers tells another record")
	}
	assert.Equal(t, len(told), 10)
}
