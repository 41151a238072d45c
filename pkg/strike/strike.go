// Package strike detects requests that crash the backend servers they run on (poison requests) and quarantines them.
//
// When a server crashes, each request in flight on it gets a strike under the request's content digest. A request with
// a strike runs in isolation, alone on its server; with enough strikes it is quarantined, that is refused on all nodes.
//
// A strike is pending for a short delay and is published at once, so that other nodes isolate the request before the
// decision. After the delay it counts in full, unless the crash is correlated with others, which means another one in
// the same failure domain or two elsewhere within the window. A crash that gave the same request a strike is no reason to
// call another one correlated, since a poison request causes just that. A crash that hit another request together with
// this one for the second time counts like a correlated one, since either may be the cause.
//
// A correlated crash is weak evidence but not evidence of innocence, because servers also crash for other reasons while
// a poison request is around: its strike counts less than half. So a poison request crashes two servers if nothing else
// happens, and four in any other case, apart from the races below. A request that waves of crashes hit, or that runs
// beside a poison request, is refused only after its fourth crash in a row.
//
// Between isolation and quarantine a request is on probation: it runs on one node at a time in the whole deployment.
//
// A request whose pending strikes could quarantine it is held: it neither runs nor is refused until the decision, which
// takes longer than gossip needs to reach all nodes.
//
// Strikes are withdrawn only by evidence of innocence: a run of the request that completes, a reclaim notice of the
// server, or a network that was unreachable.
//
// Requests that are never alike may have a part of their prompts in common that crashes servers; see part.go.
//
// Records merge by set union: an incident is struck or withdrawn, and withdrawn wins; a struck one is correlated if one
// node says so. The merge is commutative and idempotent, so the order in which nodes receive records does not matter.
//
// Races that remain:
//   - Copies of a request sent to several nodes at the same moment run before any strike exists. Each may crash one
//     server. Later copies are held.
//   - A caller that does not wait for the response and resends through a node which has not received the strike yet
//     (less than a gossip delay after the crash) crashes one more server per such resend.
//   - On one node, TryStart refuses a second run of a request with a strike while the first is in flight. Across nodes,
//     isolated runs of a request with a single strike can overlap; see trial.go for requests with more.
//   - Two servers that are lost to unrelated causes, with the same request retried from the first to the second, make that
//     request look like a poison request. Its quarantine ends when the record expires.
package strike

import (
	"slices"
	"strconv"
	"sync"
	"time"
)

// State is the restriction on running a request.
type State uint8

// The states. Clear: the request runs normally. Isolate: it runs alone on its server, once at a time. Held: a decision
// is pending, and the request waits and checks its state again. Quarantined: it is refused.
const (
	Clear State = iota
	Isolate
	Held
	Quarantined
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"clear", "isolate", "held", "quarantined"}[s]
}

// Options configures a Tracker. Zero values give the defaults.
type Options struct {
	// Node is the name of this node. It orders the nodes that want to run the same request; see Await.
	Node string
	// Window is the largest time between two crashes that are considered correlated.
	Window time.Duration
	// Delay is the time from a crash to the decision on its strikes. It must be longer than gossip needs to reach all
	// nodes.
	Delay time.Duration
	// Linger is how long after the connection broke the request still gets a strike when the server crashes.
	Linger time.Duration
	// Expiry is how long a record is kept after its last change.
	Expiry time.Duration
	// MaxRecords bounds the number of digests with a record.
	MaxRecords int
}

const (
	defaultWindow     = 2 * time.Second
	defaultDelay      = 2500 * time.Millisecond
	defaultLinger     = 3 * time.Second
	defaultExpiry     = time.Hour
	defaultMaxRecords = 4096
	// Weights of strikes. A pending one weighs at least correlatedWeight and at most fullWeight. Two full strikes, one and
	// two correlated ones, or four correlated ones quarantine a request; one full strike or three correlated ones isolate
	// it.
	fullWeight       = 5
	correlatedWeight = 2
	isolateWeight    = 5
	quarantineWeight = 8
	maxIncidents     = 16 // of one record, withdrawn ones included
	maxCrashes       = 4096
	withdrawnMark    = "-"
	// crashRetention is how long a crash is remembered. Nodes may see signs of it as long as others list the server.
	crashRetention = time.Minute
)

// Crash describes a server that crashed or became unreachable.
type Crash struct {
	Server, Domain string
	// Started is the server's start time in Unix milliseconds. It distinguishes two crashes of one server, and makes the
	// same crash seen by two nodes count once.
	Started int64
	// HadNotice is set when the instance had a reclaim notice, Unreachable when the network to the server may have failed
	// rather than the server.
	HadNotice, Unreachable bool
}

func (c *Crash) incident() string { return c.Server + "#" + strconv.FormatInt(c.Started, 10) }

// Tracker holds the strikes that one node knows. Its methods may be called concurrently and get the current time from
// the caller.
type Tracker struct {
	opts Options

	mu       sync.Mutex
	running  map[string]map[*Run]bool // by server; interrupted and disconnected runs included
	inFlight map[string]int           // by digest and by part
	// interrupted holds, by digest, the runs whose connection broke and whose server may turn out to have crashed.
	// disconnected are those whose caller left, oldest first.
	interrupted  map[string][]*Run
	disconnected []*Run
	records      map[string]*record
	crashes      []crash // the last maxCrashes; decided ones for crashRetention
	changed      map[string]bool
	decisions    []Decision
	trials       map[string]trial // of this node, by digest or part
	peerTrials   map[string]peerTrials

	parts        map[string]*partRecord
	changedParts map[string]bool
	sound        soundParts
	// served covers the answers of all nodes; ownServed is the start of the last one of this node.
	served    servedPeriod
	ownServed time.Time
}

// Outcome is the way in which a run ended.
type Outcome uint8

// The outcomes. Completed withdraws the strikes that the request had when the run started. Interrupted means that the
// connection broke; a crash of the server within Options.Linger still gives the request a strike, since crashes are
// often noticed later. Disconnected means that the caller left or its time was over: such a crash gives a strike as well,
// but the request is no suspect until then. Abandoned is any other end, such as a refusal by the server.
const (
	Abandoned Outcome = iota
	Completed
	Interrupted
	Disconnected
)

// Run is one run of a request on a server.
type Run struct {
	tracker        *Tracker
	server, digest string
	parts          []string
	startedAt      time.Time
	answeringAt    time.Time // zero until the first part of the answer arrives
	sound          bool      // the run has shown that its parts do not crash servers
	ended          bool
	outcome        Outcome
	endedAt        time.Time // for Interrupted and Disconnected
}

type crash struct {
	incident, domain string
	at               time.Time
	digests          []string // of the requests that got a strike
	parts            []string // that got one
	decided          bool
}

// New returns an empty Tracker.
func New(opts Options) *Tracker {
	if opts.Window <= 0 {
		opts.Window = defaultWindow
	}
	if opts.Delay <= 0 {
		opts.Delay = defaultDelay
	}
	if opts.Linger <= 0 {
		opts.Linger = defaultLinger
	}
	if opts.Expiry <= 0 {
		opts.Expiry = defaultExpiry
	}
	if opts.MaxRecords <= 0 {
		opts.MaxRecords = defaultMaxRecords
	}
	return &Tracker{
		opts:        opts,
		running:     make(map[string]map[*Run]bool),
		inFlight:    make(map[string]int),
		interrupted: make(map[string][]*Run),
		records:     make(map[string]*record),
		changed:     make(map[string]bool),
		trials:      make(map[string]trial),
		peerTrials:  make(map[string]peerTrials),

		parts:        make(map[string]*partRecord),
		changedParts: make(map[string]bool),
	}
}

// State returns the current state of a request. For Held, wait is the time until the decision. For Quarantined, wait is
// the time after which the caller should return, or zero if the content of the request as a whole is quarantined.
func (t *Tracker) State(req Request, now time.Time) (state State, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state, wait = t.stateOf(req.Digest, now)
	if part, partWait, _ := t.partState(req, now); part > state {
		return part, partWait
	}
	return state, wait
}

func (t *Tracker) stateOf(digest string, now time.Time) (State, time.Duration) {
	least, most, decided := t.weigh(digest, now)
	switch {
	case least >= quarantineWeight:
		return Quarantined, 0
	case most >= quarantineWeight:
		return Held, max(time.Millisecond, decided.Sub(now))
	case most >= isolateWeight:
		return Isolate, 0
	}
	return Clear, 0
}

// weigh returns the least and the most that the strikes of a request may weigh, and when that is decided. Interrupted
// runs count as possible strikes.
func (t *Tracker) weigh(digest string, now time.Time) (least, most int, decided time.Time) {
	if r := t.records[digest]; r != nil && now.Sub(r.changedAt) < t.opts.Expiry {
		least, most, decided = r.weigh(t.pendingTime(), now)
	}
	for _, run := range t.interrupted[digest] {
		if left := run.endedAt.Add(t.opts.Linger); left.After(now) {
			most += fullWeight
			decided = later(decided, left)
		}
	}
	return least, most, decided
}

// pendingTime is how long a strike is pending if no decision is known. The decision of another node is due after
// Options.Delay and takes a gossip delay to arrive.
func (t *Tracker) pendingTime() time.Duration { return 2 * t.opts.Delay }

// InFlight reports whether a run of the request is in flight on this node.
func (t *Tracker) InFlight(digest string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inFlight[digest] > 0
}

// TryStart records that a request is in flight on a server. It returns false and records nothing when the request must
// not run, because it or a part of its prompt is held or quarantined, it is to run in isolation and is already in flight,
// or it or a part is on probation and this node has no trial.
func (t *Tracker) TryStart(server string, req Request, now time.Time) (*Run, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	digest := req.Digest
	partState, _, part := t.partState(req, now)
	if partState == Quarantined || partState == Isolate && (t.trials[part].request != digest || !t.hasTrial(part, now)) {
		return nil, false
	}
	state, _ := t.stateOf(digest, now)
	if state >= Held || state == Isolate && t.inFlight[digest] > 0 {
		return nil, false
	}
	if state == Isolate && t.onProbation(digest, now) {
		if !t.hasTrial(digest, now) {
			return nil, false
		}
		t.logDecision(Decision{Digest: digest, Incident: server, Verdict: Tried, Reason: OnProbation})
	}
	if partState == Isolate {
		for _, part := range t.quarantinedParts(req) {
			t.startTrial(part, server, now)
		}
	}
	r := &Run{tracker: t, server: server, digest: digest, parts: req.parts(), startedAt: now}
	if t.running[server] == nil {
		t.running[server] = make(map[*Run]bool)
	}
	t.running[server][r] = true
	t.inFlight[digest]++
	for _, part := range r.parts {
		t.inFlight[part]++
	}
	return r, true
}

// Answering records that the first part of the answer has arrived. Later calls do nothing.
func (r *Run) Answering(now time.Time) {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	if r.answeringAt.IsZero() {
		r.answeringAt = now
	}
}

// End records the end of a run. Calls after the first one or after a crash of the server do nothing.
func (r *Run) End(outcome Outcome, now time.Time) {
	t := r.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	if !r.leave() {
		return
	}
	r.outcome, r.endedAt = outcome, now
	switch outcome {
	case Interrupted:
		t.interrupted[r.digest] = append(t.interrupted[r.digest], r)
	case Disconnected:
		t.disconnected = append(t.disconnected, r)
	case Completed:
		t.removeRun(r)
		t.withdrawBefore(r.digest, r.startedAt, now)
		t.partsSound(r, later(r.startedAt, r.answeringAt), now)
	default:
		t.removeRun(r)
	}
}

// leave removes a run from those in flight. It returns false if that has been done before.
func (r *Run) leave() bool {
	if r.ended {
		return false
	}
	r.ended = true
	r.tracker.land(r.digest)
	for _, part := range r.parts {
		r.tracker.land(part)
	}
	return true
}

// land counts a run of a digest or part that is no longer in flight.
func (t *Tracker) land(key string) {
	if t.inFlight[key]--; t.inFlight[key] <= 0 {
		delete(t.inFlight, key)
	}
}

// removeRun removes a run that no later crash can give a strike.
func (t *Tracker) removeRun(r *Run) {
	delete(t.running[r.server], r)
	if len(t.running[r.server]) == 0 {
		delete(t.running, r.server)
	}
	if r.outcome == Interrupted {
		left := slices.DeleteFunc(t.interrupted[r.digest], func(other *Run) bool { return other == r })
		t.interrupted[r.digest] = left
		if len(left) == 0 {
			delete(t.interrupted, r.digest)
		}
	}
}

// RecordCrash gives a strike to each request in flight on a crashed server, and returns the number of runs there. Tick
// decides on the strikes later. The same crash may be reported again, which returns recorded false: if HadNotice or
// Unreachable is set by then, for example because a reclaim notice became known, its strikes are withdrawn, as long as
// the crash is among the last maxCrashes and younger than crashRetention. If a run began after the first report and its
// connection broke, the server was alive then, and the report counts as the crash.
func (t *Tracker) RecordCrash(c Crash, now time.Time) (runs int, recorded bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	incident := c.incident()
	externalCause := c.HadNotice || c.Unreachable
	for i := range t.crashes {
		event := &t.crashes[i]
		if event.incident != incident {
			continue
		}
		if externalCause {
			t.withdrawCrash(event, now)
			return 0, false
		}
		if !t.hasInterruptedSince(c.Server, event.at) {
			return 0, false
		}
		event.at, event.decided = now, false
		return t.strikeRuns(c.Server, event, now), true
	}
	event := crash{incident: incident, domain: c.Domain, at: now, decided: externalCause}
	if externalCause {
		runs = t.endRuns(c.Server)
	} else {
		runs = t.strikeRuns(c.Server, &event, now)
	}
	if len(t.crashes) >= maxCrashes {
		t.crashes = t.crashes[1:]
	}
	t.crashes = append(t.crashes, event)
	return runs, true
}

// hasInterruptedSince reports whether the connection of a run on a server broke that began after a time.
func (t *Tracker) hasInterruptedSince(server string, since time.Time) bool {
	for r := range t.running[server] {
		if r.outcome == Interrupted && r.startedAt.After(since) {
			return true
		}
	}
	return false
}

// strikeRuns ends the runs on a crashed server, gives their requests a strike and returns their number.
func (t *Tracker) strikeRuns(server string, event *crash, now time.Time) int {
	for r := range t.running[server] {
		if !slices.Contains(event.digests, r.digest) {
			t.addStrike(r.digest, event.incident, now)
			event.digests = append(event.digests, r.digest)
		}
		t.strikeParts(r, event, now)
	}
	return t.endRuns(server)
}

// endRuns ends the runs on a crashed server and returns their number.
func (t *Tracker) endRuns(server string) int {
	runs := len(t.running[server])
	for r := range t.running[server] {
		r.leave()
		t.removeRun(r)
	}
	return runs
}

func (t *Tracker) withdrawCrash(event *crash, now time.Time) {
	for _, digest := range event.digests {
		if r := t.records[digest]; r != nil {
			t.withdraw(digest, r, event.incident, ExternalCause, nil, now)
		}
	}
	for _, part := range event.parts {
		if r := t.parts[part]; r != nil && r.strikes[event.incident].Incident != "" {
			t.withdrawPart(part, r, event.incident, now)
		}
	}
	t.judgeParts(now)
	event.decided = true
}

// Tick decides on the crashes whose delay has passed, and drops expired records and interrupted runs. It should be
// called a few times per second.
func (t *Tracker) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.crashes {
		if event := &t.crashes[i]; !event.decided && now.Sub(event.at) >= t.opts.Delay {
			t.decide(event, now)
		}
	}
	t.crashes = slices.DeleteFunc(t.crashes, func(c crash) bool {
		return c.decided && now.Sub(c.at) > max(crashRetention, t.opts.Window+t.opts.Delay)
	})
	t.markSound(now)
	t.expire(now)
	t.expireParts(now)
	t.expireTrials(now)
	t.judgeParts(now)
}

func (t *Tracker) expire(now time.Time) {
	for digest, r := range t.records {
		if now.Sub(r.changedAt) >= t.opts.Expiry {
			delete(t.records, digest)
			delete(t.changed, digest)
		}
	}
	for _, runs := range t.interrupted {
		for _, r := range slices.Clone(runs) {
			if now.Sub(r.endedAt) >= t.opts.Linger {
				t.logDecision(Decision{Digest: r.digest, Incident: r.server, Verdict: Dropped, Reason: NoCrash})
				t.removeRun(r)
			}
		}
	}
	for len(t.disconnected) > 0 && now.Sub(t.disconnected[0].endedAt) >= t.opts.Linger {
		t.removeRun(t.disconnected[0])
		t.disconnected = t.disconnected[1:]
	}
}

// Quarantines returns the digests that are quarantined now, in ascending order.
func (t *Tracker) Quarantines(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for digest := range t.records {
		if state, _ := t.stateOf(digest, now); state == Quarantined {
			out = append(out, digest)
		}
	}
	slices.Sort(out)
	return out
}
