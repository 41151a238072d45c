package claim

import (
	"context"
	"sync"
	"time"

	"github.com/pollenlug/pollenlug/pkg/code"
)

// phase is the state of an attempt on its node. It moves from claiming to running and finished, or to given up.
type phase int

const (
	// claiming: the claim is not confirmed; nothing was sent.
	claiming phase = iota
	// running: the call may have been sent.
	running
	// finished: the outcome is known.
	finished
	// givenUp: the attempt was not sent and never will be, or its outcome is unknown.
	givenUp
)

// entry is one attempt of this node. The lock of its shard guards all fields that change.
type entry struct {
	key, attempt string
	digest       [32]byte

	phase phase
	// waiters is the number of callers that wait for the answer.
	waiters int
	// othersRow is set while the row of another attempt may exist that may have run.
	othersRow bool
	outcome   Outcome
	err       *code.Error
	// answered is closed when outcome or err is set.
	answered chan struct{}
}

func (e *entry) isAnswered() bool {
	select {
	case <-e.answered:
		return true
	default:
		return false
	}
}

// result returns the answer; it must be set.
func (e *entry) result() (Outcome, error) {
	if e.err != nil {
		return Outcome{}, e.err
	}
	return e.outcome, nil
}

// keptItem is something that is dropped from memory at a time.
type keptItem struct {
	until   time.Time
	entry   *entry // or nil
	attempt string // an abandoned attempt
}

type shard struct {
	mu sync.Mutex
	// entries has the open attempt of each key, or one whose outcome is kept.
	entries map[string]*entry
	// abandoned has the ids of attempts that were not sent and never will be.
	abandoned map[string]struct{}
	// kept is ascending by time, because all items are kept for the same time.
	kept []keptItem
}

// The methods below require that the shard is locked.

func (s *shard) remove(e *entry) {
	if s.entries[e.key] == e {
		delete(s.entries, e.key)
	}
}

func (s *shard) answer(e *entry, outcome Outcome, err *code.Error) {
	if e.isAnswered() {
		return
	}
	e.outcome = outcome
	e.err = err
	close(e.answered)
}

// abandon makes sure that an attempt that was not sent never will be.
func (s *shard) abandon(e *entry, refusal *code.Error) {
	e.phase = givenUp
	s.abandoned[e.attempt] = struct{}{}
	s.remove(e)
	s.answer(e, Outcome{}, refusal)
}

func (s *shard) keep(item keptItem) {
	s.kept = append(s.kept, item)
}

func (s *shard) dropOld(now time.Time) {
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
	clear(s.kept[:n]) // releases the outcomes while the slice keeps its memory
	s.kept = s.kept[n:]
}

// counter is a number that can be waited for.
type counter struct {
	mu   sync.Mutex
	n    int
	zero chan struct{} // closed at zero; nil when nobody waits
}

func (c *counter) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
}

func (c *counter) addBelow(limit int) bool {
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
