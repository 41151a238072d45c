package edge

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pollenlug/pollenlug/internal/logline"
	"github.com/pollenlug/pollenlug/pkg/placement"
	"github.com/pollenlug/pollenlug/pkg/serving"
)

const (
	// stallPauses is how many longest pauses a resumable stream may be silent before it goes on elsewhere.
	stallPauses = 4
	// stallMin is the least silence that counts as a stall; stallFirst is that before the first event.
	stallMin   = 1200 * time.Millisecond
	stallFirst = 2500 * time.Millisecond
	// maxEvent bounds one event.
	maxEvent = 1 << 20
	// streamRead is the size of one read from a server.
	streamRead = 16 << 10
)

// streamRelay passes the events of a stream on, each once and in order, from one server after the other.
type streamRelay struct {
	n   *Node
	req *request
	// started is set when the caller has got the header.
	started bool
	// last is the id of the last event the caller has; number is its value when known.
	last   string
	number int64
	known  bool
}

// send runs the stream on one server until it is complete or broken.
func (s *streamRelay) send(ctx context.Context, ticket *placement.Ticket) try {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := s.watch(ticket, cancel)
	if stall != nil {
		defer stall.Stop()
	}
	out, err := s.n.outbound(ctx, s.req, ticket, s.resumeAfter())
	if err != nil {
		return try{verdict: notSent, reason: "invalid_request"}
	}
	resp, err := s.n.client.Do(out)
	if err != nil {
		return s.ended(ctx, ticket, err)
	}
	defer closeBody(resp)
	reply := s.n.headers.Reply(resp)
	if t, done := s.n.checkReply(s.req, resp, reply); done {
		return t
	}
	if resp.StatusCode/100 != 2 {
		return s.failure(resp)
	}
	err = s.copy(resp, ticket, stall)
	if err == nil {
		s.req.outcome = logline.Served
		return try{verdict: answered}
	}
	return s.ended(ctx, ticket, err)
}

// resumeAfter is the event after which a server should go on.
func (s *streamRelay) resumeAfter() string {
	if s.last != "" {
		return s.last
	}
	return s.req.ResumeAfter
}

// errStalled is the cause of a try that was silent for too long.
var errStalled = errorString("the stream was silent for too long")

type errorString string

// Error implements error.
func (e errorString) Error() string { return string(e) }

// watch cancels a try that is silent for too long, if the stream may go on elsewhere and a server is left for it. It
// returns nil where silence is no reason to end the answer.
func (s *streamRelay) watch(ticket *placement.Ticket, cancel context.CancelCauseFunc) *time.Timer {
	if s.req.route.Repeat != serving.Resumable || s.req.sends+1 >= s.req.route.MaxAttempts {
		return nil
	}
	return time.AfterFunc(max(stallFirst, 2*ticket.Expected), func() {
		// Without a repeat left the stream would only be broken off; it waits for its server instead.
		if s.n.retryWindow(s.req.service.Name).Withdraw(time.Now()) {
			cancel(errStalled)
		}
	})
}

// ended classifies the error that ended a try.
func (s *streamRelay) ended(ctx context.Context, ticket *placement.Ticket, err error) try {
	if context.Cause(ctx) == errStalled {
		return try{verdict: lost, reason: "stream_stalled", repeatTaken: true}
	}
	return s.n.classify(ctx, ticket, err)
}

// failure takes a server's own failure.
func (s *streamRelay) failure(resp *http.Response) try {
	if s.started {
		return try{verdict: lost, reason: "server_error"}
	}
	answer, err := readAnswer(resp)
	if err != nil || answer.rest != nil {
		return try{verdict: lost, reason: "answer_cut"}
	}
	answer.header = s.n.headers.ForwardResponse(answer.header)
	return try{verdict: failedByServer, reason: "server_error", answer: answer}
}

// copy passes whole events on until the answer ends. An error means that it is not complete.
func (s *streamRelay) copy(resp *http.Response, ticket *placement.Ticket, stall *time.Timer) error {
	quiet := max(stallMin, stallPauses*s.req.route.PauseTarget)
	var pending []byte
	buffer := make([]byte, streamRead)
	for {
		n, err := resp.Body.Read(buffer)
		pending = append(pending, buffer[:n]...)
		whole := lastBoundary(pending)
		if whole > 0 {
			ticket.FirstEvent(time.Now())
			if s.req.firstEvent == 0 {
				s.req.firstEvent = time.Since(s.req.sentAt)
			}
			s.n.countUsage(s.req)
			if stall != nil {
				stall.Reset(quiet)
			}
			if e := s.write(resp, pending[:whole]); e != nil {
				return e
			}
			pending = append(pending[:0], pending[whole:]...)
		}
		switch {
		case err == io.EOF && len(bytes.TrimSpace(pending)) > 0:
			return io.ErrUnexpectedEOF
		case err == io.EOF:
			return s.finish(resp)
		case err != nil:
			return err
		case len(pending) > maxEvent:
			return errorString("an event is too large")
		}
	}
}

// finish ends a complete stream, also one without events.
func (s *streamRelay) finish(resp *http.Response) error {
	if !s.started {
		s.start(resp)
	}
	return nil
}

// start writes the header of the first server that has an event.
func (s *streamRelay) start(resp *http.Response) {
	header := s.req.w.Header()
	for name, values := range s.n.headers.ForwardResponse(resp.Header) {
		header[name] = values
	}
	header.Del("Content-Length")
	s.req.w.WriteHeader(resp.StatusCode)
	s.started = true
}

// write passes whole events on. An event that the caller has is left out; a gap is an error.
func (s *streamRelay) write(resp *http.Response, block []byte) error {
	var out []byte
	for len(block) > 0 {
		event := block[:firstBoundary(block)]
		block = block[len(event):]
		fresh, err := s.follow(event)
		if err != nil {
			return err
		}
		if fresh {
			out = append(out, event...)
		}
	}
	if len(out) == 0 {
		return nil
	}
	if !s.started {
		s.start(resp)
	}
	if _, err := s.req.w.Write(out); err != nil {
		return err
	}
	return http.NewResponseController(s.req.w).Flush()
}

// follow checks an event's id against the last one.
func (s *streamRelay) follow(event []byte) (fresh bool, err error) {
	id, ok := eventID(event)
	if !ok {
		return true, nil
	}
	number, parseErr := strconv.ParseInt(id, 10, 64)
	if parseErr == nil && s.known {
		if number <= s.number {
			return false, nil
		}
		if number != s.number+1 {
			return false, errorString("an event is missing")
		}
	}
	s.last = id
	s.number, s.known = number, parseErr == nil
	return true, nil
}

// eventID returns the id of an event.
func eventID(event []byte) (string, bool) {
	for line := range strings.SplitSeq(string(event), "\n") {
		if value, ok := strings.CutPrefix(line, "id:"); ok {
			return strings.TrimSpace(value), true
		}
	}
	return "", false
}

// firstBoundary returns the length of the first event with its blank line, or of everything.
func firstBoundary(b []byte) int {
	if i := bytes.Index(b, []byte("\n\n")); i >= 0 {
		if j := bytes.Index(b[:i+1], []byte("\r\n\r\n")); j < 0 {
			return i + 2
		}
	}
	if i := bytes.Index(b, []byte("\r\n\r\n")); i >= 0 {
		return i + 4
	}
	return len(b)
}

// lastBoundary returns the length of all whole events.
func lastBoundary(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(b, []byte("\r\n\r\n")); i+4 > end && i >= 0 {
		end = i + 4
	}
	return end
}
