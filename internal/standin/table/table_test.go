package table

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/pkg/platform"
)

func put(key, value string, cond platform.Condition) []platform.Mutation {
	return []platform.Mutation{{Table: "t", Key: key, Value: []byte(value), If: cond}}
}

var absent = platform.Condition{Kind: platform.Absent}

// Guards against a transaction that writes some rows although another row's condition fails.
func TestConflictWritesNothing(t *testing.T) {
	tab, ctx := New(Options{}), t.Context()
	versions, err := tab.Commit(ctx, put("a", "1", absent))
	assert.NilError(t, err)
	_, err = tab.Commit(ctx, append(put("b", "1", absent), put("a", "2", absent)...))
	var conflict *platform.ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	assert.DeepEqual(t, conflict.Failed, []int{1})
	_, err = tab.Get(ctx, "t", "b")
	assert.ErrorIs(t, err, platform.ErrNotFound)
	_, err = tab.Commit(ctx, []platform.Mutation{{Table: "t", Key: "a", Delete: true,
		If: platform.Condition{Kind: platform.VersionIs, Version: versions[0]}}})
	assert.NilError(t, err)
	again, err := tab.Commit(ctx, put("a", "3", absent))
	assert.NilError(t, err)
	assert.Assert(t, again[0] > versions[0], "a version was reused after a delete")
	rows, err := tab.List(ctx, "t", "", "", 10)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 1)
	assert.Equal(t, tab.Counts(), Counts{Reads: 2, Commits: 4, RowWrites: 3})
}

// Guards against injected faults that do not have the effect that their names say.
func TestFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab, ctx := New(Options{Seed: 1}), t.Context()
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()

		tab.SetFaults(Faults{Outage: Refusing})
		_, err := tab.Commit(ctx, put("a", "1", absent))
		assert.ErrorIs(t, err, platform.ErrUnavailable)

		tab.SetFaults(Faults{LostPercent: 100, LostHangs: true})
		_, err = tab.Commit(short, put("a", "1", absent))
		assert.ErrorIs(t, err, platform.ErrOutcomeUnknown)
		assert.ErrorIs(t, short.Err(), context.DeadlineExceeded)
		tab.SetFaults(Faults{Outage: Hanging})
		_, err = tab.Get(short, "t", "a")
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		tab.SetFaults(Faults{})
		row, err := tab.Get(ctx, "t", "a")
		assert.NilError(t, err)

		tab.SetFaults(Faults{LatePercent: 100, MaxLate: time.Minute})
		_, err = tab.Commit(ctx, put("a", "2", platform.Condition{Kind: platform.VersionIs, Version: row.Version}))
		assert.ErrorIs(t, err, platform.ErrOutcomeUnknown)
		_, err = tab.Commit(ctx, put("b", "late", absent))
		assert.ErrorIs(t, err, platform.ErrOutcomeUnknown)
		tab.SetFaults(Faults{})
		_, err = tab.Commit(ctx, put("b", "first", absent))
		assert.NilError(t, err)
		time.Sleep(time.Minute)
		row, _ = tab.Get(ctx, "t", "a")
		assert.Equal(t, string(row.Value), "2")
		row, _ = tab.Get(ctx, "t", "b")
		assert.Equal(t, string(row.Value), "first", "a late write ignored its condition")

		time.Sleep(time.Minute)
		_, err = tab.Commit(ctx, put("a", "3", platform.Condition{}))
		assert.NilError(t, err)
		tab.SetFaults(Faults{StalePercent: 100, MaxStale: 5 * time.Second})
		row, _ = tab.Get(ctx, "t", "a")
		assert.Equal(t, string(row.Value), "2", "the read is not stale")

		tab.SetFaults(Faults{MinLatency: time.Second, MaxLatency: time.Second})
		start := time.Now()
		_, err = tab.Commit(ctx, put("a", "4", platform.Condition{}))
		assert.NilError(t, err)
		assert.Equal(t, time.Since(start), time.Second)
	})
}
