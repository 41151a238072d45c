// Case 10 of the review: the store returns from a copy while the duty goes from one node to the other in a rolling restart. A
// usage window is reported twice, with different counts.
package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pollenlug/pollenlug/platform/standin"
	"github.com/pollenlug/pollenlug/review/rig"
)

const (
	// window is the length of a usage window.
	window = 5 * time.Second
	// Times around the end of a usage window, at which the first node to be restarted gets its SIGTERM, the copy of the store
	// is made, and the other node gets its SIGTERM.
	firstStopAt, copyAt, secondStopAt = -11 * time.Second, -4600 * time.Millisecond, 600 * time.Millisecond
	// awayFor is how long the store is away before it returns from the copy, rewriteAfter when the operator and the workers
	// have written again what they had written.
	awayFor, rewriteAfter = 240 * time.Millisecond, 500 * time.Millisecond
	observeFor            = 9 * time.Second
	requestGap            = 60 * time.Millisecond
)

// gate is the way to the store. While the store is away, connections to it break.
type gate struct {
	store http.Handler
	// acquired is called after the store has answered a write of the lease by the node of the given name.
	acquired func()
	node     string

	mu    sync.Mutex
	armed bool
	away  bool
	calls map[int]context.CancelFunc
	next  int
}

// statusWriter keeps the status of an answer.
type statusWriter struct {
	http.ResponseWriter
	status int
}

func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	g.mu.Lock()
	away, armed, id := g.away, g.armed, g.next
	g.next++
	g.calls[id] = cancel
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.calls, id)
	}()
	if away || err != nil {
		panic(http.ErrAbortHandler)
	}
	r = r.WithContext(ctx)
	r.Body = io.NopCloser(bytes.NewReader(body))
	answer := &statusWriter{ResponseWriter: w, status: http.StatusOK}
	g.store.ServeHTTP(answer, r)
	if ctx.Err() != nil {
		panic(http.ErrAbortHandler) // the store went away meanwhile
	}
	if armed && answer.status == http.StatusOK && g.isLeaseWrite(body) {
		g.mu.Lock()
		first := g.armed
		g.armed = false
		g.mu.Unlock()
		if first {
			time.AfterFunc(2*time.Millisecond, g.acquired)
		}
	}
}

// isLeaseWrite reports whether a transaction writes a lease for the node.
func (g *gate) isLeaseWrite(body []byte) bool {
	var tx struct {
		Write []struct {
			Table string `json:"table_name"`
			Value []byte `json:"value"`
		} `json:"write"`
	}
	if json.Unmarshal(body, &tx) != nil {
		return false
	}
	for _, row := range tx.Write {
		if row.Table == "lease" && bytes.Contains(row.Value, []byte(g.node+"/")) {
			return true
		}
	}
	return false
}

func (g *gate) setAway(away bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.away = away
	if away {
		for _, cancel := range g.calls {
			cancel()
		}
	}
}

// request sends one booking-like request and reports whether it was served.
func request(addr, attempt string) bool {
	conn, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(conn, "GET /look/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: 1000\r\n\r\n", attempt, rig.Host, rig.HeaderAttempt, attempt, rig.HeaderKey, rig.Key, rig.HeaderDeadline)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	return err == nil && resp.StatusCode == http.StatusOK
}

func sleepUntil(at time.Time) { time.Sleep(time.Until(at)) }

// usageCalls returns the usage reports that the platform has accepted.
func usageCalls(d *rig.Deployment) []standin.DutyCall {
	var out []standin.DutyCall
	for _, c := range d.Duties.Calls() {
		if c.Path == "/usage" {
			out = append(out, c)
		}
	}
	return out
}

func run(r *rig.Record) (int, error) {
	d, err := rig.New()
	if err != nil {
		return rig.NotRun, err
	}
	defer d.Close()
	g := &gate{store: d.Store, calls: map[int]context.CancelFunc{}}
	way := standin.Listen(g)
	defer way.Close()
	d.UseStore(way.Addr())
	var workers []*rig.Worker
	for i := range 2 {
		id := fmt.Sprintf("desk-%d", i)
		l := standin.Listen(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			if q.Header.Get(rig.HeaderExpect) != id {
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			w.Header().Set(rig.HeaderAttempt, q.Header.Get(rig.HeaderAttempt))
			w.Header().Set(rig.HeaderMAC, "mac-"+id)
			fmt.Fprint(w, "found")
		}))
		defer l.Close()
		workers = append(workers, &rig.Worker{ID: id, Service: "desk", Addr: l.Addr(), State: "ready", Slots: 6, Born: time.Now().UnixMilli()})
	}
	var rows sync.Mutex
	register := func() {
		rows.Lock()
		defer rows.Unlock()
		for _, w := range workers {
			d.Register(w)
		}
	}
	register()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			register()
		}
	}()
	config := map[string]any{"routes": []map[string]any{{"name": "look", "hostname": rig.Host, "prefix": "/look/", "route_kind": "idempotent", "service": "desk",
		"timeout_ms": 1000, "latency_goal_ms": 150, "max_attempts": 2, "priority": 0}},
		"services": []map[string]any{{"name": "desk", "max_conns": 110}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "tenant", "api_keys": []string{rig.Key}}}}
	d.Configure(config)
	for range 2 {
		if _, err := d.AddNode(rig.Settings{MemoryMB: 284, Descriptors: 4100, GraceS: 8}); err != nil {
			return rig.NotRun, err
		}
	}
	for _, n := range d.Nodes {
		if err := n.AwaitReady(15 * time.Second); err != nil {
			return rig.NotRun, err
		}
	}
	stop := make(chan struct{})
	var served [2]atomic.Int64
	var callers sync.WaitGroup
	for k := range 2 { // callers of one node, who go to the other one when it refuses
		callers.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(requestGap):
				}
				for try := range 2 {
					to := (k + try) % 2
					if request(d.Nodes[to].Caller, fmt.Sprintf("c%d-%d-%d", k, i, try)) {
						served[to].Add(1)
						break
					}
				}
			}
		})
	}
	defer func() { close(stop); callers.Wait() }()
	for end := time.Now().Add(25 * time.Second); len(usageCalls(d)) < 2; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			return rig.NotRun, errors.New("no usage was reported")
		}
	}
	calls := usageCalls(d)
	holder, other := d.Nodes[0], d.Nodes[1]
	if calls[len(calls)-1].Holder == other.Name {
		holder, other = other, holder
	}
	end := time.Now().Add(-firstStopAt + time.Second).Truncate(window).Add(window)
	g.node = other.Name
	back := make(chan struct{})
	g.acquired = func() {
		defer close(back)
		if !rig.Trouble() {
			r.Printf("%s has acquired the duties", other.Name)
			return
		}
		r.Printf("%s has acquired the duties; the store goes away", other.Name)
		g.setAway(true)
		time.Sleep(awayFor)
		d.Store.ReturnFromCopy()
		g.setAway(false)
		r.Printf("the store has returned from its copy, in era %d", d.Store.Era())
		time.Sleep(rewriteAfter)
		d.Store.Put("op", "config", config)
		register()
	}
	r.Printf("%s holds the duties", holder.Name)
	sleepUntil(end.Add(firstStopAt))
	r.Printf("SIGTERM to %s; requests served: %d and %d", other.Name, served[0].Load(), served[1].Load())
	other.Signal(syscall.SIGTERM)
	<-other.Ended()
	if err := other.Start(); err != nil {
		return rig.NotRun, err
	}
	r.Printf("%s has ended and starts again", other.Name)
	sleepUntil(end.Add(copyAt))
	d.Store.Copy()
	r.Printf("copy of the store")
	sleepUntil(end.Add(secondStopAt))
	g.mu.Lock()
	g.armed = true
	g.mu.Unlock()
	r.Printf("SIGTERM to %s; requests served: %d and %d", holder.Name, served[0].Load(), served[1].Load())
	holder.Signal(syscall.SIGTERM)
	select {
	case <-back:
	case <-time.After(5 * time.Second):
		return rig.NotRun, errors.New("the duties were not handed over")
	}
	sleepUntil(end.Add(observeFor))
	return judge(r, usageCalls(d))
}

// judge looks for two reports of one window with different counts.
func judge(r *rig.Record, calls []standin.DutyCall) (int, error) {
	first := map[int64]standin.DutyCall{}
	broken := 0
	for _, c := range calls {
		r.Printf("usage of window %d by %s, fence %d: %v", c.Window, c.Holder, c.Fencing, c.Counts)
		before, ok := first[c.Window]
		if !ok {
			first[c.Window] = c
			continue
		}
		if !maps.Equal(before.Counts, c.Counts) {
			broken++
			r.Say("window %d: %s has reported %v, and then %s %v", c.Window, before.Holder, before.Counts, c.Holder, c.Counts)
		}
	}
	r.Say("%d usage reports of %d windows", len(calls), len(first))
	if broken > 0 {
		r.Say("BROKEN: ONE")
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
