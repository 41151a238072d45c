package generate

import (
	"context"
	"time"

	"github.com/pollenlug/pollenlug/pkg/route"
)

const (
	// moveTimeout bounds the export and import of one KV cache; after it, the target recomputes the cache.
	moveTimeout = 3 * time.Second
	// finishSafetyFactor is the fraction of the remaining notice period in which a response must be expected to finish if
	// it is to stay on its server. Servers may stop before their notice period ends.
	finishSafetyFactor = 0.5
)

// ServerLeaving moves the responses that run on the server and are not expected to finish before the deadline. It
// returns when the moves have been started or ctx ends. A repeated call skips the responses that are being moved.
func (r *Runner) ServerLeaving(ctx context.Context, server string, deadline time.Time) {
	if r.Restart {
		return
	}
	r.each(func(run *run) {
		if ctx.Err() != nil || !run.beginMove(server, deadline) {
			return
		}
		select {
		case r.moves <- struct{}{}:
		case <-ctx.Done():
			run.endMove()
			return
		}
		r.wg.Go(func() {
			defer func() { <-r.moves }()
			r.move(ctx, run)
		})
	})
}

// beginMove marks the run as moving when it runs on the server and is not expected to finish there before the server
// leaves.
func (run *run) beginMove(server string, deadline time.Time) bool {
	tokens := run.log.Len()
	run.mu.Lock()
	defer run.mu.Unlock()
	if run.server != server || run.moving || run.stop == nil {
		return false
	}
	if run.finishesBefore(deadline, tokens) {
		return false
	}
	run.moving = true
	return true
}

// finishesBefore estimates whether the response can reach MaxTokens early enough before the deadline, from the tokens in
// the log and the time since the attempt's first token. run.mu must be held.
func (run *run) finishesBefore(deadline time.Time, tokens uint32) bool {
	if run.firstToken.IsZero() || tokens == 0 {
		return false
	}
	now := time.Now()
	perToken := now.Sub(run.firstToken) / time.Duration(tokens)
	rest := perToken * time.Duration(run.req.MaxTokens-min(tokens, run.req.MaxTokens))
	available := time.Duration(float64(deadline.Sub(now)) * finishSafetyFactor)
	return rest < available
}

func (run *run) endMove() {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.moving = false
}

// move copies the KV cache to another server and switches the response to it. If the copy fails, the response switches
// all the same, and the target recomputes what it has not cached.
func (r *Runner) move(ctx context.Context, run *run) {
	run.mu.Lock()
	from, addr, stop := run.server, run.addr, run.stop
	run.mu.Unlock()
	target, err := r.moveTarget(run, from)
	if err != nil {
		// No other server can take the response, so it stays until its server stops.
		run.endMove()
		return
	}
	handle := r.copyKV(ctx, run, addr, target.Server.Addr)
	run.mu.Lock()
	run.target, run.kv, run.kvServer = target, handle, target.Server.ID
	run.mu.Unlock()
	if handle != "" {
		r.Metrics.Count("moves", "way", "kv_cache", 1)
	} else {
		r.Metrics.Count("moves", "way", "recompute", 1)
	}
	stop(errMoved)
}

// moveTarget reserves capacity on another server.
func (r *Runner) moveTarget(run *run, from string) (*route.Pick, error) {
	pick, err := r.Router.Pick(&route.Request{
		Model:        run.model.Name,
		Adapter:      run.model.Adapter,
		Group:        run.model.BackendGroup,
		Blocks:       run.blocks,
		PromptTokens: estimateTokens(run.req.Prompt) + run.log.Len(),
		OutputTokens: run.req.MaxTokens,
		Exclude:      []string{from},
	})
	if err != nil {
		return nil, err
	}
	return &pick, nil
}

// copyKV copies the KV cache from one server address to another, or to the same one to retain it, and returns the
// handle of the copy, or "" on failure.
func (r *Runner) copyKV(ctx context.Context, run *run, from, to string) string {
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	id := run.log.Meta().ID
	kv, err := r.Engine.ExportKV(ctx, from, id)
	if err == nil {
		err = r.Engine.ImportKV(ctx, to, id, kv)
	}
	if err != nil {
		r.Log.WithError(err).WithField("request_id", id).Info("copying KV cache failed; the next attempt recomputes it")
		return ""
	}
	return id
}

// RetainKV retains the KV cache of a running response on its server beyond the end of the attempt, for use by the next
// home node. It returns the handle, or "" if the cache cannot be retained.
func (r *Runner) RetainKV(ctx context.Context, id string) string {
	run := r.lookup(id)
	if run == nil {
		return ""
	}
	run.mu.Lock()
	addr := run.addr
	run.mu.Unlock()
	if addr == "" {
		return ""
	}
	return r.copyKV(ctx, run, addr, addr)
}

// OutlastsDeadline reports whether a response runs here and is not expected to finish before the deadline.
func (r *Runner) OutlastsDeadline(id string, deadline time.Time) bool {
	run := r.lookup(id)
	if run == nil {
		return false
	}
	tokens := run.log.Len()
	run.mu.Lock()
	defer run.mu.Unlock()
	return !run.finishesBefore(deadline, tokens)
}
