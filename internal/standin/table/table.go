// Package table is an in-memory stand-in for the transactional table service, with fault injection from a seed.
//
// The only clock is package time, so that the stand-in runs in virtual time inside testing/synctest. Each random choice
// is a hash of the seed, the client, the operation, the key and the number of this client's calls of the operation on
// this key. The key of List is the prefix, that of Commit the first row. A choice therefore does not depend on how
// goroutines that use other keys are scheduled, and a failing schedule can be replayed from its seed.
package table

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

// historyRetention is the time for which old row versions are retained for stale reads.
const historyRetention = time.Minute

// Outage is the way in which calls fail during an outage of the service.
type Outage int

// Kinds of outages.
const (
	NoOutage Outage = iota
	// Refusing makes calls return ErrUnavailable immediately.
	Refusing
	// Hanging makes calls block until their context ends; no write takes effect.
	Hanging
)

// Faults are the injected faults. Percentages are of the calls that no other fault affects.
type Faults struct {
	Outage Outage
	// MinLatency and MaxLatency bound the duration of one call. A write takes effect after half of it.
	MinLatency, MaxLatency time.Duration
	// LostPercent of writes take effect but return ErrOutcomeUnknown.
	LostPercent int
	// LostHangs makes these writes return when the caller's context ends instead of immediately.
	LostHangs bool
	// LatePercent of writes return ErrOutcomeUnknown and take effect up to MaxLate later, if their conditions hold
	// then.
	LatePercent int
	MaxLate     time.Duration
	// StalePercent of reads return the state of up to MaxStale ago (at most a minute).
	StalePercent int
	MaxStale     time.Duration
}

// Options configure a Table.
type Options struct {
	Seed uint64
}

// Counts are the numbers of calls since New, including refused ones.
type Counts struct {
	Reads   uint64 // Get and List
	Commits uint64
	// RowWrites is the number of rows written or deleted.
	RowWrites uint64
}

type rowID struct{ table, key string }

type version struct {
	at     time.Time
	row    platform.Row
	exists bool
	number uint64 // also of a deletion
}

// Table implements platform.Table. Use Client for callers with their own faults.
type Table struct {
	*Client
	seed    uint64
	reads   atomic.Uint64
	commits atomic.Uint64
	writes  atomic.Uint64

	mu         sync.Mutex
	era        uint64
	lastNumber uint64
	histories  map[rowID][]version // in order of time; the last one is current
}

// Client is the view of the table that one caller has, with faults of its own.
type Client struct {
	t    *Table
	name string

	// eras holds the eras that this client has seen.
	eras platform.Eras

	mu     sync.Mutex
	faults Faults
	calls  map[string]uint64
}

var (
	_ platform.Table = (*Table)(nil)
	_ platform.Table = (*Client)(nil)
)

// New returns an empty table without faults.
func New(o Options) *Table {
	t := &Table{seed: o.Seed, histories: map[rowID][]version{}}
	t.Client = t.NewClient("")
	return t
}

// NewClient returns a client with its own faults and random choices, which depend on name.
func (t *Table) NewClient(name string) *Client {
	return &Client{t: t, name: name, calls: map[string]uint64{}}
}

// Counts returns the numbers of calls so far.
func (t *Table) Counts() Counts {
	return Counts{Reads: t.reads.Load(), Commits: t.commits.Load(), RowWrites: t.writes.Load()}
}

// ReturnFromCopy replaces all rows by those of a copy that is age old, at most a minute, and starts a new era. Numbers of
// versions continue from those of the copy. Writes that are under way take effect on the rows of the copy.
func (t *Table) ReturnFromCopy(age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	cut := now.Add(-min(age, historyRetention))
	t.era++
	t.lastNumber = 0
	for id, history := range t.histories {
		n := len(history)
		for n > 0 && history[n-1].at.After(cut) {
			n--
		}
		copied := current(history[:n])
		copied.at = now
		if copied.exists {
			copied.row.Version = platform.MakeVersion(t.era, copied.number)
		}
		t.lastNumber = max(t.lastNumber, copied.number)
		t.histories[id] = append(history[:n:n], copied)
	}
}

func (t *Table) currentEra() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.era
}

// Era implements platform.Table.
func (c *Client) Era() (uint64, <-chan struct{}) { return c.eras.Newest() }

// SetFaults replaces the faults of this client. Calls that have already started keep the earlier ones.
func (c *Client) SetFaults(f Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
}

// randomSequence generates the random numbers of one call.
type randomSequence struct {
	prefix string
	n      int
}

func (rng *randomSequence) next() uint64 {
	rng.n++
	return xxhash.Sum64String(fmt.Sprintf("%s/%d", rng.prefix, rng.n))
}

func (rng *randomSequence) percent(p int) bool { return rng.next()%100 < uint64(max(p, 0)) }

func (rng *randomSequence) between(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(rng.next()%uint64(high-low+1))
}

func (c *Client) startCall(op, key string) (Faults, *randomSequence) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := op + "/" + key
	c.calls[id]++
	return c.faults, &randomSequence{prefix: fmt.Sprintf("%d/%s/%s/%d", c.t.seed, c.name, id, c.calls[id])}
}

// read applies the faults of a read and returns the time as of which it reads the state.
func (c *Client) read(ctx context.Context, op, key string) (time.Time, error) {
	c.t.reads.Add(1)
	f, rng := c.startCall(op, key)
	switch f.Outage {
	case Refusing:
		return time.Time{}, platform.ErrUnavailable
	case Hanging:
		<-ctx.Done()
		return time.Time{}, fmt.Errorf("table: read: %w", ctx.Err())
	}
	if !clock.Sleep(ctx, rng.between(f.MinLatency, f.MaxLatency)) {
		return time.Time{}, fmt.Errorf("table: read: %w", ctx.Err())
	}
	at := time.Now()
	c.eras.Observe(c.t.currentEra())
	if rng.percent(f.StalePercent) {
		at = at.Add(-rng.between(0, min(f.MaxStale, historyRetention)))
	}
	return at, nil
}

// Get implements platform.Table.
func (c *Client) Get(ctx context.Context, table, key string) (platform.Row, error) {
	at, err := c.read(ctx, "get", table+"/"+key)
	if err != nil {
		return platform.Row{}, err
	}
	c.t.mu.Lock()
	defer c.t.mu.Unlock()
	v := asOf(c.t.histories[rowID{table, key}], at)
	if !v.exists {
		return platform.Row{}, platform.ErrNotFound
	}
	return copyRow(v.row), nil
}

// List implements platform.Table.
func (c *Client) List(ctx context.Context, table, prefix, after string, limit int) ([]platform.Row, error) {
	at, err := c.read(ctx, "list", table+"/"+prefix)
	if err != nil {
		return nil, err
	}
	c.t.mu.Lock()
	defer c.t.mu.Unlock()
	var out []platform.Row
	for id, history := range c.t.histories {
		if id.table != table || !strings.HasPrefix(id.key, prefix) || id.key <= after {
			continue
		}
		if v := asOf(history, at); v.exists {
			out = append(out, copyRow(v.row))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out[:min(len(out), max(limit, 0))], nil
}

// Commit implements platform.Table. A transaction that names a row twice is refused.
func (c *Client) Commit(ctx context.Context, mutations []platform.Mutation) ([]uint64, error) {
	if err := checkDistinct(mutations); err != nil {
		return nil, err
	}
	c.t.commits.Add(1)
	key := ""
	if len(mutations) > 0 {
		key = mutations[0].Table + "/" + mutations[0].Key
	}
	f, rng := c.startCall("commit", key)
	switch f.Outage {
	case Refusing:
		return nil, platform.ErrUnavailable
	case Hanging:
		<-ctx.Done()
		return nil, platform.ErrOutcomeUnknown
	}
	return c.commit(ctx, f, rng, copyMutations(mutations))
}

func (c *Client) commit(ctx context.Context, f Faults, rng *randomSequence, mutations []platform.Mutation) ([]uint64, error) {
	era, _ := c.eras.Newest()
	for i, m := range mutations {
		mutations[i].If.Version = platform.ConditionNumber(m.If, era)
	}
	halfLatency := rng.between(f.MinLatency, f.MaxLatency) / 2
	started := time.Now()
	takesEffect := rng.percent(50)
	if !clock.Sleep(ctx, halfLatency) {
		// The request was in transit when the caller stopped waiting; half of such writes still take effect.
		if takesEffect {
			time.AfterFunc(halfLatency-time.Since(started), func() { _, _ = c.t.apply(mutations) })
		}
		return nil, platform.ErrOutcomeUnknown
	}
	if rng.percent(f.LatePercent) {
		time.AfterFunc(rng.between(1, f.MaxLate), func() { _, _ = c.t.apply(mutations) })
		return nil, platform.ErrOutcomeUnknown
	}
	versions, err := c.t.apply(mutations)
	if rng.percent(f.LostPercent) {
		if f.LostHangs {
			<-ctx.Done()
		}
		return nil, platform.ErrOutcomeUnknown
	}
	if !clock.Sleep(ctx, halfLatency) {
		return nil, platform.ErrOutcomeUnknown
	}
	c.eras.Observe(c.t.currentEra())
	if now, _ := c.eras.Newest(); now != era && err == nil && platform.HasVersionCondition(mutations) {
		return nil, platform.ErrOutcomeUnknown
	}
	return versions, err
}

// apply evaluates the conditions and writes all rows or none.
func (t *Table) apply(mutations []platform.Mutation) ([]uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var failed []int
	for i, m := range mutations {
		if !conditionHolds(m.If, current(t.histories[rowID{m.Table, m.Key}])) {
			failed = append(failed, i)
		}
	}
	if len(failed) > 0 {
		return nil, &platform.ConflictError{Failed: failed}
	}
	versions := make([]uint64, len(mutations))
	for i, m := range mutations {
		versions[i] = t.applyOne(now, m)
	}
	return versions, nil
}

func (t *Table) applyOne(now time.Time, m platform.Mutation) uint64 {
	id := rowID{m.Table, m.Key}
	history := t.histories[id]
	if m.CheckOnly {
		return current(history).row.Version
	}
	t.writes.Add(1)
	t.lastNumber++
	v := version{at: now, exists: !m.Delete, number: t.lastNumber}
	if v.exists {
		v.row = platform.Row{Key: m.Key, Value: m.Value, Version: platform.MakeVersion(t.era, v.number)}
	}
	t.histories[id] = append(prune(history, now), v)
	return v.row.Version
}

// prune drops versions that no stale read can return any more. One older version stays as the state at the start of the
// retention period.
func prune(history []version, now time.Time) []version {
	cut := now.Add(-historyRetention)
	for len(history) > 1 && history[1].at.Before(cut) {
		history = history[1:]
	}
	return history
}

func conditionHolds(cond platform.Condition, v version) bool {
	switch cond.Kind {
	case platform.Always:
		return true
	case platform.Absent:
		return !v.exists
	case platform.VersionIs:
		// The service knows numbers only: after a return, a number may belong to other content than before.
		return v.exists && v.number == cond.Version
	}
	return false
}

func current(history []version) version {
	if len(history) == 0 {
		return version{}
	}
	return history[len(history)-1]
}

func asOf(history []version, at time.Time) version {
	for i := len(history) - 1; i >= 0; i-- {
		if !history[i].at.After(at) {
			return history[i]
		}
	}
	return version{}
}

func copyRow(r platform.Row) platform.Row {
	r.Value = append([]byte(nil), r.Value...)
	return r
}

func copyMutations(in []platform.Mutation) []platform.Mutation {
	out := append([]platform.Mutation(nil), in...)
	for i := range out {
		out[i].Value = append([]byte(nil), out[i].Value...)
	}
	return out
}

func checkDistinct(mutations []platform.Mutation) error {
	seen := make(map[rowID]bool, len(mutations))
	for _, m := range mutations {
		id := rowID{m.Table, m.Key}
		if seen[id] {
			return errors.New("table: a transaction names a row twice")
		}
		seen[id] = true
	}
	return nil
}
