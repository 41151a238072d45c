package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// Guards against arrivals that are evenly spaced, do not depend on the seed alone, or miss the rate.
func TestArrivalsArePoisson(t *testing.T) {
	const rate = 50.0
	first := arrivalTimes(7, rate, 200*time.Second)
	assert.DeepEqual(t, first, arrivalTimes(7, rate, 200*time.Second))
	assert.Assert(t, len(first) != len(arrivalTimes(8, rate, 200*time.Second)))
	assert.Assert(t, math.Abs(float64(len(first))/200/rate-1) < 0.05, "%d arrivals", len(first))
	var sum, squares float64
	for i := 1; i < len(first); i++ {
		gap := (first[i] - first[i-1]).Seconds()
		sum += gap
		squares += gap * gap
	}
	n := float64(len(first) - 1)
	mean := sum / n
	variation := math.Sqrt(squares/n-mean*mean) / mean
	assert.Assert(t, math.Abs(variation-1) < 0.05, "coefficient of variation %.3f, want 1", variation)
}

// Guards against two runs with the same seed that send different requests, which would make reports incomparable.
func TestMixDependsOnSeedOnly(t *testing.T) {
	for mix := range mixes {
		a, err := newRequestSource(Options{Mix: mix, Seed: 5, Tokens: testbedTokens}, "run")
		assert.NilError(t, err)
		b, err := newRequestSource(Options{Mix: mix, Seed: 5, Tokens: testbedTokens}, "run")
		assert.NilError(t, err)
		percent := 0
		for _, c := range mixes[mix] {
			percent += c.percent
		}
		assert.Equal(t, percent, 100, mix)
		for range 200 {
			x, y := a.next(), b.next()
			assert.Equal(t, string(x.body)+x.path+x.idempotencyKey+x.bearerToken, string(y.body)+y.path+y.idempotencyKey+y.bearerToken)
		}
	}
	_, err := newRequestSource(Options{Mix: "none"}, "")
	assert.ErrorContains(t, err, `unknown mix "none"`)
}

// sampleStreamRequest returns a streamed request of a mix.
func sampleStreamRequest(t *testing.T) *request {
	t.Helper()
	src, err := newRequestSource(Options{Mix: Oleaje, Seed: 1, Tokens: testbedTokens}, "run")
	assert.NilError(t, err)
	r := src.shortGeneration("quote", kindStream, 8, 9)
	return &r
}

// writeEvents sends tokens with their numbers as server-sent events, then the end marker unless finish is empty.
func writeEvents(w http.ResponseWriter, tokens []string, from int, finish string) {
	for i, token := range tokens {
		text, _ := json.Marshal(token)
		fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":%s},\"finish_reason\":null}]}\n\n", from+i+1, text)
	}
	if finish != "" {
		fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{},\"finish_reason\":%q}]}\n\ndata: [DONE]\n\n", finish)
	}
}

// runAgainst runs a request against a handler and returns the recorded results.
func runAgainst(t *testing.T, r *request, handler http.HandlerFunc) *recorder {
	t.Helper()
	server := httptest.NewServer(handler)
	defer server.Close()
	rec := newRecorder()
	c := newCaller([]string{server.Listener.Addr().String()}, 0, rec)
	defer c.close()
	c.run(context.Background(), r, time.Now())
	return rec
}

// Guards against counting a response as exact although a token was changed, lost, repeated or misnumbered.
func TestChangedResponsesAreDetected(t *testing.T) {
	r := sampleStreamRequest(t)
	changed := append([]string{}, r.wantTokens...)
	changed[3] = " other"
	for name, c := range map[string]struct {
		tokens   []string
		from     int
		finish   string
		complete int
		exact    int
	}{
		"exact response":       {r.wantTokens, 0, r.wantFinishReason, 1, 1},
		"changed token":        {changed, 0, r.wantFinishReason, 1, 0},
		"lost token":           {r.wantTokens[:7], 0, r.wantFinishReason, 1, 0},
		"repeated token":       {append(append([]string{}, r.wantTokens...), r.wantTokens[7]), 0, r.wantFinishReason, 1, 0},
		"wrong event ids":      {r.wantTokens, 1, r.wantFinishReason, 1, 0},
		"wrong finish reason":  {r.wantTokens, 0, "other", 1, 0},
		"stream with an error": {r.wantTokens[:4], 0, "", 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			rec := runAgainst(t, r, func(w http.ResponseWriter, _ *http.Request) {
				writeEvents(w, c.tokens, c.from, c.finish)
				if c.finish == "" {
					fmt.Fprint(w, "event: error\ndata: {\"error\":{\"name\":\"internal\",\"ran\":\"yes\"}}\n\n")
				}
			})
			got := rec.classes["quote"]
			assert.DeepEqual(t, []int{got.accepted, got.complete, got.exact}, []int{1, c.complete, c.exact})
		})
	}
}

// Guards against a resume that requests the wrong event or counts the first part twice.
func TestBrokenStreamIsResumed(t *testing.T) {
	r := sampleStreamRequest(t)
	rec := runAgainst(t, r, func(w http.ResponseWriter, req *http.Request) {
		switch {
		case req.URL.Path == "/v1/responses/r-1" && req.Header.Get("Last-Event-ID") == "3":
			writeEvents(w, r.wantTokens[3:], 3, r.wantFinishReason)
		case req.Method == http.MethodPost:
			w.Header().Set("X-Request-Id", "r-1")
			writeEvents(w, r.wantTokens[:3], 0, "")
		default:
			http.NotFound(w, req)
		}
	})
	assert.Equal(t, rec.classes["quote"].exact, 1, "%v", rec.examples)
	assert.Equal(t, rec.resumes, 1)
}

// Guards against a retry of a non-repeatable call with another key, and against attempts with the same User-Agent.
func TestCallIsRetriedWithItsKey(t *testing.T) {
	src, err := newRequestSource(Options{Mix: Oleaje, Seed: 1, Tokens: testbedTokens}, "run")
	assert.NilError(t, err)
	r := src.nonRepeatableCall("booking", "/bookings")
	var seen []string
	rec := runAgainst(t, &r, func(w http.ResponseWriter, req *http.Request) {
		if req.Method != http.MethodPost {
			http.NotFound(w, req)
			return
		}
		seen = append(seen, req.Header.Get("Idempotency-Key")+" "+req.UserAgent())
		if len(seen) == 1 {
			w.WriteHeader(http.StatusServiceUnavailable)
			fmt.Fprint(w, `{"error":{"name":"claim_store_unavailable","ran":"no","retry_after_ms":1}}`)
			return
		}
		_ = json.NewEncoder(w).Encode(map[string]string{"key": "shop/" + r.idempotencyKey, "path": "/bookings", "body": string(r.body)})
	})
	assert.DeepEqual(t, seen, []string{r.idempotencyKey + " pollenlug-bench/0", r.idempotencyKey + " pollenlug-bench/1"})
	assert.Equal(t, rec.classes["booking"].exact, 1, "%v", rec.examples)
	assert.DeepEqual(t, rec.refusals, map[string]int{"claim_store_unavailable": 1})
	assert.Equal(t, rec.callAttempts[0].ran, ranNo)
	assert.Equal(t, rec.callAttempts[1].ran, ranDone)
}

// Guards against a wrong ran status, or a call that ran twice, that the check does not report.
func TestWrongRanStatusesAreDetected(t *testing.T) {
	runs := map[string][]string{
		"shop/once":  {"try/1"},
		"shop/twice": {"try/0", "try/1"},
	}
	for name, c := range map[string]struct {
		claims          []callAttempt
		repeated, wrong int
	}{
		"no, another attempt ran":     {[]callAttempt{{"once", "try/0", ranNo}, {"once", "try/1", ranDone}}, 0, 0},
		"no, but this attempt ran":    {[]callAttempt{{"once", "try/1", ranNo}}, 0, 1},
		"yes, but nothing ran":        {[]callAttempt{{"absent", "try/0", ranYes}}, 0, 1},
		"a response, but nothing ran": {[]callAttempt{{"absent", "try/0", ranDone}}, 0, 1},
		"unknown and no response":     {[]callAttempt{{"absent", "try/0", ranUnknown}, {"once", "try/1", ranNoResponse}}, 0, 0},
		"a key that ran twice":        {[]callAttempt{{"twice", "try/0", ranUnknown}, {"twice", "try/1", ranDone}}, 1, 0},
		"no after an earlier run":     {[]callAttempt{{"once", "try/1", ranUnknown}, {"once", "try/2", ranNo}}, 0, 0},
	} {
		repeated, wrong := checkRuns(c.claims, runs)
		assert.Equal(t, len(repeated), c.repeated, name)
		assert.Equal(t, len(wrong), c.wrong, name)
	}
}

// Guards against a violated guarantee that a report does not list, which would let a scenario exit with 0.
func TestReportListsViolatedGuarantees(t *testing.T) {
	r := &Report{Accepted: 10, Complete: 9, Exact: 8, Repeated: 1, WrongRan: 2}
	r.checkGuarantees()
	assert.Equal(t, len(r.Broken), 4, "%v", r.Broken)
	r = &Report{Accepted: 10, Complete: 10, Exact: 10}
	r.checkGuarantees()
	assert.Equal(t, len(r.Broken), 0)
}

// Guards against a comparison that omits a difference or prints equal figures.
func TestCompare(t *testing.T) {
	class := func(p99 float64) map[string]ClassReport {
		return map[string]ClassReport{"quote": {FirstToken: Quantiles{Count: 9, P50: 10, P95: 20, P99: p99}}}
	}
	a := &Report{Accepted: 100, Exact: 100, TokensRecomputed: 400, Refusals: map[string]int{"queue_full": 2}, Classes: class(30)}
	b := &Report{Accepted: 100, Exact: 99, TokensRecomputed: 100, Refusals: map[string]int{"no_backend_server": 1}, Classes: class(45)}
	var out bytes.Buffer
	Compare(&out, a, b)
	golden.Assert(t, out.String(), "compare.golden")
}

// Guards against a report that omits a node's return to a lower version, or an edit that never comes into force.
func TestConfigRaceDetectsVersionRegression(t *testing.T) {
	now := time.Unix(1000, 0)
	r := &configRaceMonitor{nodes: make([]nodeConfig, 2), digests: map[uint64]string{}, firstSeen: map[uint64]time.Time{}}
	r.edits = []edit{{2, now, true}, {3, now, true}}
	for i := range r.nodes {
		r.observe(i, 1, 1, "a", now)
		r.observe(i, 2, 2, "b", now.Add(time.Second))
	}
	r.observe(1, 1, 1, "c", now.Add(2*time.Second))
	report := &Report{Figures: map[string]float64{}}
	r.addFigures(report)
	text := strings.Join(report.Broken, "\n")
	for _, want := range []string{"1 edits or versions that did not", "1 times that a node returned to", "1 versions with different digests"} {
		assert.Assert(t, strings.Contains(text, want), "missing %q in %s", want, text)
	}
	assert.Equal(t, report.Figures["edit_to_everywhere_p50_ms"], 1000.447)
}

// Guards against CPU and memory figures from the wrong fields: the command may contain spaces and parentheses.
func TestParseStat(t *testing.T) {
	line := "42 (a b) c) S 1 42 42 0 -1 4194304 100 0 0 0 250 50 0 0 20 0 12 0 12345 900000000 1000 18446744073709551615"
	usage, err := parseStat(line)
	assert.NilError(t, err)
	assert.Equal(t, usage.cpuSeconds, 3.0)
	assert.Assert(t, usage.residentKiB >= 4000)
	_, err = parseStat("42 (x) S 1")
	assert.ErrorIs(t, err, errMalformedStat)
}
