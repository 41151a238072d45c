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
	// PollPeriod is the time between two polls of a worker, pollTimeout bounds one poll.
	PollPeriod  = 500 * time.Millisecond
	pollTimeout = 400 * time.Millisecond
	// maxPolls bounds the polls in progress.
	maxPolls = 32
	// missesUntilUnreachable is the number of failed polls in a row after which a worker counts as unreachable; a
	// single poll may be lost.
	missesUntilUnreachable = 2
)

// Sender sends messages without an answer; internal/transport satisfies it.
type Sender interface {
	Send(addr string, env *pb.Envelope)
}

// Poll asks a worker for its load.
type Poll func(ctx context.Context, worker string) (*pb.WorkerLoad, error)

// Runner drives a Core with the clock and polls the workers that this node observes.
type Runner struct {
	*Core
	sender Sender
	poll   Poll
	slots  chan struct{}

	mu     sync.Mutex
	polled map[string]*polled
}

// polled is the polling state of one worker.
type polled struct {
	busy   bool
	misses int
	last   *pb.WorkerLoad
}

// NewRunner returns a runner; Run starts it.
func NewRunner(core *Core, sender Sender, poll Poll) *Runner {
	return &Runner{Core: core, sender: sender, poll: poll, slots: make(chan struct{}, maxPolls), polled: map[string]*polled{}}
}

// Run ticks and polls until the context ends.
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
	duties := r.Core.Duties()
	r.mu.Lock()
	defer r.mu.Unlock()
	next := make(map[string]*polled, len(duties))
	for _, worker := range duties {
		p := r.polled[worker]
		if p == nil {
			p = &polled{}
		}
		next[worker] = p
		if p.busy {
			continue
		}
		select {
		case r.slots <- struct{}{}:
		default:
			continue // polls are slow; this worker is polled in the next round
		}
		p.busy = true
		go r.pollOne(ctx, worker, p)
	}
	r.polled = next
}

// pollOne polls a worker and records the result; a worker that does not answer keeps its last load and is flagged.
func (r *Runner) pollOne(ctx context.Context, worker string, p *polled) {
	defer func() { <-r.slots }()
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	load, err := r.poll(ctx, worker)
	r.mu.Lock()
	p.busy = false
	if err == nil {
		p.misses, p.last = 0, load
	} else {
		p.misses++
		load = &pb.WorkerLoad{Server: worker, Unreachable: true}
		if p.last != nil {
			load.Running, load.Waiting, load.CachePercent, load.StepUs = p.last.Running, p.last.Waiting, p.last.CachePercent, p.last.StepUs
		}
	}
	report := err == nil || p.misses >= missesUntilUnreachable
	r.mu.Unlock()
	if report {
		r.Core.Observe(time.Now(), load)
	}
}

// Receive handles a message from a peer and sends the answers.
func (r *Runner) Receive(from string, env *pb.Envelope) {
	r.send(r.Core.Handle(time.Now(), from, env))
}

func (r *Runner) send(messages []gossip.Message) {
	for _, m := range messages {
		r.sender.Send(m.To.Addr, m.Env)
	}
}
