package bench

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

const (
	lineBufferBytes = 4 << 10
	maxLineBytes    = 1 << 20
)

// consume reads events until the stream ends or breaks.
func (c *caller) consume(_ context.Context, out *outcome, res *http.Response) {
	silence := time.AfterFunc(silenceLimit, func() { _ = res.Body.Close() })
	defer silence.Stop()
	defer res.Body.Close()
	lines := bufio.NewScanner(res.Body)
	lines.Buffer(make([]byte, 0, lineBufferBytes), maxLineBytes)
	var events eventReader
	for out.ended.IsZero() && lines.Scan() {
		silence.Reset(silenceLimit)
		c.take(out, &events, lines.Bytes())
	}
}

// eventReader joins the lines of one server-sent event.
type eventReader struct {
	id, name string
}

// chunk is the part of a completion event that the benchmark reads.
type chunk struct {
	Choices []struct {
		Delta        struct{ Content string }
		FinishReason *string `json:"finish_reason"`
	}
}

// take handles one line of a stream.
func (c *caller) take(out *outcome, e *eventReader, line []byte) {
	switch {
	case bytes.HasPrefix(line, []byte("id: ")):
		e.id = string(line[len("id: "):])
	case bytes.HasPrefix(line, []byte("event: ")):
		e.name = string(line[len("event: "):])
	case bytes.HasPrefix(line, []byte("data: ")):
		c.data(out, e, line[len("data: "):])
		e.name = ""
	}
}

func (c *caller) data(out *outcome, e *eventReader, data []byte) {
	now := time.Now()
	if e.name == "error" {
		refusal := parseRefusal(data, http.StatusOK)
		c.rec.refusal(refusal.Name)
		out.refusal = refusal.Name
		out.note("the stream ended with the error " + refusal.Name)
		out.ended = now
		return
	}
	if string(data) == "[DONE]" {
		out.complete = true
		out.ended = now
		return
	}
	var event chunk
	if err := json.Unmarshal(data, &event); err != nil || len(event.Choices) != 1 {
		out.note(fmt.Sprintf("event %s is no completion chunk", e.id))
		return
	}
	choice := event.Choices[0]
	if choice.FinishReason != nil {
		out.finish = *choice.FinishReason
		return
	}
	c.token(out, e.id, choice.Delta.Content, now)
}

// token adds one token, whose event id must be its number.
func (c *caller) token(out *outcome, id, text string, now time.Time) {
	out.tokens = append(out.tokens, text)
	if id != strconv.Itoa(len(out.tokens)) {
		out.note(fmt.Sprintf("token %d came with event id %s", len(out.tokens), id))
	}
	if out.firstToken.IsZero() {
		out.firstToken = now
	} else {
		c.rec.gap(out.request.class, now.Sub(out.lastToken))
	}
	out.lastToken = now
	c.rec.tokenAt(now)
}
