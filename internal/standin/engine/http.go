package engine

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pollenlug/pollenlug/pkg/backend"
)

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 16 << 20

// ServeHTTP implements http.Handler. While the engine is crashed it aborts the connection.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	dead := e.incarnation()
	if dead == nil || !e.waitUnfrozen(r.Context(), dead) {
		panic(http.ErrAbortHandler)
	}
	switch r.Method + " " + r.URL.Path {
	case "POST /v1/generate":
		e.serveGenerate(w, r, dead)
	case "GET /v1/load":
		e.mu.Lock()
		load := e.reportedLoad(time.Now())
		e.mu.Unlock()
		writeJSON(w, load)
	case "GET /v1/cache-events":
		e.serveCacheEvents(w, r)
	case "POST /v1/kv/export":
		e.serveExport(w, r)
	case "POST /v1/kv/import":
		e.serveImport(w, r)
	case "POST /v1/orders":
		e.serveOrder(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request, dead <-chan struct{}) {
	var req backend.GenerateRequest
	if !readJSON(w, r, &req) {
		return
	}
	s, err := e.submit(req)
	if err != nil {
		writeError(w, err)
		return
	}
	defer e.cancel(s)
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	if flush.Flush() != nil {
		return
	}
	sent := uint32(len(req.Resume))
	var buf []byte
	for {
		select {
		case <-s.notify:
		case <-r.Context().Done():
			return
		case <-dead:
			panic(http.ErrAbortHandler)
		}
		if !e.waitUnfrozen(r.Context(), dead) {
			panic(http.ErrAbortHandler)
		}
		finished := s.finished.Load() // before position, which does not move after the end
		position := s.position.Load()
		buf = s.appendChunks(buf[:0], sent, position, finished)
		if _, err := w.Write(buf); err != nil {
			return
		}
		if flush.Flush() != nil {
			return
		}
		e.served.Add(uint64(position - sent))
		sent = position
		if finished {
			return
		}
	}
}

// appendChunks appends one line per token from sent to position, or an empty line when there is none.
func (s *sequence) appendChunks(buf []byte, sent, position uint32, finished bool) []byte {
	if sent == position && !finished {
		return append(buf, '\n')
	}
	for i := sent; i < position; i++ {
		buf = append(buf, `{"offset":`...)
		buf = strconv.AppendUint(buf, uint64(i), 10)
		buf = append(buf, `,"tokens":["`...)
		buf = append(buf, s.answer.token(i)...)
		buf = append(buf, `"]`...)
		if finished && i == position-1 {
			buf = s.appendEnd(buf)
		}
		buf = append(buf, "}\n"...)
	}
	if sent == position {
		buf = append(buf, `{"offset":`...)
		buf = strconv.AppendUint(buf, uint64(position), 10)
		buf = s.appendEnd(buf)
		buf = append(buf, "}\n"...)
	}
	return buf
}

func (s *sequence) appendEnd(buf []byte) []byte {
	buf = append(buf, `,"finish_reason":"`...)
	buf = append(buf, s.answer.finish...)
	buf = append(buf, `","usage":`...)
	usage, _ := json.Marshal(s.usage) // a struct of numbers cannot fail
	return append(buf, usage...)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	if err != nil && r.FormValue("after") != "" {
		http.Error(w, "after is not a number", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	events := e.events.after(after, time.Now())
	e.mu.Unlock()
	writeJSON(w, events)
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	kv, ok := e.exportKV(r.URL.Query().Get("id"))
	if !ok {
		http.Error(w, "no such request is running", http.StatusNotFound)
		return
	}
	writeJSON(w, kv)
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var kv exportedKV
	if !readJSON(w, r, &kv) {
		return
	}
	if err := e.importKV(r.URL.Query().Get("id"), kv); err != nil {
		writeError(w, err)
	}
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order backend.Order
	if !readJSON(w, r, &order) {
		return
	}
	if err := e.order(order); err != nil {
		writeError(w, err)
	}
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(data, into)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the caller has gone when this fails
}

func writeError(w http.ResponseWriter, err error) {
	var refused refusal
	status := http.StatusBadRequest
	switch {
	case errors.As(err, &refused):
		status = http.StatusServiceUnavailable
	case errors.Is(err, errStaleFencing):
		status = http.StatusConflict
	}
	http.Error(w, err.Error(), status)
}

// incarnation returns a channel that closes with the next crash, or nil while the engine is crashed.
func (e *Engine) incarnation() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		return nil
	}
	return e.dead
}

// waitUnfrozen blocks while the engine is frozen. It returns false when ctx, the incarnation or the engine ends.
func (e *Engine) waitUnfrozen(ctx context.Context, dead <-chan struct{}) bool {
	for e.isFrozen.Load() {
		e.mu.Lock()
		frozen := e.frozen
		e.mu.Unlock()
		if frozen == nil {
			break
		}
		select {
		case <-frozen:
		case <-ctx.Done():
			return false
		case <-dead:
			return false
		case <-e.closing:
			return false
		}
	}
	return true
}
