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
	// slabTokens is how many token slices share one allocation.
	slabTokens = 32
)

var errLineTooLong = errors.New("enginehttp: line is too long")

var buffers = sync.Pool{New: func() any {
	b := make([]byte, lineBufferBytes)
	return &b
}}

// lineReader splits a body into lines. A line is valid until the next call.
type lineReader struct {
	body       io.Reader
	buf        *[]byte
	start, end int // unread bytes of buf
}

func newLineReader(body io.Reader) *lineReader {
	return &lineReader{body: body, buf: buffers.Get().(*[]byte)}
}

func (r *lineReader) release() {
	if len(*r.buf) == lineBufferBytes {
		buffers.Put(r.buf)
	}
	r.buf = nil
}

// next returns the next line without its end.
func (r *lineReader) next(silence *silenceTimer, limit time.Duration) ([]byte, error) {
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
			if err := r.makeRoom(); err != nil {
				return nil, err
			}
			scanned = r.end
		}
		silence.arm(limit)
		n, err := r.body.Read((*r.buf)[r.end:])
		silence.disarm()
		r.end += n
		if n == 0 && err != nil {
			return nil, err
		}
	}
}

// makeRoom moves the unread bytes to the start of the buffer, or doubles the buffer when they fill it.
func (r *lineReader) makeRoom() error {
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

// finishLimit bounds the wait for the end of a body after the last chunk.
const finishLimit = 200 * time.Millisecond

// finish reads the end of the body, so that the connection can be used again.
func (r *lineReader) finish(silence *silenceTimer) {
	silence.shorten(finishLimit)
	silence.arm(finishLimit)
	_, _ = r.body.Read(*r.buf)
}

// chunkParser parses chunks. It knows the usual form {"offset":N,"tokens":["...",...]} without escapes and leaves
// every other form to encoding/json. A chunk stays valid: its slices are not used again.
type chunkParser struct {
	slab []string
}

var (
	offsetPrefix = []byte(`{"offset":`)
	tokensPrefix = []byte(`,"tokens":[`)
)

func (p *chunkParser) parse(line []byte) (backend.Chunk, error) {
	if chunk, ok := p.parseUsual(line); ok {
		return chunk, nil
	}
	var chunk backend.Chunk
	err := json.Unmarshal(line, &chunk)
	return chunk, err
}

func (p *chunkParser) parseUsual(line []byte) (chunk backend.Chunk, ok bool) {
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

// cutString returns the content of the JSON string at the start of b and what follows. A string with escapes,
// control characters or invalid UTF-8 is left to encoding/json.
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
