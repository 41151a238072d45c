package strike

import (
	"slices"
	"time"
)

// A request on probation has more evidence against it than one crash, but not enough for a quarantine. It runs on one
// node at a time in the whole deployment; that run is a trial. Without trials each node would run it once on its own, and
// a request that comes again at all nodes would crash as many servers.
//
// A node that wants a trial announces it and waits for Options.Delay, in which the announcement reaches all nodes. It
// announces none while it knows that another node does. Of two nodes that announce one at the same time, the one with the
// lower name goes first. If announcements are delayed or lost for longer than that, trials of several nodes can overlap.
const (
	probationWeight = fullWeight + 1
	// trialPollInterval is how often a waiting request should ask again.
	trialPollInterval = 50 * time.Millisecond
	// trialExpiry is how long a node keeps a trial that it does not run, after the time at which it should have asked again.
	trialExpiry = 500 * time.Millisecond
	// peerTrialExpiry is how long the announcements of a silent node count. It must be longer than several heartbeats of
	// a large deployment.
	peerTrialExpiry = 5 * time.Second
	maxTrials       = 32
)

// trial is a run of a request on probation that this node wants.
type trial struct {
	request     string // digest of the request that asked for it; of several with the same digest, any may run
	announcedAt time.Time
	askAgainAt  time.Time
}

// peerTrials are the trials that another node has announced.
type peerTrials struct {
	digests    []string
	receivedAt time.Time
}

// Await returns the state of a request that is about to run. For a request on probation it asks for a trial and returns
// Held until this node may run it. For Held, wait is the time after which the caller should ask again.
//
// A request with a part that is due for a trial waits in the same way; others with that part are refused meanwhile.
func (t *Tracker) Await(req Request, now time.Time) (state State, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	digest := req.Digest
	switch state, wait, part := t.partState(req, now); state {
	case Quarantined:
		return Quarantined, wait
	case Isolate:
		if wait := t.requestTrial(part, digest, now); wait > 0 {
			return Held, wait
		}
	}
	state, wait = t.stateOf(digest, now)
	if state != Isolate || !t.onProbation(digest, now) || t.inFlight[digest] > 0 {
		return state, wait
	}
	if wait := t.requestTrial(digest, digest, now); wait > 0 {
		return Held, wait
	}
	return Isolate, 0
}

func (t *Tracker) onProbation(digest string, now time.Time) bool {
	_, most, _ := t.weigh(digest, now)
	return most >= probationWeight
}

// requestTrial asks for a trial of a digest or part and returns zero if this node has it.
func (t *Tracker) requestTrial(digest, request string, now time.Time) (wait time.Duration) {
	own, announced := t.trials[digest]
	if !announced || t.hasLapsed(digest, own, now) {
		if t.announcedByPeer(digest, "", now) || len(t.trials) >= maxTrials {
			return trialPollInterval
		}
		own = trial{request: request, announcedAt: now}
	}
	if t.announcedByPeer(digest, t.opts.Node, now) {
		delete(t.trials, digest)
		return trialPollInterval
	}
	wait = max(0, own.announcedAt.Add(t.opts.Delay).Sub(now))
	own.askAgainAt = now.Add(wait)
	t.trials[digest] = own
	return wait
}

// hasTrial reports whether this node may run a request on probation.
func (t *Tracker) hasTrial(digest string, now time.Time) bool {
	own, announced := t.trials[digest]
	return announced && !t.hasLapsed(digest, own, now) && now.Sub(own.announcedAt) >= t.opts.Delay && !t.announcedByPeer(digest, t.opts.Node, now)
}

func (t *Tracker) hasLapsed(digest string, own trial, now time.Time) bool {
	return now.Sub(own.askAgainAt) > trialExpiry && t.inFlight[digest] == 0
}

// announcedByPeer reports whether another node has announced a trial. If before is not empty, only nodes with names before
// it count.
func (t *Tracker) announcedByPeer(digest, before string, now time.Time) bool {
	for node, peer := range t.peerTrials {
		if (before == "" || node < before) && now.Sub(peer.receivedAt) < peerTrialExpiry && slices.Contains(peer.digests, digest) {
			return true
		}
	}
	return false
}

// Trials returns the digests and parts, in ascending order, on probation that this node runs or wants to run. They
// should be sent to the other nodes several times within Options.Delay.
func (t *Tracker) Trials(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for digest, own := range t.trials {
		if t.hasLapsed(digest, own, now) {
			delete(t.trials, digest)
			continue
		}
		out = append(out, digest)
	}
	// Runs that began before the request was on probation.
	for digest := range t.inFlight {
		if _, announced := t.trials[digest]; !announced && t.records[digest] != nil && t.onProbation(digest, now) {
			out = append(out, digest)
		}
	}
	slices.Sort(out)
	return out[:min(len(out), maxTrials)]
}

// SetPeerTrials replaces the trials that another node has announced.
func (t *Tracker) SetPeerTrials(node string, digests []string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(digests) == 0 {
		delete(t.peerTrials, node)
		return
	}
	t.peerTrials[node] = peerTrials{digests, now}
}

// expireTrials forgets nodes that are silent.
func (t *Tracker) expireTrials(now time.Time) {
	for node, peer := range t.peerTrials {
		if now.Sub(peer.receivedAt) >= peerTrialExpiry {
			delete(t.peerTrials, node)
		}
	}
}
