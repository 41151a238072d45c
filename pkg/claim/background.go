package claim

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

// Backoff between two attempts of a background write.
const (
	minWriteBackoff = 100 * time.Millisecond
	maxWriteBackoff = 5 * time.Second
)

// maxWriteConflicts bounds the attempts of a background write whose condition fails while reads do not show why. At
// maxWriteBackoff they take several times longer than reads stay stale.
const maxWriteConflicts = 12

// backgroundWrite writes the state DONE or CANCELLED. It is repeated until it is confirmed or superseded, or until
// maxWriteConflicts is exceeded. It counts as open, so that MaxOpen bounds the number of background writes that end
// attempts of this node. storeOutcomeOfOtherNode does not check MaxOpen.
type backgroundWrite struct {
	c         *Claims
	key       string
	attempt   string
	state     pb.ClaimRow_State
	value     []byte
	cond      platform.Condition
	wait      time.Duration
	conflicts int
	// finish is called once, when the write ends.
	finish func()
}

// cancellationWrite returns a write of CANCELLED for an abandoned attempt. If the attempt's row was confirmed, cond names
// its version and the write replaces the row. Otherwise cond is the condition of the attempt's last write, so that a late
// write of the attempt can no longer take effect.
func (c *Claims) cancellationWrite(e *entry, cond platform.Condition) *backgroundWrite {
	w := &backgroundWrite{c: c, key: e.key, attempt: e.attempt, state: pb.ClaimRow_CANCELLED, cond: cond}
	w.value = c.row(e, pb.ClaimRow_CANCELLED, nil)
	w.finish = func() {
		c.withLock(e, func(s *shard) {
			// Other nodes may read the DISPATCHED row for a few more seconds.
			s.keep(keptItem{until: c.o.Now().Add(c.o.Keep), attempt: e.attempt})
		})
	}
	return w
}

// outcomeWrite returns a write of DONE for an attempt of this node. The attempt stays in memory until the write ends and
// for Options.Keep after that.
func (c *Claims) outcomeWrite(e *entry, version uint64, out Outcome) *backgroundWrite {
	w := &backgroundWrite{c: c, key: e.key, attempt: e.attempt, state: pb.ClaimRow_DONE}
	w.cond = platform.Condition{Kind: platform.VersionIs, Version: version}
	w.value = c.row(e, pb.ClaimRow_DONE, out.toPB())
	w.finish = func() {
		c.withLock(e, func(s *shard) { s.keep(keptItem{until: c.o.Now().Add(c.o.Keep), entry: e}) })
	}
	return w
}

// storeOutcomeOfOtherNode writes DONE for an attempt of another node, with an outcome that the service has confirmed.
func (c *Claims) storeOutcomeOfOtherNode(key string, version uint64, row *pb.ClaimRow, out Outcome) {
	done := proto.Clone(row).(*pb.ClaimRow)
	done.State = pb.ClaimRow_DONE
	done.Outcome = out.toPB()
	done.ExpiresUnixMs = c.expiry()
	w := &backgroundWrite{c: c, key: key, attempt: row.Attempt, state: pb.ClaimRow_DONE, value: marshal(done), finish: func() {}}
	w.cond = platform.Condition{Kind: platform.VersionIs, Version: version}
	c.open.add()
	w.start()
}

// start begins the write. The caller must already have counted it as open.
func (w *backgroundWrite) start() {
	w.c.background.add()
	w.wait = minWriteBackoff
	w.try()
}

func (w *backgroundWrite) end() {
	if w.state == pb.ClaimRow_DONE {
		w.c.remember(w.key, w.value)
	} else {
		w.c.forget(w.key)
	}
	w.finish()
	w.c.background.done()
	w.c.open.done()
}

func (w *backgroundWrite) try() {
	m := platform.Mutation{Table: TableName, Key: w.key, Value: w.value, If: w.cond}
	w.c.group.submit(write{ctx: context.Background(), m: m, done: w.committed})
}

func (w *backgroundWrite) committed(_ uint64, err error) {
	if err == nil {
		w.end()
		return
	}
	if errors.Is(err, platform.ErrUnavailable) {
		w.retryLater()
		return
	}
	if errors.Is(err, errConflict) {
		w.conflicts++
	}
	go w.readBack()
}

// retryLater tries again after an exponential delay with jitter.
func (w *backgroundWrite) retryLater() {
	wait := w.wait/2 + time.Duration(w.c.o.Jitter()*float64(w.wait/2))
	w.wait = min(2*w.wait, maxWriteBackoff)
	time.AfterFunc(wait, w.try)
}

// readBack determines why the condition failed, or whether a write with an unknown outcome took effect.
func (w *backgroundWrite) readBack() {
	if w.conflicts > maxWriteConflicts {
		w.end()
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), w.c.o.StoreTimeout)
	defer cancel()
	r, err := w.c.o.Table.Get(ctx, TableName, w.key)
	var row pb.ClaimRow
	if err != nil || proto.Unmarshal(r.Value, &row) != nil {
		w.retryLater()
		return
	}
	switch {
	case row.Attempt == w.attempt && row.State == w.state:
		w.end()
	case row.Attempt == w.attempt:
		// An earlier write of this attempt took effect late, or the read is stale.
		stale := w.cond.Kind == platform.VersionIs && r.Version <= w.cond.Version
		w.cond = platform.Condition{Kind: platform.VersionIs, Version: max(r.Version, w.cond.Version)}
		if stale {
			w.retryLater()
			return
		}
		w.try()
	case w.cond.Kind == platform.VersionIs && r.Version <= w.cond.Version:
		w.retryLater() // the read is stale
	default:
		w.end() // another attempt has replaced the row
	}
}
