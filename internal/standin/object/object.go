// Package object is an in-memory stand-in for the object store, with injected outages and latency.
package object

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/pollenlug/pollenlug/pkg/platform"
)

// ErrDifferentContent means that an object of this name exists with other content.
var ErrDifferentContent = errors.New("object: name exists with other content")

// Faults are the injected faults.
type Faults struct {
	// Refusing makes calls return ErrUnavailable immediately.
	Refusing bool
	// Hanging makes calls block until their context ends.
	Hanging bool
	// Latency is the duration of one call.
	Latency time.Duration
}

// Store implements platform.Objects.
type Store struct {
	mu      sync.Mutex
	faults  Faults
	objects map[string][]byte
	puts    uint64
	gets    uint64
}

var _ platform.Objects = (*Store)(nil)

// New returns an empty store without faults.
func New() *Store { return &Store{objects: map[string][]byte{}} }

// SetFaults replaces the faults. Calls that have already started keep the earlier ones.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Counts returns the numbers of calls so far, including refused ones.
func (s *Store) Counts() (puts, gets uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.puts, s.gets
}

func (s *Store) wait(ctx context.Context, counter *uint64) error {
	s.mu.Lock()
	*counter++
	f := s.faults
	s.mu.Unlock()
	if f.Refusing {
		return platform.ErrUnavailable
	}
	if f.Hanging {
		<-ctx.Done()
		return ctx.Err()
	}
	if f.Latency <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(f.Latency)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Put implements platform.Objects. It returns ErrDifferentContent if the name exists with other content.
func (s *Store) Put(ctx context.Context, name string, data []byte) error {
	if err := s.wait(ctx, &s.puts); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.objects[name]
	if ok && !bytes.Equal(old, data) {
		return ErrDifferentContent
	}
	if !ok {
		s.objects[name] = append([]byte(nil), data...)
	}
	return nil
}

// Get implements platform.Objects.
func (s *Store) Get(ctx context.Context, name string) ([]byte, error) {
	if err := s.wait(ctx, &s.gets); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.objects[name]
	if !ok {
		return nil, platform.ErrNotFound
	}
	return append([]byte(nil), data...), nil
}
