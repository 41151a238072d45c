package edge

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/internal/logline"
	"github.com/pollenlug/pollenlug/internal/pb"
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
		g.collect()
	}
	hear("i-1", "i-2")
	for range 10 {
		hear("i-1")
	}
	assert.Equal(t, strings.Count(out.String(), logline.CrashRecord), 1)
	assert.Equal(t, len(g.export()), 1, "peers that lack a part are still told")
	hear("i-3")
	assert.Equal(t, strings.Count(out.String(), logline.CrashRecord), 2)
}
