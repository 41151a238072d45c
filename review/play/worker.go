package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// worker is a stand-in for a worker that runs each request at once and answers on kept channels.
type worker struct {
	id, service string
	listener    net.Listener
	record      *record
	// handle answers a request that runs.
	handle func(x *exchange)
	// before is called with each channel when a request has arrived on it; nil is allowed.
	before func(x *exchange)

	mu   sync.Mutex
	runs map[string]string // target by attempt
}

// exchange is one request on a channel of a worker.
type exchange struct {
	conn    net.Conn
	state   *channelState
	request *http.Request
	attempt string
}

// channelState lives as long as its channel.
type channelState struct {
	extra  bool // additional bytes are still to come
	closed bool // the worker sends nothing more
}

func startWorker(d *deployment, r *record, id, service string) (*worker, error) {
	listener, err := net.Listen("tcp4", "127.0.2.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, service: service, listener: listener, record: r, runs: map[string]string{}}
	d.closers = append(d.closers, func() { _ = listener.Close() })
	return w, nil
}

// serve accepts channels and writes the worker's entry every heartbeat.
func (w *worker) serve(d *deployment, slots int) {
	born := time.Now().UnixMilli()
	done := make(chan struct{})
	d.closers = append(d.closers, func() { close(done) })
	go func() {
		for sequence := 1; ; sequence++ {
			d.store.Put("servers", w.id, map[string]any{"service": w.service, "address": w.listener.Addr().String(), "zone": "zone-a",
				"version": "v1", "slots": slots, "state": "ready", "cold_left_ms": 0, "sequence": sequence, "born": born})
			select {
			case <-time.After(heartbeat):
			case <-done:
				return
			}
		}
	}()
	go func() {
		for {
			conn, err := w.listener.Accept()
			if err != nil {
				return
			}
			go w.channel(conn)
		}
	}()
}

// idleTimeout closes channels without requests.
const idleTimeout = 30 * time.Second

func (w *worker) channel(conn net.Conn) {
	defer conn.Close()
	reader, state := bufio.NewReader(conn), &channelState{}
	for !state.closed {
		_ = conn.SetReadDeadline(time.Now().Add(idleTimeout))
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		x := &exchange{conn: conn, state: state, request: req, attempt: req.Header.Get(names.Attempt)}
		if w.before != nil {
			w.before(x)
		}
		if req.Header.Get(names.Expect) != w.id {
			x.write("HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", names.Attempt, x.attempt)
			continue
		}
		w.mu.Lock()
		w.runs[x.attempt] = req.RequestURI
		w.mu.Unlock()
		w.record.add("run     %s at %s: %s %s", x.attempt, w.id, req.Method, req.RequestURI)
		w.handle(x)
	}
	_, _ = io.Copy(io.Discard, reader) // until the caller closes or the channel has been idle for too long
}

// target returns the target with which a request ran.
func (w *worker) target(attempt string) (string, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	target, ok := w.runs[attempt]
	return target, ok
}

func (x *exchange) write(format string, args ...any) bool {
	_, err := fmt.Fprintf(x.conn, format, args...)
	return err == nil
}

// answer writes a whole answer of status 200.
func (x *exchange) answer(w *worker, body string) {
	x.write("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		names.Attempt, x.attempt, names.Signature, w.signature(x.attempt), len(body), body)
}

func (w *worker) signature(attempt string) string { return "3e1b." + w.id + "." + attempt }

// stream writes events with ids from 1 to n, one each gap, as a chunked answer. It reports whether all were written.
func (x *exchange) stream(w *worker, n int, gap time.Duration) bool {
	x.write("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		names.Attempt, x.attempt, names.Signature, w.signature(x.attempt))
	for i := 1; i <= n; i++ {
		time.Sleep(gap)
		event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
		if !x.write("%x\r\n%s\r\n", len(event), event) {
			return false
		}
	}
	return x.write("0\r\n\r\n")
}
