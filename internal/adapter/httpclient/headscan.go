package httpclient

import (
	"bytes"
	"fmt"
)

// headScanner follows the heads of responses as they arrive, because net/http hides some faults:
//   - It appends a line that begins with a blank to the value of the field before it. RFC 9112 section 5.2 lets a gateway
//     reject such responses.
//   - It drops Transfer-Encoding in HTTP/1.0, which has no chunks. The framing is faulty then; see section 6.1.
//
// Its zero value ignores all bytes.
type headScanner struct {
	// active is set from the start of a request to the end of the head of its final response.
	active  bool
	lines   int // complete ones of the current head
	interim bool
	old     bool // the version is HTTP/1.0
	// start holds the first bytes of the current line, of which length bytes have arrived.
	start  [maxScannedLine]byte
	length int
	err    error // the last fault
}

// maxScannedLine is how much of a line the scanner keeps, in bytes.
const maxScannedLine = 24

var transferEncoding = []byte("Transfer-Encoding:")

// begin expects the response to a request that is about to be sent. It keeps an earlier error: net/http may pass the
// connection on before the request that has met the error looks at it.
func (s *headScanner) begin() { *s = headScanner{active: true, err: s.err} }

// scan takes bytes that have been read, which may end within a line.
func (s *headScanner) scan(p []byte) {
	for s.active && len(p) > 0 {
		line, rest, ended := bytes.Cut(p, []byte{'\n'})
		if s.length < len(s.start) {
			copy(s.start[s.length:], line)
		}
		s.length += len(line)
		p = rest
		if ended {
			s.endLine(bytes.TrimSuffix(s.start[:min(s.length, len(s.start))], []byte{'\r'}))
			s.length = 0
		}
	}
}

// endLine takes the first bytes of a complete line, without its end.
func (s *headScanner) endLine(line []byte) {
	s.lines++
	switch {
	case s.lines == 1:
		s.old = bytes.HasPrefix(line, []byte("HTTP/1.0 "))
		s.interim = bytes.HasPrefix(line, []byte("HTTP/1.1 1")) || bytes.HasPrefix(line, []byte("HTTP/1.0 1"))
	case len(line) == 0 && s.interim:
		s.lines = 0
	case len(line) == 0:
		s.active = false
	case s.interim: // is not passed on
	case line[0] == ' ' || line[0] == '\t':
		s.err = fmt.Errorf("%w: line %d of the head begins with a blank", ErrInvalidResponse, s.lines)
	case s.old && len(line) >= len(transferEncoding) && bytes.EqualFold(line[:len(transferEncoding)], transferEncoding):
		s.err = fmt.Errorf("%w: Transfer-Encoding in HTTP/1.0", ErrInvalidResponse)
	}
}
