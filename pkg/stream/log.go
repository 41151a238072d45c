// Package stream keeps the token log of each response, the state that lets a response survive the failure of the backend
// server and of the entry node that produce it.
//
// # Design
//
// A log is an append-only sequence of tokens with one writer, the current attempt. Attempts are numbered from 1 and
// only the latest may append, so late output of an earlier attempt is dropped. Each append gives the offset of its first
// token: tokens that the log already has are dropped, and a gap is an error that ends the attempt. The caller therefore
// receives each token exactly once and in order, whichever backend server produced it.
//
// The log is kept on the home node, which runs the attempts, and on one replica, in another failure domain if there is
// one. Both keep it for the retention time after its last change, so that the caller can resume on any entry node.
package stream

import (
	"errors"
	"sync"
	"time"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/code"
)

// Errors of Append, Finish and Apply.
var (
	// ErrStaleAttempt means that a later attempt has started.
	ErrStaleAttempt = errors.New("stream: attempt is stale")
	// ErrGap means that tokens before the given offset are missing.
	ErrGap = errors.New("stream: gap before the offset")
	// ErrFinished means that the response is complete.
	ErrFinished = errors.New("stream: response is finished")
)

// Meta describes a response. All fields but Home are fixed from the start.
type Meta struct {
	ID        string
	Workspace string
	// Home is the node that runs the attempts.
	Home string
	// Path is the path of the request, which determines the format of the response.
	Path string
	// Request is the request body as received.
	Request []byte
	Created time.Time
	// Deadline ends the generation; zero means none.
	Deadline time.Time
}

// End describes how a response ended; Finished is false while it has not.
type End struct {
	Finished     bool
	FinishReason string    // stop or length
	Code         code.Code // not OK when the response ended with an error
}

// Log is the token log of one response. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	meta    Meta
	attempt uint32
	// server is the backend server of the latest attempt.
	server string
	// text is the concatenation of all tokens; ends[i] is the end of token i in text.
	text          []byte
	ends          []uint32
	end           End
	changedAt     time.Time
	readers       []chan struct{}
	subscriptions uint64 // number of subscriptions ever made
}

// NewLog returns an empty log.
func NewLog(meta Meta, now time.Time) *Log {
	return &Log{meta: meta, changedAt: now}
}

// Meta returns the description of the response.
func (l *Log) Meta() Meta {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.meta
}

// SetHome changes the home node.
func (l *Log) SetHome(node string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.meta.Home = node
}

// Begin starts a new attempt and returns its number. From then on, appends of earlier attempts fail.
func (l *Log) Begin() uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempt++
	return l.attempt
}

// SetServer records the backend server of the latest attempt.
func (l *Log) SetServer(server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.server = server
}

// Server returns the backend server of the latest attempt, or "" if none is recorded.
func (l *Log) Server() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.server
}

// Attempt returns the number of the latest attempt; 0 means that none has started.
func (l *Log) Attempt() uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.attempt
}

// Append adds tokens, the first of which is at the given offset, and returns how many were new. It returns ErrFinished,
// ErrStaleAttempt or ErrGap if the log cannot take them.
func (l *Log) Append(attempt, offset uint32, tokens []string, now time.Time) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.checkAttempt(attempt); err != nil {
		return 0, err
	}
	have := uint32(len(l.ends))
	if offset > have {
		return 0, ErrGap
	}
	duplicates := have - offset
	if duplicates >= uint32(len(tokens)) {
		return 0, nil
	}
	for _, token := range tokens[duplicates:] {
		l.text = append(l.text, token...)
		l.ends = append(l.ends, uint32(len(l.text)))
	}
	l.notifyReaders(now)
	return len(tokens) - int(duplicates), nil
}

// checkAttempt accepts the latest attempt or a later one; a replica learns of later attempts from their appends.
func (l *Log) checkAttempt(attempt uint32) error {
	if l.end.Finished {
		return ErrFinished
	}
	if attempt < l.attempt {
		return ErrStaleAttempt
	}
	l.attempt = attempt
	return nil
}

// Finish marks the response as finished. Only the latest attempt can finish it; an earlier one gets ErrStaleAttempt, and
// a finished response ErrFinished.
func (l *Log) Finish(attempt uint32, reason string, c code.Code, now time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.checkAttempt(attempt); err != nil {
		return err
	}
	l.end = End{Finished: true, FinishReason: reason, Code: c}
	l.notifyReaders(now)
	return nil
}

// notifyReaders records the time of a change and wakes the readers. l.mu must be held.
func (l *Log) notifyReaders(now time.Time) {
	l.changedAt = now
	for _, reader := range l.readers {
		select {
		case reader <- struct{}{}:
		default:
		}
	}
}

// Subscribe returns a channel that receives a value after changes, and a function that ends the subscription. Changes
// that occur before the value is received are coalesced.
func (l *Log) Subscribe() (changes <-chan struct{}, cancel func()) {
	reader := make(chan struct{}, 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readers = append(l.readers, reader)
	l.subscriptions++
	return reader, func() { l.unsubscribe(reader) }
}

func (l *Log) unsubscribe(reader chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, r := range l.readers {
		if r == reader {
			l.readers = append(l.readers[:i], l.readers[i+1:]...)
			return
		}
	}
}

// Readers returns the number of open subscriptions and the number ever made.
func (l *Log) Readers() (open int, total uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.readers), l.subscriptions
}

// Read calls emit for each token from offset on, and returns the next offset and the end. The log is locked during the
// calls, so emit must not block or call methods of the log. It must not retain the token either.
func (l *Log) Read(offset uint32, emit func(offset uint32, token []byte)) (next uint32, end End) {
	l.mu.Lock()
	defer l.mu.Unlock()
	start := uint32(0)
	if offset > 0 && offset <= uint32(len(l.ends)) {
		start = l.ends[offset-1]
	}
	for offset < uint32(len(l.ends)) {
		emit(offset, l.text[start:l.ends[offset]])
		start = l.ends[offset]
		offset++
	}
	return offset, l.end
}

// Len returns the number of tokens.
func (l *Log) Len() uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return uint32(len(l.ends))
}

// End returns how the response ended, or the zero End while it has not.
func (l *Log) End() End {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.end
}

// Tokens returns the tokens from offset on.
func (l *Log) Tokens(offset uint32) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tokens(offset)
}

func (l *Log) tokens(offset uint32) []string {
	if offset >= uint32(len(l.ends)) {
		return nil
	}
	out := make([]string, 0, uint32(len(l.ends))-offset)
	start := uint32(0)
	if offset > 0 {
		start = l.ends[offset-1]
	}
	for _, end := range l.ends[offset:] {
		out = append(out, string(l.text[start:end]))
		start = end
	}
	return out
}

// Progress returns the tokens from offset on and the end, in the form sent to other nodes.
func (l *Log) Progress(offset uint32) *pb.StreamProgress {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &pb.StreamProgress{
		ResponseId:   l.meta.ID,
		Attempt:      l.attempt,
		Offset:       offset,
		Tokens:       l.tokens(offset),
		Finished:     l.end.Finished,
		FinishReason: l.end.FinishReason,
		Code:         uint32(l.end.Code),
		Server:       l.server,
	}
}

// Apply adds progress received from another node. It returns the errors of Append and Finish.
func (l *Log) Apply(p *pb.StreamProgress, now time.Time) error {
	if _, err := l.Append(p.Attempt, p.Offset, p.Tokens, now); err != nil {
		return err
	}
	if p.Server != "" {
		l.SetServer(p.Server)
	}
	if !p.Finished {
		return nil
	}
	return l.Finish(p.Attempt, p.FinishReason, code.Code(p.Code), now)
}

// Open returns the description of the response in the form sent to a replica.
func (l *Log) Open() *pb.StreamOpen {
	meta := l.Meta()
	out := &pb.StreamOpen{
		ResponseId:    meta.ID,
		Workspace:     meta.Workspace,
		Home:          meta.Home,
		Request:       meta.Request,
		Path:          meta.Path,
		CreatedUnixMs: uint64(meta.Created.UnixMilli()),
	}
	if !meta.Deadline.IsZero() {
		out.DeadlineUnixMs = uint64(meta.Deadline.UnixMilli())
	}
	return out
}

// MetaFrom converts a received StreamOpen into a Meta.
func MetaFrom(open *pb.StreamOpen) Meta {
	meta := Meta{
		ID:        open.ResponseId,
		Workspace: open.Workspace,
		Home:      open.Home,
		Path:      open.Path,
		Request:   open.Request,
		Created:   time.UnixMilli(int64(open.CreatedUnixMs)),
	}
	if open.DeadlineUnixMs > 0 {
		meta.Deadline = time.UnixMilli(int64(open.DeadlineUnixMs))
	}
	return meta
}
