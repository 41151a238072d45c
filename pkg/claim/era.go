package claim

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/code"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

// A table service that returns from a copy (see package platform) may have lost the rows of calls that have run. The
// nodes that wrote them write them again from memory, and no node claims a key that has no row until they had the time
// for it. What a node wrote that has ended meanwhile is lost with it.

const (
	// returnHold is how long after a node has noticed a return it claims nothing. It covers eraPollInterval and the time
	// to write the rows again.
	returnHold = 2500 * time.Millisecond
	// recentWindow is how long a written row is remembered; copies are some seconds old.
	recentWindow = time.Minute
	// eraPollInterval is how often a node that has written rows lately and makes no other call asks for the era.
	eraPollInterval = time.Second
	// maxRewrites bounds the attempts to write one row again, minWriteBackoff apart.
	maxRewrites = 20
)

// recentRow is a row that this node has written.
type recentRow struct {
	value []byte
	at    time.Time
}

// returns tracks the eras of the table service.
type returns struct {
	mu        sync.Mutex
	known     bool
	era       uint64
	holdUntil time.Time
	rows      map[string]recentRow
	prunedAt  time.Time
}

// remember records the row of a call that has run or may run.
func (c *Claims) remember(key string, value []byte) {
	now := c.o.Now()
	r := &c.returns
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rows[key] = recentRow{value, now}
	if now.Sub(r.prunedAt) > recentWindow/4 {
		r.prunedAt = now
		for old, row := range r.rows {
			if now.Sub(row.at) > recentWindow {
				delete(r.rows, old)
			}
		}
	}
}

// forget removes the row of a call that has not run and never will.
func (c *Claims) forget(key string) {
	c.returns.mu.Lock()
	defer c.returns.mu.Unlock()
	delete(c.returns.rows, key)
}

// heldFor returns how long this node still claims nothing because the table service has returned from a copy. It starts
// writing rows again if it notices the return.
func (c *Claims) heldFor() time.Duration {
	era, _ := c.o.Table.Era()
	now := c.o.Now()
	r := &c.returns
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.known && era != r.era {
		r.holdUntil = now.Add(returnHold)
		rows := make(map[string][]byte, len(r.rows))
		for key, row := range r.rows {
			if now.Sub(row.at) <= recentWindow {
				rows[key] = row.value
			}
		}
		go c.rewrite(rows)
	}
	r.known, r.era = true, era
	return max(0, r.holdUntil.Sub(now))
}

// errReturned is the error of a call that is not claimed because rows may be missing.
func (c *Claims) errReturned(wait time.Duration) *code.Error {
	return code.New(code.ClaimStoreUnavailable, "the table service has returned from a copy; claims may be missing").WithRetryAfter(wait)
}

// rewrite writes rows again, unless another row has taken their place.
func (c *Claims) rewrite(rows map[string][]byte) {
	for key, value := range rows {
		go c.rewriteRow(key, value)
	}
}

// rewriteRow writes a row again. A node that had not noticed the return may have claimed the key meanwhile: it does not
// send that call and cancels its claim, which the row then replaces.
func (c *Claims) rewriteRow(key string, value []byte) {
	cond := platform.Condition{Kind: platform.Absent}
	for range maxRewrites {
		ctx, cancel := context.WithTimeout(context.Background(), c.o.StoreTimeout)
		_, err := c.group.commit(ctx, platform.Mutation{Table: TableName, Key: key, Value: value, If: cond})
		if err == nil {
			cancel()
			return
		}
		var found pb.ClaimRow
		if row, err := c.o.Table.Get(ctx, TableName, key); err == nil && proto.Unmarshal(row.Value, &found) == nil &&
			found.State == pb.ClaimRow_CANCELLED {
			cond = platform.Condition{Kind: platform.VersionIs, Version: row.Version}
		}
		cancel()
		time.Sleep(minWriteBackoff)
	}
}

// Run notices returns of the table service while no call is made, until ctx ends.
func (c *Claims) Run(ctx context.Context) {
	for {
		c.heldFor()
		_, changed := c.o.Table.Era()
		select {
		case <-changed:
		case <-time.After(eraPollInterval):
			c.pollEra(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// pollEra makes a read that shows the era, if this node has written rows that could be lost.
func (c *Claims) pollEra(ctx context.Context) {
	c.returns.mu.Lock()
	written := len(c.returns.rows)
	c.returns.mu.Unlock()
	if written == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.o.StoreTimeout)
	defer cancel()
	// The answer shows the era although there is no such row. A failed read is repeated after eraPollInterval.
	_, _ = c.o.Table.Get(ctx, TableName, "")
}
