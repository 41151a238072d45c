package devcluster

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

const shopToken = "shop-token"

// startCluster starts a cluster with the default configuration on free ports.
func startCluster(t *testing.T) *Cluster {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	c, err := Start(Options{Seed: 1, Log: logrus.NewEntry(logger)})
	assert.NilError(t, err)
	t.Cleanup(func() { c.Stop(canceledContext()) })
	return c
}

// testRequest is one request of a scenario.
type testRequest struct {
	title  string
	node   int
	method string
	path   string
	token  string
	header map[string]string
	body   string
}

// nondeterministicParts are the parts of a response that differ between runs; text replaces them in the golden file.
var nondeterministicParts = []struct {
	pattern *regexp.Regexp
	text    string
}{
	{regexp.MustCompile(`r-entry-\d-[0-9a-f]{16}`), "RESPONSE"},
	{regexp.MustCompile(`"created":\d+`), `"created":TIME`},
	{regexp.MustCompile(`"server":"[a-z]+-\d+"`), `"server":"SERVER"`},
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "ADDRESS"},
}

// do sends a request and returns the response body, a transcript of both and the response header.
func (c *Cluster) do(t *testing.T, s testRequest) (response, transcript string, header http.Header) {
	t.Helper()
	req, err := http.NewRequest(s.method, "http://"+c.CallerAddrs()[s.node]+s.path, strings.NewReader(s.body))
	assert.NilError(t, err)
	if s.token != "" {
		req.Header.Set("Authorization", "Bearer "+s.token)
	}
	for name, value := range s.header {
		req.Header.Set(name, value)
	}
	res, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	text := string(body)
	for _, v := range nondeterministicParts {
		text = v.pattern.ReplaceAllString(text, v.text)
	}
	path := nondeterministicParts[0].pattern.ReplaceAllString(s.path, nondeterministicParts[0].text)
	transcript = fmt.Sprintf("# %s\n%s %s on entry node %d\n%d code=%s\n%s\n", s.title, s.method, path, s.node+1,
		res.StatusCode, res.Header.Get("X-Pollenlug-Code"), strings.TrimRight(text, "\n"))
	return string(body), transcript, res.Header
}

// Guards against changes that callers see: response formats, result codes, event ids, the meaning of "ran", and the
// resumption of a stream on another node.
func TestCallerScenario(t *testing.T) {
	c := startCluster(t)
	chat := `{"model":"quote-small","messages":[{"role":"user","content":"Quote a ding repair"}],"max_tokens":6,"seed":7,"stream":true}`
	var out strings.Builder
	_, text, header := c.do(t, testRequest{title: "streamed completion", node: 0, method: "POST", path: "/v1/chat/completions", token: shopToken, body: chat})
	out.WriteString(text + "\n")
	id := header.Get("X-Request-Id")
	for _, s := range []testRequest{
		{title: "resume on another node", node: 1, method: "GET", path: "/v1/responses/" + id, token: shopToken, header: map[string]string{"Last-Event-ID": "3"}},
		{title: "resume by another workspace", node: 1, method: "GET", path: "/v1/responses/" + id, token: "council-token"},
		{title: "resume with an event id that is no number", node: 1, method: "GET", path: "/v1/responses/" + id, token: shopToken, header: map[string]string{"Last-Event-ID": "x"}},
		{title: "whole answer", node: 2, method: "POST", path: "/v1/completions", token: shopToken, body: `{"model":"quote-small:harbour","prompt":"Tag this ticket","max_tokens":4,"seed":7}`},
		{title: "no token", node: 0, method: "GET", path: "/v1/models"},
		{title: "refused token", node: 0, method: "POST", path: "/v1/chat/completions", token: "wrong", body: chat},
		{title: "models", node: 0, method: "GET", path: "/v1/models", token: shopToken},
		{title: "unknown model", node: 1, method: "POST", path: "/v1/chat/completions", token: shopToken, body: strings.Replace(chat, "quote-small", "absent", 1)},
		{title: "longer than the context", node: 1, method: "POST", path: "/v1/chat/completions", token: shopToken, body: strings.Replace(chat, `"max_tokens":6`, `"max_tokens":100000`, 1)},
		{title: "oversized body", node: 1, method: "POST", path: "/v1/chat/completions", token: shopToken, body: strings.Repeat(" ", 2<<20)},
		{title: "malformed JSON", node: 1, method: "POST", path: "/v1/chat/completions", token: shopToken, body: `{"model":`},
		{title: "unknown service", node: 1, method: "GET", path: "/s/absent/x", token: shopToken},
		{title: "missing key on a non-repeatable route", node: 0, method: "POST", path: "/s/booking/bookings", token: shopToken, body: `{"board":1}`},
		{title: "booking", node: 0, method: "POST", path: "/s/booking/bookings", token: shopToken, header: map[string]string{"Idempotency-Key": "k1"}, body: `{"board":1}`},
		{title: "same key on another node: the stored answer", node: 1, method: "POST", path: "/s/booking/bookings", token: shopToken, header: map[string]string{"Idempotency-Key": "k1"}, body: `{"board":1}`},
		{title: "same key with another body", node: 2, method: "POST", path: "/s/booking/bookings", token: shopToken, header: map[string]string{"Idempotency-Key": "k1"}, body: `{"board":2}`},
		{title: "same key of another workspace", node: 2, method: "POST", path: "/s/booking/bookings", token: "council-token", header: map[string]string{"Idempotency-Key": "k1"}, body: `{"board":2}`},
		{title: "lookup", node: 2, method: "GET", path: "/s/booking/history?board=1", token: shopToken},
		{title: "escaped path", node: 2, method: "GET", path: "/s/booking/a%3Fb%2Fc?x=1", token: shopToken},
		{title: "path with double slashes, dots and an empty query", node: 2, method: "GET", path: "/s/booking//a//./b/../c%41?", token: shopToken},
		{title: "unknown path", node: 2, method: "GET", path: "/v2/none", token: shopToken},
	} {
		_, text, _ := c.do(t, s)
		out.WriteString(text + "\n")
	}
	golden.Assert(t, out.String(), "session.golden")
	runs := c.Standins.Stats().Runs["booking"]
	assert.DeepEqual(t, runs, map[string]int{"shop/k1": 1, "council/k1": 1})
}
