package edge

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/logline"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

const (
	// storeReaders is how many nodes wait for changes of a table of the store; the others hear of them in beats. It is the
	// size of a small deployment, so that calls do not grow with larger ones. All of them are cut off from the store at
	// once only when nearly all nodes are.
	storeReaders = 8
	// storePoll is the wait of one long poll. Keep-alive probes find a silent connection sooner, and peers tell newer
	// versions.
	storePoll = 20 * time.Second
	// storeRetry is the pause of a reader after a failed read of the store; refused calls are charged as well.
	storeRetry = 400 * time.Millisecond
	// storeProbe is the pause of all other nodes, which only look for the store's return.
	storeProbe = 2 * time.Second
	// turnTick is how often a node that does not read asks whether it is its turn.
	turnTick = 100 * time.Millisecond
)

// storeTurn decides which nodes wait for changes of the store: the first in the order of names that have not lost it.
// No message elects them, and nodes that hear of no other all read.
type storeTurn struct {
	// position is this node's place among the nodes that have the store, place the one among all nodes.
	position, place func() int
	// lost counts the reads of this node that fail now.
	lost *atomic.Int32
}

// reads reports whether it is this node's turn.
func (t *storeTurn) reads() bool { return t.position() < storeReaders }

// pause is the time to the next read after a failed one.
func (t *storeTurn) pause() time.Duration {
	if t.place() < storeReaders {
		return storeRetry
	}
	return storeProbe/2 + rand.N(storeProbe)
}

// tableReader reads a table of the store and what changes in it.
type tableReader struct {
	store Store
	table string
	// start is called before the whole table is read; it may be nil.
	start func(ctx context.Context) error
	// take is called with each row, and later with each change.
	take func(ctx context.Context, c platform.Change) error
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
		if err := r.take(ctx, c); err != nil {
			return since, err
		}
	}
	return max(version, since), nil
}

func (r *tableReader) readAll(ctx context.Context) (uint64, error) {
	if r.start != nil {
		if err := r.start(ctx); err != nil {
			return 0, err
		}
	}
	rows, version, err := r.store.Snapshot(ctx, r.table)
	if err != nil {
		return 0, err
	}
	for _, row := range rows {
		if err := r.take(ctx, platform.Change{Row: row}); err != nil {
			return 0, err
		}
	}
	return version, nil
}

// follow calls step until ctx ends: once at the start, then while it is this node's turn.
func (t *storeTurn) follow(ctx context.Context, link *dependency, step func(ctx context.Context, since uint64, wait time.Duration) (uint64, error)) {
	since := uint64(0)
	for ctx.Err() == nil {
		if since != 0 && !t.reads() && !link.isLost() {
			clock.Sleep(ctx, turnTick)
			continue
		}
		wait := storePoll
		if link.isLost() {
			wait = 0 // the others are to know at once that the store answers again
		}
		var err error
		if since, err = step(ctx, since, wait); err != nil && ctx.Err() == nil {
			link.fail(err)
			clock.Sleep(ctx, t.pause())
			continue
		}
		link.regained()
	}
}

// dependency logs each loss and return of something a node depends on, once.
type dependency struct {
	log  *logrus.Entry
	name string
	// lost counts the dependencies of the node that are lost.
	lost  *atomic.Int32
	since time.Time
}

func (d *dependency) isLost() bool { return !d.since.IsZero() }

func (d *dependency) fail(err error) {
	if !d.isLost() {
		d.since = time.Now()
		d.lost.Add(1)
		d.log.WithError(err).WithField(logline.Dependency, d.name).Warning(logline.DependencyLost)
	}
}

func (d *dependency) regained() {
	if d.isLost() {
		d.log.WithFields(logrus.Fields{logline.Dependency: d.name, "after": fmt.Sprint(time.Since(d.since))}).Info(logline.DependencyRegained)
		d.lost.Add(-1)
		d.since = time.Time{}
	}
}
