// Package replica replicates response logs to a second node and locates responses for callers that resume.
//
// # Design
//
// Before the caller learns that its request was accepted, the home node copies the request to a replica, in another
// failure domain if there is one. It then sends progress every flushInterval, in one message per replica node. An
// acknowledged message advances the offset at which the next one starts, so a lost message is retried and the log
// drops duplicates. When the replica's node fails or leaves, the home node picks another one and sends it everything.
//
// A response id names the home node at the time of acceptance. Any node can therefore find a response: it queries that
// node and, if it is gone, the nodes that rendezvous hashing would choose for the replica. The replica's node becomes
// the home node when a caller resumes and the previous home node is not live. It does not take over merely because the
// home node dies: a caller that still wants the response resumes it, and a response that no caller waits for is not
// recomputed.
package replica

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/metrics"
	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/code"
	"github.com/pollenlug/pollenlug/pkg/membership"
	"github.com/pollenlug/pollenlug/pkg/stream"
)

const (
	// flushInterval is how often progress is sent; a crashed home node loses about this much of it.
	flushInterval = 50 * time.Millisecond
	// openTimeout bounds one attempt to open a replica. Nodes are a few milliseconds apart.
	openTimeout = 250 * time.Millisecond
	// maxOpenAttempts is the maximum number of nodes on which opening a replica is attempted.
	maxOpenAttempts = 3
	// appendTimeout bounds one progress message.
	appendTimeout = time.Second
	// confirmTimeout bounds how long a token is delayed by an unresponsive replica.
	confirmTimeout = 100 * time.Millisecond
	// unresponsivePeriod is how long responsiveCandidates skips a node that did not reply to an open or did not accept a
	// handover.
	unresponsivePeriod = 3 * time.Second
	// maxAppendFailures is the number of consecutive failed messages after which another replica is chosen.
	maxAppendFailures = 2
)

// errNotAcknowledged means that the peer's reply was not a successful acknowledgement.
var errNotAcknowledged = errors.New("replica: not acknowledged")

// Requester sends a message to a node and returns its reply.
type Requester interface {
	Request(ctx context.Context, addr string, env *pb.Envelope) (*pb.Envelope, error)
}

// Options holds the dependencies of a Replicator.
type Options struct {
	Self membership.Member
	// Live returns the live nodes, this one included.
	Live func() []membership.Member
	// Members returns all known nodes, this one and dead ones included.
	Members func() []membership.Member
	// Member returns a node's membership entry, if it has one.
	Member    func(node string) (membership.Member, bool)
	Transport Requester
	Logs      *stream.Store
	// Run starts the attempts of a response whose home node is now this node. kv is the handle of its KV cache on the
	// log's server, or "".
	Run     func(log *stream.Log, kv string) error
	Metrics *metrics.Set
	Log     *logrus.Entry
}

// Replicator replicates the logs of one node.
type Replicator struct {
	Options
	wake chan struct{} // signals Run that there is progress to send

	mu           sync.Mutex
	replicas     map[string]*replicaState
	dirty        map[string]*stream.Log
	mirrors      map[string]*mirror
	unresponsive map[string]time.Time // when nodes last failed to reply to an open or to accept a handover
}

// replicaState is the home node's view of the replica of one log. Only Run changes it after Open.
type replicaState struct {
	peer     membership.Member
	sent     uint32 // offset up to which the replica has acknowledged
	failures int
}

// New returns a Replicator.
func New(opts Options) *Replicator {
	return &Replicator{
		Options:      opts,
		wake:         make(chan struct{}, 1),
		replicas:     map[string]*replicaState{},
		dirty:        map[string]*stream.Log{},
		mirrors:      map[string]*mirror{},
		unresponsive: map[string]time.Time{},
	}
}

// candidates returns up to n nodes that are eligible for the replica of a response with the given home node: those in
// other failure domains first, each group in rendezvous order of the id.
func (r *Replicator) candidates(id string, home membership.Member, n int) []membership.Member {
	var otherDomains, sameDomain []membership.Member
	for _, member := range r.Live() {
		switch {
		case member.Node == home.Node || member.Status != pb.MemberState_ALIVE:
		case member.FailureDomain != home.FailureDomain:
			otherDomains = append(otherDomains, member)
		default:
			sameDomain = append(sameDomain, member)
		}
	}
	out := membership.Rendezvous(id, otherDomains, n)
	if len(out) < n {
		out = append(out, membership.Rendezvous(id, sameDomain, n-len(out))...)
	}
	return out
}

// Open copies an accepted request to a replica. If there are fewer than maxOpenAttempts candidates and all fail, the
// response continues without a replica, since refusing it would not help the caller; the metric responses_without_replica
// counts these. If maxOpenAttempts candidates fail, other nodes may remain, and the request is refused. It is also
// refused if ctx ends first.
func (r *Replicator) Open(ctx context.Context, log *stream.Log) error {
	return r.openExcept(ctx, log, "")
}

// openExcept is like Open but skips one node; "" skips none.
func (r *Replicator) openExcept(ctx context.Context, log *stream.Log, except string) error {
	id := log.Meta().ID
	candidates := r.responsiveCandidates(id, except)
	for _, peer := range candidates {
		if err := r.openAt(ctx, peer, log); err != nil {
			r.Metrics.Retry("replica_open")
			continue
		}
		r.mu.Lock()
		r.replicas[id] = &replicaState{peer: peer}
		r.mu.Unlock()
		r.signal() // Run starts to check the replica's node
		return nil
	}
	if len(candidates) == maxOpenAttempts || ctx.Err() != nil {
		return code.New(code.ReplicationUnavailable, "no second node took a copy of the request").WithRetryAfter(time.Second)
	}
	r.Metrics.Add("responses_without_replica", 1)
	return nil
}

// responsiveCandidates returns the first maxOpenAttempts candidates, without the nodes that recently failed to reply.
// The membership view may not show yet that they are gone, and each would delay the caller by openTimeout.
func (r *Replicator) responsiveCandidates(id, except string) []membership.Member {
	now := time.Now()
	r.mu.Lock()
	unresponsive := maps.Clone(r.unresponsive)
	r.mu.Unlock()
	candidates := r.candidates(id, r.Self, maxOpenAttempts+1+len(unresponsive))
	candidates = slices.DeleteFunc(candidates, func(m membership.Member) bool {
		return m.Node == except || now.Sub(unresponsive[m.Node]) < unresponsivePeriod
	})
	return candidates[:min(maxOpenAttempts, len(candidates))]
}

func (r *Replicator) setUnresponsive(node string, unresponsive bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if unresponsive {
		r.unresponsive[node] = time.Now()
	} else {
		delete(r.unresponsive, node)
	}
}

func (r *Replicator) openAt(ctx context.Context, peer membership.Member, log *stream.Log) error {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	body := &pb.Envelope_StreamOpen{StreamOpen: log.Open()}
	reply, err := r.Transport.Request(ctx, peer.NodeAddr, &pb.Envelope{Body: body})
	r.setUnresponsive(peer.Node, err != nil)
	return r.checkAck(reply, err)
}

func (r *Replicator) checkAck(reply *pb.Envelope, err error) error {
	if err != nil {
		return err
	}
	if ack := reply.GetAck(); ack == nil || ack.Code != 0 {
		return fmt.Errorf("%w: %s", errNotAcknowledged, reply.GetAck().GetMessage())
	}
	return nil
}

// Changed marks a log as having progress that its replica lacks.
func (r *Replicator) Changed(log *stream.Log) {
	id := log.Meta().ID
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.replicas[id]; !ok {
		return
	}
	r.dirty[id] = log
	r.signal()
}

// Confirm sends tokens to the replica before they are delivered to the caller, so that a takeover continues with
// exactly what the caller has seen even if the engine is not deterministic. If the replica does not acknowledge them,
// the tokens are delivered all the same, and the flush loop chooses another replica after repeated failures.
func (r *Replicator) Confirm(ctx context.Context, log *stream.Log, attempt, offset uint32, tokens []string) {
	id := log.Meta().ID
	r.mu.Lock()
	state := r.replicas[id]
	r.mu.Unlock()
	if state == nil {
		return
	}
	progress := &pb.StreamProgress{ResponseId: id, Attempt: attempt, Offset: offset, Tokens: tokens}
	env := &pb.Envelope{Body: &pb.Envelope_StreamAppend{StreamAppend: &pb.StreamAppend{Progress: []*pb.StreamProgress{progress}}}}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if r.checkAck(r.Transport.Request(ctx, state.peer.NodeAddr, env)) != nil {
		r.Metrics.Retry("progress_unconfirmed")
	}
}

// signal wakes Run.
func (r *Replicator) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run sends progress until ctx ends. It sleeps while nothing changes, so that an idle node does not wake up 20 times a
// second.
func (r *Replicator) Run(ctx context.Context) {
	lastCheck := time.Time{}
	for r.awaitWork(ctx) {
		clock.Sleep(ctx, flushInterval)
		r.flush(ctx)
		if now := time.Now(); now.Sub(lastCheck) >= replicaCheckInterval {
			lastCheck = now
			r.moveReplicas(ctx)
		}
	}
}

// awaitWork returns true when there is progress to send, or after replicaCheckInterval while there are replicas, and
// false when ctx has ended.
func (r *Replicator) awaitWork(ctx context.Context) bool {
	r.mu.Lock()
	hasReplicas := len(r.replicas) > 0
	r.mu.Unlock()
	var check <-chan time.Time
	if hasReplicas {
		check = time.After(replicaCheckInterval)
	}
	select {
	case <-r.wake:
	case <-check:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// batch is the logs whose progress is sent to one node in one message.
type batch struct {
	peer   membership.Member
	logs   []*stream.Log
	states []*replicaState
}

// flush sends the progress of all changed logs, in one message per replica node.
func (r *Replicator) flush(ctx context.Context) {
	batches := map[string]*batch{}
	r.mu.Lock()
	for id, log := range r.dirty {
		state := r.replicas[id]
		b := batches[state.peer.Node]
		if b == nil {
			b = &batch{peer: state.peer}
			batches[state.peer.Node] = b
		}
		b.logs = append(b.logs, log)
		b.states = append(b.states, state)
	}
	clear(r.dirty)
	r.mu.Unlock()
	var wg sync.WaitGroup
	for _, b := range batches {
		wg.Go(func() { r.sendBatch(ctx, b) })
	}
	wg.Wait()
}

func (r *Replicator) sendBatch(ctx context.Context, b *batch) {
	message := &pb.StreamAppend{Progress: make([]*pb.StreamProgress, len(b.logs))}
	for i, log := range b.logs {
		message.Progress[i] = log.Progress(b.states[i].sent)
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	env := &pb.Envelope{Body: &pb.Envelope_StreamAppend{StreamAppend: message}}
	err := r.checkAck(r.Transport.Request(ctx, b.peer.NodeAddr, env))
	for i, progress := range message.Progress {
		r.recordResult(ctx, b.logs[i], b.states[i], progress, err)
	}
}

// recordResult advances the replica's acknowledged offset, or chooses another replica after repeated failures.
func (r *Replicator) recordResult(ctx context.Context, log *stream.Log, state *replicaState, sent *pb.StreamProgress, err error) {
	if err == nil {
		state.sent = sent.Offset + uint32(len(sent.Tokens))
		state.failures = 0
		if sent.Finished {
			r.removeReplica(sent.ResponseId)
		}
		return
	}
	state.failures++
	if state.failures >= maxAppendFailures {
		r.reopen(ctx, log, state)
	}
	r.Changed(log)
}

func (r *Replicator) removeReplica(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.replicas, id)
	delete(r.dirty, id)
}

// reopen opens a replica on another node, which then receives the log from the start.
func (r *Replicator) reopen(ctx context.Context, log *stream.Log, state *replicaState) {
	r.Metrics.Retry("replica_reopen")
	for _, peer := range r.candidates(log.Meta().ID, r.Self, maxOpenAttempts) {
		if peer.Node == state.peer.Node || r.openAt(context.WithoutCancel(ctx), peer, log) != nil {
			continue
		}
		r.mu.Lock()
		state.peer = peer
		r.mu.Unlock()
		state.sent, state.failures = 0, 0
		return
	}
}

// NewID returns the id of a response whose first home node is the given node. unique must not contain "-".
func NewID(node, unique string) string { return "r-" + node + "-" + unique }

// HomeOf returns the node that an id names, or "" if the id is malformed.
func HomeOf(id string) string {
	rest, ok := strings.CutPrefix(id, "r-")
	end := strings.LastIndexByte(rest, '-')
	if !ok || end < 0 {
		return ""
	}
	return rest[:end]
}
