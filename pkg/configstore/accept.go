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

// maxWriteAttempts bounds the attempts of a write whose outcome is unknown. The next read of the folder tries again.
const maxWriteAttempts = 4

// maxReadBackAttempts bounds the reads after a conflict; reads may lag by a few seconds.
const maxReadBackAttempts = 4

// maxAcceptAttempts bounds the attempts to replace rows of older revisions that other nodes write concurrently.
const maxAcceptAttempts = 4

// checkFolder reads the folder once. If its revision is higher than the accepted one, it is accepted, or rejected if it
// has faults.
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

// isNew reports whether a folder revision is higher than the accepted one and not known to have faults.
func (s *Store) isNew(revision uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status.SeenRevision = max(s.status.SeenRevision, revision)
	if current := s.Current(); current != nil && revision <= current.FolderRevision {
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
	s.log("msg", "folder revision rejected", "folder_revision", revision, "faults", len(faults), "first", faults[0])
}

// accept replaces the row. It returns nil once the revision or a higher one is accepted and in force. A node that read
// an older revision may write its row first; that row is then replaced at once rather than a FolderInterval later.
func (s *Store) accept(ctx context.Context, revision uint64, digest string, data []byte) error {
	row, err := s.readRow(ctx)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return fmt.Errorf("read row: %w", err)
	}
	for range maxAcceptAttempts {
		if row.value.GetFolderRevision() >= revision {
			return s.adoptRow(ctx, row.value, digest, data)
		}
		accepted := &pb.AcceptedVersion{
			Version:        max(row.value.GetVersion(), s.currentVersion()) + 1,
			FolderRevision: revision,
			Digest:         digest,
		}
		written, err := s.writeRow(ctx, row, accepted)
		if err == nil {
			s.recordRow(observedRow{written, accepted})
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

// restoreRow writes the version in force if the row has an older one, or none.
func (s *Store) restoreRow(ctx context.Context) error {
	current := s.Current()
	if current == nil {
		return nil
	}
	row, err := s.readRow(ctx)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return fmt.Errorf("read row: %w", err)
	}
	if row.value.GetVersion() >= current.Version {
		return nil
	}
	accepted := &pb.AcceptedVersion{Version: current.Version, FolderRevision: current.FolderRevision, Digest: current.Digest}
	written, err := s.writeRow(ctx, row, accepted)
	if err != nil {
		return fmt.Errorf("write row: %w", err)
	}
	s.recordRow(observedRow{written, accepted})
	s.log("msg", "row restored after a return of the table service from a copy", "version", accepted.Version, "row_before", row.value.GetVersion())
	return nil
}

// writeRow replaces the row if it is still the one that was read. A write with an unknown outcome is retried with the
// same condition, so that only one of the attempts can succeed.
func (s *Store) writeRow(ctx context.Context, read observedRow, accepted *pb.AcceptedVersion) (uint64, error) {
	value, err := proto.Marshal(accepted)
	if err != nil {
		return 0, err
	}
	condition := platform.Condition{Kind: platform.VersionIs, Version: read.version}
	if read.version == 0 {
		condition = platform.Condition{Kind: platform.Absent}
	}
	mutation := platform.Mutation{Table: TableName, Key: RowKey, Value: value, If: condition}
	for attempt := range maxWriteAttempts {
		if attempt > 0 && !clock.Sleep(ctx, s.backoff(attempt-1)) {
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

// readBack reads the row after a conflict until its row version is higher than that of the failed condition. The newer
// row was written by another node, or by an earlier attempt of this node whose response was lost.
func (s *Store) readBack(ctx context.Context, old uint64) (observedRow, error) {
	for attempt := range maxReadBackAttempts {
		row, err := s.readRow(ctx)
		if err == nil && row.version > old {
			return row, nil
		}
		if !clock.Sleep(ctx, s.backoff(attempt)) {
			return observedRow{}, ctx.Err()
		}
	}
	return observedRow{}, errors.New("row was changed by another writer and cannot be read back yet")
}

// adoptRow puts the version of the row in force. It uses data if that is the row's snapshot and fetches it otherwise.
func (s *Store) adoptRow(ctx context.Context, accepted *pb.AcceptedVersion, digest string, data []byte) error {
	if accepted.Digest == digest {
		return s.adopt(accepted, data, true)
	}
	return s.fetchAndAdopt(ctx, accepted, nil, true)
}

// readRow reads the row once and returns the newest row that this node has observed: a read that returns an older row
// than an earlier read is stale. It returns ErrNotFound with an empty row even if an earlier read found one: the row
// may have been deleted, and if it was not, a write on the condition that it is absent has no effect.
func (s *Store) readRow(ctx context.Context) (observedRow, error) {
	s.count(func(c *Counts) { c.RowReads++ })
	ctx, cancel := context.WithTimeout(ctx, s.timing.PlatformTimeout)
	defer cancel()
	row, err := s.o.Table.Get(ctx, TableName, RowKey)
	if err != nil {
		return observedRow{}, err
	}
	value := &pb.AcceptedVersion{}
	if err := proto.Unmarshal(row.Value, value); err != nil {
		return observedRow{}, fmt.Errorf("decode row: %w", err)
	}
	if value.Version == 0 || value.Digest == "" {
		return observedRow{}, errors.New("decode row: version or digest is missing")
	}
	return s.recordRow(observedRow{row.Version, value}), nil
}

// recordRow records a row and returns the newest one observed so far.
func (s *Store) recordRow(row observedRow) observedRow {
	s.mu.Lock()
	defer s.mu.Unlock()
	if row.version > s.row.version {
		s.row = row
	}
	return s.row
}
