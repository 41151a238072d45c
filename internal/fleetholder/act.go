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
	// maxParallelStarts bounds the concurrent start requests to the cloud API.
	maxParallelStarts = 8
	// announceTime is how long a drain is announced before the server may be stopped. All nodes know of a leaving
	// server within 2 s.
	announceTime = 5 * time.Second
	// minIdleTime is how long a draining server must have been idle before it is stopped; load reports lag.
	minIdleTime = 3 * time.Second
)

// startAll requests the pending starts in the row from the cloud. Starts decided by a previous holder are retried with
// the same token, so they yield the same instance.
func (t *term) startAll(ctx context.Context) error {
	var pending []*pb.FleetStart
	for _, s := range t.row.Starts {
		if s.Instance == "" {
			pending = append(pending, s)
		}
	}
	results := make([]error, len(pending))
	slots := make(chan struct{}, maxParallelStarts)
	var wg sync.WaitGroup
	for i, s := range pending {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			results[i] = t.start(ctx, s)
		})
	}
	wg.Wait()
	var lastErr error
	for i, s := range pending {
		switch err := results[i]; {
		case err == nil:
			t.f.Metrics.Count("fleet_starts", "place", s.InstanceClass+"/"+s.FailureDomain, 1)
			t.clearRefusals(s)
		case errors.Is(err, platform.ErrStartRefused):
			t.row.Starts = slices.DeleteFunc(t.row.Starts, func(other *pb.FleetStart) bool { return other == s })
			t.recordRefusal(s)
		default:
			lastErr = err // the outcome may be unknown, so the next step retries the same start
		}
	}
	return lastErr
}

func (t *term) start(ctx context.Context, s *pb.FleetStart) error {
	return t.withLease(ctx, func(ctx context.Context, _ uint64) error {
		instance, err := t.f.Cloud.Start(ctx, platform.StartRequest{
			Token:         startToken(s),
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

// drainAll announces the drains in the row and stops the draining servers that are idle or past their deadline.
func (t *term) drainAll(ctx context.Context, servers []Server) error {
	byID := make(map[string]Server, len(servers))
	for _, s := range servers {
		byID[s.ID] = s
	}
	var lastErr error
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
			lastErr = err
		}
	}
	return lastErr
}

// mayStop reports whether a draining server may be stopped: its drain was announced at least announceTime ago, and it
// has been idle for minIdleTime or is past its deadline.
func (t *term) mayStop(ctx context.Context, server Server, deadline time.Time) bool {
	now := time.Now()
	if now.Sub(t.announced[server.ID]) < announceTime {
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
	return now.Sub(t.idle[server.ID]) >= minIdleTime
}

func (t *term) stop(ctx context.Context, instance string) error {
	err := t.withLease(ctx, func(ctx context.Context, _ uint64) error { return t.f.Cloud.Stop(ctx, instance) })
	if err == nil {
		t.f.Metrics.Add("fleet_stops", 1)
		t.log.WithFields(logrus.Fields{"instance": instance}).Info("drained server stopped")
	}
	return err
}
