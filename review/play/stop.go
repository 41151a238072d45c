package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the case.
const (
	eventGap       = 35 * time.Millisecond
	shortEvents    = 10
	longEvents     = 150
	streamLimit    = 12 * time.Second
	warmUp         = 8 * time.Second
	streamUsers    = 6
	longUsers      = 4
	longFrom       = 3300 * time.Millisecond // after the SIGTERM
	lateSent       = 3 * time.Second         // requests sent later count, whatever the worker was doing
	lostTill       = (graceS + 1) * time.Second
	tokensPerEvent = 6
)

// playStop plays a planned stop of one of two nodes. Its clients keep the address for as long as they may, and some of
// the streams that they ask for late in the grace are longer than those before.
func playStop(r *record, trouble bool) (bool, error) {
	d, err := start(2, configOf([]map[string]any{{"name": "brief", "prefix": "/puxa403/", "route_kind": "streaming", "resumable": false, "sticky": true,
		"timeout_ms": streamLimit.Milliseconds(), "latency_goal_ms": 800, "itl_target_ms": 300, "priority": 1, "service": "forge", "max_attempts": 1}},
		[]map[string]any{{"name": "forge", "max_conns": 240, "engine_type": map[string]any{"slots": 32, "kv_capacity": 568350}}}))
	if err != nil {
		return false, err
	}
	defer d.stop()
	var mu sync.Mutex
	brokenOff := map[string]time.Time{} // when the worker could write no more, by attempt
	for i := range 2 {
		w, err := startWorker(d, r, fmt.Sprintf("i-7f3a91c%d", i+1), "forge")
		if err != nil {
			return false, err
		}
		w.handle = func(x *exchange) {
			events := shortEvents
			if strings.HasSuffix(x.request.RequestURI, "long") {
				events = longEvents
			}
			if x.stream(w, events, eventGap) {
				r.add("ended   %s at %s: %d events", x.attempt, w.id, events)
				return
			}
			mu.Lock()
			brokenOff[x.attempt] = time.Now()
			mu.Unlock()
			r.add("left    %s at %s: its channel was closed while the worker was at work", x.attempt, w.id)
			x.state.closed = true
		}
		w.serve(d, 32)
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	stopping := d.nodes[0]
	stopAt := time.Now().Add(warmUp)
	var work sync.WaitGroup
	var long []answer
	for i := range streamUsers * 2 {
		node := d.nodes[i%2]
		work.Go(func() {
			a := streamUser(r, node, stopAt, i < 2*longUsers && node == stopping)
			mu.Lock()
			long = append(long, a...)
			mu.Unlock()
		})
	}
	time.Sleep(time.Until(stopAt))
	if trouble {
		r.say("SIGTERM to %s", stopping.name)
		if err := stopping.terminate(); err != nil {
			return false, err
		}
	}
	work.Wait()
	time.Sleep(time.Second) // a worker notices the end of its channel at one of its next events
	lost, whole, refusals := 0, 0, 0
	mu.Lock()
	defer mu.Unlock()
	for _, a := range long {
		switch {
		case a.complete && a.status == http.StatusOK:
			whole++
		case a.complete:
			refusals++
		case a.took >= streamLimit:
			// The time limit was reached.
		case a.sent.Sub(stopAt) > lateSent && a.sent.Add(a.took).Sub(stopAt) <= lostTill && !brokenOff[a.attempt].IsZero():
			lost++
			r.say("LOST: request %s, sent %.3f s after the SIGTERM and passed on, ended %.3f s after it without a complete answer (status %d, %d bytes, %v); its worker was at work",
				a.attempt, a.sent.Sub(stopAt).Seconds(), a.sent.Add(a.took).Sub(stopAt).Seconds(), a.status, len(a.body), a.err)
		}
	}
	r.say("%d long streams to %s: %d whole, %d refused, %d lost", len(long), stopping.name, whole, refusals, lost)
	return lost > 0, nil
}

// streamUser asks a node for short streams on kept channels until it may keep the node's address no longer, and once for a
// long one. It returns the answers of the long ones.
func streamUser(r *record, x *node, stopAt time.Time, asksLong bool) []answer {
	var c *channel
	var long []answer
	ask := func(target string, events int) answer {
		if c == nil {
			var err error
			if c, err = dial(x.frontend); err != nil {
				return answer{err: err, sent: time.Now()}
			}
		}
		a := c.do(r, call{method: http.MethodPost, target: "/puxa403/" + target, body: strings.Repeat("p", 800), limit: streamLimit,
			headers: []string{names.Model + ": m", fmt.Sprintf("%s: 628,%d", names.Tokens, events*tokensPerEvent),
				names.Prefix + ": 5c1e07a2:119,91bd3f06:79,e4402b7d:430"}})
		if a.close {
			c = nil
		}
		return a
	}
	for time.Now().Before(stopAt.Add(longestKeeping)) {
		if asksLong && time.Now().After(stopAt.Add(longFrom)) {
			return append(long, ask("long", longEvents))
		}
		ask("short", shortEvents)
		time.Sleep(50 * time.Millisecond)
	}
	return long
}
