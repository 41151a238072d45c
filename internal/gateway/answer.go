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
	// keepAliveInterval is how often a comment is sent on an idle stream, so that both ends notice a silent connection.
	keepAliveInterval = 5 * time.Second
	// writeTimeout ends a stream whose caller does not read.
	writeTimeout = 30 * time.Second
	// eventBufferSize holds the events of one wake-up, usually one token.
	eventBufferSize = 512
)

var eventBuffers = sync.Pool{New: func() any {
	buf := make([]byte, 0, eventBufferSize)
	return &buf
}}

func (g *gateway) encodeGeneration(ctx context.Context, w http.ResponseWriter, response any) error {
	a := response.(*answer)
	defer a.generation.Close()
	log := a.generation.Log
	meta := log.Meta()
	w.Header().Set(HeaderRequestID, meta.ID)
	var err error
	if a.request.Stream {
		err = g.cutOff(g.writeStream(ctx, w, a))
	} else {
		err = g.writeWhole(ctx, w, a)
	}
	g.Metrics.Observe("response", time.Since(meta.Created))
	g.Log.WithFields(map[string]any{
		"request_id": meta.ID,
		"workspace":  a.workspace,
		"attempt":    log.Attempt(),
		"tokens":     log.Len(),
		"code":       log.End().Code,
		"ms":         time.Since(meta.Created).Milliseconds(),
	}).Debug("response ended")
	return err
}

// writeWhole answers when the response is complete.
func (g *gateway) writeWhole(ctx context.Context, w http.ResponseWriter, a *answer) error {
	log := a.generation.Log
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
		g.refuse(ctx, endError(end), w)
		return nil
	}
	tokens := log.Len()
	prompt := uint32(len(strings.Fields(a.request.Prompt)))
	usage := openai.Usage{PromptTokens: prompt, CompletionTokens: tokens, TotalTokens: prompt + tokens}
	meta := log.Meta()
	body, err := openai.Answer(meta.ID, meta.Created, a.request, strings.Join(log.Tokens(0), ""), end.FinishReason, usage)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	_, err = w.Write(body)
	return g.cutOff(err)
}

// cutOff counts an answer whose caller has gone after its header was sent. It hides the error from go-kit, which
// would write a refusal with a second header into the answer.
func (g *gateway) cutOff(err error) error {
	if err != nil {
		g.Log.WithError(err).Debug("the caller left before the end of the answer")
		g.Metrics.Refusal(code.CallerGone)
	}
	return nil
}

// endError returns the error that a response ended with. Generation started, so the request ran.
func endError(end stream.End) *code.Error {
	e := code.New(end.Code, "the response could not be completed").WithRan(code.RanYes)
	if end.Code == code.RequestQuarantined {
		return e // a retry is refused as well
	}
	return e.WithRetryAfter(time.Second)
}

// writeStream sends the response as server-sent events from the answer's offset on.
func (g *gateway) writeStream(ctx context.Context, w http.ResponseWriter, a *answer) error {
	header := w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	out := &eventWriter{w: w, control: http.NewResponseController(w)}
	if err := out.control.Flush(); err != nil {
		return errNoFlush
	}
	buf := eventBuffers.Get().(*[]byte)
	defer eventBuffers.Put(buf)
	out.buf = *buf
	defer func() { *buf = out.buf }()
	return g.relay(ctx, out, a)
}

func (g *gateway) relay(ctx context.Context, out *eventWriter, a *answer) error {
	log := a.generation.Log
	meta := log.Meta()
	events := openai.NewEvents(meta.ID, meta.Created, a.request)
	changes, cancel := log.Subscribe()
	defer cancel()
	idle := time.NewTimer(keepAliveInterval)
	defer idle.Stop()
	emit := func(offset uint32, token []byte) { out.buf = events.AppendToken(out.buf, offset, token) }
	offset := a.offset
	for {
		out.buf = out.buf[:0]
		next, end := log.Read(offset, emit)
		offset = next
		if end.Finished {
			return g.writeEnd(out, events, offset, end)
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

// writeEnd sends the last event: the finish reason, or the error the response ended with.
func (g *gateway) writeEnd(out *eventWriter, events *openai.Events, tokens uint32, end stream.End) error {
	if end.Code == code.OK {
		out.buf = events.AppendFinish(out.buf, tokens, end.FinishReason)
		return out.flush()
	}
	g.Metrics.Refusal(end.Code)
	out.buf = append(out.buf, "event: error\ndata: "...)
	out.buf = append(out.buf, endError(end).Body()...)
	out.buf = append(out.buf, "\n\n"...)
	return out.flush()
}

type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	buf     []byte
	// extended is when the write deadline was last moved; moving it for each token costs a system timer update.
	extended time.Time
}

func (e *eventWriter) flush() error {
	now := time.Now()
	if now.Sub(e.extended) > writeTimeout/2 {
		e.extended = now
		_ = e.control.SetWriteDeadline(now.Add(writeTimeout))
	}
	if _, err := e.w.Write(e.buf); err != nil {
		return err
	}
	return e.control.Flush()
}
