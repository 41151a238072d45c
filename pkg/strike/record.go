package strike

import (
	"slices"
	"strings"
	"time"
)

// ServerOf returns the server of an incident, given in the form that Record uses.
func ServerOf(incident string) string {
	server, _, _ := strings.Cut(strings.TrimPrefix(incident, withdrawnMark), "#")
	return server
}

// Record is the gossiped value of a digest. Servers holds incidents as "SERVER#START"; a leading "-" marks a withdrawn
// one.
type Record struct {
	Servers []string
	// Correlated lists those of Servers, without the withdrawn ones, that count as correlated.
	Correlated []string
	// Quarantined is set by a node that has decided to quarantine the request. Pending strikes then count in full.
	Quarantined bool
}

// Strikes returns the number of strikes that are not withdrawn.
func (r Record) Strikes() int {
	n := 0
	for _, name := range r.Servers {
		if !strings.HasPrefix(name, withdrawnMark) {
			n++
		}
	}
	return n
}

// Change is a record to publish to other nodes.
type Change struct {
	Digest string
	Record Record
	// ChangedAt is when the record last changed on any node.
	ChangedAt time.Time
}

// Key returns the digest.
func (c Change) Key() string { return c.Digest }

// Strikes returns the number of strikes that are not withdrawn.
func (c Change) Strikes() int { return c.Record.Strikes() }

// LastChange returns ChangedAt.
func (c Change) LastChange() time.Time { return c.ChangedAt }

type record struct {
	struck      map[string]incidentStrike // by incident
	withdrawn   map[string]bool
	quarantined bool
	changedAt   time.Time
}

// incidentStrike is a strike that is not withdrawn.
type incidentStrike struct {
	learnedAt  time.Time
	correlated bool
	// decided is set by this node's decision. Decisions of other nodes are known only if they find the crash correlated.
	decided bool
}

// weigh returns the least and the most that the strikes may weigh once all are decided, and when that is.
func (r *record) weigh(pendingTime time.Duration, now time.Time) (least, most int, decided time.Time) {
	for _, s := range r.struck {
		switch {
		case s.correlated:
			least, most = least+correlatedWeight, most+correlatedWeight
		case s.decided || r.quarantined || now.Sub(s.learnedAt) >= pendingTime:
			least, most = least+fullWeight, most+fullWeight
		default:
			least, most = least+correlatedWeight, most+fullWeight
			decided = later(decided, s.learnedAt.Add(pendingTime))
		}
	}
	return least, most, decided
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func (t *Tracker) withdrawBefore(digest string, startedAt, now time.Time) {
	r := t.records[digest]
	if r == nil {
		return
	}
	for incident, s := range r.struck {
		if !s.learnedAt.After(startedAt) {
			t.withdraw(digest, r, incident, CompletedRun, nil, now)
		}
	}
}

func (t *Tracker) withdraw(digest string, r *record, incident string, reason Reason, related []string, now time.Time) {
	if r.withdrawn[incident] {
		return
	}
	t.logDecision(Decision{Digest: digest, Incident: incident, Verdict: Withdrawn, Reason: reason, Related: related})
	delete(r.struck, incident)
	r.withdrawn[incident] = true
	r.changedAt = now
	t.changed[digest] = true
}

func (t *Tracker) addStrike(digest, incident string, now time.Time) {
	r := t.recordFor(digest, now, now)
	if r.withdrawn[incident] || len(r.struck)+len(r.withdrawn) >= maxIncidents {
		return
	}
	if _, known := r.struck[incident]; known {
		return
	}
	r.struck[incident] = incidentStrike{learnedAt: now}
	r.changedAt = now
	t.changed[digest] = true
}

// recordFor returns the record of a digest, or a new one with this time of change.
func (t *Tracker) recordFor(digest string, changedAt, now time.Time) *record {
	r := t.records[digest]
	if r == nil || now.Sub(r.changedAt) >= t.opts.Expiry {
		if r == nil && len(t.records) >= t.opts.MaxRecords {
			t.evict()
		}
		r = &record{struck: make(map[string]incidentStrike), withdrawn: make(map[string]bool), changedAt: changedAt}
		t.records[digest] = r
	}
	return r
}

// evict drops the record with the fewest strikes, and the oldest among equals, so that many requests with one strike
// cannot evict the record of a quarantined one.
func (t *Tracker) evict() {
	victim := ""
	for digest, r := range t.records {
		v := t.records[victim]
		if v == nil || len(r.struck) < len(v.struck) || len(r.struck) == len(v.struck) && r.changedAt.Before(v.changedAt) {
			victim = digest
		}
	}
	delete(t.records, victim)
	delete(t.changed, victim)
}

// Merge merges the record of a digest that another node has just changed, and reports whether this node's record changed.
func (t *Tracker) Merge(digest string, received Record, now time.Time) bool {
	return t.MergeChange(Change{Digest: digest, Record: received, ChangedAt: now}, now)
}

// MergeChange merges a record received from another node and reports whether this node's record changed. An expired
// record is ignored; without its time of change, nodes would revive each other's records for ever.
func (t *Tracker) MergeChange(c Change, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	digest, received := c.Digest, c.Record
	if len(received.Servers) == 0 || now.Sub(c.ChangedAt) >= t.opts.Expiry {
		return false
	}
	r := t.recordFor(digest, c.ChangedAt, now)
	changed := false
	for _, name := range received.Servers {
		incident, withdrawn := strings.CutPrefix(name, withdrawnMark)
		_, struck := r.struck[incident]
		full := len(r.struck)+len(r.withdrawn) >= maxIncidents
		switch {
		case r.withdrawn[incident] || !withdrawn && struck || full && !struck:
			continue
		case withdrawn:
			delete(r.struck, incident)
			r.withdrawn[incident] = true
		default:
			r.struck[incident] = incidentStrike{learnedAt: now}
		}
		changed = true
	}
	for _, incident := range received.Correlated {
		if s, struck := r.struck[incident]; struck && !s.correlated {
			s.correlated = true
			r.struck[incident] = s
			changed = true
		}
	}
	if received.Quarantined && !r.quarantined {
		r.quarantined = true
		changed = true
	}
	if changed {
		r.changedAt = later(r.changedAt, c.ChangedAt)
	}
	// Several nodes write the same gossip key. If the sender's record lacks anything that this node has, the merged record
	// must be published again, or the difference would be lost.
	if !sameRecord(r.export(), received) {
		t.changed[digest] = true
	}
	return changed
}

func sameRecord(a, b Record) bool {
	return a.Quarantined == b.Quarantined && slices.Equal(a.Servers, sortedSet(b.Servers)) && slices.Equal(a.Correlated, sortedSet(b.Correlated))
}

func sortedSet(values []string) []string { return slices.Compact(slices.Sorted(slices.Values(values))) }

func (r *record) export() Record {
	out := Record{Quarantined: r.quarantined}
	for incident, s := range r.struck {
		out.Servers = append(out.Servers, incident)
		if s.correlated {
			out.Correlated = append(out.Correlated, incident)
		}
	}
	for incident := range r.withdrawn {
		out.Servers = append(out.Servers, withdrawnMark+incident)
	}
	slices.Sort(out.Servers)
	slices.Sort(out.Correlated)
	return out
}

// Changes returns the records to publish: those that changed since the last call, ordered by digest.
func (t *Tracker) Changes() []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Change
	for digest := range t.changed {
		if r := t.records[digest]; r != nil {
			out = append(out, Change{Digest: digest, Record: r.export(), ChangedAt: r.changedAt})
		}
	}
	clear(t.changed)
	sortChanges(out)
	return out
}

// Restrictions returns the records of all requests that are quarantined or have several strikes, ordered by digest,
// for a node that may know none of them.
func (t *Tracker) Restrictions(now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Change
	for digest, r := range t.records {
		if now.Sub(r.changedAt) < t.opts.Expiry && len(r.struck) > 1 {
			out = append(out, Change{Digest: digest, Record: r.export(), ChangedAt: r.changedAt})
		}
	}
	sortChanges(out)
	return out
}

func sortChanges(changes []Change) {
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Digest, b.Digest) })
}
