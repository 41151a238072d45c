package enginehttp

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/pollenlug/pollenlug/pkg/backend"
)

const (
	lineBufferBytes = 4 << 10
	// maxLineBytes bounds one chunk.
	maxLineBytes = 1 << 20
	// slabTokens is the minimum number of tokens whose strings share one slice allocation.
	slabTokens = 32
)

var errLineTooLong = errors.New("enginehttp: line is too long")

var lineBuffers = sync.Pool{New: func() any {
	b := make([]byte, lineBufferBytes)
	return &b
}}

// lineReader splits a body into lines. A line is valid until the next call of next.
type lineReader struct {
	body       io.Reader
	buf        *[]byte
	start, end int // unread bytes of buf
}

func newLineReader(body io.Reader) *lineReader {
	return &lineReader{body: body, buf: lineBuffers.Get().(*[]byte)}
}

func (r *lineReader) release() {
	if len(*r.buf) == lineBufferBytes {
		lineBuffers.Put(r.buf)
	}
	r.buf = nil
}

// next returns the next line without its newline.
func (r *lineReader) next(timer *readTimer, timeout time.Duration) ([]byte, error) {
	scanned := r.start
	for {
		if i := bytes.IndexByte((*r.buf)[scanned:r.end], '\n'); i >= 0 {
			line := (*r.buf)[r.start : scanned+i]
			r.start = scanned + i + 1
			return line, nil
		}
		scanned = r.end
		if r.start == r.end {
			r.start, r.end, scanned = 0, 0, 0
		}
		if r.end == len(*r.buf) {
			if err := r.grow(); err != nil {
				return nil, err
			}
			scanned = r.end
		}
		timer.arm(timeout)
		n, err := r.body.Read((*r.buf)[r.end:])
		timer.disarm()
		r.end += n
		if n == 0 && err != nil {
			return nil, err
		}
	}
}

// grow makes room for further reads: it moves the unread bytes to the start of the buffer, or doubles the buffer when
// they fill it.
func (r *lineReader) grow() error {
	if r.start == 0 {
		if len(*r.buf) >= maxLineBytes {
			return errLineTooLong
		}
		larger := make([]byte, 2*len(*r.buf))
		copy(larger, *r.buf)
		r.buf = &larger
		return nil
	}
	copy(*r.buf, (*r.buf)[r.start:r.end])
	r.end -= r.start
	r.start = 0
	return nil
}

// finishTimeout bounds the wait for the end of the body after the last chunk.
const finishTimeout = 200 * time.Millisecond

// finish reads the end of the body, so that the connection can be reused.
func (r *lineReader) finish(timer *readTimer) {
	timer.shorten(finishTimeout)
	timer.arm(finishTimeout)
	_, _ = r.body.Read(*r.buf)
}

// chunkParser parses chunks. It has a fast path for the common form {"offset":N,"tokens":["...",...]} without escapes
// and uses encoding/json for all others. A returned chunk stays valid: its slices are not reused.
type chunkParser struct {
	slab []string
}

var (
	offsetPrefix = []byte(`{"offset":`)
	tokensPrefix = []byte(`,"tokens":[`)
)

func (p *chunkParser) parse(line []byte) (backend.Chunk, error) {
	if chunk, ok := p.parseCommon(line); ok {
		return chunk, nil
	}
	var chunk backend.Chunk
	err := json.Unmarshal(line, &chunk)
	return chunk, err
}

func (p *chunkParser) parseCommon(line []byte) (chunk backend.Chunk, ok bool) {
	rest, found := bytes.CutPrefix(line, offsetPrefix)
	if !found {
		return chunk, false
	}
	digits := 0
	for digits < len(rest) && digits < 9 && rest[digits]-'0' <= 9 {
		chunk.Offset = chunk.Offset*10 + uint32(rest[digits]-'0')
		digits++
	}
	if digits == 0 || digits > 1 && rest[0] == '0' {
		return chunk, false
	}
	rest, found = bytes.CutPrefix(rest[digits:], tokensPrefix)
	if !found {
		return chunk, false
	}
	count := 0
	for {
		token, after, ok := cutString(rest)
		if !ok || len(after) == 0 {
			return chunk, false
		}
		if count == len(p.slab) {
			p.slab = append(make([]string, 0, max(2*count, slabTokens)), p.slab...)
			p.slab = p.slab[:cap(p.slab)]
		}
		p.slab[count] = string(token)
		count++
		rest = after[1:]
		if after[0] == ',' {
			continue
		}
		if after[0] != ']' || len(rest) != 1 || rest[0] != '}' {
			return chunk, false
		}
		chunk.Tokens = p.slab[:count:count]
		p.slab = p.slab[count:]
		return chunk, true
	}
}

// cutString returns the content of the JSON string at the start of b and the bytes after it. ok is false for a string
// with escapes, control characters or invalid UTF-8, which encoding/json parses instead.
func cutString(b []byte) (content, after []byte, ok bool) {
	if len(b) == 0 || b[0] != '"' {
		return nil, nil, false
	}
	ascii := true
	for i := 1; i < len(b); i++ {
		switch c := b[i]; {
		case c == '"':
			return b[1:i], b[i+1:], ascii || utf8.Valid(b[1:i])
		case c == '\\' || c < ' ':
			return nil, nil, false
		case c >= utf8.RuneSelf:
			ascii = false
		}
	}
	return nil, nil, false
}
