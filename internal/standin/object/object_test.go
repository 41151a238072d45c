package object

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/pkg/platform"
)

// Guards against an immutable object that changes, and against injected faults without effect.
func TestStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, ctx := New(), t.Context()
		assert.NilError(t, s.Put(ctx, "a", []byte("1")))
		assert.NilError(t, s.Put(ctx, "a", []byte("1")))
		assert.ErrorIs(t, s.Put(ctx, "a", []byte("2")), ErrDifferentContent)
		_, err := s.Get(ctx, "b")
		assert.ErrorIs(t, err, platform.ErrNotFound)

		s.SetFaults(Faults{Refusing: true})
		assert.ErrorIs(t, s.Put(ctx, "b", nil), platform.ErrUnavailable)
		s.SetFaults(Faults{Hanging: true})
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		_, err = s.Get(short, "a")
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		s.SetFaults(Faults{Latency: time.Second})
		start := time.Now()
		data, err := s.Get(ctx, "a")
		assert.NilError(t, err)
		assert.Equal(t, string(data), "1")
		assert.Equal(t, time.Since(start), time.Second)
		puts, gets := s.Counts()
		assert.Equal(t, puts, uint64(4))
		assert.Equal(t, gets, uint64(3))
	})
}
