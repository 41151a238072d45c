package claim

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

// Waits between two tries of a background write.
const (
	firstTaskWait = 100 * time.Millisecond
	maxTaskWait   = 5 * time.Second
)

// maxTaskConflicts bounds the tries of a background write whose condition fails while the read-back does not show
// why. At maxTaskWait they last several times longer than a read is stale.
const maxTaskConflicts = 12

// task is a background write of the state DONE or CANCELLED. It is repeated until it is confirmed or superseded,
// and it counts as open, so that MaxOpen bounds the number of tasks.
type task struct {
	c         *Claims
	key       string
	attempt   string
	state     pb.ClaimRow_State
	value     []byte
	cond      platform.Condition
	wait      time.Duration
	conflicts int
	// finish is called once, at the end.
	finish func()
}

// cancellation writes CANCELLED over the row of an abandoned attempt, or in place of it under the condition of its last
// write, so that a late write of the attempt cannot take effect any more.
func (c *Claims) cancellation(e *entry, cond platform.Condition) *task {
	t := &task{c: c, key: e.key, attempt: e.attempt, state: pb.ClaimRow_CANCELLED, cond: cond}
	t.value = c.row(e, pb.ClaimRow_CANCELLED, nil)
	t.finish = func() {
		c.locked(e, func(s *shard) {
			// Other nodes may read the DISPATCHED row for a few more seconds.
			s.keep(keptItem{until: c.o.Now().Add(c.o.Keep), attempt: e.attempt})
		})
	}
	return t
}

// ownOutcome writes DONE for an attempt of this node, which stays in memory until then and for Options.Keep
// longer.
func (c *Claims) ownOutcome(e *entry, version uint64, out Outcome) *task {
	t := &task{c: c, key: e.key, attempt: e.attempt, state: pb.ClaimRow_DONE}
	t.cond = platform.Condition{Kind: platform.VersionIs, Version: version}
	t.value = c.row(e, pb.ClaimRow_DONE, out.toPB())
	t.finish = func() {
		c.locked(e, func(s *shard) { s.keep(keptItem{until: c.o.Now().Add(c.o.Keep), entry: e}) })
	}
	return t
}

// storeOutcome writes DONE for an attempt of another node, with an outcome that the service has confirmed.
func (c *Claims) storeOutcome(key string, version uint64, row *pb.ClaimRow, out Outcome) {
	done := proto.Clone(row).(*pb.ClaimRow)
	done.State = pb.ClaimRow_DONE
	done.Outcome = out.toPB()
	done.ExpiresUnixMs = c.expiry()
	t := &task{c: c, key: key, attempt: row.Attempt, state: pb.ClaimRow_DONE, value: marshal(done), finish: func() {}}
	t.cond = platform.Condition{Kind: platform.VersionIs, Version: version}
	c.open.add()
	t.start()
}

// start begins the write. The caller has counted it among the open ones.
func (t *task) start() {
	t.c.background.add()
	t.wait = firstTaskWait
	t.try()
}

func (t *task) end() {
	t.finish()
	t.c.background.done()
	t.c.open.done()
}

func (t *task) try() {
	m := platform.Mutation{Table: TableName, Key: t.key, Value: t.value, If: t.cond}
	t.c.group.submit(write{ctx: context.Background(), m: m, done: t.tried})
}

func (t *task) tried(_ uint64, err error) {
	if err == nil {
		t.end()
		return
	}
	if errors.Is(err, platform.ErrUnavailable) {
		t.later()
		return
	}
	if errors.Is(err, errConflict) {
		t.conflicts++
	}
	go t.readBack()
}

// later tries again after an exponential delay with jitter.
func (t *task) later() {
	wait := t.wait/2 + time.Duration(t.c.o.Jitter()*float64(t.wait/2))
	t.wait = min(2*t.wait, maxTaskWait)
	time.AfterFunc(wait, t.try)
}

// readBack finds out why the condition failed, or whether a write of unknown outcome took effect.
func (t *task) readBack() {
	if t.conflicts > maxTaskConflicts {
		t.end()
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), t.c.o.StoreTimeout)
	defer cancel()
	r, err := t.c.o.Table.Get(ctx, TableName, t.key)
	var row pb.ClaimRow
	if err != nil || proto.Unmarshal(r.Value, &row) != nil {
		t.later()
		return
	}
	switch {
	case row.Attempt == t.attempt && row.State == t.state:
		t.end()
	case row.Attempt == t.attempt:
		// A write of this attempt has taken effect late, or the read is stale.
		stale := t.cond.Kind == platform.VersionIs && r.Version <= t.cond.Version
		t.cond = platform.Condition{Kind: platform.VersionIs, Version: max(r.Version, t.cond.Version)}
		if stale {
			t.later()
			return
		}
		t.try()
	case t.cond.Kind == platform.VersionIs && r.Version <= t.cond.Version:
		t.later() // the read is stale
	default:
		t.end() // another attempt has replaced the row
	}
}
