// Package replica copies the logs of responses to a second node and finds responses for callers that resume.
//
// # Design
//
// The home node copies an accepted request to one replica in another failure domain before the caller sees that it
// was accepted. After that it sends progress in one message per replica every flushInterval; an acknowledged
// message moves the offset from which the next one starts, so a lost message is repeated and the log drops what it
// has. When the replica fails or leaves, the home node picks another one and sends it everything.
//
// A response id names the home node. Any node can therefore find a response: it asks the home node, and when that is
// gone the nodes that rendezvous hashing would choose as replica. The replica becomes the home when a caller
// resumes and the old home is no longer live. It does not start by itself when the home dies: the caller that still
// wants the answer asks for it, and an answer that nobody waits for is not recomputed.
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
	// flushInterval is how often progress is sent; a home node that dies loses at most this much of it.
	flushInterval = 50 * time.Millisecond
	// openTimeout bounds one try to open a replica. Nodes are a few milliseconds apart.
	openTimeout = 250 * time.Millisecond
	// openTries is how many nodes are asked to be the replica.
	openTries = 3
	// appendTimeout bounds one progress message.
	appendTimeout = time.Second
	// confirmTimeout bounds the delay of a token whose replica does not answer.
	confirmTimeout = 100 * time.Millisecond
	// silentMemory is how long a node that did not answer is asked last.
	silentMemory = 3 * time.Second
	// maxAppendFailures is how many messages in a row may fail before another replica is chosen.
	maxAppendFailures = 2
)

// errNotAcknowledged means that the peer answered with something else than success.
var errNotAcknowledged = errors.New("replica: not acknowledged")

// Requester sends a message to a node and returns its answer.
type Requester interface {
	Request(ctx context.Context, addr string, env *pb.Envelope) (*pb.Envelope, error)
}

// Options are the parts of a Replicator.
type Options struct {
	Self membership.Member
	// Live returns the live nodes, this one included.
	Live func() []membership.Member
	// Members returns all known nodes, this one and dead ones included.
	Members func() []membership.Member
	// Member returns what is known of a node.
	Member    func(node string) (membership.Member, bool)
	Transport Requester
	Logs      *stream.Store
	// Run starts the attempts of a log whose home has become this node.
	// The KV cache of its last attempt may wait under a handle on the log's server.
	Run     func(log *stream.Log, kv string) error
	Metrics *metrics.Set
	Log     *logrus.Entry
}

// Replicator is the replication of one node.
type Replicator struct {
	Options
	wake chan struct{} // there is progress to send

	mu      sync.Mutex
	copies  map[string]*replicaState
	dirty   map[string]*stream.Log
	mirrors map[string]*mirror
	silent  map[string]time.Time // nodes that did not answer an open, and when
}

// replicaState is the replica of one log, as its home node knows it. Only the flush loop changes it after Open.
type replicaState struct {
	peer     membership.Member
	sent     uint32 // offset up to which the replica has acknowledged
	failures int
}

// New returns a Replicator.
func New(opts Options) *Replicator {
	return &Replicator{
		Options: opts,
		wake:    make(chan struct{}, 1),
		copies:  map[string]*replicaState{},
		dirty:   map[string]*stream.Log{},
		mirrors: map[string]*mirror{},
		silent:  map[string]time.Time{},
	}
}

// candidates returns the nodes that may hold the replica of a response of the given home: nodes of other failure
// domains first, in rendezvous order of the id.
func (r *Replicator) candidates(id string, home membership.Member, n int) []membership.Member {
	var others, near []membership.Member
	for _, member := range r.Live() {
		switch {
		case member.Node == home.Node || member.Status != pb.MemberState_ALIVE:
		case member.FailureDomain != home.FailureDomain:
			others = append(others, member)
		default:
			near = append(near, member)
		}
	}
	out := membership.Rendezvous(id, others, n)
	if len(out) < n {
		out = append(out, membership.Rendezvous(id, near, n-len(out))...)
	}
	return out
}

// Open copies an accepted request to a replica. When no other node answers, the response goes on without a replica,
// since refusing it would help nobody; a counter shows it. When some did not answer and others were not asked, the
// request is refused.
func (r *Replicator) Open(ctx context.Context, log *stream.Log) error {
	return r.openExcept(ctx, log, "")
}

// openExcept is Open without one node; "" leaves none out.
func (r *Replicator) openExcept(ctx context.Context, log *stream.Log, except string) error {
	id := log.Meta().ID
	candidates := r.answering(id, except)
	for _, peer := range candidates {
		if err := r.openAt(ctx, peer, log); err != nil {
			r.Metrics.Retry("replica_open")
			continue
		}
		r.mu.Lock()
		r.copies[id] = &replicaState{peer: peer}
		r.mu.Unlock()
		r.signal() // from now on the replica's node is watched
		return nil
	}
	if len(candidates) == openTries || ctx.Err() != nil {
		return code.New(code.ReplicationUnavailable, "no second node took a copy of the request").WithRetryAfter(time.Second)
	}
	r.Metrics.Add("responses_without_replica", 1)
	return nil
}

// answering returns the first candidates, without the nodes that did not answer lately: the view of the members may
// not show yet that they are gone, and each would delay the caller by openTimeout.
func (r *Replicator) answering(id, except string) []membership.Member {
	now := time.Now()
	r.mu.Lock()
	silent := maps.Clone(r.silent)
	r.mu.Unlock()
	candidates := r.candidates(id, r.Self, openTries+1+len(silent))
	candidates = slices.DeleteFunc(candidates, func(m membership.Member) bool {
		return m.Node == except || now.Sub(silent[m.Node]) < silentMemory
	})
	return candidates[:min(openTries, len(candidates))]
}

func (r *Replicator) setSilent(node string, silent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if silent {
		r.silent[node] = time.Now()
	} else {
		delete(r.silent, node)
	}
}

func (r *Replicator) openAt(ctx context.Context, peer membership.Member, log *stream.Log) error {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	body := &pb.Envelope_StreamOpen{StreamOpen: log.Open()}
	answer, err := r.Transport.Request(ctx, peer.NodeAddr, &pb.Envelope{Body: body})
	r.setSilent(peer.Node, err != nil)
	return r.acknowledged(answer, err)
}

func (r *Replicator) acknowledged(answer *pb.Envelope, err error) error {
	if err != nil {
		return err
	}
	if ack := answer.GetAck(); ack == nil || ack.Code != 0 {
		return fmt.Errorf("%w: %s", errNotAcknowledged, answer.GetAck().GetMessage())
	}
	return nil
}

// Changed marks a log whose progress the replica does not have yet.
func (r *Replicator) Changed(log *stream.Log) {
	id := log.Meta().ID
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.copies[id]; !ok {
		return
	}
	r.dirty[id] = log
	r.signal()
}

// Confirm sends tokens to the replica before they are delivered to the caller, so that a takeover continues with
// exactly what the caller has seen even when the engine is not deterministic. When the replica does not answer, the
// tokens are delivered all the same: the flush loop looks for another replica.
func (r *Replicator) Confirm(ctx context.Context, log *stream.Log, attempt, offset uint32, tokens []string) {
	id := log.Meta().ID
	r.mu.Lock()
	state := r.copies[id]
	r.mu.Unlock()
	if state == nil {
		return
	}
	progress := &pb.StreamProgress{ResponseId: id, Attempt: attempt, Offset: offset, Tokens: tokens}
	env := &pb.Envelope{Body: &pb.Envelope_StreamAppend{StreamAppend: &pb.StreamAppend{Progress: []*pb.StreamProgress{progress}}}}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if r.acknowledged(r.Transport.Request(ctx, state.peer.NodeAddr, env)) != nil {
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

// Run sends progress until ctx ends. It sleeps while nothing changes: an idle node should not wake up 20 times a second.
func (r *Replicator) Run(ctx context.Context) {
	looked := time.Time{}
	for r.awaitWork(ctx) {
		clock.Sleep(ctx, flushInterval)
		r.flush(ctx)
		if now := time.Now(); now.Sub(looked) >= leaveInterval {
			looked = now
			r.moveReplicas(ctx)
		}
	}
}

// awaitWork returns true when there is progress to send, or after leaveInterval while there are replicas, and false
// when ctx has ended.
func (r *Replicator) awaitWork(ctx context.Context) bool {
	r.mu.Lock()
	replicas := len(r.copies) > 0
	r.mu.Unlock()
	var look <-chan time.Time
	if replicas {
		look = time.After(leaveInterval)
	}
	select {
	case <-r.wake:
	case <-look:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// batch is the progress for one replica.
type batch struct {
	peer   membership.Member
	logs   []*stream.Log
	states []*replicaState
}

// flush sends the progress of all changed logs, one message per replica.
func (r *Replicator) flush(ctx context.Context) {
	batches := map[string]*batch{}
	r.mu.Lock()
	for id, log := range r.dirty {
		state := r.copies[id]
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
	err := r.acknowledged(r.Transport.Request(ctx, b.peer.NodeAddr, env))
	for i, progress := range message.Progress {
		r.settle(ctx, b.logs[i], b.states[i], progress, err)
	}
}

// settle notes what the replica has, or looks for another replica after repeated failures.
func (r *Replicator) settle(ctx context.Context, log *stream.Log, state *replicaState, sent *pb.StreamProgress, err error) {
	if err == nil {
		state.sent = sent.Offset + uint32(len(sent.Tokens))
		state.failures = 0
		if sent.Finished {
			r.forget(sent.ResponseId)
		}
		return
	}
	state.failures++
	if state.failures >= maxAppendFailures {
		r.reopen(ctx, log, state)
	}
	r.Changed(log)
}

func (r *Replicator) forget(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.copies, id)
	delete(r.dirty, id)
}

// reopen gives the log to another replica, which receives everything from the start.
func (r *Replicator) reopen(ctx context.Context, log *stream.Log, state *replicaState) {
	r.Metrics.Retry("replica_reopen")
	for _, peer := range r.candidates(log.Meta().ID, r.Self, openTries) {
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

// NewID returns the id of a response whose home is the node.
func NewID(node, unique string) string { return "r-" + node + "-" + unique }

// HomeOf returns the node an id names.
func HomeOf(id string) string {
	rest, ok := strings.CutPrefix(id, "r-")
	end := strings.LastIndexByte(rest, '-')
	if !ok || end < 0 {
		return ""
	}
	return rest[:end]
}
