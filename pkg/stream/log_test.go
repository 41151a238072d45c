package stream

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/pkg/code"
)

// Guards against late tokens of an earlier attempt in the response, and against lost or repeated tokens, when attempts
// overlap.
func TestAppendAcrossOverlappingAttempts(t *testing.T) {
	now := time.Unix(0, 0)
	log := NewLog(Meta{ID: "r"}, now)
	first := log.Begin()
	_, err := log.Append(first, 0, []string{"a", "b", "c"}, now)
	assert.NilError(t, err)

	second := log.Begin()
	_, err = log.Append(first, 3, []string{"late"}, now)
	assert.ErrorIs(t, err, ErrStaleAttempt)
	_, err = log.Append(second, 4, []string{"e"}, now)
	assert.ErrorIs(t, err, ErrGap)
	added, err := log.Append(second, 1, []string{"b", "c", "d"}, now)
	assert.NilError(t, err)
	assert.Equal(t, added, 1)

	assert.ErrorIs(t, log.Finish(first, "stop", code.OK, now), ErrStaleAttempt)
	assert.NilError(t, log.Finish(second, "stop", code.OK, now))
	_, err = log.Append(second, 4, []string{"e"}, now)
	assert.ErrorIs(t, err, ErrFinished)
	assert.Equal(t, strings.Join(log.Tokens(0), ""), "abcd")
}

// Guards against a replica log that differs from the home node's after progress that repeats, overlaps or leaves gaps.
func TestReplicaEqualsHomeUnderRepeatedProgress(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(0, 0)
	home, replica := NewLog(Meta{ID: "r"}, now), NewLog(Meta{ID: "r"}, now)
	for range 500 {
		attempt := home.Attempt()
		if attempt == 0 || random.IntN(20) == 0 {
			attempt = home.Begin()
		}
		_, err := home.Append(attempt, home.Len(), []string{fmt.Sprintf("t%d ", home.Len())}, now)
		assert.NilError(t, err)
		from := replica.Len()
		if random.IntN(3) == 0 {
			from = uint32(random.IntN(int(home.Len()) + 1))
		}
		if err := replica.Apply(home.Progress(from), now); err != nil {
			assert.ErrorIs(t, err, ErrGap)
		}
	}
	assert.NilError(t, replica.Apply(home.Progress(replica.Len()), now))
	assert.DeepEqual(t, replica.Tokens(0), home.Tokens(0))
}

// Guards against a log that expires while a caller still reads it, and against logs that never expire.
func TestExpireKeepsLogsWithReaders(t *testing.T) {
	now := time.Unix(0, 0)
	store := NewStore()
	read := store.Add(NewLog(Meta{ID: "read"}, now))
	store.Add(NewLog(Meta{ID: "idle"}, now))
	_, cancel := read.Subscribe()
	assert.Equal(t, store.Expire(now.Add(2*time.Minute), time.Minute), 1)
	assert.Assert(t, store.Get("read") != nil)
	cancel()
	assert.Equal(t, store.Expire(now.Add(2*time.Minute), time.Minute), 1)
}
