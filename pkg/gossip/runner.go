package gossip

import (
	"context"
	"time"

	"github.com/pollenlug/pollenlug/internal/pb"
)

// tickPeriod is the time between two ticks of a core. It bounds the delay of pushes after their due time.
const tickPeriod = 100 * time.Millisecond

// Sender sends one-way messages; internal/transport implements it.
type Sender interface {
	Send(addr string, env *pb.Envelope)
}

// Runner drives a Core with the clock and sends its messages.
type Runner struct {
	*Core
	sender Sender
}

// NewRunner returns a Runner; Run starts it.
func NewRunner(core *Core, sender Sender) *Runner { return &Runner{core, sender} }

// Run ticks the core until the context is done.
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

// Set writes an item, see Core.Set; an urgent one is sent at once.
func (r *Runner) Set(key string, value []byte, ttl time.Duration, urgent bool) {
	now := time.Now()
	r.Core.Set(now, key, value, ttl, urgent)
	if urgent {
		r.send(r.Core.Tick(now))
	}
}

// Receive handles a message from a peer and sends the replies.
func (r *Runner) Receive(from string, env *pb.Envelope) {
	r.send(r.Core.Handle(time.Now(), from, env))
}

func (r *Runner) send(messages []Message) {
	for _, m := range messages {
		r.sender.Send(m.To.Addr, m.Env)
	}
}
