package configstore

import (
	"context"
	"errors"
	"sync"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

// Run keeps the configuration up to date until the context ends.
func (s *Store) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { s.watchFolder(ctx) })
	group.Go(func() { s.watchRow(ctx) })
	group.Go(func() { s.fetchOffers(ctx) })
	group.Wait()
}

// watchFolder reads the folder while this node is one of the readers. Failures make it read less often.
func (s *Store) watchFolder(ctx context.Context) {
	failures := 0
	for {
		if s.o.Leader() {
			failures = s.outcome("check folder", s.checkFolder(ctx), failures)
		}
		delay := s.jitter(s.timing.FolderInterval)
		if failures > 0 {
			delay = s.backoff(failures - 1)
		}
		if !clock.Sleep(ctx, delay) {
			return
		}
	}
}

// watchRow starts the node and then reads the row from time to time, in case announcements were lost. While the
// row cannot be read, it asks a peer instead.
func (s *Store) watchRow(ctx context.Context) {
	if !s.start(ctx) {
		return
	}
	interval := s.timing.RowInterval
	for clock.Sleep(ctx, s.jitter(interval)) {
		interval = s.timing.RowInterval
		if err := s.refresh(ctx); err != nil {
			s.failed("refresh configuration", err)
			s.askPeers(ctx, 1)
			interval = s.timing.OutageInterval
		}
	}
}

// start asks the row and three peers until some version is in force. Both are asked at once, so that a node that
// starts during an outage does not wait for the row.
func (s *Store) start(ctx context.Context) bool {
	for try := 0; ; try++ {
		var group sync.WaitGroup
		group.Go(func() { s.askPeers(ctx, startPeers) })
		group.Go(func() {
			if err := s.refresh(ctx); err != nil && !errors.Is(err, platform.ErrNotFound) {
				s.failed("refresh configuration", err)
			}
		})
		group.Wait()
		if s.Current() != nil {
			return true
		}
		if !clock.Sleep(ctx, s.backoff(try)) {
			return false
		}
	}
}

// fetchOffers fetches announced versions.
func (s *Store) fetchOffers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		s.fetchWanted(ctx)
	}
}

// fetchWanted returns when no announced version is left to fetch.
func (s *Store) fetchWanted(ctx context.Context) {
	failures := 0
	for {
		want, ok := s.nextWanted()
		if !ok {
			return
		}
		failures = s.outcome("fetch configuration", s.obtain(ctx, want.accepted(), want.peers, false), failures)
		if failures > 0 && !clock.Sleep(ctx, s.backoff(failures-1)) {
			return
		}
	}
}

// outcome records a failure and returns the number of failures in a row.
func (s *Store) outcome(doing string, err error, failures int) int {
	if err == nil {
		return 0
	}
	s.failed(doing, err)
	return failures + 1
}
