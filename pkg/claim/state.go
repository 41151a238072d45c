package claim

import (
	"context"
	"sync"
	"time"

	"github.com/pollenlug/pollenlug/pkg/code"
)

// phase is the state of an attempt on its node. It moves from claiming to running and finished, or to failed.
type phase int

const (
	// claiming: the claim is not confirmed; nothing was sent.
	claiming phase = iota
	// running: the call may have been sent.
	running
	// finished: the outcome is known.
	finished
	// failed: the attempt was not sent and never will be, or its outcome is unknown.
	failed
)

// entry is one attempt of this node. The lock of its shard guards all fields that change.
type entry struct {
	key, attempt string
	digest       [32]byte

	phase phase
	// waiters is the number of callers that wait for the result.
	waiters int
	// otherMayHaveRun is set while a row of another attempt may exist and that attempt may have run.
	otherMayHaveRun bool
	outcome         Outcome
	err             *code.Error
	// done is closed when outcome or err is set.
	done chan struct{}
}

func (e *entry) isDone() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

// result returns the outcome or the error. It may only be called once answered is closed.
func (e *entry) result() (Outcome, error) {
	if e.err != nil {
		return Outcome{}, e.err
	}
	return e.outcome, nil
}

// keptItem is an attempt or an attempt id that stays in memory until a given time, see Options.Keep.
type keptItem struct {
	until   time.Time
	entry   *entry // or nil
	attempt string // an abandoned attempt
}

type shard struct {
	mu sync.Mutex
	// entries holds, by row key, the open attempt or the one whose outcome is kept in memory.
	entries map[string]*entry
	// abandoned holds the ids of attempts that were not sent and never will be.
	abandoned map[string]struct{}
	// kept is in ascending order of time, because all items are kept for Options.Keep.
	kept []keptItem
}

// The methods below require the shard's lock.

func (s *shard) remove(e *entry) {
	if s.entries[e.key] == e {
		delete(s.entries, e.key)
	}
}

func (s *shard) setResult(e *entry, outcome Outcome, err *code.Error) {
	if e.isDone() {
		return
	}
	e.outcome = outcome
	e.err = err
	close(e.done)
}

// abandon ends an attempt that was not sent, so that it never will be.
func (s *shard) abandon(e *entry, refusal *code.Error) {
	e.phase = failed
	s.abandoned[e.attempt] = struct{}{}
	s.remove(e)
	s.setResult(e, Outcome{}, refusal)
}

func (s *shard) keep(item keptItem) {
	s.kept = append(s.kept, item)
}

// dropExpiredItems drops the items whose time has passed. Expired rows are deleted by Purge.
func (s *shard) dropExpiredItems(now time.Time) {
	n := 0
	for n < len(s.kept) && !now.Before(s.kept[n].until) {
		if e := s.kept[n].entry; e != nil {
			s.remove(e)
		}
		delete(s.abandoned, s.kept[n].attempt)
		n++
	}
	if n == 0 {
		return
	}
	clear(s.kept[:n]) // releases the outcomes although the slice keeps its backing array
	s.kept = s.kept[n:]
}

// counter is a concurrent counter that callers can wait on to reach zero.
type counter struct {
	mu   sync.Mutex
	n    int
	zero chan struct{} // closed at zero; nil when no caller waits
}

func (c *counter) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
}

func (c *counter) tryAdd(limit int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n >= limit {
		return false
	}
	c.n++
	return true
}

func (c *counter) done() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n--
	if c.n == 0 && c.zero != nil {
		close(c.zero)
		c.zero = nil
	}
}

func (c *counter) value() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n
}

func (c *counter) waitZero(ctx context.Context) error {
	c.mu.Lock()
	if c.n == 0 {
		c.mu.Unlock()
		return nil
	}
	if c.zero == nil {
		c.zero = make(chan struct{})
	}
	zero := c.zero
	c.mu.Unlock()
	select {
	case <-zero:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
