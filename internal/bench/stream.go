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

// readEvents reads events until the stream ends or is interrupted.
func (c *caller) readEvents(_ context.Context, out *outcome, res *http.Response) {
	readTimer := time.AfterFunc(streamReadTimeout, func() { _ = res.Body.Close() })
	defer readTimer.Stop()
	defer res.Body.Close()
	lines := bufio.NewScanner(res.Body)
	lines.Buffer(make([]byte, 0, lineBufferBytes), maxLineBytes)
	var event eventFields
	for out.endedAt.IsZero() && lines.Scan() {
		readTimer.Reset(streamReadTimeout)
		c.handleLine(out, &event, lines.Bytes())
	}
}

// eventFields has the fields of the server-sent event that is being read.
type eventFields struct {
	id, name string
}

// chunk is the part of a completion event that the benchmark reads.
type chunk struct {
	Choices []struct {
		Delta        struct{ Content string }
		FinishReason *string `json:"finish_reason"`
	}
}

// handleLine handles one line of a stream.
func (c *caller) handleLine(out *outcome, event *eventFields, line []byte) {
	switch {
	case bytes.HasPrefix(line, []byte("id: ")):
		event.id = string(line[len("id: "):])
	case bytes.HasPrefix(line, []byte("event: ")):
		event.name = string(line[len("event: "):])
	case bytes.HasPrefix(line, []byte("data: ")):
		c.handleData(out, event, line[len("data: "):])
		event.name = ""
	}
}

func (c *caller) handleData(out *outcome, event *eventFields, data []byte) {
	now := time.Now()
	if event.name == "error" {
		refusal := parseRefusal(data, http.StatusOK)
		c.rec.countRefusal(refusal.Name)
		out.lastRefusal = refusal.Name
		out.noteProblem("the stream ended with the error " + refusal.Name)
		out.endedAt = now
		return
	}
	if string(data) == "[DONE]" {
		out.complete = true
		out.endedAt = now
		return
	}
	var payload chunk
	if err := json.Unmarshal(data, &payload); err != nil || len(payload.Choices) != 1 {
		out.noteProblem(fmt.Sprintf("event %s is not a completion chunk", event.id))
		return
	}
	choice := payload.Choices[0]
	if choice.FinishReason != nil {
		out.finishReason = *choice.FinishReason
		return
	}
	c.handleToken(out, event.id, choice.Delta.Content, now)
}

// handleToken records one token, whose event ID must be its number, counted from 1.
func (c *caller) handleToken(out *outcome, id, text string, now time.Time) {
	out.tokens = append(out.tokens, text)
	if id != strconv.Itoa(len(out.tokens)) {
		out.noteProblem(fmt.Sprintf("token %d came with event id %s", len(out.tokens), id))
	}
	if out.firstTokenAt.IsZero() {
		out.firstTokenAt = now
	} else {
		c.rec.recordTokenGap(out.request.class, now.Sub(out.lastTokenAt))
	}
	out.lastTokenAt = now
	c.rec.countToken(now)
}
