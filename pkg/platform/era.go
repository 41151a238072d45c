package platform

import (
	"errors"
	"fmt"
	"sync"
)

// A store that fails may come back from a copy that is some seconds old: what it acknowledged since is lost, and its
// row versions are given out again. Each return starts a new era, whose number the store sends with all its answers.
//
// A version in this package is a pair of an era and a number that the store counts within it, packed into one integer
// so that versions of different eras are ordered: any version of a later era is higher than all those of earlier ones.
// A platform whose store does not return from copies has the single era 0, where version and number are the same.

// eraShift is the position of the era in a version. Numbers of up to 40 bits last for ten years at 3,000 writes a
// second.
const eraShift = 40

// MaxEra is the highest era that a version can hold.
const MaxEra = 1<<(64-eraShift) - 1

// MakeVersion returns the version with the given number in an era. The number must be less than 1<<40 - 1.
func MakeVersion(era, number uint64) uint64 { return era<<eraShift | number }

// EraOf returns the era of a version.
func EraOf(version uint64) uint64 { return version >> eraShift }

// NumberOf returns the number of a version within its era.
func NumberOf(version uint64) uint64 { return version & (1<<eraShift - 1) }

// FormatVersion returns a version as it is logged, as era.number.
func FormatVersion(version uint64) string {
	return fmt.Sprintf("%d.%d", EraOf(version), NumberOf(version))
}

// ErrEraPassed means that an answer belongs to an era that the store has left, or that the version in a call does. It
// wraps the error class of the call.
var ErrEraPassed = errors.New("platform: the store has returned from a copy meanwhile")

// Eras tracks the newest era of a store. It is safe for concurrent use; the zero value is ready for use.
type Eras struct {
	mu      sync.Mutex
	newest  uint64
	changed chan struct{}
}

// Observe records an era that the store, or another node, has reported. It returns false if a newer one is known: what
// the report says is out of date.
func (e *Eras) Observe(era uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if era <= e.newest || era > MaxEra {
		return era == e.newest
	}
	e.newest = era
	if e.changed != nil {
		close(e.changed)
		e.changed = nil
	}
	return true
}

// Newest returns the newest known era, and a channel that is closed when a newer one becomes known.
func (e *Eras) Newest() (era uint64, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.changed == nil {
		e.changed = make(chan struct{})
	}
	return e.newest, e.changed
}

// ConditionNumber returns the number that the row of a condition other than Always must have in an era: 0 if it must not
// exist, and one that no row has if the condition names a version of another era, because the row has been replaced by
// that of a copy.
func ConditionNumber(c Condition, era uint64) uint64 {
	switch {
	case c.Kind == Absent:
		return 0
	case EraOf(c.Version) != era:
		return 1<<eraShift - 1
	}
	return NumberOf(c.Version)
}

// HasVersionCondition reports whether a mutation has a condition on a version.
func HasVersionCondition(mutations []Mutation) bool {
	for _, m := range mutations {
		if m.If.Kind == VersionIs {
			return true
		}
	}
	return false
}
