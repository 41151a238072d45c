package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/logline"
	"github.com/pollenlug/pollenlug/internal/metrics"
	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

const (
	// eraTable and eraKey name the row that holds the newest era whose rows have settled.
	eraTable = "era"
	eraKey   = "settled"
	// returnSettleTime is how long after a return of the store its rows may lack what their writers had written:
	// servers and operators write it again within two seconds.
	returnSettleTime = vanishedRowGrace
	// rewriteSpread is the time over which the nodes write their rows again, so that a large deployment stays within the
	// store's rate.
	rewriteSpread = 1500 * time.Millisecond
	// eraStoreTimeout limits one store call of storeReturn.
	eraStoreTimeout = 2 * time.Second
)

// storeReturn tracks the eras of the store: it notices when the store has returned from a copy, has the lost rows
// written again, and keeps a node that starts shortly after a return from trusting rows that may be out of date.
type storeReturn struct {
	store   Store
	log     *logrus.Entry
	metrics *metrics.Set
	readers *readerSelection
	// returned is called in every node that runs while the store returns, rewrite after a part of rewriteSpread.
	returned func()
	rewrite  func(ctx context.Context, era uint64)

	// settled is closed once the rows of the store can be trusted; a node that runs during a return has memory that is
	// newer than the rows and never waits.
	settled chan struct{}

	mu sync.Mutex
	// held is set if settled was closed only after returnSettleTime.
	held bool
	// era is the era that this node has noticed, at is when it did if the era began by a return, and rowEra is the era in
	// the row.
	era, rowEra uint64
	at          time.Time
}

// lastReturn returns the era that this node has noticed and when it began, or the zero time if it is the first one that
// the deployment has seen.
func (r *storeReturn) lastReturn() (at time.Time, era uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.at, r.era
}

// awaitSettled waits, in a node that starts shortly after a return, until the rows can be trusted. It reports whether it
// has waited, so that rows read before must be read again.
func (r *storeReturn) awaitSettled(ctx context.Context) (held bool, err error) {
	select {
	case <-r.settled:
		return false, nil
	default:
	}
	select {
	case <-r.settled:
	case <-ctx.Done():
		return false, ctx.Err()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held, nil
}

// run tracks the eras until ctx ends.
func (r *storeReturn) run(ctx context.Context, firstStart bool) {
	if firstStart {
		close(r.settled) // there was nothing that a return could have lost
	}
	if !r.start(ctx, firstStart) {
		return
	}
	for {
		era, changed := r.store.Era()
		if era != r.knownEra() {
			r.noticeReturn(ctx, era)
			continue
		}
		select {
		case <-changed:
		case <-time.After(selectionInterval):
			r.writeRow(ctx, time.Now())
		case <-ctx.Done():
			return
		}
	}
}

func (r *storeReturn) knownEra() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.era
}

// start reads the row of the settled era. If the store has returned since, it waits for returnSettleTime before it
// closes settled. It returns false if ctx ended first.
func (r *storeReturn) start(ctx context.Context, firstStart bool) bool {
	dep := dependency{log: r.log, name: "store era", lost: r.readers.lost}
	var row *pb.EraRow
	for {
		var err error
		if row, err = r.readRow(ctx); err == nil {
			break
		}
		if ctx.Err() != nil {
			return false
		}
		dep.markLost(err)
		if !clock.Sleep(ctx, r.readers.retryDelay()) {
			return false
		}
	}
	dep.markAvailable()
	now := time.Now()
	era, _ := r.store.Era()
	r.mu.Lock()
	r.era, r.rowEra = era, row.Era
	if row.Era == era && row.ReturnedUnixMillis != 0 {
		r.at = time.UnixMilli(row.ReturnedUnixMillis)
	}
	returned := row.Era != era && !firstStart
	if returned {
		r.at, r.held = now, true
	}
	r.mu.Unlock()
	r.metrics.Gauge("store_era", int64(era))
	if firstStart {
		return true
	}
	if returned {
		r.log.WithFields(logrus.Fields{"era": era, "before": row.Era, "starting": true}).Warning(logline.StoreReturned)
		if !clock.Sleep(ctx, returnSettleTime) {
			return false
		}
		r.log.WithField("era", era).Info(logline.StoreSettled)
	}
	close(r.settled)
	return true
}

// readRow returns the row of the settled era; without a row it is era 0.
func (r *storeReturn) readRow(ctx context.Context) (*pb.EraRow, error) {
	ctx, cancel := context.WithTimeout(ctx, eraStoreTimeout)
	defer cancel()
	row, err := r.store.Get(ctx, eraTable, eraKey)
	if errors.Is(err, platform.ErrNotFound) {
		return &pb.EraRow{}, nil
	}
	if err != nil {
		return nil, err
	}
	message := &pb.EraRow{}
	return message, proto.Unmarshal(row.Value, message)
}

// noticeReturn handles a return of the store while this node runs.
func (r *storeReturn) noticeReturn(ctx context.Context, era uint64) {
	now := time.Now()
	r.mu.Lock()
	before := r.era
	r.era, r.at = era, now
	r.mu.Unlock()
	r.metrics.Gauge("store_era", int64(era))
	r.metrics.Add("store_returns", 1)
	r.log.WithFields(logrus.Fields{"era": era, "before": before}).Warning(logline.StoreReturned)
	r.returned()
	go func() {
		if clock.Sleep(ctx, rand.N(rewriteSpread)) {
			r.rewrite(ctx, era)
		}
	}()
}

// writeRow records that the rows of the current era have settled. One node does so; a second writer would do no harm.
func (r *storeReturn) writeRow(ctx context.Context, now time.Time) {
	r.mu.Lock()
	era, at, due := r.era, r.at, r.era != r.rowEra && now.Sub(r.at) > returnSettleTime
	r.mu.Unlock()
	if !due || r.readers.lost.Load() > 0 || r.readers.readerRank() != 0 {
		return
	}
	row := &pb.EraRow{Era: era}
	if !at.IsZero() {
		row.ReturnedUnixMillis = at.UnixMilli()
	}
	value, err := proto.Marshal(row)
	if err != nil {
		r.log.WithError(err).Error("row of the settled era cannot be encoded")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, eraStoreTimeout)
	defer cancel()
	if _, err := r.store.Commit(ctx, []platform.Mutation{{Table: eraTable, Key: eraKey, Value: value}}); err != nil {
		r.log.WithError(err).Info("writing row of the settled era failed")
		clock.Sleep(ctx, readerRetryDelay)
		return
	}
	r.mu.Lock()
	r.rowEra = era
	r.mu.Unlock()
	r.log.WithField("era", era).Info(logline.StoreSettled)
}
