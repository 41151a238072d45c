package generate

import (
	"context"
	"time"

	"github.com/pollenlug/pollenlug/pkg/route"
)

const (
	// moveTimeout bounds the export and import of one KV cache; beyond it the target recomputes.
	moveTimeout = 3 * time.Second
	// finishMargin is kept between the expected end of an answer and the end of a notice, because processes die early.
	finishMargin = 0.5
)

// ServerLeaving moves the responses that run on the server and will not finish before the deadline. It returns when
// all have been dealt with or ctx ends. Calls for a server whose responses are being moved do nothing.
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

// beginMove marks the run as moving when it runs on the server and is not expected to finish there in time.
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

// finishesBefore extrapolates the attempt's pace to the longest answer; run.mu is held.
func (run *run) finishesBefore(deadline time.Time, tokens uint32) bool {
	if run.firstToken.IsZero() || tokens == 0 {
		return false
	}
	now := time.Now()
	perToken := now.Sub(run.firstToken) / time.Duration(tokens)
	rest := perToken * time.Duration(run.req.MaxTokens-min(tokens, run.req.MaxTokens))
	available := time.Duration(float64(deadline.Sub(now)) * finishMargin)
	return rest < available
}

func (run *run) endMove() {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.moving = false
}

// move copies the KV cache to another server and switches the response over. When the copy fails, the response
// switches all the same and the target recomputes what it has not cached.
func (r *Runner) move(ctx context.Context, run *run) {
	run.mu.Lock()
	from, addr, stop := run.server, run.addr, run.stop
	run.mu.Unlock()
	target, err := r.moveTarget(run, from)
	if err != nil {
		// Without another server the response stays until the server goes.
		run.endMove()
		return
	}
	handle := r.copyKV(ctx, run, addr, target.Server.Addr)
	run.mu.Lock()
	run.target, run.kv, run.kvAt = target, handle, target.Server.ID
	run.mu.Unlock()
	if handle != "" {
		r.Metrics.Count("moves", "way", "kv_cache", 1)
	} else {
		r.Metrics.Count("moves", "way", "recompute", 1)
	}
	stop(errMove)
}

// moveTarget reserves a place on another server.
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

// copyKV returns the handle under which the target knows the KV cache, or "" when the copy failed.
func (r *Runner) copyKV(ctx context.Context, run *run, from, to string) string {
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	id := run.log.Meta().ID
	kv, err := r.Engine.ExportKV(ctx, from, id)
	if err == nil {
		err = r.Engine.ImportKV(ctx, to, id, kv)
	}
	if err != nil {
		r.Log.WithError(err).WithField("request_id", id).Info("KV cache could not be moved; the target recomputes")
		return ""
	}
	return id
}

// KeepKV makes the KV cache of a running response survive the end of its attempt on the same server, for the next home
// node. It returns the handle, or "" when the server cannot.
func (r *Runner) KeepKV(ctx context.Context, id string) string {
	run := r.get(id)
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
	run := r.get(id)
	if run == nil {
		return false
	}
	tokens := run.log.Len()
	run.mu.Lock()
	defer run.mu.Unlock()
	return !run.finishesBefore(deadline, tokens)
}
