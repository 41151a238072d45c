package main

import (
	"net/http"
	"time"
)

// playPath plays clients whose targets are unusual, and compares them with those that the worker gets.
func playPath(r *record, trouble bool) (bool, error) {
	config := configOf([]map[string]any{{"name": "all", "prefix": "/", "route_kind": "non_idempotent", "timeout_ms": deskTimeout.Milliseconds(),
		"latency_goal_ms": 300, "priority": 2, "service": "desk", "max_attempts": 1}}, []map[string]any{{"name": "desk", "max_conns": 110}})
	d, err := start(2, config)
	if err != nil {
		return false, err
	}
	defer d.stop()
	w, err := startWorker(d, r, "i-7f3a91c1", "desk")
	if err != nil {
		return false, err
	}
	w.handle = func(x *exchange) { x.answer(w, "ok") }
	w.serve(d, 6)
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	changed := 0
	targets := []string{"/a/b", "/a//b", "/a/./b", "/a/../b", "/a/%2e%2e/b", "/a/b?x=%20y", "/a/b?", "/a/b?x=1?y=2", "/a/b;c", "/a/%41", "/a/b?x=a+b&y=%3d"}
	if trouble {
		targets = append(targets, "//a/b", "//a.b:80/c?d", "///a")
	}
	for _, target := range targets {
		c, err := dial(d.nodes[0].frontend)
		if err != nil {
			return false, err
		}
		a := c.do(r, call{method: http.MethodPost, target: target, body: "deposit", limit: deskLimit})
		got, ran := w.target(a.attempt)
		if ran && got != target {
			changed++
			r.say("UNASKED: %s was sent, and %s has run (answer %d)", target, got, a.status)
		}
		if !ran {
			r.say("%s: not run, answer %d", target, a.status)
		}
		_ = c.conn.Close()
	}
	return changed > 0, nil
}
