package strike

import (
	"cmp"
	"slices"
	"time"
)

// A part of prompts may crash each server that begins an answer on it, whatever else the requests hold. Such requests need
// not be alike, so their digests share no strikes. Therefore a crash also gives a strike to each part of the requests that
// were running there and had not been answering for soundAfter.
//
// Most of these parts are innocent: a popular one is under nearly every crash. A run that began to answer after a crash and
// has been answering for soundAfter, or completes, shows that its parts are sound, and withdraws their strikes of that
// crash and of earlier ones. A strike therefore counts only after the time in which that becomes known to all nodes.
//
// A part is quarantined after partThreshold crashes. The loss of all servers gives many strikes to a part that was sound
// before. Therefore its crashes count only if the servers have answered requests without it, at the time of the crashes and
// since. While they answer none, crashes less than partWaveGap apart count once. Crashes under a quarantined part are no
// evidence against parts that were sound before, unless those have more strikes.
//
// A part may become sound again. Once its quarantine is old enough, one request at a time tries it, on one node of the
// deployment; see trial.go. Each trial lengthens the time until the next one. If another quarantined part was under all
// crashes of a part, one of the two may be innocent, so it is tried at once in a request without the other. A request with
// several quarantined parts is a trial of all of them, once all are due.
//
// Limits:
//   - A part that crashes servers later than soundAfter into an answer is not found.
//   - A part that has been sound is found late if it crashes all servers again and again: after each loss only later crashes
//     count.
const (
	partThreshold = 4
	partWaveGap   = time.Second
	soundAfter    = 500 * time.Millisecond
	// maxPartStrikes limits the strikes of one part, withdrawn ones included; maxRequestParts the parts of one request.
	maxPartStrikes  = 24
	maxRequestParts = 32
	// firstPartTrial is how long a part is quarantined before its first trial. Each trial multiplies the time until the next
	// one by partTrialFactor, maxPartBackoffs times at most.
	firstPartTrial  = 30 * time.Second
	partTrialFactor = 5
	maxPartBackoffs = 4
	// withdrawnRetention is how long withdrawn strikes are kept, so that they reach all nodes.
	withdrawnRetention = 5 * time.Second
)

// Request identifies a request by its content. Parts identify the parts of its prompt that other requests may share; only
// the first maxRequestParts count.
type Request struct {
	Digest string
	Parts  []string
}

func (r Request) parts() []string { return r.Parts[:min(len(r.Parts), maxRequestParts)] }

// PartStrike is a crash of a server on which a part was in flight.
type PartStrike struct {
	// Incident is the crash, as in Record.
	Incident  string
	CrashedAt time.Time
	Withdrawn bool
}

// PartRecord is the gossiped value of a part. Records merge by union of the strikes; withdrawn wins.
type PartRecord struct {
	// Strikes are in ascending order of their incidents.
	Strikes []PartStrike
	// Trials is the number of trials, TriedAt the start of the last one.
	Trials  int
	TriedAt time.Time
	// Quarantined is set by a node that has decided to quarantine the part, Sound by one that knows a run with the part
	// that was sound at any time.
	Quarantined, Sound bool
}

// PartChange is the record of a part to publish to other nodes.
type PartChange struct {
	Part   string
	Record PartRecord
	// ChangedAt is when the record last changed on any node.
	ChangedAt time.Time
}

// Key returns the part.
func (c PartChange) Key() string { return c.Part }

// Strikes returns the number of strikes that are not withdrawn.
func (c PartChange) Strikes() int {
	n := 0
	for _, s := range c.Record.Strikes {
		if !s.Withdrawn {
			n++
		}
	}
	return n
}

// LastChange returns ChangedAt.
func (c PartChange) LastChange() time.Time { return c.ChangedAt }

type partRecord struct {
	strikes map[string]PartStrike // by incident
	// withdrawnAt is when this node learned that a strike is withdrawn.
	withdrawnAt map[string]time.Time
	trials      int
	triedAt     time.Time
	changedAt   time.Time
	// wasSound is set if any node knows a run with the part that was sound.
	wasSound bool
	// quarantined and ambiguous are the last decision of this node. ambiguous means that all crashes under the part were
	// also under another quarantined one.
	quarantined, ambiguous bool
}

// struck returns the strikes that are not withdrawn, in the order of the crashes.
func (r *partRecord) struck() []PartStrike {
	var out []PartStrike
	for _, s := range r.strikes {
		if !s.Withdrawn {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b PartStrike) int {
		return cmp.Or(a.CrashedAt.Compare(b.CrashedAt), cmp.Compare(a.Incident, b.Incident))
	})
	return out
}

// trialDue returns when the part may be tried, apart from a trial because it is ambiguous.
func (r *partRecord) trialDue() time.Time {
	last := r.triedAt
	for _, s := range r.strikes {
		if !s.Withdrawn {
			last = later(last, s.CrashedAt)
		}
	}
	delay := firstPartTrial
	for range min(r.trials, maxPartBackoffs) {
		delay *= partTrialFactor
	}
	return last.Add(delay)
}

// countWaves returns the number of strikes, in the order of the crashes, without those less than partWaveGap after one that
// counts.
func countWaves(strikes []PartStrike) int {
	n := 0
	var last time.Time
	for _, s := range strikes {
		if n == 0 || s.CrashedAt.Sub(last) >= partWaveGap {
			n++
			last = s.CrashedAt
		}
	}
	return n
}

// partDelay is the time from a crash until its strikes on parts count.
func (t *Tracker) partDelay() time.Duration { return t.opts.Delay + soundAfter }

// suspect is a part with enough strikes for a quarantine.
type suspect struct {
	part   string
	record *partRecord
	struck []PartStrike // those that count
}

// explains reports whether the crashes under a quarantined part are no evidence against another one: that one was sound
// before, and this one never or has more strikes.
func (s *suspect) explains(other *suspect) bool {
	return other.record.wasSound && (!s.record.wasSound || len(s.struck) > len(other.struck))
}

// judgeParts decides which parts are quarantined.
func (t *Tracker) judgeParts(now time.Time) {
	var suspects []*suspect
	for part, r := range t.parts {
		if len(r.strikes) < partThreshold && !r.quarantined {
			continue
		}
		struck := slices.DeleteFunc(r.struck(), func(s PartStrike) bool { return now.Sub(s.CrashedAt) < t.partDelay() })
		if len(struck) < partThreshold {
			t.setQuarantined(part, r, nil, false)
			continue
		}
		suspects = append(suspects, &suspect{part, r, struck})
	}
	slices.SortFunc(suspects, func(a, b *suspect) int {
		switch {
		case b.record.wasSound && !a.record.wasSound:
			return -1
		case a.record.wasSound && !b.record.wasSound:
			return 1
		}
		return cmp.Or(cmp.Compare(len(b.struck), len(a.struck)), cmp.Compare(a.part, b.part))
	})
	for i, s := range suspects {
		unexplained := slices.DeleteFunc(slices.Clone(s.struck), func(c PartStrike) bool {
			return slices.ContainsFunc(suspects[:i], func(other *suspect) bool {
				return other.record.quarantined && other.explains(s) && other.record.isStruck(c.Incident)
			})
		})
		if s.record.quarantined {
			t.setQuarantined(s.part, s.record, s.struck, len(unexplained) > 0)
		} else {
			t.setQuarantined(s.part, s.record, s.struck, t.sufficeForQuarantine(unexplained, s.record.wasSound))
		}
	}
	for _, s := range suspects {
		s.record.ambiguous = s.record.quarantined && t.isAmbiguous(s.part, s.struck)
	}
}

// sufficeForQuarantine reports whether strikes in the order of the crashes quarantine a part.
func (t *Tracker) sufficeForQuarantine(strikes []PartStrike, wasSound bool) bool {
	if len(strikes) < partThreshold {
		return false
	}
	if !wasSound && !t.served.to.IsZero() {
		return true
	}
	if countWaves(strikes) >= partThreshold {
		return true
	}
	// Of a loss of all servers the part may be cleared only some time after they answer again.
	first := slices.IndexFunc(strikes, func(s PartStrike) bool { return !s.CrashedAt.Before(t.served.from) })
	return first >= 0 && len(strikes[first:]) >= partThreshold && t.served.since(strikes[first+partThreshold-1].CrashedAt)
}

func (r *partRecord) isStruck(incident string) bool {
	s, known := r.strikes[incident]
	return known && !s.Withdrawn
}

// isAmbiguous reports whether another quarantined part was under all of these crashes.
func (t *Tracker) isAmbiguous(part string, struck []PartStrike) bool {
	for other, r := range t.parts {
		if other != part && r.quarantined && !slices.ContainsFunc(struck, func(c PartStrike) bool {
			return !r.isStruck(c.Incident)
		}) {
			return true
		}
	}
	return false
}

func (t *Tracker) setQuarantined(part string, r *partRecord, struck []PartStrike, quarantined bool) {
	if r.quarantined == quarantined {
		return
	}
	r.quarantined = quarantined
	t.changedParts[part] = true
	decision := Decision{Part: part, Verdict: Released, Reason: SoundPart}
	if quarantined {
		decision.Verdict, decision.Reason = Quarantine, EnoughStrikes
		for _, s := range struck {
			decision.Related = append(decision.Related, s.Incident)
		}
	}
	t.logDecision(decision)
}

// quarantinedParts returns the quarantined parts of a request's prompt, in ascending order.
func (t *Tracker) quarantinedParts(req Request) []string {
	var out []string
	for _, part := range req.parts() {
		if r := t.parts[part]; r != nil && r.quarantined {
			out = append(out, part)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// partState returns the state of a request as far as the parts of its prompt are concerned. Isolate means that the request
// may run as a trial under the key part. For Quarantined, wait is the time after which the caller should return.
func (t *Tracker) partState(req Request, now time.Time) (state State, wait time.Duration, part string) {
	quarantined := t.quarantinedParts(req)
	if len(quarantined) == 0 {
		return Clear, 0, ""
	}
	trialTime := t.opts.Delay + 2*soundAfter
	part = quarantined[0]
	for _, p := range quarantined {
		r := t.parts[p]
		if len(quarantined) > 1 || !r.ambiguous || r.trials > 0 {
			wait = max(wait, r.trialDue().Sub(now))
		}
	}
	own, announced := t.trials[part]
	announced = announced && !t.hasLapsed(part, own, now)
	switch {
	case wait > 0:
		return Quarantined, max(wait, trialTime), part
	case slices.ContainsFunc(quarantined, func(p string) bool { return t.inFlight[p] > 0 }),
		announced && own.request != req.Digest, !announced && t.announcedByPeer(part, "", now):
		return Quarantined, trialTime, part
	}
	return Isolate, 0, part
}

// QuarantinedPart returns a quarantined part of a request's prompt, or "".
func (t *Tracker) QuarantinedPart(req Request) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if quarantined := t.quarantinedParts(req); len(quarantined) > 0 {
		return quarantined[0]
	}
	return ""
}

// startTrial records that a trial of a part begins.
func (t *Tracker) startTrial(part, server string, now time.Time) {
	r := t.parts[part]
	r.trials++
	r.triedAt, r.changedAt = now, now
	t.changedParts[part] = true
	t.logDecision(Decision{Part: part, Incident: server, Verdict: Tried, Reason: TrialDue})
}

// strikeParts gives a strike to the parts of a run on a crashed server, unless the run had been answering for so long that
// they are no suspects.
func (t *Tracker) strikeParts(r *Run, event *crash, now time.Time) {
	crashedAt := now
	if r.outcome == Interrupted {
		crashedAt = r.endedAt
	}
	if !r.answeringAt.IsZero() && crashedAt.Sub(r.answeringAt) >= soundAfter {
		return
	}
	for _, part := range r.parts {
		if t.sound.at(part).After(crashedAt) {
			continue
		}
		record := t.partRecordFor(part, now, now)
		if _, known := record.strikes[event.incident]; known {
			continue
		}
		record.add(PartStrike{Incident: event.incident, CrashedAt: crashedAt}, now)
		event.parts = append(event.parts, part)
		record.changedAt = now
		t.changedParts[part] = true
	}
}

// add adds or replaces a strike. If there are too many, one is dropped: a withdrawn one, or the first after the earliest
// partThreshold. The earliest count soonest, the last ones may be those that count after an outage.
func (r *partRecord) add(s PartStrike, now time.Time) {
	r.strikes[s.Incident] = s
	if _, known := r.withdrawnAt[s.Incident]; s.Withdrawn && !known {
		r.withdrawnAt[s.Incident] = now
	}
	if len(r.strikes) <= maxPartStrikes {
		return
	}
	victim := PartStrike{}
	for _, other := range r.strikes {
		if other.Withdrawn && !other.CrashedAt.Before(victim.CrashedAt) {
			victim = other
		}
	}
	if !victim.Withdrawn {
		victim = r.struck()[partThreshold]
	}
	delete(r.strikes, victim.Incident)
	delete(r.withdrawnAt, victim.Incident)
}

// partsSound records that the parts of a run do not crash servers: the run began to answer at a time and went on.
func (t *Tracker) partsSound(r *Run, at, now time.Time) {
	r.sound = true
	if len(r.parts) > 0 {
		t.ownServed = later(t.ownServed, at)
		t.served.add(at)
	}
	released := false
	for _, part := range r.parts {
		t.sound.set(part, at)
		record := t.parts[part]
		if record == nil {
			continue
		}
		record.wasSound = true
		for incident, s := range record.strikes {
			if !s.Withdrawn && s.CrashedAt.Before(at) {
				t.withdrawPart(part, record, incident, now)
				released = released || record.quarantined
			}
		}
	}
	if released {
		t.judgeParts(now)
	}
}

func (t *Tracker) withdrawPart(part string, r *partRecord, incident string, now time.Time) {
	s := r.strikes[incident]
	s.Withdrawn = true
	r.add(s, now)
	r.changedAt = now
	t.changedParts[part] = true
}

// markSound finds runs that have been answering for long enough.
func (t *Tracker) markSound(now time.Time) {
	for _, runs := range t.running {
		for r := range runs {
			if !r.sound && !r.ended && !r.answeringAt.IsZero() && now.Sub(r.answeringAt) >= soundAfter {
				t.partsSound(r, r.answeringAt, now)
			}
		}
	}
}

func (t *Tracker) partRecordFor(part string, changedAt, now time.Time) *partRecord {
	r := t.parts[part]
	if r != nil && now.Sub(r.changedAt) < t.opts.Expiry {
		return r
	}
	if r == nil && len(t.parts) >= t.opts.MaxRecords {
		t.evictPart()
	}
	r = &partRecord{strikes: make(map[string]PartStrike), withdrawnAt: make(map[string]time.Time), changedAt: changedAt, wasSound: !t.sound.at(part).IsZero()}
	t.parts[part] = r
	return r
}

// evictPart drops the record with the fewest strikes, and the oldest among equals.
func (t *Tracker) evictPart() {
	victim, fewest := "", 0
	for part, r := range t.parts {
		n := len(r.struck())
		if v := t.parts[victim]; v == nil || n < fewest || n == fewest && r.changedAt.Before(v.changedAt) {
			victim, fewest = part, n
		}
	}
	delete(t.parts, victim)
	delete(t.changedParts, victim)
}

func (t *Tracker) expireParts(now time.Time) {
	for part, r := range t.parts {
		for incident, at := range r.withdrawnAt {
			if now.Sub(at) >= withdrawnRetention {
				delete(r.strikes, incident)
				delete(r.withdrawnAt, incident)
			}
		}
		if len(r.strikes) == 0 || now.Sub(r.changedAt) >= t.opts.Expiry {
			t.setQuarantined(part, r, nil, false)
			delete(t.parts, part)
			delete(t.changedParts, part)
		}
	}
}

// MergePart merges a record received from another node.
func (t *Tracker) MergePart(c PartChange, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(c.Record.Strikes) == 0 || now.Sub(c.ChangedAt) >= t.opts.Expiry {
		return
	}
	r := t.partRecordFor(c.Part, c.ChangedAt, now)
	received := map[string]PartStrike{}
	for _, s := range c.Record.Strikes {
		received[s.Incident] = s
		own, known := r.strikes[s.Incident]
		switch {
		case !known && s.Withdrawn && now.Sub(s.CrashedAt) >= withdrawnRetention:
			continue
		case !known && !s.Withdrawn && t.sound.at(c.Part).After(s.CrashedAt):
			s.Withdrawn = true
			t.changedParts[c.Part] = true
		case known:
			s.Withdrawn = s.Withdrawn || own.Withdrawn
			if own.CrashedAt.Before(s.CrashedAt) {
				s.CrashedAt = own.CrashedAt
			}
			if s == own {
				continue
			}
		}
		r.add(s, now)
		r.changedAt = later(r.changedAt, c.ChangedAt)
	}
	r.wasSound = r.wasSound || c.Record.Sound
	if r.wasSound && !c.Record.Sound {
		t.changedParts[c.Part] = true
	}
	if c.Record.Quarantined && !r.quarantined && !r.wasSound && len(r.struck()) >= partThreshold {
		t.setQuarantined(c.Part, r, r.struck(), true)
	}
	if c.Record.Trials > r.trials {
		r.trials, r.triedAt = c.Record.Trials, c.Record.TriedAt
		r.changedAt = later(r.changedAt, c.ChangedAt)
	}
	// Several nodes publish the record of a part. What the sender lacks must be published again, or it would be lost.
	for incident, own := range r.strikes {
		s, known := received[incident]
		if known && own.Withdrawn && !s.Withdrawn || !known && !own.Withdrawn && len(received) < maxPartStrikes {
			t.changedParts[c.Part] = true
		}
	}
}

func (r *partRecord) export() PartRecord {
	out := PartRecord{Trials: r.trials, TriedAt: r.triedAt, Quarantined: r.quarantined, Sound: r.wasSound}
	for _, s := range r.strikes {
		out.Strikes = append(out.Strikes, s)
	}
	slices.SortFunc(out.Strikes, func(a, b PartStrike) int { return cmp.Compare(a.Incident, b.Incident) })
	return out
}

// PartChanges returns the records of parts to publish: those that changed since the last call, ordered by part.
func (t *Tracker) PartChanges() []PartChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []PartChange
	for part := range t.changedParts {
		if r := t.parts[part]; r != nil {
			out = append(out, PartChange{Part: part, Record: r.export(), ChangedAt: r.changedAt})
		}
	}
	clear(t.changedParts)
	sortPartChanges(out)
	return out
}

// QuarantinedParts returns the records of all parts that are quarantined, ordered by part, for a node that may know none
// of them.
func (t *Tracker) QuarantinedParts(now time.Time) []PartChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []PartChange
	for part, r := range t.parts {
		if r.quarantined && now.Sub(r.changedAt) < t.opts.Expiry {
			out = append(out, PartChange{Part: part, Record: r.export(), ChangedAt: r.changedAt})
		}
	}
	sortPartChanges(out)
	return out
}

func sortPartChanges(changes []PartChange) {
	slices.SortFunc(changes, func(a, b PartChange) int { return cmp.Compare(a.Part, b.Part) })
}

// servedPeriod is the last period in which sound runs with parts began to answer, on any node, without a pause longer than
// maxServedPause.
type servedPeriod struct{ from, to time.Time }

const (
	maxServedPause  = 2 * time.Second
	minServedPeriod = 1500 * time.Millisecond
	// servedAnnouncement is how long after a crash nodes need to know of the answers of others.
	servedAnnouncement = 10 * time.Second
)

func (p *servedPeriod) add(at time.Time) {
	if at.Sub(p.to) > maxServedPause {
		p.from = at
	}
	p.to = later(p.to, at)
}

// since reports whether the servers have answered other requests after a time, for so long that a popular part would have
// been among them.
func (p *servedPeriod) since(at time.Time) bool {
	return p.to.Sub(later(p.from, at)) >= minServedPeriod
}

// HasStruckParts reports whether servers crashed recently under any part, so that the time of LastServed matters.
func (t *Tracker) HasStruckParts(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.parts {
		if now.Sub(r.changedAt) < servedAnnouncement {
			return true
		}
	}
	return false
}

// LastServed returns when the last sound run with parts on this node began to answer; zero if there was none. While parts
// have strikes it should be sent to the other nodes about once a second, see HasStruckParts.
func (t *Tracker) LastServed() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ownServed
}

// AddPeerServed adds the last served time of another node.
func (t *Tracker) AddPeerServed(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.served.add(at)
}

// soundParts holds, for the parts that sound runs had most recently, when the last of them began to answer.
type soundParts struct{ current, previous map[string]time.Time }

// maxSoundParts is the number of parts in one of the two maps. When the current one is full it replaces the previous one.
const maxSoundParts = 2048

func (s *soundParts) at(part string) time.Time {
	if at, ok := s.current[part]; ok {
		return at
	}
	return s.previous[part]
}

func (s *soundParts) set(part string, at time.Time) {
	if s.at(part).After(at) {
		return
	}
	if s.current == nil || len(s.current) >= maxSoundParts {
		s.previous, s.current = s.current, make(map[string]time.Time)
	}
	s.current[part] = at
}
