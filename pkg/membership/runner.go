package membership

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/gossip"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

const (
	// tickPeriod is the time between two ticks of the core.
	tickPeriod = 100 * time.Millisecond
	// listTimeout bounds one read of the instance list.
	listTimeout = 5 * time.Second
)

// Sender sends one-way messages; internal/transport implements it.
type Sender interface {
	Send(addr string, env *pb.Envelope)
}

// Runner drives a Core, and the gossip core below it, with the clock, and reads the instance list.
type Runner struct {
	*Core
	sender Sender
	list   platform.InstanceList
	log    *logrus.Entry
}

// NewRunner returns a Runner; Run starts it. The list may be nil.
func NewRunner(core *Core, sender Sender, list platform.InstanceList, log *logrus.Entry) *Runner {
	return &Runner{core, sender, list, log}
}

// Run ticks the core until the context is done.
func (r *Runner) Run(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	reading := make(chan struct{}, 1)
	for {
		select {
		case now := <-ticker.C:
			r.send(r.Core.Tick(now))
			if r.list == nil || len(reading) > 0 || !r.Core.ListDue(now) {
				continue
			}
			reading <- struct{}{}
			go func() {
				defer func() { <-reading }()
				r.readList(ctx)
			}()
		case <-ctx.Done():
			return
		}
	}
}

// readList reads the instance list once.
func (r *Runner) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	instances, err := r.list.Instances(ctx)
	if err != nil {
		r.log.WithError(err).Debug("could not read the instance list; continuing with the members known by gossip")
		return
	}
	r.Core.HandleInstances(time.Now(), instances)
}

// Leave announces at once that the node takes no new work.
func (r *Runner) Leave() {
	r.Core.Leave()
	r.send(r.Core.Tick(time.Now()))
}

// AnnounceLeft announces at once that the process ends.
func (r *Runner) AnnounceLeft() {
	r.Core.AnnounceLeft()
	r.send(r.Core.Tick(time.Now()))
}

// Receive handles a gossip or membership message from a peer and sends the replies.
func (r *Runner) Receive(from string, env *pb.Envelope) {
	r.send(r.Core.Handle(time.Now(), from, env))
}

func (r *Runner) send(messages []gossip.Message) {
	for _, m := range messages {
		r.sender.Send(m.To.Addr, m.Env)
	}
}
