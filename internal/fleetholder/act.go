package fleetholder

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

const (
	// parallelStarts bounds the starts that wait for the cloud at a time.
	parallelStarts = 8
	// spreadTime is how long a drain is announced before the server may stop; a leave is known everywhere in 2 s.
	spreadTime = 5 * time.Second
	// idleTime is how long a server must have run nothing before it stops, as its reports lag.
	idleTime = 3 * time.Second
)

// startAll asks the cloud for the starts in the row that have no answer yet. Those of a predecessor are repeated with
// the same token, so they give the same instance.
func (t *term) startAll(ctx context.Context) error {
	var open []*pb.FleetStart
	for _, s := range t.row.Starts {
		if s.Instance == "" {
			open = append(open, s)
		}
	}
	results := make([]error, len(open))
	slots := make(chan struct{}, parallelStarts)
	var wg sync.WaitGroup
	for i, s := range open {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			results[i] = t.start(ctx, s)
		})
	}
	wg.Wait()
	var failed error
	for i, s := range open {
		switch err := results[i]; {
		case err == nil:
			t.f.Metrics.Count("fleet_starts", "place", s.InstanceClass+"/"+s.FailureDomain, 1)
			t.accepted(s)
		case errors.Is(err, platform.ErrStartRefused):
			t.row.Starts = slices.DeleteFunc(t.row.Starts, func(other *pb.FleetStart) bool { return other == s })
			t.refused(s)
		default:
			failed = err // the outcome may be unknown: the same start is repeated
		}
	}
	return failed
}

func (t *term) start(ctx context.Context, s *pb.FleetStart) error {
	return t.guarded(ctx, func(ctx context.Context, _ uint64) error {
		instance, err := t.f.Cloud.Start(ctx, platform.StartRequest{
			Token:         token(s),
			Kind:          platform.InstanceKind(s.Kind),
			BackendGroup:  s.BackendGroup,
			InstanceClass: s.InstanceClass,
			Region:        s.Region,
			FailureDomain: s.FailureDomain,
			Reclaimable:   s.Reclaimable,
		})
		if err == nil {
			s.Instance = instance.ID
		}
		return err
	})
}

// drainAll announces the drains in the row and stops the servers that have nothing left to do.
func (t *term) drainAll(ctx context.Context, servers []Server) error {
	byID := make(map[string]Server, len(servers))
	for _, s := range servers {
		byID[s.ID] = s
	}
	var failed error
	for _, d := range t.row.Drains {
		server, ok := byID[d.Instance]
		if !ok {
			continue
		}
		deadline := time.UnixMilli(int64(d.DeadlineUnixMs))
		if !t.valid() {
			return errLeaseLost
		}
		t.f.Announce(d.Instance, deadline)
		if t.announced[d.Instance].IsZero() {
			t.announced[d.Instance] = time.Now()
		}
		if !t.mayStop(ctx, server, deadline) {
			continue
		}
		if err := t.stop(ctx, d.Instance); err != nil {
			failed = err
		}
	}
	return failed
}

// mayStop reports whether a draining server runs nothing, or its time is over.
func (t *term) mayStop(ctx context.Context, server Server, deadline time.Time) bool {
	now := time.Now()
	if now.Sub(t.announced[server.ID]) < spreadTime {
		return false
	}
	if now.After(deadline) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, t.f.MaxOrderTime)
	defer cancel()
	load, err := t.f.Load(ctx, server.Instance)
	if err != nil || load.Running+load.Waiting > 0 {
		delete(t.idle, server.ID)
		return false
	}
	if t.idle[server.ID].IsZero() {
		t.idle[server.ID] = now
	}
	return now.Sub(t.idle[server.ID]) >= idleTime
}

func (t *term) stop(ctx context.Context, instance string) error {
	err := t.guarded(ctx, func(ctx context.Context, _ uint64) error { return t.f.Cloud.Stop(ctx, instance) })
	if err == nil {
		t.f.Metrics.Add("fleet_stops", 1)
		t.log.WithFields(logrus.Fields{"instance": instance}).Info("drained server stopped")
	}
	return err
}
