package edge

import (
	"context"
	"reflect"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/internal/strikewire"
	"github.com/pollenlug/pollenlug/pkg/platform"
	"github.com/pollenlug/pollenlug/pkg/strike"
)

const (
	// requestQuarantineTable and partQuarantineTable hold what is quarantined, for when all nodes restart at the same time.
	requestQuarantineTable = "quarantine"
	partQuarantineTable    = "quarantined-parts"
	// quarantineSyncInterval is how often the rows are brought in line.
	quarantineSyncInterval = 500 * time.Millisecond
	// maxQuarantineMutations limits the rows written in one call.
	maxQuarantineMutations = 50
	// quarantineStoreTimeout limits one store call.
	quarantineStoreTimeout = 2 * time.Second
)

// quarantineRows keeps one kind of quarantine in the store. Every node reads the rows when it starts, unless the whole
// deployment starts for the first time; one node at a time writes them.
type quarantineRows[R outgoingRecord] struct {
	table string
	store platform.Table
	list  func(ctx context.Context, table string) ([]platform.Row, uint64, error)
	kind  quarantineKind[R]
	// loaded is called after the rows have been read.
	loaded func(now time.Time)
	// isWriter reports whether this node writes the rows. Two writers for a moment do no harm.
	isWriter func() bool
	log      *logrus.Entry
	// stored holds the records that this node has read or written, by key, in the given era of the store.
	stored map[string]R
	era    uint64
}

// quarantineKind converts between rows and the records of the tracker.
type quarantineKind[R any] interface {
	// decode returns the record of a row. Its times are not after now.
	decode(row platform.Row, now time.Time) (R, error)
	encode(record R, now time.Time) ([]byte, error)
	// merge merges a record that has not expired into the tracker's.
	merge(record R, now time.Time)
	// current returns the records of all that is quarantined.
	current(now time.Time) []R
	// same reports whether two records differ at most in the time of their last change.
	same(a, b R) bool
}

// newQuarantineRows returns the rows of one kind of quarantine of a crash detector. list reads a table.
func newQuarantineRows[R outgoingRecord](table string, kind quarantineKind[R], d *crashDetector, store platform.Table,
	list func(ctx context.Context, table string) ([]platform.Row, uint64, error), isWriter func() bool) *quarantineRows[R] {
	return &quarantineRows[R]{table: table, store: store, list: list, kind: kind, loaded: d.resendRestrictions, isWriter: isWriter, log: d.log,
		stored: map[string]R{}}
}

func (q *quarantineRows[R]) run(ctx context.Context, firstStart bool) {
	for !firstStart && ctx.Err() == nil {
		err := q.load(ctx, time.Now())
		if err == nil {
			break
		}
		q.log.WithError(err).WithField("table", q.table).Info("reading quarantines failed")
		clock.Sleep(ctx, otherRetryDelay)
	}
	for clock.Sleep(ctx, quarantineSyncInterval) {
		if !q.isWriter() {
			continue
		}
		if err := q.sync(ctx, time.Now()); err != nil {
			q.log.WithError(err).WithField("table", q.table).Info("writing quarantines failed")
			clock.Sleep(ctx, otherRetryDelay)
		}
	}
}

// load reads the rows and merges those that have not expired.
func (q *quarantineRows[R]) load(ctx context.Context, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, quarantineStoreTimeout)
	defer cancel()
	rows, version, err := q.list(ctx, q.table)
	if err != nil {
		return err
	}
	q.stored, q.era = map[string]R{}, platform.EraOf(version)
	for _, row := range rows {
		record, err := q.kind.decode(row, now)
		if err != nil {
			q.log.WithError(err).WithFields(logrus.Fields{"table": q.table, "key": row.Key}).Warning("decoding row of a quarantine failed")
			continue
		}
		q.kind.merge(record, now)
		q.stored[row.Key] = record
	}
	q.loaded(now)
	return nil
}

// sync writes the rows of new and changed records, and deletes those of what is no longer quarantined.
func (q *quarantineRows[R]) sync(ctx context.Context, now time.Time) error {
	if era, _ := q.store.Era(); era != q.era {
		// The store may have lost rows, or have ones that were deleted.
		if err := q.load(ctx, now); err != nil {
			return err
		}
	}
	current := map[string]R{}
	var mutations []platform.Mutation
	for _, record := range q.kind.current(now) {
		key := record.Key()
		current[key] = record
		if stored, ok := q.stored[key]; ok && q.kind.same(stored, record) {
			continue
		}
		value, err := q.kind.encode(record, now)
		if err != nil {
			return err
		}
		mutations = append(mutations, platform.Mutation{Table: q.table, Key: key, Value: value})
	}
	for key := range q.stored {
		if _, ok := current[key]; !ok {
			mutations = append(mutations, platform.Mutation{Table: q.table, Key: key, Delete: true})
		}
	}
	mutations = mutations[:min(len(mutations), maxQuarantineMutations)]
	if len(mutations) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, quarantineStoreTimeout)
	defer cancel()
	// A write whose outcome is unknown is repeated: it always has the newest content.
	if _, err := q.store.Commit(ctx, mutations); err != nil {
		return err
	}
	for _, m := range mutations {
		if m.Delete {
			delete(q.stored, m.Key)
		} else {
			q.stored[m.Key] = current[m.Key]
		}
	}
	return nil
}

// requestQuarantines are the requests that are quarantined as a whole.
type requestQuarantines struct{ tracker *strike.Tracker }

func (requestQuarantines) decode(row platform.Row, now time.Time) (strike.Change, error) {
	message := &pb.QuarantineRow{}
	if err := proto.Unmarshal(row.Value, message); err != nil {
		return strike.Change{}, err
	}
	change := decodeCrashRecord(message.Record)
	change.Digest, change.ChangedAt = row.Key, strikewire.NotAfter(message.ChangedUnixMillis, now)
	return change, nil
}

func (requestQuarantines) encode(c strike.Change, _ time.Time) ([]byte, error) {
	return proto.Marshal(&pb.QuarantineRow{Record: encodeCrashRecord(c), ChangedUnixMillis: c.ChangedAt.UnixMilli()})
}

func (k requestQuarantines) merge(c strike.Change, now time.Time) { k.tracker.MergeChange(c, now) }

func (k requestQuarantines) current(now time.Time) []strike.Change {
	return slices.DeleteFunc(k.tracker.Restrictions(now), func(c strike.Change) bool {
		state, _ := k.tracker.State(strike.Request{Digest: c.Digest}, now)
		return state != strike.Quarantined
	})
}

func (requestQuarantines) same(a, b strike.Change) bool { return reflect.DeepEqual(a.Record, b.Record) }

// partQuarantines are the parts of prompts that are quarantined.
type partQuarantines struct{ tracker *strike.Tracker }

func (partQuarantines) decode(row platform.Row, now time.Time) (strike.PartChange, error) {
	message := &pb.PartRow{}
	if err := proto.Unmarshal(row.Value, message); err != nil {
		return strike.PartChange{}, err
	}
	return strikewire.DecodePartRow(row.Key, message, now), nil
}

func (partQuarantines) encode(c strike.PartChange, now time.Time) ([]byte, error) {
	return proto.Marshal(strikewire.EncodePartRow(c, now))
}

func (k partQuarantines) merge(c strike.PartChange, now time.Time) { k.tracker.MergePart(c, now) }

func (k partQuarantines) current(now time.Time) []strike.PartChange {
	return k.tracker.QuarantinedParts(now)
}

func (partQuarantines) same(a, b strike.PartChange) bool {
	return reflect.DeepEqual(a.Record, b.Record)
}
