package edge

import (
	"io"
	"math"
	"sync"
)

const (
	// memoryShareKept is the fraction of the memory limit that a node keeps for others at most: headers and bodies of
	// requests and what it has read of responses and not passed on. The garbage collector needs up to as much again.
	memoryShareKept = 0.17
	// bufferedBodyShare is the fraction of the memory limit of which one response may be kept. maxBufferedBody limits it.
	bufferedBodyShare = 1.0 / 512
	maxBufferedBody   = 1 << 20
	// minReadChunk and maxReadChunk bound the size of one read of a body whose length is not known.
	minReadChunk = 2 << 10
	maxReadChunk = 32 << 10
)

// memoryAccount limits the memory in which a node keeps what it receives, in bytes.
//
// Load pattern: faulty servers send responses without end to many requests at once, or callers send many large bodies,
// on a machine with little memory. What is kept is reserved before it is read. When the account is short, responses are
// passed on as they arrive, and new requests with a body are refused.
type memoryAccount struct {
	// maxBody is how much of one response is kept.
	maxBody int
	// size is the whole account.
	size int64

	mu        sync.Mutex
	available int64
}

// newMemoryAccount returns the account of a machine with the given memory in bytes.
func newMemoryAccount(memory int64) *memoryAccount {
	kept := int64(memoryShareKept * float64(memory))
	return &memoryAccount{size: kept, available: kept,
		maxBody: min(int(bufferedBodyShare*float64(memory)), maxBufferedBody)}
}

func (m *memoryAccount) take(n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n > m.available {
		return false
	}
	m.available -= n
	return true
}

// Take implements headerlimit.Account.
func (m *memoryAccount) Take(n int64) bool { return m.take(n) }

// Give implements headerlimit.Account.
func (m *memoryAccount) Give(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.available += n
}

// reservation is the part of the account that one request holds. It is used by one goroutine at a time.
type reservation struct {
	account *memoryAccount
	held    int64
}

// reserve adds n bytes and reports whether the account has them.
func (r *reservation) reserve(n int) bool {
	if !r.account.take(int64(n)) {
		return false
	}
	r.held += int64(n)
	return true
}

// release gives back n bytes.
func (r *reservation) release(n int) {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	r.account.available += int64(n)
	r.held -= int64(n)
}

// releaseAll gives back everything.
func (r *reservation) releaseAll() { r.release(int(r.held)) }

// parts is a body in the pieces in which it was read.
type parts [][]byte

func (p parts) size() int {
	n := 0
	for _, part := range p {
		n += len(part)
	}
	return n
}

// chunks holds buffers of maxReadChunk, so that many large bodies leave little to the garbage collector.
var chunks = sync.Pool{New: func() any { return new([maxReadChunk]byte) }}

func newChunk(size int) []byte {
	if size == maxReadChunk {
		return chunks.Get().(*[maxReadChunk]byte)[:]
	}
	return make([]byte, size)
}

// recycle makes the memory of a body that was passed on available again.
func (p parts) recycle() {
	for _, part := range p {
		recycleChunk(part)
	}
}

func recycleChunk(chunk []byte) {
	if cap(chunk) == maxReadChunk {
		chunks.Put((*[maxReadChunk]byte)(chunk[:maxReadChunk]))
	}
}

// join returns the body in one piece.
func (p parts) join() []byte {
	out := make([]byte, 0, p.size())
	for _, part := range p {
		out = append(out, part...)
	}
	return out
}

// readParts reads a body into reserved memory until its end, until limit bytes are read or until the account is short.
// length is the declared length of the body, or -1. ended reports whether the body has ended.
func (r *reservation) readParts(body io.Reader, length int64, limit int) (read parts, ended bool, err error) {
	for total := 0; total < limit; {
		size := min(max(total, minReadChunk), maxReadChunk, limit-total)
		if length >= 0 { // one byte more shows the end
			size = int(min(int64(size), length-int64(total)+1))
		}
		if !r.reserve(size) {
			return read, false, nil
		}
		chunk, n := newChunk(size), 0
		for n < size && err == nil { // not io.ReadFull, which hides whether a body was cut
			var more int
			more, err = body.Read(chunk[n:])
			n += more
		}
		total += n
		read = append(read, chunk[:n])
		if err == io.EOF {
			return read, true, nil
		}
		if err != nil {
			return read, false, err
		}
	}
	return read, false, nil
}

// copy passes on what is left of a body, in pieces whose size depends on the memory that is left.
func (r *reservation) copy(w io.Writer, body io.Reader) error {
	size := maxReadChunk
	if r.reserve(size) {
		defer r.release(size)
	} else {
		size = minReadChunk
	}
	buffer := newChunk(size)
	defer recycleChunk(buffer)
	// The type without other methods keeps io.CopyBuffer from using buffers of its own.
	_, err := io.CopyBuffer(struct{ io.Writer }{w}, body, buffer)
	return err
}

// errMemoryShort means that the account is short.
var errMemoryShort = errorString("the memory for what nodes keep is used up")

// readBody reads a whole body into reserved memory. length is its declared length, or -1.
func (r *reservation) readBody(body io.Reader, length int64) ([]byte, error) {
	if length > 0 {
		if !r.reserve(int(length)) {
			return nil, errMemoryShort
		}
		whole := make([]byte, length)
		_, err := io.ReadFull(body, whole)
		return whole, err
	}
	earlier := r.held
	read, ended, err := r.readParts(body, -1, math.MaxInt)
	if err != nil {
		return nil, err
	}
	before, size := int(r.held-earlier), read.size()
	if !ended || !r.reserve(size) {
		return nil, errMemoryShort
	}
	defer r.release(before) // of the parts
	defer read.recycle()
	return read.join(), nil
}
