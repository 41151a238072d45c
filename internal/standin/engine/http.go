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
	crashSignal := e.currentCrashSignal()
	if crashSignal == nil || !e.waitUnfrozen(r.Context(), crashSignal) {
		panic(http.ErrAbortHandler)
	}
	switch r.Method + " " + r.URL.Path {
	case "POST /v1/generate":
		e.serveGenerate(w, r, crashSignal)
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

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request, crashSignal <-chan struct{}) {
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
		case <-crashSignal:
			panic(http.ErrAbortHandler)
		}
		if !e.waitUnfrozen(r.Context(), crashSignal) {
			panic(http.ErrAbortHandler)
		}
		finished := s.finished.Load() // read before position, which is final once finished is set
		position := s.position.Load()
		buf = s.appendChunks(buf[:0], sent, position, finished)
		if _, err := w.Write(buf); err != nil {
			return
		}
		if flush.Flush() != nil {
			return
		}
		e.servedTokens.Add(uint64(position - sent))
		sent = position
		if finished {
			return
		}
	}
}

// appendChunks appends one line per token from sent to position. Without tokens it appends an empty line, or the end of
// a finished response.
func (s *sequence) appendChunks(buf []byte, sent, position uint32, finished bool) []byte {
	if sent == position && !finished {
		return append(buf, '\n')
	}
	for i := sent; i < position; i++ {
		buf = append(buf, `{"offset":`...)
		buf = strconv.AppendUint(buf, uint64(i), 10)
		buf = append(buf, `,"tokens":["`...)
		buf = append(buf, s.response.token(i)...)
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
	buf = append(buf, s.response.finish...)
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
	_ = json.NewEncoder(w).Encode(v) // an error means that the client has disconnected
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

// currentCrashSignal returns a channel that is closed by the next crash, or nil while the engine is crashed.
func (e *Engine) currentCrashSignal() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		return nil
	}
	return e.crashSignal
}

// waitUnfrozen blocks while the engine is frozen. It returns false if ctx ends, the engine crashes or it is closed.
func (e *Engine) waitUnfrozen(ctx context.Context, crashSignal <-chan struct{}) bool {
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
		case <-crashSignal:
			return false
		case <-e.closing:
			return false
		}
	}
	return true
}
