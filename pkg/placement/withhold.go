package placement

import (
	"time"

	"github.com/pollenlug/pollenlug/pkg/serving"
)

const (
	// leavingRetention is how long it is remembered that a server leaves. Its row may vanish and return meanwhile.
	leavingRetention = time.Hour
	// maxWithheld limits the remembered servers.
	maxWithheld = 4096
)

// withheld is what a server process has asked of this node in its answers.
type withheld struct {
	born    int64
	leaving bool
	// until is the end of the pause that the server asked for, or the time until which it is remembered that it leaves.
	until time.Time
}

// Withhold keeps requests from a server that leaves, as long as its process lives, or for a pause. It reports whether
// anything has changed.
//
// Load pattern: a server that is about to end, or is too busy, answers its remaining requests. Each answer tells this node
// sooner than the store does, and the more requests follow it the more are refused or cut off.
func (b *Board) Withhold(s serving.Server, leaving bool, pause time.Duration, now time.Time) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, known := b.withheld[s.ID]
	if known && w.born == s.Born && w.leaving {
		return false
	}
	next := withheld{born: s.Born, leaving: leaving, until: now.Add(pause)}
	if leaving {
		next.until = now.Add(leavingRetention)
	} else if known && w.born == s.Born && !next.until.After(w.until) {
		return false
	}
	if !known && len(b.withheld) >= maxWithheld {
		b.forgetWithheld(now)
	}
	b.withheld[s.ID] = next
	return true
}

// forgetWithheld drops the entries that are over, or else the one that is over first.
func (b *Board) forgetWithheld(now time.Time) {
	first := ""
	for id, w := range b.withheld {
		if !w.until.After(now) {
			delete(b.withheld, id)
		} else if first == "" || w.until.Before(b.withheld[first].until) {
			first = id
		}
	}
	if len(b.withheld) >= maxWithheld {
		delete(b.withheld, first)
	}
}

// isWithheld reports whether a server gets no requests, and how long that lasts if it has asked for a pause.
func (b *Board) isWithheld(s *serving.Server, now time.Time) (withheld bool, pause time.Duration) {
	w, known := b.withheld[s.ID]
	if !known || w.born != s.Born || !w.until.After(now) {
		return false, 0
	}
	if w.leaving {
		return true, 0
	}
	return true, w.until.Sub(now)
}

// IsLeaving reports whether a server process has said that it leaves.
func (b *Board) IsLeaving(s serving.Server, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	withheld, pause := b.isWithheld(&s, now)
	return withheld && pause == 0
}

// PauseLeft returns the time until the first server of a service takes requests again if all that could take one have
// asked for a pause, and zero otherwise.
func (b *Board) PauseLeft(service string, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	var left time.Duration
	for _, s := range b.groups[service] {
		if s.State != serving.Ready {
			continue
		}
		withheld, pause := b.isWithheld(&s.Server, now)
		switch {
		case !withheld:
			return 0
		case pause > 0 && (left == 0 || pause < left):
			left = pause
		}
	}
	return left
}
