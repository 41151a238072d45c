package target

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a target that reaches the server as another one: whatever can be forwarded is written as it was read.
func TestTargetsAreWrittenUnchanged(t *testing.T) {
	forwarded := 0
	rapid.Check(t, func(t *rapid.T) {
		target := rapid.SampledFrom([]string{"/", "//", "///", "*", "http://h", "http://h/", "http://h//"}).Draw(t, "start") +
			strings.Join(rapid.SliceOfN(rapid.SampledFrom([]string{"a", "/", "//", "..", ".", "%2f", "%41", "?", "#", "\"", ";", ":", "@", "é", "[", "=&", "+", "|", "http://x"}), 0, 6).Draw(t, "rest"), "")
		read, err := http.ReadRequest(bufio.NewReader(strings.NewReader("POST " + target + " HTTP/1.1\r\nHost: h\r\n\r\n")))
		if err != nil {
			return // no server takes it
		}
		req, err := http.NewRequest(http.MethodPost, "http://10.0.0.1:80", nil)
		assert.NilError(t, err)
		if !Set(req.URL, read.RequestURI) {
			assert.Assert(t, strings.HasPrefix(target, "//"), "%s is refused", target)
			return
		}
		var out bytes.Buffer
		assert.NilError(t, req.Write(&out))
		line, _, _ := strings.Cut(out.String(), "\r\n")
		assert.Equal(t, line, "POST "+target+" HTTP/1.1")
		forwarded++
	})
	assert.Assert(t, forwarded > 0)
}

// Guards against a route that is chosen by a part of the target that is not its path.
func TestPath(t *testing.T) {
	for target, want := range map[string]string{"//a/b": "//a/b", "/a?x=http://h/b": "/a", "http://h": "/", "http://h?x=/b": "/",
		"http://h//b?c": "//b", "*": "/", "/a/%2e%2e/b": "/a/%2e%2e/b", "//h?": "//h"} {
		assert.Equal(t, Path(target), want, target)
	}
}
