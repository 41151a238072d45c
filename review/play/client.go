package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// record is the file in which a script writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(dir string) (*record, error) {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	return &record{file: file, start: time.Now()}, err
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

var attempts atomic.Int64

// call is one request of a client.
type call struct {
	method, target, body string
	headers              []string
	limit                time.Duration // the client's time limit
}

// answer is what a client has got.
type answer struct {
	attempt  string
	sent     time.Time
	took     time.Duration
	status   int    // 0 without a head
	body     string // as far as it arrived
	signed   bool
	complete bool
	timedOut bool
	close    bool // the channel may not be used again
	err      error
}

// channel is a client's channel to a node.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(addr string) (*channel, error) {
	conn, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn, bufio.NewReader(conn)}, nil
}

// do sends a request and reads its answer until the client's time limit.
func (c *channel) do(r *record, q call) answer {
	a := answer{attempt: fmt.Sprintf("%016x", 0x1c41d07be2a30000+attempts.Add(1))}
	head := []string{q.method + " " + q.target + " HTTP/1.1", "Host: " + host, names.Attempt + ": " + a.attempt,
		fmt.Sprintf("%s: %d", names.Deadline, q.limit.Milliseconds()), names.Credential + ": " + tenantKey}
	head = append(head, q.headers...)
	if q.method != http.MethodGet {
		head = append(head, fmt.Sprintf("Content-Length: %d", len(q.body)))
	}
	a.sent = time.Now()
	_ = c.conn.SetDeadline(a.sent.Add(q.limit))
	r.add("sent    %s to %s: %s %s", a.attempt, c.conn.RemoteAddr(), q.method, q.target)
	if _, a.err = io.WriteString(c.conn, strings.Join(head, "\r\n")+"\r\n\r\n"+q.body); a.err == nil {
		c.read(&a, q.method)
	}
	a.took = time.Since(a.sent)
	var timeout net.Error
	a.timedOut = errors.As(a.err, &timeout) && timeout.Timeout()
	a.close = a.close || a.err != nil
	r.add("answer  %s after %.3f s: status %d, signed %t, complete %t, %d bytes, %v", a.attempt, a.took.Seconds(), a.status,
		a.signed, a.complete, len(a.body), a.err)
	if a.close {
		_ = c.conn.Close()
	}
	return a
}

func (c *channel) read(a *answer, method string) {
	var resp *http.Response
	if resp, a.err = http.ReadResponse(c.reader, &http.Request{Method: method}); a.err != nil {
		return
	}
	a.status, a.signed, a.close = resp.StatusCode, resp.Header.Get(names.Signature) != "", resp.Close
	var body []byte
	body, a.err = io.ReadAll(resp.Body)
	a.body, a.complete = string(body), a.err == nil
}

// refused reports whether a status promises that the request has not run and never will.
func refused(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}
