package httpclient

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a line that is missed because of how the bytes arrive, and against lines of interim responses or of a body
// that are taken for lines of the head.
func TestHeadScanner(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>,\r\n </b>\r\n\r\n"
	for response, invalid := range map[string]bool{
		"HTTP/1.1 200 OK\r\nX-Long-Field-Name: a\r\nX-B: b\r\n\r\n a\r\n\tb\n c": false,
		"HTTP/1.1 200 OK\nX-A: a\n\n a\n":                                        false,
		interim + interim + "HTTP/1.1 200 OK\r\nX-A: a\r\n\r\n a\r\n b":          false,
		interim + "HTTP/1.1 200 OK\r\nX-A: a\r\n b\r\n\r\n":                      true,
		"HTTP/1.1 200 OK\r\nX-A: a\r\nX-Long-Field-Name: b\r\n\tc\r\n\r\nbody":   true,
		"HTTP/1.0 200 OK\r\nX-A: a\r\n\r\nTransfer-Encoding: chunked\r\n":        false,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":                  false,
		"HTTP/1.0 200 OK\r\ntransfer-encoding:chunked\r\n\r\n":                   true,
		"HTTP/1.1 200 OK\nX-A: a\n \n\n":                                         true,
		"HTTP/1.1 200 OK\r\nX-A: a\r\n\t\r\n\r\n":                                true,
	} {
		for size := 1; size <= len(response); size++ {
			var s headScanner
			s.scan([]byte("of an earlier response\r\n b\r\n"))
			s.begin()
			for from := 0; from < len(response); from += size {
				s.scan([]byte(response[from:min(from+size, len(response))]))
			}
			assert.Equal(t, s.err != nil, invalid, "%q in pieces of %d: %v", response, size, s.err)
			assert.Assert(t, !s.active)
			s.begin() // by the next request
			assert.Equal(t, s.err != nil, invalid)
		}
	}
}
