package generate

import (
	"context"
	"errors"
	"time"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/pkg/backend"
	"github.com/pollenlug/pollenlug/pkg/code"
	"github.com/pollenlug/pollenlug/pkg/route"
	"github.com/pollenlug/pollenlug/pkg/stream"
	"github.com/pollenlug/pollenlug/pkg/strike"
)

// complete runs attempts until the response has ended or this node stops running it.
func (r *Runner) complete(ctx context.Context, run *run) {
	run.startedAt = time.Now()
	backoff := minBackoff
	for ctx.Err() == nil {
		before := run.log.Len()
		err := r.attempt(ctx, run)
		if err == nil || errors.Is(err, stream.ErrFinished) {
			return
		}
		if terminal := r.terminalError(run, err); terminal != nil {
			r.fail(run, terminal.Code)
			return
		}
		reason := retryReason(err)
		if ctx.Err() == nil {
			r.Metrics.Retry(reason)
		}
		if reason == reasonMoved {
			continue
		}
		if run.log.Len() > before {
			backoff = minBackoff
		}
		if !r.waitBeforeRetry(ctx, reason, backoff) {
			break
		}
		backoff = min(2*backoff, maxBackoff)
	}
	r.recordStop(ctx, run)
}

// recordStop records why a run ended before its response was complete.
func (r *Runner) recordStop(ctx context.Context, run *run) {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errHandover):
	case errors.Is(cause, errNoReader):
		// The log stays unfinished, so that a caller that resumes later starts the next attempt.
		r.Metrics.Refusal(code.CallerGone)
	default:
		r.fail(run, code.DeadlineExceeded)
	}
}

func (r *Runner) fail(run *run, c code.Code) {
	_ = run.log.Finish(run.log.Attempt(), "", c, time.Now())
}

// terminalError returns the error that ends the response, or nil if another attempt should be made.
func (r *Runner) terminalError(run *run, err error) *code.Error {
	var refusal *code.Error
	if !errors.As(err, &refusal) {
		return nil
	}
	if refusal.Code == code.NoBackendServer && (run.log.Len() > 0 || time.Since(run.startedAt) < noServerTimeout) {
		return nil
	}
	return refusal
}

// waitBeforeRetry waits for the retry budget and then for the backoff. It reports false if ctx has ended. Retries for
// which no request was sent to a server cost no budget.
func (r *Runner) waitBeforeRetry(ctx context.Context, reason string, backoff time.Duration) bool {
	unmetered := reason == reasonNoServer || reason == reasonHeld
	if !unmetered && r.Budget.Wait(ctx) != nil {
		return false
	}
	if reason == reasonInterrupted || reason == reasonSilent {
		return true // the next attempt goes to another server, so a backoff would only delay the caller
	}
	clock.Sleep(ctx, backoff)
	return ctx.Err() == nil
}

func retryReason(err error) string {
	switch {
	case errors.Is(err, errMoved):
		return reasonMoved
	case errors.Is(err, errHeld):
		return reasonHeld
	case errors.Is(err, backend.ErrRefused):
		return reasonRefused
	case errors.Is(err, backend.ErrUnreachable):
		return reasonUnreachable
	case errors.Is(err, backend.ErrSilent):
		return reasonSilent
	case code.From(err).Code == code.NoBackendServer:
		return reasonNoServer
	default:
		return reasonInterrupted
	}
}

// attempt sends the request to one server and copies the generated tokens into the log.
func (r *Runner) attempt(ctx context.Context, run *run) error {
	state, wait := r.Strikes.State(run.content)
	switch state {
	case strike.Quarantined:
		return code.New(code.RequestQuarantined, "the request has crashed backend servers").WithRan(code.RanYes)
	case strike.Held:
		clock.Sleep(ctx, wait)
		return errHeld
	}
	tokens := run.log.Tokens(0)
	if r.Restart {
		tokens = nil
	}
	pick, err := r.pick(run, state == strike.Isolate, uint32(len(tokens)))
	if err != nil {
		return err
	}
	answering, end, ok := r.Strikes.TryStart(pick.Server, run.content)
	if !ok {
		pick.Done(route.Result{Outcome: route.Cancelled})
		return errHeld
	}
	limited := r.Limits.Acquire(pick.Server.ID)
	attemptCtx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	kv := run.start(pick.Server, stop)
	if r.Restart {
		kv = ""
	}
	number := run.log.Begin()
	run.log.SetServer(pick.Server.ID)
	sent := time.Now()
	result := route.Result{Outcome: route.Failed}
	err = r.Engine.Generate(attemptCtx, pick.Server.Addr, r.request(run, number, tokens, kv), func(chunk backend.Chunk) error {
		if result.FirstToken == 0 {
			result.FirstToken = time.Since(sent)
			answering()
			r.Limits.Observe(pick.Server.ID, result.FirstToken)
		}
		return r.accept(attemptCtx, run, number, chunk, &result)
	})
	if limited {
		r.Limits.Release(pick.Server.ID)
	}
	if cause := context.Cause(attemptCtx); errors.Is(cause, errMoved) && err != nil {
		err = errMoved
	}
	end(strikeOutcome(ctx, err))
	r.recordOutcome(run, pick, result, err, ctx)
	return err
}

// strikeOutcome converts the result of an attempt for package strike. Only a broken connection can mean that the server
// crashed.
func strikeOutcome(ctx context.Context, err error) strike.Outcome {
	switch {
	case err == nil:
		return strike.Completed
	case errors.Is(err, backend.ErrInterrupted) && ctx.Err() != nil:
		return strike.Disconnected
	case errors.Is(err, backend.ErrInterrupted):
		return strike.Interrupted
	default:
		return strike.Abandoned
	}
}

// recordOutcome reports the result of an attempt to the router and the health tracker, and excludes a server that failed
// from the next attempt.
func (r *Runner) recordOutcome(run *run, pick *route.Pick, result route.Result, err error, ctx context.Context) {
	server := pick.Server
	switch {
	case err == nil:
		result.Outcome = route.Succeeded
		run.excluded = nil
		r.Health.Observe(server.ID, true)
	case errors.Is(err, errMoved), ctx.Err() != nil:
		result.Outcome = route.Cancelled
	case errors.Is(err, backend.ErrRefused):
		result.Outcome = route.Refused
		run.excluded = append(run.excluded, server.ID)
	default:
		run.excluded = append(run.excluded, server.ID)
		r.Health.Observe(server.ID, false)
		r.Log.WithError(err).WithField("server", server.ID).Info("attempt failed")
	}
	pick.Done(result)
}

// pick chooses the server for the next attempt: the target of a move if there is one, else the router's choice. If no
// server remains apart from the excluded ones, all are allowed again.
func (r *Runner) pick(run *run, isolate bool, resumed uint32) (*route.Pick, error) {
	if target := run.takeTarget(); target != nil {
		return target, nil
	}
	req := route.Request{
		Model:        run.model.Name,
		Adapter:      run.model.Adapter,
		Group:        run.model.BackendGroup,
		Blocks:       run.blocks,
		PromptTokens: estimateTokens(run.req.Prompt) + resumed,
		OutputTokens: run.req.MaxTokens,
		Exclude:      run.excluded,
		Isolate:      isolate,
		IsolateKey:   run.content.Digest,
		Prefer:       run.preferredServer,
	}
	run.preferredServer = ""
	pick, err := r.Router.Pick(&req)
	if err != nil && len(run.excluded) > 0 {
		run.excluded, req.Exclude = nil, nil
		pick, err = r.Router.Pick(&req)
	}
	if err != nil {
		return nil, code.Wrap(code.NoBackendServer, code.RanNo, "no backend server can take the request", err).WithRetryAfter(time.Second)
	}
	return &pick, nil
}

// bytesPerToken is the usual ratio for English text; the router needs only a rough prompt size.
const bytesPerToken = 5

func estimateTokens(prompt string) uint32 { return uint32(len(prompt)/bytesPerToken) + 1 }

func (r *Runner) request(run *run, attempt uint32, resume []string, kv string) backend.GenerateRequest {
	meta := run.log.Meta()
	seed := run.req.Seed
	return backend.GenerateRequest{
		ID:        meta.ID,
		Attempt:   attempt,
		Model:     run.model.Name,
		Adapter:   run.model.Adapter,
		Prompt:    run.req.Prompt,
		Resume:    resume,
		Seed:      seed,
		MaxTokens: run.req.MaxTokens,
		KVFrom:    kv,
	}
}

// accept copies one chunk into the log and adds its token usage to result and the metrics.
func (r *Runner) accept(ctx context.Context, run *run, attempt uint32, chunk backend.Chunk, result *route.Result) error {
	now := time.Now()
	if len(chunk.Tokens) > 0 {
		if r.Config().Policy().ProgressFirst {
			r.Progress.Confirm(ctx, run.log, attempt, chunk.Offset, chunk.Tokens)
		}
		if _, err := run.log.Append(attempt, chunk.Offset, chunk.Tokens, now); err != nil {
			return err
		}
		run.recordFirstToken(now)
	}
	if usage := chunk.Usage; usage != nil {
		result.PromptTokens, result.CachedTokens = usage.PromptTokens, usage.CachedTokens
		r.Metrics.Add("tokens_generated", int64(usage.GeneratedTokens))
		r.Metrics.Add("tokens_prefilled", int64(usage.PrefilledTokens))
		if attempt > 1 {
			r.Metrics.Add("tokens_recomputed", int64(usage.PrefilledTokens))
		}
	}
	if chunk.FinishReason != "" {
		return run.log.Finish(attempt, chunk.FinishReason, code.OK, now)
	}
	r.Progress.Changed(run.log)
	return nil
}

// start records the server of the new attempt and returns the handle of the KV cache held there, or "".
func (run *run) start(server *route.Server, stop context.CancelCauseFunc) (kv string) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.server, run.addr, run.stop = server.ID, server.Addr, stop
	run.moving = false
	run.firstToken = time.Time{}
	kv, run.kv = run.kv, ""
	if run.kvServer != "" && run.kvServer != server.ID {
		kv = "" // the cache is on another server
	}
	return kv
}

func (run *run) takeTarget() *route.Pick {
	run.mu.Lock()
	defer run.mu.Unlock()
	target := run.target
	run.target = nil
	return target
}

// releaseTarget releases the target of a move if the run ended before using it.
func (run *run) releaseTarget() {
	if target := run.takeTarget(); target != nil {
		target.Done(route.Result{Outcome: route.Cancelled})
	}
}

func (run *run) recordFirstToken(now time.Time) {
	run.mu.Lock()
	defer run.mu.Unlock()
	if run.firstToken.IsZero() {
		run.firstToken = now
	}
}
