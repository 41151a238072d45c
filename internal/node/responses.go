package node

import (
	"context"
	"sync"
	"time"

	"github.com/pollenlug/pollenlug/internal/gateway"
	"github.com/pollenlug/pollenlug/internal/generate"
	"github.com/pollenlug/pollenlug/internal/replica"
	"github.com/pollenlug/pollenlug/pkg/code"
	"github.com/pollenlug/pollenlug/pkg/limit"
	"github.com/pollenlug/pollenlug/pkg/stream"
	"github.com/pollenlug/pollenlug/pkg/strike"
)

// responses starts responses and attaches readers to existing ones; it implements gateway.Responses.
type responses struct {
	node         string
	uniqueSuffix func() string
	leaving      func() bool
	strikes      generate.Strikes
	// countRequest adds a first attempt to the retry budget.
	countRequest func()
	// countDemand adds a request to the demand for its model; recordTokens takes the length of the response.
	countDemand func(model string, maxTokens uint32) (recordTokens func(tokens uint32))
	admission   *limit.Admission
	logs        *stream.Store
	replicator  *replica.Replicator
	runner      *generate.Runner
}

// Start implements gateway.Responses. The order of the steps matters: a refused request leaves no state behind, and a
// request is no longer refused once it has been replicated and runs.
func (r *responses) Start(ctx context.Context, req gateway.StartRequest) (*gateway.Generation, error) {
	if r.leaving() {
		return nil, code.New(code.NodeLeaving, "the entry node is leaving").WithRetryAfter(time.Second)
	}
	if state, wait := r.strikes.State(generate.Content(req.Path, req.Body, req.Request)); state == strike.Quarantined {
		if wait > 0 {
			return nil, code.New(code.RequestQuarantined, "a part of the prompt has crashed backend servers").WithRetryAfter(wait)
		}
		return nil, code.New(code.RequestQuarantined, "this request has crashed backend servers")
	}
	r.countRequest()
	recordTokens := r.countDemand(req.Request.Model, req.Request.MaxTokens)
	grant, err := r.admission.Acquire(ctx, limit.Request{
		Workspace: req.Workspace.Name,
		Priority:  req.Workspace.Priority,
		Tokens:    req.Request.MaxTokens,
		Deadline:  req.Deadline,
	})
	if err != nil {
		return nil, err
	}
	log := stream.NewLog(r.meta(req), time.Now())
	release := sync.OnceFunc(func() {
		grant.Done(log.Len())
		recordTokens(log.Len())
	})
	if err := r.accept(ctx, log, release); err != nil {
		release()
		return nil, err
	}
	return &gateway.Generation{Log: log, Close: func() { r.runner.ReaderClosed(log) }}, nil
}

func (r *responses) meta(req gateway.StartRequest) stream.Meta {
	return stream.Meta{
		ID:        replica.NewID(r.node, r.uniqueSuffix()),
		Workspace: req.Workspace.Name,
		Home:      r.node,
		Path:      req.Path,
		Request:   req.Body,
		Created:   time.Now(),
		Deadline:  req.Deadline,
	}
}

func (r *responses) accept(ctx context.Context, log *stream.Log, release func()) error {
	id := log.Meta().ID
	r.logs.Add(log)
	if err := r.replicator.Open(ctx, log); err != nil {
		r.logs.Remove(id)
		return err
	}
	if err := r.runner.Run(log, release); err != nil {
		r.logs.Remove(id)
		return err
	}
	return nil
}

// Attach implements gateway.Responses.
func (r *responses) Attach(ctx context.Context, workspace, id string) (*gateway.Generation, error) {
	log, release, err := r.replicator.Attach(ctx, workspace, id)
	if err != nil {
		return nil, err
	}
	closeReader := func() {
		release()
		r.runner.ReaderClosed(log)
	}
	return &gateway.Generation{Log: log, Close: closeReader}, nil
}
