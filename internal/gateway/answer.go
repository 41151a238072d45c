package gateway

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pollenlug/pollenlug/internal/openai"
	"github.com/pollenlug/pollenlug/pkg/code"
	"github.com/pollenlug/pollenlug/pkg/stream"
)

const (
	// keepAliveInterval is how often a comment is sent on an idle stream, so that both ends detect a dead connection.
	keepAliveInterval = 5 * time.Second
	// writeTimeout bounds a write to a caller that does not read its stream.
	writeTimeout = 30 * time.Second
	// eventBufferSize is the initial buffer size for the events sent at once, usually one token.
	eventBufferSize = 512
)

var eventBuffers = sync.Pool{New: func() any {
	buf := make([]byte, 0, eventBufferSize)
	return &buf
}}

func (g *gateway) encodeGeneration(ctx context.Context, w http.ResponseWriter, response any) error {
	resp := response.(*generationResponse)
	defer resp.generation.Close()
	log := resp.generation.Log
	meta := log.Meta()
	w.Header().Set(HeaderRequestID, meta.ID)
	var err error
	if resp.request.Stream {
		err = g.recordDisconnect(g.writeStream(ctx, w, resp))
	} else {
		err = g.writeComplete(ctx, w, resp)
	}
	g.Metrics.Observe("response", time.Since(meta.Created))
	g.Log.WithFields(map[string]any{
		"request_id": meta.ID,
		"workspace":  resp.workspace,
		"attempt":    log.Attempt(),
		"tokens":     log.Len(),
		"code":       log.End().Code,
		"ms":         time.Since(meta.Created).Milliseconds(),
	}).Debug("response ended")
	return err
}

// writeComplete waits until the response is complete and sends it in one body.
func (g *gateway) writeComplete(ctx context.Context, w http.ResponseWriter, resp *generationResponse) error {
	log := resp.generation.Log
	changes, cancel := log.Subscribe()
	defer cancel()
	for !log.End().Finished {
		select {
		case <-changes:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	end := log.End()
	if end.Code != code.OK {
		g.refuse(ctx, errorFromEnd(end), w)
		return nil
	}
	tokens := log.Len()
	prompt := uint32(len(strings.Fields(resp.request.Prompt)))
	usage := openai.Usage{PromptTokens: prompt, CompletionTokens: tokens, TotalTokens: prompt + tokens}
	meta := log.Meta()
	body, err := openai.CompletionBody(meta.ID, meta.Created, resp.request, strings.Join(log.Tokens(0), ""), end.FinishReason, usage)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	_, err = w.Write(body)
	return g.recordDisconnect(err)
}

// recordDisconnect counts a response whose caller disconnected after the header was sent. It returns nil to hide the
// error from go-kit, which would write a refusal with a second header into the body.
func (g *gateway) recordDisconnect(err error) error {
	if err != nil {
		g.Log.WithError(err).Debug("caller disconnected before the end of the response")
		g.Metrics.Refusal(code.CallerGone)
	}
	return nil
}

// errorFromEnd returns the error that a response ended with. Generation had started, so the request ran.
func errorFromEnd(end stream.End) *code.Error {
	e := code.New(end.Code, "the response could not be completed").WithRan(code.RanYes)
	if end.Code == code.RequestQuarantined {
		return e // a retry is refused as well
	}
	return e.WithRetryAfter(time.Second)
}

// writeStream sends the response as server-sent events, starting at resp.offset.
func (g *gateway) writeStream(ctx context.Context, w http.ResponseWriter, resp *generationResponse) error {
	header := w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	out := &eventWriter{w: w, control: http.NewResponseController(w)}
	if err := out.control.Flush(); err != nil {
		return errFlush
	}
	buf := eventBuffers.Get().(*[]byte)
	defer eventBuffers.Put(buf)
	out.buf = *buf
	defer func() { *buf = out.buf }()
	return g.relay(ctx, out, resp)
}

func (g *gateway) relay(ctx context.Context, out *eventWriter, resp *generationResponse) error {
	log := resp.generation.Log
	meta := log.Meta()
	events := openai.NewEvents(meta.ID, meta.Created, resp.request)
	changes, cancel := log.Subscribe()
	defer cancel()
	idle := time.NewTimer(keepAliveInterval)
	defer idle.Stop()
	emit := func(offset uint32, token []byte) { out.buf = events.AppendToken(out.buf, offset, token) }
	offset := resp.offset
	for {
		out.buf = out.buf[:0]
		next, end := log.Read(offset, emit)
		offset = next
		if end.Finished {
			return g.writeFinalEvent(out, events, offset, end)
		}
		if len(out.buf) > 0 {
			if err := out.flush(); err != nil {
				return err
			}
		}
		idle.Reset(keepAliveInterval)
		select {
		case <-changes:
		case <-idle.C:
			out.buf = append(out.buf[:0], ": keep-alive\n\n"...)
			if err := out.flush(); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// writeFinalEvent sends the last event: the finish reason, or the error that the response ended with.
func (g *gateway) writeFinalEvent(out *eventWriter, events *openai.Events, tokens uint32, end stream.End) error {
	if end.Code == code.OK {
		out.buf = events.AppendFinish(out.buf, tokens, end.FinishReason)
		return out.flush()
	}
	g.Metrics.Refusal(end.Code)
	out.buf = append(out.buf, "event: error\ndata: "...)
	out.buf = append(out.buf, errorFromEnd(end).Body()...)
	out.buf = append(out.buf, "\n\n"...)
	return out.flush()
}

type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	buf     []byte
	// deadlineSetAt is when the write deadline was last set. Setting it for each token would cost a timer update each.
	deadlineSetAt time.Time
}

func (e *eventWriter) flush() error {
	now := time.Now()
	if now.Sub(e.deadlineSetAt) > writeTimeout/2 {
		e.deadlineSetAt = now
		_ = e.control.SetWriteDeadline(now.Add(writeTimeout))
	}
	if _, err := e.w.Write(e.buf); err != nil {
		return err
	}
	return e.control.Flush()
}
