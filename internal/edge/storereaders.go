package edge

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/logline"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

const (
	// maxStoreReaders is how many nodes long-poll each table of the store but that of the servers, which serverView
	// polls; the other nodes learn of changes from heartbeats. It is the size of a small deployment, so that larger ones
	// make no more calls. All readers lose the store at the same time only if nearly all nodes do.
	maxStoreReaders = 8
	// storePollTimeout is the timeout of one long poll. It can be long because keep-alive probes detect a dead
	// connection earlier, peers announce newer versions, and a poll ends when the store recovers from an outage. The
	// first poll after a change or a failure takes firstPollTimeout, and each further one pollTimeoutGrowth times as long:
	// a store that is just failing may never answer it.
	storePollTimeout  = 20 * time.Second
	firstPollTimeout  = time.Second
	pollTimeoutGrowth = 4
	// readerRetryDelay is the delay of a store reader after a failed read; failed calls are charged as well.
	readerRetryDelay = 400 * time.Millisecond
	// otherRetryDelay is the mean delay, with a jitter of ±50%, after a failed read by any other node, which only checks
	// whether the store has recovered.
	otherRetryDelay = 2 * time.Second
	// selectionInterval is how often a node that is not selected checks whether it is now.
	selectionInterval = 100 * time.Millisecond
)

// readerSelection selects the nodes that read the store: the first by name among those that can reach it. Each node
// decides from the heartbeats that it receives, without an election; a node that receives none reads the store itself.
type readerSelection struct {
	// readerRank is this node's rank among the nodes that can reach the store, nodeRank the one among all nodes.
	readerRank, nodeRank func() int
	// lost is the number of this node's store reads that currently fail.
	lost *atomic.Int32

	mu sync.Mutex
	// recovered is closed and replaced when the store has recovered from an outage.
	recovered chan struct{}
}

// storeRecovered ends the long polls in progress: the store may have lost them in its outage.
func (s *readerSelection) storeRecovered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recovered != nil {
		close(s.recovered)
		s.recovered = nil
	}
}

// nextRecovery returns a channel that is closed at the next recovery of the store.
func (s *readerSelection) nextRecovery() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recovered == nil {
		s.recovered = make(chan struct{})
	}
	return s.recovered
}

// selected reports whether this node reads the store.
func (s *readerSelection) selected() bool { return s.readerRank() < maxStoreReaders }

// retryDelay returns the delay after a failed read.
func (s *readerSelection) retryDelay() time.Duration {
	if s.nodeRank() < maxStoreReaders {
		return readerRetryDelay
	}
	return otherRetryDelay/2 + rand.N(otherRetryDelay)
}

// tableReader reads a table of the store and what changes in it.
type tableReader struct {
	store Store
	table string
	// beforeSnapshot is called before the whole table is read; it may be nil.
	beforeSnapshot func(ctx context.Context) error
	// awaitSettled is called after the whole table was read, see storeReturn; it may be nil.
	awaitSettled func(ctx context.Context) (held bool, err error)
	// apply is called with each row of the table, and later with each change.
	apply func(ctx context.Context, c platform.Change) error
}

// step returns the version after which the next step continues; 0 reads the whole table again.
func (r *tableReader) step(ctx context.Context, since uint64, wait time.Duration) (uint64, error) {
	if since == 0 {
		return r.readAll(ctx)
	}
	changes, version, err := r.store.Changes(ctx, r.table, since, wait)
	if errors.Is(err, platform.ErrHistoryGone) {
		return 0, nil
	}
	if err != nil {
		return since, err
	}
	for _, c := range changes {
		if err := r.apply(ctx, c); err != nil {
			return since, err
		}
	}
	return max(version, since), nil
}

func (r *tableReader) readAll(ctx context.Context) (uint64, error) {
	if r.beforeSnapshot != nil {
		if err := r.beforeSnapshot(ctx); err != nil {
			return 0, err
		}
	}
	snapshot, err := readSettled(ctx, r.store, r.table, r.awaitSettled)
	if err != nil {
		return 0, err
	}
	for _, row := range snapshot.rows {
		if err := r.apply(ctx, platform.Change{Row: row}); err != nil {
			return 0, err
		}
	}
	return snapshot.version, nil
}

// tableSnapshot is the content of a table.
type tableSnapshot struct {
	rows    []platform.Row
	version uint64
	// sentAt is when the read was sent.
	sentAt time.Time
	// before holds the rows read before a wait of awaitSettled; nil if it did not wait.
	before []platform.Row
}

// readSettled reads a table. In a node that starts shortly after a return of the store it reads it again once its rows
// have settled. awaitSettled is that of storeReturn; it may be nil.
func readSettled(ctx context.Context, store Store, table string, awaitSettled func(context.Context) (bool, error)) (tableSnapshot, error) {
	s, err := readTable(ctx, store, table)
	if err != nil || awaitSettled == nil {
		return s, err
	}
	held, err := awaitSettled(ctx)
	if err != nil || !held {
		return s, err
	}
	before := s.rows
	s, err = readTable(ctx, store, table)
	s.before = before
	return s, err
}

func readTable(ctx context.Context, store Store, table string) (tableSnapshot, error) {
	s := tableSnapshot{sentAt: time.Now()}
	var err error
	s.rows, s.version, err = store.Snapshot(ctx, table)
	return s, err
}

// watch calls step until ctx ends: at the start until the whole table has been read, later while this node is selected
// or cannot reach the store.
func (s *readerSelection) watch(ctx context.Context, dep *dependency,
	step func(ctx context.Context, since uint64, wait time.Duration) (uint64, error)) {
	since, wait := uint64(0), firstPollTimeout
	for ctx.Err() == nil {
		if since != 0 && !s.selected() && !dep.isLost() {
			wait = firstPollTimeout
			clock.Sleep(ctx, selectionInterval)
			continue
		}
		if dep.isLost() {
			wait = 0 // return at once, so that peers learn immediately that the store has recovered
		}
		recovered, sentAt := s.nextRecovery(), time.Now()
		next, err := stepUntil(ctx, recovered, func(ctx context.Context) (uint64, error) { return step(ctx, since, wait) })
		if err != nil && ctx.Err() == nil {
			wait = firstPollTimeout
			select {
			case <-recovered:
				continue
			default:
			}
			dep.markLost(err)
			clock.Sleep(ctx, s.retryDelay())
			continue
		}
		since = next
		if changed := time.Since(sentAt) < wait; changed || dep.isLost() {
			wait = firstPollTimeout
		} else {
			wait = min(pollTimeoutGrowth*wait, storePollTimeout)
		}
		dep.markAvailable()
	}
}

// stepUntil calls step with a context that is also canceled when end is closed.
func stepUntil(ctx context.Context, end <-chan struct{}, step func(context.Context) (uint64, error)) (uint64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-end:
			cancel()
		case <-ctx.Done():
		}
	}()
	return step(ctx)
}

// dependency logs each loss and recovery of a dependency of the node once.
type dependency struct {
	log  *logrus.Entry
	name string
	// lost counts the dependencies of the node that are lost.
	lost   *atomic.Int32
	lostAt time.Time
}

func (d *dependency) isLost() bool { return !d.lostAt.IsZero() }

func (d *dependency) markLost(err error) {
	if !d.isLost() {
		d.lostAt = time.Now()
		d.lost.Add(1)
		d.log.WithError(err).WithField(logline.Dependency, d.name).Warning(logline.DependencyLost)
	}
}

func (d *dependency) markAvailable() {
	if d.isLost() {
		d.log.WithFields(logrus.Fields{logline.Dependency: d.name, "after": fmt.Sprint(time.Since(d.lostAt))}).Info(logline.DependencyRegained)
		d.lost.Add(-1)
		d.lostAt = time.Time{}
	}
}
