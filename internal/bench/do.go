package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/standin/service"
)

const (
	// maxAttempts limits the attempts of one request before it is accepted.
	maxAttempts = 8
	// maxResumes limits the consecutive resumes of one response without progress.
	maxResumes = 30
	// minBackoff and maxBackoff bound the delay before a retry unless the refusal requests a longer one.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// maxRetryAfter limits the retry delay that a refusal may request.
	maxRetryAfter = 5 * time.Second
	// streamReadTimeout is the time without a line after which a stream counts as interrupted; entry nodes send a comment
	// every 5 s.
	streamReadTimeout = 12 * time.Second
)

// connectionBroken is the name under which attempts without a response are counted among the refusals.
const connectionBroken = "connection_broken"

// run sends one request with its retries and records the outcome.
func (c *caller) run(ctx context.Context, r *request, intendedAt time.Time) {
	out := &outcome{request: r, intendedAt: intendedAt}
	for n := 0; n < maxAttempts && ctx.Err() == nil; n++ {
		if n > 0 {
			c.rec.increment(&c.rec.resends)
		}
		wait, retry := c.attempt(ctx, out, n)
		if !retry {
			break
		}
		clock.Sleep(ctx, max(wait, backoff(n)))
	}
	c.rec.finish(out)
}

func backoff(attempt int) time.Duration { return min(maxBackoff, minBackoff<<min(attempt, 10)) }

// attempt sends the request once. It reports whether to retry and the minimum delay before the retry.
func (c *caller) attempt(ctx context.Context, out *outcome, n int) (wait time.Duration, retry bool) {
	r := out.request
	userAgent := fmt.Sprintf("pollenlug-bench/%d", n)
	header := http.Header{"Authorization": {"Bearer " + r.bearerToken}, "User-Agent": {userAgent}}
	if r.idempotencyKey != "" {
		header.Set("Idempotency-Key", r.idempotencyKey)
	}
	addr := c.entryAddr(ctx, n)
	sentAt := time.Now()
	res, addr, err := c.send(ctx, r, addr, r.path, header)
	if err != nil {
		c.recordConnectionError(out, r, userAgent)
		return 0, true
	}
	if res.StatusCode != http.StatusOK {
		defer res.Body.Close()
		return c.handleRefusal(out, readRefusal(res), userAgent, time.Since(sentAt))
	}
	if r.kind == kindStream {
		out.markAccepted(addr, sentAt)
		c.readStream(ctx, out, res)
		return 0, false
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		c.recordConnectionError(out, r, userAgent)
		return 0, true
	}
	out.markAccepted(addr, sentAt)
	out.finishNonStreamed(body)
	if r.kind == kindNonRepeatable {
		c.rec.recordCallAttempt(callAttempt{r.idempotencyKey, userAgent, ranStatus(ranDone)})
	}
	return 0, false
}

func (c *caller) recordConnectionError(_ *outcome, r *request, userAgent string) {
	c.rec.countRefusal(connectionBroken)
	if r.kind == kindNonRepeatable {
		c.rec.recordCallAttempt(callAttempt{r.idempotencyKey, userAgent, ranNoResponse})
	}
}

// handleRefusal records a refusal and decides whether the request is retried.
func (c *caller) handleRefusal(out *outcome, r refusal, userAgent string, elapsed time.Duration) (time.Duration, bool) {
	c.rec.countRefusal(r.Name)
	out.lastRefusal = r.Name
	if out.request.kind == kindNonRepeatable {
		c.rec.recordCallAttempt(callAttempt{out.request.idempotencyKey, userAgent, ranStatus(r.Ran)})
		c.rec.recordRefusalTime(r.Name, elapsed)
	}
	wait := min(maxRetryAfter, time.Duration(r.RetryAfterMs)*time.Millisecond)
	return wait, retryable(r, out.request.kind)
}

// retryable reports whether a refused request may be retried: the request itself must not be at fault and, unless it is
// an idempotent call, the refusal must not say that it ran. A request that may have run is retried.
func retryable(r refusal, kind int) bool {
	switch r.Name {
	case "malformed_request", "body_too_large", "unknown_model", "unknown_service", "idempotency_key_required", "idempotency_key_reused",
		"not_found", "method_not_allowed", "context_too_long", "token_missing", "token_refused", "not_permitted", "request_quarantined":
		return false
	}
	return r.Ran != "yes" || kind == kindIdempotent
}

// markAccepted records that the deployment accepted the request.
func (o *outcome) markAccepted(addr string, sentAt time.Time) {
	o.accepted = true
	o.addr = addr
	o.sentAt = sentAt
}

// finishNonStreamed checks a non-streamed response.
func (o *outcome) finishNonStreamed(body []byte) {
	o.endedAt = time.Now()
	o.firstTokenAt = o.endedAt
	o.complete = true
	if o.request.kind == kindNonStreamed {
		o.exact, o.problem = compareCompletion(o.request, body)
		o.tokensReceived = len(o.request.wantTokens)
		return
	}
	o.server, o.problem = compareEcho(o.request, body)
	o.exact = o.problem == ""
}

// compareCompletion compares a non-streamed completion with the expected one.
func compareCompletion(r *request, body []byte) (bool, string) {
	var completion struct {
		Choices []struct {
			Message      struct{ Content string }
			FinishReason string `json:"finish_reason"`
		}
	}
	if err := json.Unmarshal(body, &completion); err != nil || len(completion.Choices) != 1 {
		return false, "the response is not a completion"
	}
	got := completion.Choices[0]
	if got.Message.Content != strings.Join(r.wantTokens, "") || got.FinishReason != r.wantFinishReason {
		return false, fmt.Sprintf("got %q (%s), want %q (%s)", got.Message.Content, got.FinishReason, strings.Join(r.wantTokens, ""), r.wantFinishReason)
	}
	return true, ""
}

// compareEcho checks that the response of a service belongs to this request. It returns the server's name and a
// description of the mismatch, if any.
func compareEcho(r *request, body []byte) (server, problem string) {
	var echo service.Echo
	if err := json.Unmarshal(body, &echo); err != nil {
		return "", "the response is not an echo of the call"
	}
	_, key, _ := strings.Cut(echo.Key, "/")
	path := strings.TrimPrefix(r.path, "/s/"+serviceGroup)
	if echo.Path != path || echo.Body != string(r.body) || key != r.idempotencyKey {
		return echo.Server, fmt.Sprintf("response of another call: %s", body)
	}
	return echo.Server, ""
}

// readStream reads a stream to its end and resumes it on other entry nodes when it is interrupted.
func (c *caller) readStream(ctx context.Context, out *outcome, res *http.Response) {
	id := res.Header.Get("X-Request-Id")
	out.id = id
	resumesWithoutProgress := 0
	for attempt := 1; ; attempt++ {
		received := len(out.tokens)
		if res != nil {
			c.readEvents(ctx, out, res)
		}
		if out.endedAt.IsZero() && len(out.tokens) > received {
			resumesWithoutProgress = 0
		}
		if !out.endedAt.IsZero() || ctx.Err() != nil || resumesWithoutProgress >= maxResumes {
			break
		}
		resumesWithoutProgress++
		clock.Sleep(ctx, backoff(resumesWithoutProgress-1))
		c.rec.increment(&c.rec.resumes)
		res = c.resume(ctx, out, attempt)
	}
	out.checkStream()
}

// resume requests the rest of the stream from another entry node; nil means that the node did not return a stream.
func (c *caller) resume(ctx context.Context, out *outcome, attempt int) *http.Response {
	header := http.Header{
		"Authorization": {"Bearer " + out.request.bearerToken},
		"Last-Event-Id": {strconv.Itoa(len(out.tokens))},
	}
	addr := c.entryAddr(ctx, attempt)
	res, _, err := c.send(ctx, out.request, addr, "/v1/responses/"+out.id, header)
	if err != nil {
		c.rec.countRefusal(connectionBroken)
		return nil
	}
	if res.StatusCode != http.StatusOK {
		defer res.Body.Close()
		r := readRefusal(res)
		c.rec.countRefusal(r.Name)
		out.noteProblem(fmt.Sprintf("resume at %s after %d tokens: %s: %s", addr, len(out.tokens), r.Name, r.Message))
		return nil
	}
	return res
}
