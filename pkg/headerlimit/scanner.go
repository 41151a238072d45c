// Package headerlimit decides what clients may send in headers and which connections stay open. It does no I/O; clock
// and bytes are arguments.
//
// Load pattern: a crowd of clients sends headers over the limit, without end or in many lines, empty lines before a
// request, or opens more connections than the process has descriptors for. A header costs many times its size once it
// is parsed, so its cost is counted from its bytes and its lines while it arrives, before it is parsed.
package headerlimit

import (
	"bytes"
	"time"
)

const (
	// byteCost and lineCost are the memory, in bytes, that a byte and a line of a header take once parsed. A line has an
	// entry in a map that grows by doubling, a slice and two strings, and is copied for the request to a server.
	byteCost = 2
	lineCost = 256
	// minLineBytes is the least that a header field counts towards the configured size of a header: a name of one byte
	// and ": " with the end of the line. No header inside the limit has more lines than it has room for such fields.
	minLineBytes = 5
	// framingBytes and framingLines are what a header may have beyond its configured size, which counts the target and
	// fields only: method, version, host, padding and the empty line. net/http allows as much.
	framingBytes = 4096
	framingLines = 16
	// maxEmptyLines is how many empty lines may precede a request; clients in use send one at most.
	maxEmptyLines = 8
	// maxFieldLine is how much of a line is kept if it arrives in pieces. The fields that delimit a body are shorter.
	maxFieldLine = 64
	// maxSizeDigits is the number of hexadecimal digits of the size of a chunk that fits an int64.
	maxSizeDigits = 15
)

// Limits are limits of a connection.
type Limits struct {
	// HeaderBytes is the configured size of a header.
	HeaderBytes int
	// HeaderTimeout is the time for a header, BodyTimeout that for a body after its header and IdleTimeout the time between
	// two requests; 0 means no limit.
	HeaderTimeout, BodyTimeout, IdleTimeout time.Duration
}

func (l Limits) maxBytes() int { return l.HeaderBytes + framingBytes }
func (l Limits) maxLines() int { return l.HeaderBytes/minLineBytes + framingLines }

// Reason says why a connection is refused.
type Reason uint8

// Reasons.
const (
	None Reason = iota
	HeaderBytes
	HeaderLines
	EmptyLines
	HeaderTime
	BodyTime
	Memory
	Connections
	// Framing means that the bytes are no sequence of requests as the server understands them.
	Framing
	reasonCount
)

var reasonNames = [reasonCount]string{"none", "header_bytes", "header_lines", "empty_lines", "header_time", "body_time", "memory", "connections", "framing"}

// String implements fmt.Stringer.
func (r Reason) String() string { return reasonNames[r] }

// part is the part of a message that the next byte belongs to.
type part uint8

const (
	header part = iota // or before it
	body
	chunkSize
	chunkData
	chunkEnd
	trailer
	lost // the body cannot be delimited
)

// Scanner follows the requests that a client sends on a connection and counts the cost of their headers and trailers.
// Its zero value is at the beginning of a connection. It allocates nothing.
type Scanner struct {
	part part
	// bytes and lines are those of the header, and then of the trailer, of the current message; headerCost is the cost
	// of its header once that is complete.
	bytes, lines int
	headerCost   int64
	emptyLines   int
	remaining    int64 // of the body or chunk
	length       int64
	chunked      bool
	// earlier is the cost of earlier messages that has not been released.
	earlier int64
	// Headers is the number of complete headers.
	Headers uint64

	lineBytes int // of the current line, as far as it arrived in earlier calls
	kept      [maxFieldLine]byte
}

// MidHeader reports whether a header has begun and is not complete.
func (s *Scanner) MidHeader() bool { return s.part == header && (s.lines > 0 || s.lineBytes > 0) }

// MidBody reports whether a body has begun and is not complete.
func (s *Scanner) MidBody() bool { return s.part != header }

// Cost returns the memory that the headers and trailers take that have arrived since Release.
func (s *Scanner) Cost() int64 { return s.earlier + s.headerCost + s.current() }

func (s *Scanner) current() int64 { return int64(s.bytes)*byteCost + int64(s.lines)*lineCost }

// Release is called when all requests with a complete header have ended.
func (s *Scanner) Release() { s.earlier = 0 }

// Scan counts what has arrived. A reason other than None means that a limit is exceeded.
func (s *Scanner) Scan(p []byte, limits Limits) Reason {
	for len(p) > 0 {
		switch s.part {
		case lost:
			return None
		case body, chunkData:
			p = s.scanData(p)
			continue
		}
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			s.keep(p)
			return s.count(len(p), limits)
		}
		if reason := s.count(end+1, limits); reason != None {
			return reason
		}
		line, complete := s.line(p[:end])
		p = p[end+1:]
		if reason := s.endLine(line, complete, limits); reason != None {
			return reason
		}
	}
	return None
}

// scanData skips bytes of a body or chunk.
func (s *Scanner) scanData(p []byte) []byte {
	n := min(s.remaining, int64(len(p)))
	s.remaining -= n
	if s.remaining == 0 {
		if s.part == body {
			s.endMessage()
		} else {
			s.part = chunkEnd
		}
	}
	return p[n:]
}

// count adds n bytes of a header or trailer. Chunk sizes and their extensions are not kept by the server, which limits
// them itself.
func (s *Scanner) count(n int, limits Limits) Reason {
	if s.part == header || s.part == trailer {
		s.bytes += n
		if s.bytes > limits.maxBytes() {
			return HeaderBytes
		}
	}
	return None
}

// keep keeps the begin of a line that arrives in pieces.
func (s *Scanner) keep(p []byte) {
	if s.lineBytes < maxFieldLine {
		copy(s.kept[s.lineBytes:], p)
	}
	s.lineBytes += len(p)
}

// line returns the line that ends with p, without its end, or, if complete is false, the begin of it.
func (s *Scanner) line(p []byte) (line []byte, complete bool) {
	if s.lineBytes == 0 {
		return bytes.TrimSuffix(p, carriageReturn), true
	}
	s.keep(p)
	n := s.lineBytes
	s.lineBytes = 0
	return bytes.TrimSuffix(s.kept[:min(n, maxFieldLine)], carriageReturn), n <= maxFieldLine
}

var (
	carriageReturn   = []byte("\r")
	contentLength    = []byte("Content-Length")
	transferEncoding = []byte("Transfer-Encoding")
	chunkedCoding    = []byte("chunked")
)

func (s *Scanner) endLine(line []byte, complete bool, limits Limits) Reason {
	switch s.part {
	case chunkSize:
		s.beginChunk(line)
		return None
	case chunkEnd:
		s.part = chunkSize
		if len(line) > 0 {
			s.part = lost
		}
		return None
	}
	if len(line) > 0 {
		s.lines++
		if s.lines > limits.maxLines() {
			return HeaderLines
		}
		if s.part == header && complete {
			s.field(line)
		} else if s.part == header && delimits(line) {
			return Framing // its value is not known, so neither is where the next header begins
		}
		return None
	}
	switch {
	case s.part == trailer:
		s.endMessage()
	case s.lines == 0:
		s.bytes = 0
		if s.emptyLines++; s.emptyLines > maxEmptyLines {
			return EmptyLines
		}
	default:
		s.endHeader()
	}
	return None
}

// field notes what delimits the body. A value that net/http refuses ends the connection, so it may be ignored here.
func (s *Scanner) field(line []byte) {
	colon := bytes.IndexByte(line, ':')
	if colon != len(contentLength) && colon != len(transferEncoding) {
		return
	}
	name, value := line[:colon], bytes.TrimSpace(line[colon+1:])
	switch {
	case bytes.EqualFold(name, contentLength):
		if n, ok := decimal(value); ok {
			s.length = n
		}
	case bytes.EqualFold(name, transferEncoding):
		s.chunked = s.chunked || bytes.EqualFold(value, chunkedCoding)
	}
}

// delimits reports whether a field, of which only the begin is known, says where the body ends.
func delimits(line []byte) bool {
	name, _, _ := bytes.Cut(line, []byte{':'})
	return bytes.EqualFold(name, contentLength) || bytes.EqualFold(name, transferEncoding)
}

func decimal(value []byte) (n int64, ok bool) {
	if len(value) == 0 || len(value) > 18 { // digits that fit an int64
		return 0, false
	}
	for _, digit := range value {
		if digit < '0' || digit > '9' {
			return 0, false
		}
		n = n*10 + int64(digit-'0')
	}
	return n, true
}

func (s *Scanner) endHeader() {
	s.Headers++
	s.emptyLines = 0
	s.headerCost, s.bytes, s.lines = s.current(), 0, 0
	switch {
	case s.chunked:
		s.part = chunkSize
	case s.length > 0:
		s.part, s.remaining = body, s.length
	default:
		s.endMessage()
	}
	s.length, s.chunked = 0, false
}

func (s *Scanner) endMessage() {
	s.earlier += s.headerCost + s.current()
	s.part, s.headerCost, s.bytes, s.lines = header, 0, 0, 0
}

// beginChunk parses the size of a chunk.
func (s *Scanner) beginChunk(line []byte) {
	size, digits := int64(0), 0
	for ; digits < len(line); digits++ {
		value := hexadecimal(line[digits])
		if value < 0 {
			break
		}
		size = size<<4 | value
		if digits >= maxSizeDigits {
			s.part = lost
			return
		}
	}
	switch {
	case digits == 0:
		s.part = lost
	case size == 0:
		s.part = trailer
	default:
		s.part, s.remaining = chunkData, size
	}
}

func hexadecimal(c byte) int64 {
	switch {
	case c >= '0' && c <= '9':
		return int64(c - '0')
	case c >= 'a' && c <= 'f':
		return int64(c-'a') + 10
	case c >= 'A' && c <= 'F':
		return int64(c-'A') + 10
	}
	return -1
}
