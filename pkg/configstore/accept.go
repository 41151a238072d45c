package configstore

import (
	"context"
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/config"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

// writeTries is how often one pass repeats a write whose outcome is unknown. The next pass continues.
const writeTries = 4

// readBackTries is how often a conflict is read back; reads may lag by a few seconds.
const readBackTries = 4

// acceptTries is how often one pass tries to replace rows of older revisions that other readers write meanwhile.
const acceptTries = 4

// checkFolder reads the folder once and accepts its revision if it is higher than the accepted one.
func (s *Store) checkFolder(ctx context.Context) error {
	state, err := s.readFolder(ctx)
	if err != nil {
		return fmt.Errorf("read folder: %w", err)
	}
	if state.Revision == 0 {
		return errors.New("read folder: it has no revision")
	}
	if !s.isNew(state.Revision) {
		return nil
	}
	merged, faults := config.Merge(state.Files)
	if len(faults) > 0 {
		s.reject(state.Revision, faults)
		return nil
	}
	data, digest, err := config.Encode(&pb.Snapshot{Merged: merged, FolderRevision: state.Revision})
	if err != nil {
		return err
	}
	if err := s.putObject(ctx, digest, data); err != nil {
		return fmt.Errorf("write snapshot: %w", err)
	}
	return s.accept(ctx, state.Revision, digest, data)
}

func (s *Store) readFolder(ctx context.Context) (platform.FolderState, error) {
	s.count(func(c *Counts) { c.FolderReads++ })
	ctx, cancel := context.WithTimeout(ctx, s.timing.PlatformTimeout)
	defer cancel()
	return s.o.Folder.Read(ctx)
}

func (s *Store) putObject(ctx context.Context, digest string, data []byte) error {
	s.count(func(c *Counts) { c.ObjectWrites++ })
	ctx, cancel := context.WithTimeout(ctx, s.timing.PlatformTimeout)
	defer cancel()
	return s.o.Objects.Put(ctx, digest, data)
}

// isNew reports whether a folder revision is neither accepted nor known to have faults.
func (s *Store) isNew(revision uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status.SeenRevision = max(s.status.SeenRevision, revision)
	if now := s.Current(); now != nil && revision <= now.FolderRevision {
		return false
	}
	if s.row.value != nil && revision <= s.row.value.FolderRevision {
		return false
	}
	return len(s.status.Faults) == 0 || revision != s.status.FaultRevision
}

func (s *Store) reject(revision uint64, faults []config.Fault) {
	s.mu.Lock()
	newest := revision >= s.status.FaultRevision
	if newest {
		s.status.Faults = faults
		s.status.FaultRevision = revision
	}
	s.mu.Unlock()
	s.log("msg", "folder revision is not accepted", "folder_revision", revision, "faults", len(faults), "first", faults[0])
}

// accept replaces the row. It returns nil when the revision, or a higher one, is accepted. A reader that saw an older
// revision may write first; the row is then replaced again at once, because the next pass is a FolderInterval away.
func (s *Store) accept(ctx context.Context, revision uint64, digest string, data []byte) error {
	row, err := s.readRow(ctx)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return fmt.Errorf("read row: %w", err)
	}
	for range acceptTries {
		if row.value.GetFolderRevision() >= revision {
			return s.obtainOwn(ctx, row.value, digest, data)
		}
		accepted := &pb.AcceptedVersion{
			Version:        max(row.value.GetVersion(), s.currentVersion()) + 1,
			FolderRevision: revision,
			Digest:         digest,
		}
		written, err := s.writeRow(ctx, row, accepted)
		if err == nil {
			s.sawRow(seenRow{written, accepted})
			s.log("msg", "folder revision accepted", "folder_revision", revision, "version", accepted.Version)
			return s.adopt(accepted, data, true)
		}
		var conflict *platform.ConflictError
		if !errors.As(err, &conflict) {
			return fmt.Errorf("write row: %w", err)
		}
		if row, err = s.readBack(ctx, row.version); err != nil {
			return err
		}
	}
	return errors.New("other readers replaced the row at each try")
}

// writeRow replaces the row if it is still the one that was read. A write with an unknown outcome is repeated
// with the same condition: only one copy can succeed.
func (s *Store) writeRow(ctx context.Context, read seenRow, accepted *pb.AcceptedVersion) (uint64, error) {
	value, err := proto.Marshal(accepted)
	if err != nil {
		return 0, err
	}
	condition := platform.Condition{Kind: platform.VersionIs, Version: read.version}
	if read.version == 0 {
		condition = platform.Condition{Kind: platform.Absent}
	}
	mutation := platform.Mutation{Table: TableName, Key: RowKey, Value: value, If: condition}
	for try := range writeTries {
		if try > 0 && !clock.Sleep(ctx, s.backoff(try-1)) {
			return 0, ctx.Err()
		}
		var versions []uint64
		versions, err = s.commit(ctx, mutation)
		if err == nil {
			return versions[0], nil
		}
		if !errors.Is(err, platform.ErrOutcomeUnknown) {
			return 0, err
		}
	}
	return 0, err
}

func (s *Store) commit(ctx context.Context, mutation platform.Mutation) ([]uint64, error) {
	s.count(func(c *Counts) { c.RowWrites++ })
	ctx, cancel := context.WithTimeout(ctx, s.timing.PlatformTimeout)
	defer cancel()
	return s.o.Table.Commit(ctx, []platform.Mutation{mutation})
}

// readBack reads the row after a conflict until it shows a newer row version than the condition named. The
// newer row is the own write with a lost answer or that of another node.
func (s *Store) readBack(ctx context.Context, old uint64) (seenRow, error) {
	for try := range readBackTries {
		row, err := s.readRow(ctx)
		if err == nil && row.version > old {
			return row, nil
		}
		if !clock.Sleep(ctx, s.backoff(try)) {
			return seenRow{}, ctx.Err()
		}
	}
	return seenRow{}, errors.New("row was changed by another writer and cannot be read back yet")
}

// obtainOwn puts the version of the row in force, from the own snapshot if it is that one.
func (s *Store) obtainOwn(ctx context.Context, accepted *pb.AcceptedVersion, digest string, data []byte) error {
	if accepted.Digest == digest {
		return s.adopt(accepted, data, true)
	}
	return s.obtain(ctx, accepted, nil, true)
}

// readRow returns the newest row that this node knows after one read. A read that shows an older row than an
// earlier read is stale. ErrNotFound is returned with an empty row, also when an earlier read showed one: the
// row may have been deleted, and a write on the condition that it is absent does no harm otherwise.
func (s *Store) readRow(ctx context.Context) (seenRow, error) {
	s.count(func(c *Counts) { c.RowReads++ })
	ctx, cancel := context.WithTimeout(ctx, s.timing.PlatformTimeout)
	defer cancel()
	row, err := s.o.Table.Get(ctx, TableName, RowKey)
	if err != nil {
		return seenRow{}, err
	}
	value := &pb.AcceptedVersion{}
	if err := proto.Unmarshal(row.Value, value); err != nil {
		return seenRow{}, fmt.Errorf("decode row: %w", err)
	}
	if value.Version == 0 || value.Digest == "" {
		return seenRow{}, errors.New("decode row: version or digest is missing")
	}
	return s.sawRow(seenRow{row.Version, value}), nil
}

// sawRow remembers a row and returns the newest one seen.
func (s *Store) sawRow(row seenRow) seenRow {
	s.mu.Lock()
	defer s.mu.Unlock()
	if row.version > s.row.version {
		s.row = row
	}
	return s.row
}
