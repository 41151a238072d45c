package gossip

import (
	"context"
	"time"

	"github.com/pollenlug/pollenlug/internal/pb"
)

// tickPeriod is the time between two ticks of a core; it bounds how much later than planned pushes are sent.
const tickPeriod = 100 * time.Millisecond

// Sender sends messages without an answer; internal/transport satisfies it.
type Sender interface {
	Send(addr string, env *pb.Envelope)
}

// Runner drives a Core with the clock and sends its messages.
type Runner struct {
	*Core
	sender Sender
}

// NewRunner returns a runner; Run starts it.
func NewRunner(core *Core, sender Sender) *Runner { return &Runner{core, sender} }

// Run ticks until the context ends.
func (r *Runner) Run(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			r.send(r.Core.Tick(now))
		case <-ctx.Done():
			return
		}
	}
}

// Set writes an item of this node; an urgent one is sent at once.
func (r *Runner) Set(key string, value []byte, ttl time.Duration, urgent bool) {
	now := time.Now()
	r.Core.Set(now, key, value, ttl, urgent)
	if urgent {
		r.send(r.Core.Tick(now))
	}
}

// Receive handles a message from a peer and sends the answers.
func (r *Runner) Receive(from string, env *pb.Envelope) {
	r.send(r.Core.Handle(time.Now(), from, env))
}

func (r *Runner) send(messages []Message) {
	for _, m := range messages {
		r.sender.Send(m.To.Addr, m.Env)
	}
}
