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
	var wg sync.WaitGroup
	wg.Go(func() { s.watchFolder(ctx) })
	wg.Go(func() { s.watchRow(ctx) })
	wg.Go(func() { s.watchAnnouncements(ctx) })
	wg.Go(func() { s.watchEra(ctx) })
	wg.Wait()
}

// watchEra restores the row whenever the table service has returned from a copy (see package platform), while this node
// is one of the readers of the folder. The copy may lack the newest accepted version, and the folder is not accepted
// again while its revision is in force.
func (s *Store) watchEra(ctx context.Context) {
	seen, _ := s.o.Table.Era()
	for {
		era, changed := s.o.Table.Era()
		if era == seen {
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
			continue
		}
		seen = era
		for failures := 0; s.o.Leader(); {
			if failures = s.recordOutcome("restore row", s.restoreRow(ctx), failures); failures == 0 {
				break
			}
			if !clock.Sleep(ctx, s.backoff(failures-1)) {
				return
			}
		}
	}
}

// watchFolder reads the folder periodically while this node is one of its readers. It backs off after failures.
func (s *Store) watchFolder(ctx context.Context) {
	failures := 0
	for {
		if s.o.Leader() {
			failures = s.recordOutcome("check folder", s.checkFolder(ctx), failures)
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

// watchRow obtains the first configuration and then reads the row periodically, in case announcements were lost. While
// the row cannot be read, it queries a peer instead.
func (s *Store) watchRow(ctx context.Context) {
	if !s.bootstrap(ctx) {
		return
	}
	interval := s.timing.RowInterval
	for clock.Sleep(ctx, s.jitter(interval)) {
		interval = s.timing.RowInterval
		if err := s.refresh(ctx); err != nil {
			s.recordFailure("refresh configuration", err)
			s.queryPeers(ctx, 1)
			interval = s.timing.OutageInterval
		}
	}
}

// bootstrap reads the row and queries startupPeers peers until some version is in force. It does both concurrently, so
// that a node that starts during an outage does not wait for the row. It returns false if ctx ends first.
func (s *Store) bootstrap(ctx context.Context) bool {
	for attempt := 0; ; attempt++ {
		var wg sync.WaitGroup
		peersAsked := make(chan struct{})
		wg.Go(func() {
			defer close(peersAsked)
			s.queryPeers(ctx, startupPeers)
		})
		wg.Go(func() {
			if row, err := s.readRow(ctx); err == nil && platform.EraOf(row.version) > 0 {
				<-peersAsked // the row may be that of a copy; a peer may know a newer version
			}
			if err := s.refresh(ctx); err != nil && !errors.Is(err, platform.ErrNotFound) {
				s.recordFailure("refresh configuration", err)
			}
		})
		wg.Wait()
		if s.Current() != nil {
			return true
		}
		if !clock.Sleep(ctx, s.backoff(attempt)) {
			return false
		}
	}
}

// watchAnnouncements fetches announced versions.
func (s *Store) watchAnnouncements(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		s.fetchAnnounced(ctx)
	}
}

// fetchAnnounced fetches the announced version, with backoff after failures, until none is left to fetch.
func (s *Store) fetchAnnounced(ctx context.Context) {
	failures := 0
	for {
		want, ok := s.nextAnnounced()
		if !ok {
			return
		}
		failures = s.recordOutcome("fetch configuration", s.fetchAndAdopt(ctx, want.accepted(), want.peers, false), failures)
		if failures > 0 && !clock.Sleep(ctx, s.backoff(failures-1)) {
			return
		}
	}
}

// recordOutcome records err if it is not nil and returns the number of consecutive failures.
func (s *Store) recordOutcome(operation string, err error, failures int) int {
	if err == nil {
		return 0
	}
	s.recordFailure(operation, err)
	return failures + 1
}
