package settings

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const validNode = `{"node":"n1","region":"north","failure_domain":"north-a","caller_addr":"127.0.0.1:8080",
"node_addr":"127.0.0.1:9080","platform_url":"http://127.0.0.1:7000",
"node_tls":{"certificate":"c.pem","key":"k.pem","authorities":"a.pem"}}`

// Guards against invalid settings that are accepted or whose error does not name the file, the field and the reason.
func TestNodeErrorsNameTheField(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.json")
	for _, tc := range []struct{ from, to, want string }{
		{"n1", "n 1", "node: has the character ' '"},
		{"127.0.0.1:8080", "localhost:8080", "caller_addr: \"localhost:8080\" is not IP:port"},
		{"http://127", "127", "platform_url:"},
		{`"region":"north",`, "", "region: is missing"},
		{`"region"`, `"zone"`, "unknown field \"zone\""},
		{`,"authorities":"a.pem"`, "", "node_tls.authorities: is missing"},
		{`"node":"n1"`, `"node":"n1","routing_policy":"random"`, "routing_policy: \"random\" is not"},
	} {
		assert.NilError(t, os.WriteFile(path, []byte(strings.Replace(validNode, tc.from, tc.to, 1)), 0o600))
		_, err := Node(path)
		assert.ErrorContains(t, err, tc.want)
		assert.ErrorContains(t, err, "node.json")
	}
	assert.NilError(t, os.WriteFile(path, []byte(validNode), 0o600))
	_, err := Node(path)
	assert.NilError(t, err)
}

// Guards against timestamps in whole seconds, with which the log lines of several nodes cannot be ordered.
func TestLogTimesHaveMilliseconds(t *testing.T) {
	var out bytes.Buffer
	logger := Logger("info")
	logger.SetOutput(&out)
	at := time.Date(2026, 1, 2, 3, 4, 5, 678e6, time.UTC)
	logger.WithTime(at).Info("x")
	assert.Assert(t, strings.Contains(out.String(), `"time":"2026-01-02T03:04:05.678Z"`), out.String())
}
