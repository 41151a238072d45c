package edge

import (
	"cmp"
	"slices"
	"time"
)

// outgoingRecord is a record about crashes that nodes send to each other.
type outgoingRecord interface {
	Key() string
	// Strikes returns the number of strikes that are not withdrawn.
	Strikes() int
	LastChange() time.Time
}

// outbox holds the records that a node sends to the others in its heartbeats, newest last. They are at most
// maxCrashRecords.
type outbox[R outgoingRecord] struct{ entries []outboxEntry[R] }

type outboxEntry[R outgoingRecord] struct {
	record R
	// updatedAt is the time when the record last changed or a peer was found to lack part of it.
	updatedAt time.Time
	sends     int // since updatedAt
}

// add adds records in place of older ones with the same keys. If there are too many, those with the fewest strikes are
// dropped, and the oldest among equals.
func (o *outbox[R]) add(records []R, now time.Time) {
	replaced := make(map[string]bool, len(records))
	for _, r := range records {
		replaced[r.Key()] = true
	}
	o.entries = slices.DeleteFunc(o.entries, func(e outboxEntry[R]) bool { return replaced[e.record.Key()] })
	for _, r := range records {
		o.entries = append(o.entries, outboxEntry[R]{record: r, updatedAt: now})
	}
	if excess := len(o.entries) - maxCrashRecords; excess > 0 {
		slices.SortStableFunc(o.entries, func(a, b outboxEntry[R]) int { return cmp.Compare(a.record.Strikes(), b.record.Strikes()) })
		o.entries = slices.Delete(o.entries, 0, excess)
	}
}

// next returns at most limit records for one heartbeat: new ones, those with most strikes first and then those sent least
// often, and old ones in rotation.
func (o *outbox[R]) next(limit int, now time.Time) []R {
	o.entries = slices.DeleteFunc(o.entries, func(e outboxEntry[R]) bool { return now.Sub(e.record.LastChange()) >= crashExpiry })
	rotated := int(now.UnixNano()/int64(crashRotation)) % max(len(o.entries), 1)
	var due []*outboxEntry[R]
	for i := range o.entries {
		e := &o.entries[i]
		if now.Sub(e.updatedAt) < newCrashPeriod || e.sends == 0 || i == rotated {
			due = append(due, e)
		}
	}
	slices.SortStableFunc(due, func(a, b *outboxEntry[R]) int {
		return cmp.Or(cmp.Compare(b.record.Strikes(), a.record.Strikes()), cmp.Compare(a.sends, b.sends))
	})
	var out []R
	for _, e := range due[:min(len(due), limit)] {
		e.sends++
		out = append(out, e.record)
	}
	return out
}
