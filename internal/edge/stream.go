package edge

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pollenlug/pollenlug/internal/adapter/httpclient"
	"github.com/pollenlug/pollenlug/internal/logline"
	"github.com/pollenlug/pollenlug/pkg/eventorder"
	"github.com/pollenlug/pollenlug/pkg/placement"
	"github.com/pollenlug/pollenlug/pkg/strike"
)

const (
	// maxEventBytes limits the size of one event.
	maxEventBytes = 1 << 20
	// maxEventIDBytes limits the size of an event's id.
	maxEventIDBytes = 1 << 10
	// streamReadSize is the size of one read from a server.
	streamReadSize = 16 << 10
)

// streamRelay relays the events of a stream to the caller, each once and in order, from successive servers.
type streamRelay struct {
	n   *Node
	req *request
	// headerSent is set once the response header has been sent to the caller.
	headerSent bool
	// order decides which events are sent to the caller.
	order eventorder.Order
}

// send relays the stream from one server until it is complete or broken.
func (s *streamRelay) send(ctx context.Context, ticket *placement.Ticket, run *strike.Run) sendResult {
	sent, resp, result := s.n.startSend(ctx, s.req, ticket, s.resumeAfter())
	defer sent.end()
	if resp == nil {
		return result
	}
	defer closeBody(resp)
	if resp.StatusCode/100 != 2 {
		return s.serverFailure(resp)
	}
	s.order.ServerChanged()
	err := s.copyEvents(resp.Response, ticket, run, sent.timer)
	if err == nil {
		s.req.outcome = logline.Served
		return sendResult{status: delivered, completed: true}
	}
	result = classify(sent.ctx, err)
	result.final = !s.order.Resumable()
	return result
}

// resumeAfter returns the id of the event after which a server should resume.
func (s *streamRelay) resumeAfter() string {
	if id := s.order.Last(); id != "" {
		return id
	}
	return s.req.ResumeAfter
}

// serverFailure returns the result for an error response of a server.
func (s *streamRelay) serverFailure(resp *httpclient.Response) sendResult {
	if s.headerSent {
		return sendResult{status: responseLost, reason: "server_error"}
	}
	response, err := s.n.readResponse(s.req, resp)
	if err != nil || response.rest != nil {
		return sendResult{status: responseLost, reason: "answer_cut"}
	}
	response.header = s.n.headers.ForwardResponse(response.header)
	return sendResult{status: serverFailed, reason: "server_error", response: response}
}

// copyEvents relays complete events until the response ends. It returns an error if the stream is incomplete.
func (s *streamRelay) copyEvents(resp *http.Response, ticket *placement.Ticket, run *strike.Run, timer *stallTimer) error {
	stallTimeout := max(minStallTimeout, stallPauseFactor*s.req.route.PauseTarget)
	var pending eventBuffer
	pending.kept = &s.req.kept
	defer pending.release()
	received, answering := 0, false
	buffer := make([]byte, streamReadSize)
	for {
		n, err := resp.Body.Read(buffer)
		received += n
		if !pending.add(buffer[:n]) {
			return errMemoryShort
		}
		if complete := pending.complete(); len(complete) > 0 {
			ticket.FirstEvent(time.Now())
			ticket.Events(countEvents(complete), time.Now())
			run.Answering(time.Now())
			s.n.rollouts.firstEvent(s.req.versionAttempt, time.Now())
			if s.req.firstEvent == 0 {
				s.req.firstEvent = time.Since(s.req.sentAt)
			}
			if !answering {
				answering = true
				s.n.forecasts.Record(s.req.service.Name, ticket.Expected, time.Since(s.req.sentAt), time.Now())
			}
			s.n.countUsage(s.req)
			if !timer.heard() {
				return errStalled // another server sends these events
			}
			if e := s.writeEvents(resp, complete); e != nil {
				return e
			}
			pending.drop(len(complete))
			if s.order.Resumable() {
				timer.expect(stallTimeout, s.resumeAfter())
			}
		}
		switch {
		case err == io.EOF && len(bytes.TrimSpace(pending.bytes)) > 0:
			return io.ErrUnexpectedEOF
		case err == io.EOF && received == 0 && endsWithConnection(resp):
			return io.ErrUnexpectedEOF
		case err == io.EOF:
			return s.finish(resp)
		case err != nil:
			return err
		case len(pending.bytes) > maxEventBytes:
			return errorString("event exceeds the size limit")
		}
	}
}

// endsWithConnection reports whether only the end of its connection ends a response. Without any event that is no sign of
// a complete stream: a server that crashes ends its connections too.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// finish ends a complete stream, which may be empty.
func (s *streamRelay) finish(resp *http.Response) error {
	if err := s.order.End(); err != nil {
		return err
	}
	if !s.headerSent {
		s.writeHeader(resp)
	}
	return nil
}

// writeHeader sends the caller the header of resp: that of the first server with an event, or with a complete stream
// without events.
func (s *streamRelay) writeHeader(resp *http.Response) {
	header := s.req.w.Header()
	for name, values := range s.n.headers.ForwardResponse(resp.Header) {
		header[name] = values
	}
	header.Del("Content-Length")
	s.req.w.WriteHeader(resp.StatusCode)
	s.headerSent = true
}

// writeEvents sends complete events to the caller, except those that have been sent before.
func (s *streamRelay) writeEvents(resp *http.Response, block []byte) error {
	// The events before one that does not continue the stream count as sent, so they must be sent first.
	out, orderErr := s.newEvents(block)
	if len(out) == 0 {
		return orderErr
	}
	if !s.headerSent {
		s.writeHeader(resp)
	}
	if _, err := s.req.w.Write(out); err != nil {
		return err
	}
	if err := http.NewResponseController(s.req.w).Flush(); err != nil {
		return err
	}
	return orderErr
}

// newEvents returns the events of a block that have not been sent yet, up to the first one that does not continue the stream.
func (s *streamRelay) newEvents(block []byte) (out []byte, err error) {
	for len(block) > 0 {
		event := block[:firstEventLen(block)]
		block = block[len(event):]
		isNew, err := s.isNew(event)
		if err != nil {
			return out, err
		}
		if isNew {
			out = append(out, event...)
		}
	}
	return out, nil
}

// isNew reports whether an event has not been sent to the caller yet. It returns an error if the event does not continue
// the stream.
func (s *streamRelay) isNew(event []byte) (bool, error) {
	id := eventID(event)
	if id == "" && isComment(event) {
		return true, nil
	}
	return s.order.Next(id)
}

// isComment reports whether all lines of an event are comments, which servers may send at any time.
func isComment(event []byte) bool {
	for line := range strings.SplitSeq(string(event), "\n") {
		if line = strings.TrimRight(line, "\r"); line != "" && !strings.HasPrefix(line, ":") {
			return false
		}
	}
	return true
}

// eventID returns the id field of an event, or nothing. Ids that are too long to be kept and sent in a header do not count.
func eventID(event []byte) string {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			if value = bytes.TrimSpace(value); len(value) > maxEventIDBytes {
				return ""
			}
			return string(value)
		}
	}
	return ""
}

// firstEventLen returns the length of the first event including its blank line, or len(b) without one.
func firstEventLen(b []byte) int {
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

// eventBuffer holds the received bytes that have not been passed on, in reserved memory.
type eventBuffer struct {
	kept     *reservation
	reserved int
	bytes    []byte
	// scanned is the number of bytes that hold no complete event.
	scanned int
}

// add appends received bytes. It returns false if the memory is short.
func (b *eventBuffer) add(received []byte) bool {
	if needed := len(b.bytes) + len(received); needed > b.reserved {
		grown := max(2*b.reserved, needed)
		if !b.kept.reserve(grown - b.reserved) {
			return false
		}
		b.reserved = grown
		b.bytes = append(make([]byte, 0, grown), b.bytes...)
	}
	b.bytes = append(b.bytes, received...)
	return true
}

// complete returns all complete events.
func (b *eventBuffer) complete() []byte {
	from := max(0, b.scanned-len("\r\n\r")) // an end may have arrived in part
	end := completeEventsLen(b.bytes[from:])
	b.scanned = len(b.bytes)
	if end == 0 {
		return nil
	}
	return b.bytes[:from+end]
}

// drop removes the first n bytes.
func (b *eventBuffer) drop(n int) {
	b.bytes = append(b.bytes[:0], b.bytes[n:]...)
	b.scanned = len(b.bytes)
}

func (b *eventBuffer) release() { b.kept.release(b.reserved) }

// completeEventsLen returns the length of all complete events.
func completeEventsLen(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(b, []byte("\r\n\r\n")); i+4 > end && i >= 0 {
		end = i + 4
	}
	return end
}
