package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a target that reaches the server as another one, by either kind of send.
func TestTargetsAreForwardedUnchanged(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.routes = []map[string]any{route("/", "non_idempotent", "desk", 1), route("/draft/", "streaming", "engine", 1), route("//draft/", "streaming", "engine", 1)}
	d.configure()
	desk, engine := d.serve("desk-1", "desk", 0), d.serve("engine-1", "engine", 1)
	n := d.node()
	for target, want := range map[string]int{
		"//a/b": 200, "//a.b:80/c?d": 200, "///a": 200, "//": 200, "//a?": 200, "//a/%2e%2e//b?x=%20y?z": 200, "//[::1]:80/a": 200, "//a@b/": 200,
		"/a//b": 200, "/a/./b/../c": 200, "/a/%2e%2e/%41b": 200, "/a?": 200, "/a?x=1?y=2&z=%3d": 200, "/a;b": 200, "/a\"b": 200, "/a#b": 200,
		"http://" + host: 200, "http://" + host + "//a?b": 200, "http://" + host + "?x=/draft/": 200, "*": 200,
		"/draft//1?": 200, "//draft//1?x": 200, "//a\"b": 400, "//a#b": 400, "//a/\xff": 400,
	} {
		for _, method := range []string{http.MethodPost, http.MethodOptions} {
			attempt := fmt.Sprint("attempt-", method, target)
			conn, err := net.Dial("tcp4", n.settings.CallerAddr)
			assert.NilError(t, err)
			_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
			write(conn, method+" "+target+" HTTP/1.1\r\nHost: "+host+"\r\nPollenlug-Attempt-Id: "+attempt+"\r\nContent-Length: 0\r\n\r\n")
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err, target)
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = conn.Close()
			assert.Check(t, resp.StatusCode == want, "%s %s: %d", method, target, resp.StatusCode)
			for _, run := range append(desk.Runs(), engine.Runs()...) {
				if run.Attempt == attempt {
					assert.Check(t, run.Target == target && run.Method == method && want == 200, "%s %s ran as %s %s", method, target, run.Method, run.Target)
				}
			}
		}
	}
	assert.Equal(t, len(desk.Runs())+len(engine.Runs()), 2*22)
}
