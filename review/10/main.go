// Case 10 of the review: the ids of a stream's events increase by the number of tokens in an event. A node that is stopped as
// planned cuts each such stream.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pollenlug/pollenlug/platform/standin"
	"github.com/pollenlug/pollenlug/review/rig"
)

const (
	memoryMB     = 284
	descriptors  = 4100
	maxBodyBytes = 4 << 20
	grace        = 8 * time.Second
	// timeLimit is that of all requests and routes.
	timeLimit = 15 * time.Second
	// tokens is the number of tokens in an event, as on the sheet; the id of an event is the number of tokens up to its end.
	tokens = 6
	// A stream has events of eventGap, 2 s in all. One begins each streamGap.
	events    = 40
	eventGap  = 50 * time.Millisecond
	streamGap = 30 * time.Millisecond
	// Times from the first stream on.
	stopAt = 3000 * time.Millisecond
	lastAt = 7000 * time.Millisecond
)

// stream is what was seen of one stream.
type stream struct {
	attempt        string
	sent, ended    time.Time
	status, events int
	complete       bool
	err            error
}

// world is what the workers have seen.
type world struct {
	mu sync.Mutex
	// ran has the attempts that workers began, closed those whose connection the node closed before the last event.
	ran, closed map[string]time.Time
	record      *rig.Record
}

// ServeHTTP is a sound worker: it streams events of 40 to 100 bytes, whose ids increase by step.
func (v *world) serve(id string, step int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(rig.HeaderExpect) != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		attempt := r.Header.Get(rig.HeaderAttempt)
		v.mu.Lock()
		v.ran[attempt] = time.Now()
		v.mu.Unlock()
		v.record.Printf("%s runs %s", id, attempt)
		w.Header().Set(rig.HeaderAttempt, attempt)
		w.Header().Set(rig.HeaderMAC, "mac-"+id)
		w.Header().Set("Content-Type", "text/event-stream")
		first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for i := first/step + 1; i <= events; i++ {
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i*step, strings.Repeat("x", 40+rand.IntN(60)))
			_ = http.NewResponseController(w).Flush()
			select {
			case <-time.After(eventGap):
			case <-r.Context().Done():
				v.mu.Lock()
				v.closed[attempt] = time.Now()
				v.mu.Unlock()
				v.record.Printf("%s: the node closed the connection of %s after event %d", id, attempt, i)
				return
			}
		}
	}
}

// runStream sends one request and reads its stream.
func runStream(addr, attempt string) *stream {
	s := &stream{attempt: attempt, sent: time.Now()}
	defer func() { s.ended = time.Now() }()
	conn, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		s.err = err
		return s
	}
	defer conn.Close()
	_ = conn.SetDeadline(s.sent.Add(timeLimit))
	fmt.Fprintf(conn, "POST /llm/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\n%s: 500,240\r\nContent-Length: 200\r\n\r\n%s",
		attempt, rig.Host, rig.HeaderAttempt, attempt, rig.HeaderKey, rig.Key, rig.HeaderDeadline, timeLimit.Milliseconds(), rig.HeaderTokens, strings.Repeat("p", 200))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		s.err = err
		return s
	}
	s.status = resp.StatusCode
	body, err := io.ReadAll(resp.Body)
	s.events = strings.Count(string(body), "\n\n")
	s.complete, s.err = err == nil, err
	return s
}

func run(r *rig.Record) (int, error) {
	d, err := rig.New()
	if err != nil {
		return rig.NotRun, err
	}
	defer d.Close()
	v := &world{ran: map[string]time.Time{}, closed: map[string]time.Time{}, record: r}
	step := 1
	if rig.Trouble() {
		step = tokens
	}
	for i := range 4 {
		id := fmt.Sprintf("engine-%d", i)
		l := standin.Listen(v.serve(id, step))
		defer l.Close()
		w := &rig.Worker{ID: id, Service: "llm", Addr: l.Addr(), State: "ready", Slots: 32, Born: time.Now().UnixMilli()}
		d.Register(w)
		go func() {
			for range time.Tick(1200 * time.Millisecond) {
				d.Register(w)
			}
		}()
	}
	route := func(name, kind, service string) map[string]any {
		return map[string]any{"name": name, "hostname": rig.Host, "prefix": "/" + name + "/", "route_kind": kind, "resumable": kind == "streaming", "service": service,
			"timeout_ms": timeLimit.Milliseconds(), "latency_goal_ms": 2000, "itl_target_ms": 300, "max_attempts": 2, "priority": 0}
	}
	d.Configure(map[string]any{"routes": []map[string]any{route("llm", "streaming", "llm")},
		"services": []map[string]any{{"name": "llm", "max_conns": 240, "engine_type": map[string]any{"slots": 32, "kv_capacity": 556002}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
		"tenants":  []map[string]any{{"name": "tenant", "api_keys": []string{rig.Key}}}})
	for range 2 {
		if _, err := d.AddNode(rig.Settings{MemoryMB: memoryMB, Descriptors: descriptors, GraceS: grace.Seconds()}); err != nil {
			return rig.NotRun, err
		}
	}
	for _, n := range d.Nodes {
		if err := n.AwaitReady(15 * time.Second); err != nil {
			return rig.NotRun, err
		}
	}
	node := d.Nodes[0]
	time.Sleep(4 * time.Second) // all is calm for longer than stable_ms
	start := time.Now()
	var mu sync.Mutex
	var streams []*stream
	var stopped atomic.Pointer[time.Time]
	var callers sync.WaitGroup
	time.AfterFunc(stopAt, func() {
		now := time.Now()
		stopped.Store(&now)
		r.Printf("SIGTERM to %s", node.Name)
		node.Signal(syscall.SIGTERM)
	})
	for i := 0; time.Since(start) < lastAt; i++ {
		callers.Go(func() {
			s := runStream(node.Caller, fmt.Sprintf("s%d", i))
			r.Printf("%s: status %d, %d events, complete %v, %v", s.attempt, s.status, s.events, s.complete, s.err)
			mu.Lock()
			defer mu.Unlock()
			streams = append(streams, s)
		})
		time.Sleep(streamGap)
	}
	select {
	case <-node.Ended():
	case <-time.After(grace + 2*time.Second):
		node.Kill()
	}
	callers.Wait()
	time.Sleep(200 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	return judge(r, v, streams, *stopped.Load())
}

// judge counts the streams that the rule LOST counts around a SIGTERM.
func judge(r *rig.Record, v *world, streams []*stream, stopped time.Time) (int, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	complete, lost, failed, before := 0, 0, 0, 0
	for _, s := range streams {
		_, ran := v.ran[s.attempt]
		switch {
		case s.status == http.StatusOK && s.complete && s.events == events:
			complete++
		case s.status >= 500 && s.complete && ran:
			failed++ // promises nothing
		case s.status != 0 && s.complete:
		case ran && s.ended.Before(stopped):
			before++ // the rule for any time does not say whether a part of an answer counts as one
		case ran && s.ended.After(stopped) && s.ended.Before(stopped.Add(grace+time.Second)) && s.ended.Sub(s.sent) < timeLimit &&
			!errors.Is(s.err, os.ErrDeadlineExceeded) && s.ended.Before(stopped.Add(grace*5/6)):
			// No worker breaks off here, and in the last sixth of the grace time nothing is counted.
			lost++
			r.Printf("%s was sent %.3f s and cut %.3f s after SIGTERM, after %d of %d events: %v", s.attempt, s.sent.Sub(stopped).Seconds(), s.ended.Sub(stopped).Seconds(), s.events, events, s.err)
		}
	}
	r.Say("%d streams: %d complete, %d cut before SIGTERM, %d lost after it, %d ran and were answered with a failure of the node", len(streams), complete, before, lost, failed)
	if len(v.ran) == 0 || !rig.Trouble() && complete == 0 {
		return rig.NotRun, errors.New("no stream was served")
	}
	if lost > 0 {
		r.Say("BROKEN: LOST")
		return rig.Broken, nil
	}
	r.Say("held")
	return rig.Held, nil
}

func main() {
	dir := "."
	if len(os.Args) > 1 {
		dir = os.Args[1]
	}
	r, err := rig.OpenRecord(dir)
	if err != nil {
		fmt.Println(err)
		os.Exit(rig.NotRun)
	}
	code, err := run(r)
	if err != nil {
		r.Say("could not run: %v", err)
		code = rig.NotRun
	}
	os.Exit(code)
}
