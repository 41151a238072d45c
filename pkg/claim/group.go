package claim

import (
	"context"
	"errors"
	"sort"
	"sync"
	"time"

	"github.com/pollenlug/pollenlug/pkg/platform"
)

// errConflict means that the condition of a write did not hold and that the row was not written.
var errConflict = errors.New("claim: condition does not hold")

// write is one row write of a group.
type write struct {
	// ctx cancels the write. A cancelled write is left out of transactions that start later.
	ctx context.Context
	m   platform.Mutation
	// done is called once, with the row's new version or errConflict, ErrUnavailable or ErrOutcomeUnknown.
	done func(version uint64, err error)
}

// groupCommitter commits the writes of a node in groups, because the table service allows only several hundred
// transactions per second for all nodes together.
type groupCommitter struct {
	table   platform.Table
	wait    time.Duration
	rows    int
	timeout time.Duration

	mu     sync.Mutex
	writes []write
	timer  *time.Timer
}

// submit adds a write to the current group.
func (g *groupCommitter) submit(w write) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.contains(w.m.Key) {
		// A transaction may write each row only once.
		go g.commitGroup(g.takeGroup())
	}
	g.writes = append(g.writes, w)
	if len(g.writes) >= g.rows {
		go g.commitGroup(g.takeGroup())
		return
	}
	if len(g.writes) == 1 {
		g.startTimer()
	}
}

func (g *groupCommitter) contains(key string) bool {
	for _, w := range g.writes {
		if w.m.Key == key {
			return true
		}
	}
	return false
}

func (g *groupCommitter) startTimer() {
	var timer *time.Timer
	timer = time.AfterFunc(g.wait, func() {
		g.mu.Lock()
		if g.timer != timer {
			g.mu.Unlock()
			return
		}
		group := g.takeGroup()
		g.mu.Unlock()
		g.commitGroup(group)
	})
	g.timer = timer
}

// takeGroup returns the current group and begins a new one.
func (g *groupCommitter) takeGroup() []write {
	group := g.writes
	g.writes = nil
	if g.timer != nil {
		g.timer.Stop()
		g.timer = nil
	}
	return group
}

// commit submits a write and waits for its result. It returns ErrOutcomeUnknown when ctx ends first.
func (g *groupCommitter) commit(ctx context.Context, m platform.Mutation) (uint64, error) {
	type result struct {
		version uint64
		err     error
	}
	results := make(chan result, 1)
	g.submit(write{ctx: ctx, m: m, done: func(version uint64, err error) { results <- result{version, err} }})
	select {
	case r := <-results:
		return r.version, r.err
	case <-ctx.Done():
		return 0, platform.ErrOutcomeUnknown
	}
}

// commitGroup commits the group. When conditions fail, it repeats the commit without those rows until the rest is
// written or the commit fails for another reason.
func (g *groupCommitter) commitGroup(group []write) {
	sort.Slice(group, func(i, j int) bool { return group[i].m.Key < group[j].m.Key })
	for {
		group = dropCancelled(group)
		if len(group) == 0 {
			return
		}
		versions, err := g.commitOnce(group)
		if err == nil {
			for i, w := range group {
				w.done(versions[i], nil)
			}
			return
		}
		var conflict *platform.ConflictError
		if !errors.As(err, &conflict) || len(conflict.Failed) == 0 {
			failAll(group, err)
			return
		}
		group = dropConflicting(group, conflict.Failed)
	}
}

func (g *groupCommitter) commitOnce(group []write) ([]uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), g.timeout)
	defer cancel()
	mutations := make([]platform.Mutation, len(group))
	for i, w := range group {
		mutations[i] = w.m
	}
	return g.table.Commit(ctx, mutations)
}

// dropCancelled returns the writes whose context has not ended. The others fail with ErrUnavailable, as they had no
// effect.
func dropCancelled(group []write) []write {
	rest := group[:0]
	for _, w := range group {
		if w.ctx.Err() != nil {
			w.done(0, platform.ErrUnavailable)
			continue
		}
		rest = append(rest, w)
	}
	return rest
}

func dropConflicting(group []write, failed []int) []write {
	isFailed := make(map[int]bool, len(failed))
	for _, i := range failed {
		isFailed[i] = true
	}
	var rest []write
	for i, w := range group {
		if isFailed[i] {
			w.done(0, errConflict)
			continue
		}
		rest = append(rest, w)
	}
	return rest
}

// failAll fails all writes of the group, with ErrUnavailable if that is the error and with ErrOutcomeUnknown otherwise.
func failAll(group []write, err error) {
	if !errors.Is(err, platform.ErrUnavailable) {
		err = platform.ErrOutcomeUnknown
	}
	for _, w := range group {
		w.done(0, err)
	}
}
