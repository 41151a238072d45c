// Package platformtest has the contract tests that every implementation of pkg/platform must pass. Each test calls open
// for fresh instances of the implementation, so several must be able to exist at once.
package platformtest

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/pkg/platform"
)

// testTimeout bounds the duration of each contract test.
const testTimeout = 10 * time.Second

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func put(key, value string, condition platform.Condition) platform.Mutation {
	return platform.Mutation{Table: "t", Key: key, Value: []byte(value), If: condition}
}

var (
	absent = platform.Condition{Kind: platform.Absent}
	always = platform.Condition{Kind: platform.Always}
)

func versionIs(version uint64) platform.Condition {
	return platform.Condition{Kind: platform.VersionIs, Version: version}
}

func failedMutations(t *testing.T, err error) []int {
	t.Helper()
	var conflict *platform.ConflictError
	assert.Assert(t, errors.As(err, &conflict), "%v", err)
	return conflict.Failed
}

// Table tests a table service without faults.
func Table(t *testing.T, open func(t *testing.T) platform.Table) {
	t.Run("row versions rise and are not reused", func(t *testing.T) { tableVersions(t, open(t)) })
	t.Run("conditions", func(t *testing.T) { tableConditions(t, open(t)) })
	t.Run("all or nothing", func(t *testing.T) { tableAtomic(t, open(t)) })
	t.Run("list", func(t *testing.T) { tableList(t, open(t)) })
	t.Run("one winner", func(t *testing.T) { tableRace(t, open(t)) })
	t.Run("ended context", func(t *testing.T) { tableContext(t, open(t)) })
}

func tableVersions(t *testing.T, table platform.Table) {
	ctx := testContext(t)
	_, err := table.Get(ctx, "t", "a")
	assert.ErrorIs(t, err, platform.ErrNotFound)
	last := uint64(0)
	for _, mutation := range []platform.Mutation{
		put("a", "1", absent),
		put("a", "2", always),
		{Table: "t", Key: "a", Delete: true},
		put("a", "3", absent),
	} {
		versions, err := table.Commit(ctx, []platform.Mutation{mutation})
		assert.NilError(t, err)
		assert.Equal(t, len(versions), 1)
		if mutation.Delete {
			_, err := table.Get(ctx, "t", "a")
			assert.ErrorIs(t, err, platform.ErrNotFound)
			continue
		}
		assert.Assert(t, versions[0] > last)
		last = versions[0]
		row, err := table.Get(ctx, "t", "a")
		assert.NilError(t, err)
		assert.DeepEqual(t, row, platform.Row{Key: "a", Value: mutation.Value, Version: last})
	}
	_, err = table.Get(ctx, "other", "a")
	assert.ErrorIs(t, err, platform.ErrNotFound)
}

func tableConditions(t *testing.T, table platform.Table) {
	ctx := testContext(t)
	versions, err := table.Commit(ctx, []platform.Mutation{put("a", "1", absent)})
	assert.NilError(t, err)
	first := versions[0]
	for _, mutation := range []platform.Mutation{
		put("a", "2", absent),
		put("a", "2", versionIs(first+1000)),
		put("b", "2", versionIs(first)),
		{Table: "t", Key: "b", Delete: true, If: versionIs(first)},
		{Table: "t", Key: "b", CheckOnly: true, If: versionIs(first)},
	} {
		_, err := table.Commit(ctx, []platform.Mutation{mutation})
		assert.DeepEqual(t, failedMutations(t, err), []int{0})
	}
	check := platform.Mutation{Table: "t", Key: "a", CheckOnly: true, If: versionIs(first)}
	_, err = table.Commit(ctx, []platform.Mutation{check})
	assert.NilError(t, err)
	row, err := table.Get(ctx, "t", "a")
	assert.NilError(t, err)
	assert.Equal(t, row.Version, first, "a check-only mutation wrote the row")
	_, err = table.Commit(ctx, []platform.Mutation{put("a", "2", versionIs(first))})
	assert.NilError(t, err)
	_, err = table.Commit(ctx, []platform.Mutation{put("a", "3", versionIs(first))})
	assert.DeepEqual(t, failedMutations(t, err), []int{0})
}

func tableAtomic(t *testing.T, table platform.Table) {
	ctx := testContext(t)
	_, err := table.Commit(ctx, []platform.Mutation{put("a", "1", absent), put("b", "1", absent)})
	assert.NilError(t, err)
	_, err = table.Commit(ctx, []platform.Mutation{
		put("c", "2", absent),
		put("a", "2", absent),
		put("d", "2", always),
		put("b", "2", versionIs(1<<40)),
	})
	assert.DeepEqual(t, failedMutations(t, err), []int{1, 3})
	for _, key := range []string{"c", "d"} {
		_, err := table.Get(ctx, "t", key)
		assert.ErrorIs(t, err, platform.ErrNotFound)
	}
}

func tableList(t *testing.T, table platform.Table) {
	ctx := testContext(t)
	var mutations []platform.Mutation
	for _, key := range []string{"x/3", "x/1", "y/1", "x/2", "x"} {
		mutations = append(mutations, put(key, key, absent))
	}
	_, err := table.Commit(ctx, mutations)
	assert.NilError(t, err)
	list := func(prefix, after string, limit int) []string {
		rows, err := table.List(ctx, "t", prefix, after, limit)
		assert.NilError(t, err)
		keys := []string{}
		for _, row := range rows {
			assert.Equal(t, string(row.Value), row.Key)
			assert.Assert(t, row.Version > 0)
			keys = append(keys, row.Key)
		}
		return keys
	}
	assert.DeepEqual(t, list("x/", "", 10), []string{"x/1", "x/2", "x/3"})
	assert.DeepEqual(t, list("x/", "x/1", 10), []string{"x/2", "x/3"})
	assert.DeepEqual(t, list("x/", "", 2), []string{"x/1", "x/2"})
	assert.DeepEqual(t, list("z", "", 10), []string{})
	assert.DeepEqual(t, list("", "x/3", 10), []string{"y/1"})
}

func tableRace(t *testing.T, table platform.Table) {
	ctx := testContext(t)
	const writers = 8
	var wg sync.WaitGroup
	results := make([]error, writers)
	for i := range writers {
		wg.Go(func() {
			_, results[i] = table.Commit(ctx, []platform.Mutation{put("a", fmt.Sprint(i), absent)})
		})
	}
	wg.Wait()
	winner := slices.Index(results, nil)
	assert.Assert(t, winner >= 0)
	for i, err := range results {
		if i != winner {
			assert.DeepEqual(t, failedMutations(t, err), []int{0})
		}
	}
	row, err := table.Get(ctx, "t", "a")
	assert.NilError(t, err)
	assert.Equal(t, string(row.Value), fmt.Sprint(winner))
}

func tableContext(t *testing.T, table platform.Table) {
	ctx, cancel := context.WithCancel(testContext(t))
	cancel()
	_, err := table.Commit(ctx, []platform.Mutation{put("a", "1", absent)})
	assert.ErrorIs(t, err, platform.ErrOutcomeUnknown)
	_, err = table.Get(ctx, "t", "a")
	assert.Assert(t, err != nil && !errors.Is(err, platform.ErrNotFound), "%v", err)
}

// Objects tests an object store without faults.
func Objects(t *testing.T, open func(t *testing.T) platform.Objects) {
	objects := open(t)
	ctx := testContext(t)
	_, err := objects.Get(ctx, "a")
	assert.ErrorIs(t, err, platform.ErrNotFound)
	data := []byte{0, 1, 255}
	for range 2 {
		assert.NilError(t, objects.Put(ctx, "a", data))
	}
	assert.Assert(t, objects.Put(ctx, "a", []byte("other")) != nil, "an object was overwritten")
	got, err := objects.Get(ctx, "a")
	assert.NilError(t, err)
	assert.DeepEqual(t, got, data)
	large := make([]byte, 2<<20)
	large[len(large)-1] = 1
	assert.NilError(t, objects.Put(ctx, "large", large))
	got, err = objects.Get(ctx, "large")
	assert.NilError(t, err)
	assert.Assert(t, slices.Equal(got, large))
}

// Folder tests an operators' folder. edit replaces all its files.
func Folder(t *testing.T, open func(t *testing.T) (folder platform.Folder, edit func(files map[string][]byte))) {
	folder, edit := open(t)
	ctx := testContext(t)
	first, err := folder.Read(ctx)
	assert.NilError(t, err)
	repeated, err := folder.Read(ctx)
	assert.NilError(t, err)
	assert.Equal(t, first.Revision, repeated.Revision, "the revision changed without an edit")
	last := first.Revision
	for i := range 3 {
		files := map[string][]byte{"a.json": fmt.Appendf(nil, `{"delete": ["%d"]}`, i), "b.json": []byte("{}")}
		edit(files)
		state := nextRevision(ctx, t, folder, last)
		assert.DeepEqual(t, state.Files, files)
		last = state.Revision
	}
}

func nextRevision(ctx context.Context, t *testing.T, folder platform.Folder, last uint64) platform.FolderState {
	t.Helper()
	for {
		state, err := folder.Read(ctx)
		assert.NilError(t, err)
		assert.Assert(t, state.Revision >= last)
		if state.Revision > last {
			return state
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// CloudSetup is a cloud with its instance list and functions that inject the faults that the tests need.
type CloudSetup struct {
	Cloud platform.Cloud
	List  platform.InstanceList
	// Request is a valid start request; the tests set its token.
	Request platform.StartRequest
	// Reclaim issues a reclaim notice for an instance whose deadline is the given time away. RefuseStarts makes
	// starts of further instances fail.
	Reclaim      func(instance string, notice time.Duration)
	RefuseStarts func()
}

// Cloud tests a cloud API and its instance list.
func Cloud(t *testing.T, open func(t *testing.T) CloudSetup) {
	t.Run("start and stop", func(t *testing.T) { cloudStart(t, open(t)) })
	t.Run("notices", func(t *testing.T) { cloudNotices(t, open(t)) })
	t.Run("refused starts", func(t *testing.T) { cloudRefused(t, open(t)) })
}

func cloudStart(t *testing.T, s CloudSetup) {
	ctx := testContext(t)
	request := s.Request
	request.Token = "one"
	first, err := s.Cloud.Start(ctx, request)
	assert.NilError(t, err)
	assert.Assert(t, first.ID != "" && first.Addr != "")
	repeated, err := s.Cloud.Start(ctx, request)
	assert.NilError(t, err)
	assert.Equal(t, repeated.ID, first.ID, "a repeated request started a second instance")
	request.Token = "two"
	second, err := s.Cloud.Start(ctx, request)
	assert.NilError(t, err)
	assert.Assert(t, second.ID != first.ID)
	waitForInstance(ctx, t, s.List, first.ID, true)
	for range 2 {
		assert.NilError(t, s.Cloud.Stop(ctx, first.ID))
	}
	waitForInstance(ctx, t, s.List, first.ID, false)
	waitForInstance(ctx, t, s.List, second.ID, true)
	prices, err := s.Cloud.Prices(ctx)
	assert.NilError(t, err)
	assert.Assert(t, len(prices) > 0)
}

// waitForInstance waits until the list contains the instance as live or, if listed is false, no longer contains it.
func waitForInstance(ctx context.Context, t *testing.T, instances platform.InstanceList, id string, listed bool) {
	t.Helper()
	for {
		all, err := instances.Instances(ctx)
		assert.NilError(t, err)
		i := slices.IndexFunc(all, func(i platform.Instance) bool { return i.ID == id })
		if listed && i >= 0 && all[i].State == platform.Live {
			return
		}
		if !listed && i < 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func cloudNotices(t *testing.T, s CloudSetup) {
	ctx := testContext(t)
	request := s.Request
	request.Token = "one"
	instance, err := s.Cloud.Start(ctx, request)
	assert.NilError(t, err)
	pollCtx, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
	defer cancel()
	empty, err := s.Cloud.Notices(pollCtx, 0)
	assert.NilError(t, err, "a poll without a notice is not an error")
	assert.Equal(t, len(empty), 0)

	go func() {
		time.Sleep(50 * time.Millisecond)
		s.Reclaim(instance.ID, 2*time.Second)
	}()
	startedAt := time.Now()
	notices, err := s.Cloud.Notices(ctx, 0)
	assert.NilError(t, err)
	assert.Assert(t, time.Since(startedAt) < 2*time.Second, "the poll did not return with the notice")
	assert.Equal(t, len(notices), 1)
	assert.Equal(t, notices[0].Instance, instance.ID)
	assert.Assert(t, time.Until(notices[0].Deadline) > 0)
	repeated, err := s.Cloud.Notices(ctx, notices[0].Number-1)
	assert.NilError(t, err)
	assert.Equal(t, repeated[0].Number, notices[0].Number)
	waitForInstance(ctx, t, s.List, instance.ID, false)
}

func cloudRefused(t *testing.T, s CloudSetup) {
	ctx := testContext(t)
	request := s.Request
	request.Token = "one"
	before, err := s.Cloud.Start(ctx, request)
	assert.NilError(t, err)
	s.RefuseStarts()
	repeated, err := s.Cloud.Start(ctx, request)
	assert.NilError(t, err)
	assert.Equal(t, repeated.ID, before.ID)
	request.Token = "two"
	_, err = s.Cloud.Start(ctx, request)
	assert.ErrorIs(t, err, platform.ErrStartRefused)
}

// Weights tests a weight store with a rate of 1,000 MiB/s.
func Weights(t *testing.T, open func(t *testing.T) platform.Weights) {
	weights := open(t)
	ctx := testContext(t)
	wait, err := weights.Reserve(ctx, "m", 200)
	assert.NilError(t, err)
	assert.Equal(t, wait, time.Duration(0))
	wait, err = weights.Reserve(ctx, "m", 200)
	assert.NilError(t, err)
	assert.Assert(t, wait > 0 && wait <= 200*time.Millisecond, "%v", wait)
	time.Sleep(wait)
	wait, err = weights.Reserve(ctx, "n", 1)
	assert.NilError(t, err)
	assert.Equal(t, wait, time.Duration(0))
}
