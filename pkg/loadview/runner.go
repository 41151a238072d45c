package loadview

import (
	"context"
	"sync"
	"time"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/gossip"
)

const (
	// tickPeriod is the time between two ticks of the core.
	tickPeriod = 100 * time.Millisecond
	// PollPeriod is the time between two polls of a worker; pollTimeout bounds one poll.
	PollPeriod  = 500 * time.Millisecond
	pollTimeout = 400 * time.Millisecond
	// maxPolls bounds the number of polls in progress.
	maxPolls = 32
	// failuresUntilUnreachable is the number of consecutive failed polls after which a worker counts as unreachable; a
	// single poll may get lost.
	failuresUntilUnreachable = 2
)

// Sender sends one-way messages; internal/transport implements it.
type Sender interface {
	Send(addr string, env *pb.Envelope)
}

// Poll queries a worker for its load.
type Poll func(ctx context.Context, worker string) (*pb.WorkerLoad, error)

// Runner drives a Core with the clock and polls the workers that this node observes.
type Runner struct {
	*Core
	sender    Sender
	poll      Poll
	pollSlots chan struct{}

	mu        sync.Mutex
	pollState map[string]*pollState
}

// pollState is the polling state of one worker.
type pollState struct {
	inProgress bool
	failures   int
	last       *pb.WorkerLoad
}

// NewRunner returns a Runner; Run starts it.
func NewRunner(core *Core, sender Sender, poll Poll) *Runner {
	return &Runner{Core: core, sender: sender, poll: poll, pollSlots: make(chan struct{}, maxPolls),
		pollState: map[string]*pollState{}}
}

// Run ticks the core and polls the workers until the context is done.
func (r *Runner) Run(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	var nextPoll time.Time
	for {
		select {
		case now := <-ticker.C:
			r.send(r.Core.Tick(now))
			if !due(&nextPoll, now, PollPeriod) {
				continue
			}
			r.pollAll(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// pollAll starts a poll of each worker that has none in progress.
func (r *Runner) pollAll(ctx context.Context) {
	workers := r.Core.AssignedWorkers()
	r.mu.Lock()
	defer r.mu.Unlock()
	next := make(map[string]*pollState, len(workers))
	for _, worker := range workers {
		p := r.pollState[worker]
		if p == nil {
			p = &pollState{}
		}
		next[worker] = p
		if p.inProgress {
			continue
		}
		select {
		case r.pollSlots <- struct{}{}:
		default:
			continue // maxPolls are in progress; this worker is polled in the next round
		}
		p.inProgress = true
		go r.pollOne(ctx, worker, p)
	}
	r.pollState = next
}

// pollOne polls a worker and records the result. After failuresUntilUnreachable failures the worker is flagged as
// unreachable and keeps its last load.
func (r *Runner) pollOne(ctx context.Context, worker string, p *pollState) {
	defer func() { <-r.pollSlots }()
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	load, err := r.poll(ctx, worker)
	r.mu.Lock()
	p.inProgress = false
	if err == nil {
		p.failures, p.last = 0, load
	} else {
		p.failures++
		load = &pb.WorkerLoad{Server: worker, Unreachable: true}
		if p.last != nil {
			load.Running, load.Waiting, load.CachePercent, load.StepUs = p.last.Running, p.last.Waiting, p.last.CachePercent, p.last.StepUs
		}
	}
	report := err == nil || p.failures >= failuresUntilUnreachable
	r.mu.Unlock()
	if report {
		r.Core.Observe(time.Now(), load)
	}
}

// Receive handles a message from a peer and sends the replies.
func (r *Runner) Receive(from string, env *pb.Envelope) {
	r.send(r.Core.Handle(time.Now(), from, env))
}

func (r *Runner) send(messages []gossip.Message) {
	for _, m := range messages {
		r.sender.Send(m.To.Addr, m.Env)
	}
}
