package strike

import (
	"slices"
	"time"
)

// Verdict is what a node decided on a strike or on a broken connection.
type Verdict string

// The verdicts. Weakened means that a strike counts as correlated. Dropped means that no crash was noticed within
// Options.Linger after the connection of a run broke. Tried means that a request on probation runs on this node. Released
// means that a part is no longer quarantined.
const (
	Withdrawn  Verdict = "withdrawn"
	Weakened   Verdict = "weakened"
	Quarantine Verdict = "quarantined"
	Dropped    Verdict = "dropped"
	Tried      Verdict = "tried"
	Released   Verdict = "released"
)

// Reason is why a node decided so.
type Reason string

// The reasons.
const (
	CompletedRun  Reason = "a run of the request completed"
	ExternalCause Reason = "the server had a notice or could not be reached"
	Correlated    Reason = "other servers crashed at nearly the same time"
	Ambiguous     Reason = "other requests were running on the same crashed servers"
	EnoughStrikes Reason = "the strikes of the request suffice"
	NoCrash       Reason = "no crash of the server was noticed"
	OnProbation   Reason = "no other node runs this request with several strikes"
	TrialDue      Reason = "the part is due for a trial and no other node runs one"
	SoundPart     Reason = "the strikes of the part do not suffice any more"
)

// Decision is a decision of this node, for its log, on a request's digest or on a part of prompts. Incident is only a server
// for Dropped and Tried.
type Decision struct {
	Digest, Part, Incident string
	Verdict                Verdict
	Reason                 Reason
	// Related holds the incidents, or for Ambiguous the digests, that led to the decision, apart from Incident.
	Related []string
}

// maxDecisions bounds the decisions kept for Decisions; later ones are not logged.
const maxDecisions = 256

func (t *Tracker) logDecision(d Decision) {
	if len(t.decisions) < maxDecisions {
		t.decisions = append(t.decisions, d)
	}
}

// Decisions returns the decisions since the last call, at most maxDecisions of them.
func (t *Tracker) Decisions() []Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.decisions
	t.decisions = nil
	return out
}

func (t *Tracker) decide(event *crash, now time.Time) {
	event.decided = true
	for _, digest := range event.digests {
		r := t.records[digest]
		if r == nil {
			continue
		}
		t.decideStrike(digest, r, event, now)
		if least, _, _ := r.weigh(t.pendingTime(), now); least >= quarantineWeight && !r.quarantined {
			t.logDecision(Decision{Digest: digest, Incident: event.incident, Verdict: Quarantine, Reason: EnoughStrikes, Related: r.export().Servers})
			r.quarantined = true
			r.changedAt = now
			t.changed[digest] = true
		}
	}
}

func (t *Tracker) decideStrike(digest string, r *record, event *crash, now time.Time) {
	s, struck := r.struck[event.incident]
	if !struck {
		return // withdrawn
	}
	s.decided = true
	reason, related := Correlated, t.correlated(event, r)
	if related == nil {
		reason, related = Ambiguous, t.companions(digest, r, event.incident)
	}
	if related != nil && !s.correlated {
		t.logDecision(Decision{Digest: digest, Incident: event.incident, Verdict: Weakened, Reason: reason, Related: related})
		s.correlated = true
		r.changedAt = now
		t.changed[digest] = true
	}
	r.struck[event.incident] = s
}

// companions returns the other requests that this crash and another one hit together with a request, or nil. Each of them
// may be the one that crashes its servers.
func (t *Tracker) companions(digest string, r *record, incident string) []string {
	var out []string
	for other, o := range t.records {
		if other == digest {
			continue
		}
		if _, hit := o.struck[incident]; !hit {
			continue
		}
		for shared := range o.struck {
			if _, both := r.struck[shared]; both && shared != incident {
				out = append(out, other)
				break
			}
		}
	}
	slices.Sort(out)
	return out
}

// correlated returns the crashes that a crash is correlated with, as seen from one request, or nil. Only crashes within
// the window that gave the request no strike count: one in the same failure domain or two anywhere. One anywhere is
// enough when the request has two strikes, since three servers lost at once indicate a common cause that hit a retried
// request.
func (t *Tracker) correlated(event *crash, r *record) []string {
	var others []string
	for i := range t.crashes {
		other := &t.crashes[i]
		if other.incident == event.incident || other.at.Sub(event.at).Abs() > t.opts.Window {
			continue
		}
		if _, own := r.struck[other.incident]; own {
			continue
		}
		if other.domain == event.domain {
			return []string{other.incident}
		}
		others = append(others, other.incident)
	}
	if len(others) >= 2 || len(others) == 1 && len(r.struck) >= 2 {
		return others
	}
	return nil
}
