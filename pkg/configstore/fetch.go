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
	// startPeers is how many peers a node without a configuration asks; it takes the highest version.
	startPeers = 3
	// otherPeers is how many peers are asked after those that announced the version.
	otherPeers = 2
	// mostAnnouncers bounds the peers that are remembered for one version.
	mostAnnouncers = 3
	// offerTries is how often an announced version is looked for before it is forgotten. A version that exists
	// is announced again or found in the row.
	offerTries = 8
)

var errNotFetched = errors.New("no peer and no object has the snapshot")

// Offer notes a version that a peer has announced. Run fetches it from that peer, from others or from the
// object store. Offer never blocks, and the same announcement may come any number of times.
func (s *Store) Offer(_ context.Context, version uint64, digest, fromPeer string) {
	if version <= s.currentVersion() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if version < s.wanted.version {
		return
	}
	if version > s.wanted.version {
		s.wanted = wanted{version: version, digest: digest}
	}
	if fromPeer != "" && len(s.wanted.peers) < mostAnnouncers && !slices.Contains(s.wanted.peers, fromPeer) {
		s.wanted.peers = append(s.wanted.peers, fromPeer)
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// nextWanted returns the announced version that is still to be fetched.
func (s *Store) nextWanted() (wanted, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wanted.version <= s.currentVersion() || s.wanted.tries >= offerTries {
		s.wanted = wanted{}
		return wanted{}, false
	}
	s.wanted.tries++
	out := s.wanted
	out.peers = slices.Clone(s.wanted.peers)
	return out, true
}

// obtain fetches the snapshot of an accepted version and puts it in force. It asks the given peers, then other
// peers, then the object store, so that a change costs few reads of the object store at any number of nodes.
func (s *Store) obtain(ctx context.Context, accepted *pb.AcceptedVersion, peers []string, fromRow bool) error {
	if now := s.Current(); now != nil && !replaces(accepted, now, fromRow) {
		return nil
	}
	for _, peer := range s.sources(peers) {
		if err := s.fetchFromPeer(ctx, peer, accepted, fromRow); err != nil {
			s.failed("fetch configuration from "+peer, err)
		}
		if now := s.Current(); now != nil && !replaces(accepted, now, fromRow) {
			return nil
		}
	}
	data, err := s.getObject(ctx, accepted.Digest)
	if err != nil {
		return fmt.Errorf("%w: %w", errNotFetched, err)
	}
	return s.adopt(accepted, data, fromRow)
}

func (s *Store) sources(first []string) []string {
	if s.o.Peers == nil {
		return nil
	}
	out := slices.Clone(first)
	for _, peer := range s.o.Peers.Sample(otherPeers) {
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

// fetchFromPeer asks one peer and adopts its version if it is higher than the own one. want is the version that
// is looked for, or nil.
func (s *Store) fetchFromPeer(ctx context.Context, peer string, want *pb.AcceptedVersion, fromRow bool) error {
	s.count(func(c *Counts) { c.PeerFetches++ })
	ctx, cancel := context.WithTimeout(ctx, s.timing.PeerTimeout)
	defer cancel()
	have := s.currentVersion()
	if fromRow && want.GetVersion() == have && have > 0 {
		have-- // the row states another digest for the version in force
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
	told := &pb.AcceptedVersion{Version: state.Version, FolderRevision: state.FolderRevision, Digest: state.Digest}
	return s.adopt(told, state.Snapshot, fromRow && told.Version == want.GetVersion())
}

// refresh reads the row and fetches its version if it is higher than the own one.
func (s *Store) refresh(ctx context.Context) error {
	row, err := s.readRow(ctx)
	if err != nil {
		return fmt.Errorf("read row: %w", err)
	}
	return s.obtain(ctx, row.value, nil, true)
}

// askPeers asks up to n peers at once and takes the highest version.
func (s *Store) askPeers(ctx context.Context, n int) {
	if s.o.Peers == nil {
		return
	}
	var group sync.WaitGroup
	for _, peer := range s.o.Peers.Sample(n) {
		group.Go(func() {
			if err := s.fetchFromPeer(ctx, peer, nil, false); err != nil {
				s.failed("fetch configuration from "+peer, err)
			}
		})
	}
	group.Wait()
}

// accepted returns the announced version; its folder revision is known only from the snapshot.
func (w wanted) accepted() *pb.AcceptedVersion {
	return &pb.AcceptedVersion{Version: w.version, Digest: w.digest}
}
