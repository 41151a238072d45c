package configstore

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/config"
)

const (
	// startupPeers is the number of peers that a node without a configuration queries; it adopts the highest version.
	startupPeers = 3
	// extraPeers is the number of peers queried after those that announced the version.
	extraPeers = 2
	// maxAnnouncers bounds the announcing peers that are kept for one version.
	maxAnnouncers = 3
	// maxFetchAttempts bounds the attempts to fetch an announced version before the announcement is discarded. An
	// accepted version is announced again or found in the row.
	maxFetchAttempts = 8
)

var errNotFetched = errors.New("no peer and no object has the snapshot")

// HandleAnnouncement records a version that a peer has announced. Run fetches it from that peer, from other peers or
// from the object store. HandleAnnouncement does not wait for the fetch, and repeated announcements are harmless.
func (s *Store) HandleAnnouncement(_ context.Context, version uint64, digest, fromPeer string) {
	if version <= s.currentVersion() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if version < s.announced.version {
		return
	}
	if version > s.announced.version {
		s.announced = announcement{version: version, digest: digest}
	}
	if fromPeer != "" && len(s.announced.peers) < maxAnnouncers && !slices.Contains(s.announced.peers, fromPeer) {
		s.announced.peers = append(s.announced.peers, fromPeer)
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// nextAnnounced returns the announced version that is still to be fetched and counts the attempt.
func (s *Store) nextAnnounced() (announcement, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.announced.version <= s.currentVersion() || s.announced.attempts >= maxFetchAttempts {
		s.announced = announcement{}
		return announcement{}, false
	}
	s.announced.attempts++
	out := s.announced
	out.peers = slices.Clone(s.announced.peers)
	return out, true
}

// fetchAndAdopt fetches the snapshot of an accepted version and puts it in force. It tries the given peers, then other
// peers, then the object store, so that a change causes few object reads regardless of the number of nodes.
func (s *Store) fetchAndAdopt(ctx context.Context, accepted *pb.AcceptedVersion, peers []string, fromRow bool) error {
	if current := s.Current(); current != nil && !replaces(accepted, current, fromRow) {
		return nil
	}
	for _, peer := range s.snapshotSources(peers) {
		if err := s.fetchFromPeer(ctx, peer, accepted, fromRow); err != nil {
			s.recordFailure("fetch configuration from "+peer, err)
		}
		if current := s.Current(); current != nil && !replaces(accepted, current, fromRow) {
			return nil
		}
	}
	data, err := s.getObject(ctx, accepted.Digest)
	if err != nil {
		return fmt.Errorf("%w: %w", errNotFetched, err)
	}
	return s.adopt(accepted, data, fromRow)
}

func (s *Store) snapshotSources(first []string) []string {
	if s.o.Peers == nil {
		return nil
	}
	out := slices.Clone(first)
	for _, peer := range s.o.Peers.Sample(extraPeers) {
		if !slices.Contains(out, peer) {
			out = append(out, peer)
		}
	}
	return out
}

func (s *Store) getObject(ctx context.Context, digest string) ([]byte, error) {
	s.count(func(c *Counts) { c.ObjectReads++ })
	ctx, cancel := context.WithTimeout(ctx, s.timing.PlatformTimeout)
	defer cancel()
	return s.o.Objects.Get(ctx, digest)
}

// fetchFromPeer queries one peer and adopts its version if it replaces the one in force. want is the version that is
// being fetched, or nil for any. fromRow means that want was read from the row, whose digest takes precedence if the
// same version is in force.
func (s *Store) fetchFromPeer(ctx context.Context, peer string, want *pb.AcceptedVersion, fromRow bool) error {
	s.count(func(c *Counts) { c.PeerFetches++ })
	ctx, cancel := context.WithTimeout(ctx, s.timing.PeerTimeout)
	defer cancel()
	have := s.currentVersion()
	if fromRow && want.GetVersion() == have && have > 0 {
		have-- // the row has another digest for the version in force
	}
	state, err := s.o.Peers.FetchConfig(ctx, peer, &pb.ConfigFetch{HaveVersion: have})
	if err != nil {
		return err
	}
	if state.GetVersion() <= have {
		return nil
	}
	if len(state.Snapshot) > config.MaxSnapshotBytes {
		return fmt.Errorf("%w: it has %d bytes", errMismatch, len(state.Snapshot))
	}
	if state.Version == want.GetVersion() && state.Digest != want.GetDigest() {
		return fmt.Errorf("%w: version %d has digest %s instead of %s", errMismatch, state.Version, state.Digest, want.GetDigest())
	}
	reported := &pb.AcceptedVersion{Version: state.Version, FolderRevision: state.FolderRevision, Digest: state.Digest}
	return s.adopt(reported, state.Snapshot, fromRow && reported.Version == want.GetVersion())
}

// refresh reads the row and adopts its version if it replaces the one in force.
func (s *Store) refresh(ctx context.Context) error {
	row, err := s.readRow(ctx)
	if err != nil {
		return fmt.Errorf("read row: %w", err)
	}
	return s.fetchAndAdopt(ctx, row.value, nil, true)
}

// queryPeers queries up to n peers concurrently and adopts the highest version.
func (s *Store) queryPeers(ctx context.Context, n int) {
	if s.o.Peers == nil {
		return
	}
	var wg sync.WaitGroup
	for _, peer := range s.o.Peers.Sample(n) {
		wg.Go(func() {
			if err := s.fetchFromPeer(ctx, peer, nil, false); err != nil {
				s.recordFailure("fetch configuration from "+peer, err)
			}
		})
	}
	wg.Wait()
}

// accepted returns the announced version without its folder revision, which is known only from the snapshot.
func (a announcement) accepted() *pb.AcceptedVersion {
	return &pb.AcceptedVersion{Version: a.version, Digest: a.digest}
}
