package edge

import (
	"context"
	"reflect"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/platform"
	"github.com/pollenlug/pollenlug/pkg/strike"
)

const (
	// quarantineTable holds the quarantined requests, for when all nodes restart at the same time.
	quarantineTable = "quarantine"
	// quarantineSyncInterval is how often the rows are brought in line.
	quarantineSyncInterval = 500 * time.Millisecond
	// maxQuarantineMutations limits the rows written in one call.
	maxQuarantineMutations = 50
	// quarantineStoreTimeout limits one store call.
	quarantineStoreTimeout = 2 * time.Second
)

// quarantineRows keeps the quarantined requests in the store. Every node reads them when it starts, unless the whole
// deployment starts for the first time; one node at a time writes them.
type quarantineRows struct {
	store   platform.Table
	list    func(ctx context.Context, table string) ([]platform.Row, uint64, error)
	tracker *strike.Tracker
	// loaded is called after the rows have been read.
	loaded func(now time.Time)
	// isWriter reports whether this node writes the rows. Two writers for a moment do no harm.
	isWriter func() bool
	log      *logrus.Entry
	// stored holds the records that this node has read or written, by digest, in the given era of the store.
	stored map[string]strike.Record
	era    uint64
}

func (q *quarantineRows) run(ctx context.Context, firstStart bool) {
	for !firstStart && ctx.Err() == nil {
		err := q.load(ctx, time.Now())
		if err == nil {
			break
		}
		q.log.WithError(err).Info("reading quarantined requests failed")
		clock.Sleep(ctx, otherRetryDelay)
	}
	for clock.Sleep(ctx, quarantineSyncInterval) {
		if !q.isWriter() {
			continue
		}
		if err := q.sync(ctx, time.Now()); err != nil {
			q.log.WithError(err).Info("writing quarantined requests failed")
			clock.Sleep(ctx, otherRetryDelay)
		}
	}
}

// load reads the rows and merges those that have not expired.
func (q *quarantineRows) load(ctx context.Context, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, quarantineStoreTimeout)
	defer cancel()
	rows, version, err := q.list(ctx, quarantineTable)
	if err != nil {
		return err
	}
	q.stored, q.era = map[string]strike.Record{}, platform.EraOf(version)
	for _, row := range rows {
		message := &pb.QuarantineRow{}
		if err := proto.Unmarshal(row.Value, message); err != nil {
			q.log.WithError(err).WithField("key", row.Key).Warning("decoding row of a quarantined request failed")
			continue
		}
		change := decodeCrashRecord(message.Record)
		change.Digest, change.ChangedAt = row.Key, time.UnixMilli(message.ChangedUnixMillis)
		if change.ChangedAt.After(now) {
			change.ChangedAt = now // written by a node whose clock is ahead
		}
		q.tracker.MergeChange(change, now)
		q.stored[row.Key] = change.Record
	}
	q.loaded(now)
	return nil
}

// sync writes the rows of new and changed records, and deletes those of requests that are no longer quarantined.
func (q *quarantineRows) sync(ctx context.Context, now time.Time) error {
	if era, _ := q.store.Era(); era != q.era {
		// The store may have lost rows, or have ones that were deleted.
		if err := q.load(ctx, now); err != nil {
			return err
		}
	}
	current := map[string]strike.Record{}
	var mutations []platform.Mutation
	for _, c := range q.tracker.Restrictions(now) {
		if state, _ := q.tracker.State(c.Digest, now); state != strike.Quarantined {
			continue
		}
		current[c.Digest] = c.Record
		if stored, ok := q.stored[c.Digest]; ok && reflect.DeepEqual(stored, c.Record) {
			continue
		}
		value, err := proto.Marshal(&pb.QuarantineRow{Record: encodeCrashRecord(c), ChangedUnixMillis: c.ChangedAt.UnixMilli()})
		if err != nil {
			return err
		}
		mutations = append(mutations, platform.Mutation{Table: quarantineTable, Key: c.Digest, Value: value})
	}
	for digest := range q.stored {
		if _, ok := current[digest]; !ok {
			mutations = append(mutations, platform.Mutation{Table: quarantineTable, Key: digest, Delete: true})
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
