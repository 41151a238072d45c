package replica

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/code"
	"github.com/pollenlug/pollenlug/pkg/membership"
	"github.com/pollenlug/pollenlug/pkg/stream"
)

const (
	// fetchTimeout bounds one request for progress, including the time for which the peer waits for new tokens.
	fetchTimeout = fetchWait + time.Second
	// maxFindNodes bounds, for a response whose home node cannot be reached, the queried nodes of each group that
	// possibleReplicas returns.
	maxFindNodes = 8
	// findRetryInterval is the wait between searches after the home node of a response has become unreachable.
	findRetryInterval = 200 * time.Millisecond
	// findRetryTimeout is how long a mirror keeps searching; it covers the time to detect a dead home node.
	findRetryTimeout = 15 * time.Second
)

// errNotFound means that no queried node has the response.
var errNotFound = errors.New("replica: response not found")

// mirror is a local copy of a response that runs on another node, shared by the readers on this node.
type mirror struct {
	log     *stream.Log
	readers int
	cancel  context.CancelFunc
}

// Attach returns the log of a workspace's response. If the response runs on another node, a mirror follows it until all
// readers have called release.
func (r *Replicator) Attach(ctx context.Context, workspace, id string) (log *stream.Log, release func(), err error) {
	if log := r.Logs.Get(id); log != nil && log.Meta().Workspace == workspace {
		meta := log.Meta()
		if log.End().Finished || meta.Home == r.Self.Node {
			r.resume(log)
			return log, func() {}, nil
		}
	}
	if log, release := r.joinMirror(workspace, id); log != nil {
		return log, release, nil
	}
	source, state, err := r.find(ctx, workspace, id, 0)
	if err != nil {
		return nil, nil, code.New(code.UnknownResponse, "no live node holds this response").WithRan(code.RanUnknown)
	}
	log, release = r.startMirror(workspace, id, source, state)
	return log, release, nil
}

func (r *Replicator) joinMirror(workspace, id string) (*stream.Log, func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.mirrors[id]
	if m == nil || m.log.Meta().Workspace != workspace {
		return nil, nil
	}
	m.readers++
	return m.log, sync.OnceFunc(func() { r.leaveMirror(id, m) })
}

func (r *Replicator) leaveMirror(id string, m *mirror) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m.readers--
	if m.readers > 0 {
		return
	}
	m.cancel()
	if r.mirrors[id] == m {
		delete(r.mirrors, id)
	}
}

func (r *Replicator) startMirror(workspace, id string, source membership.Member, state *pb.StreamState) (*stream.Log, func()) {
	meta := stream.MetaFrom(&pb.StreamOpen{
		ResponseId:     id,
		Workspace:      workspace,
		Home:           source.Node,
		Request:        state.Request,
		Path:           state.Path,
		CreatedUnixMs:  state.CreatedUnixMs,
		DeadlineUnixMs: state.DeadlineUnixMs,
	})
	log := stream.NewLog(meta, time.Now())
	_ = log.Apply(state.Progress, time.Now())
	ctx, cancel := context.WithCancel(context.Background())
	m := &mirror{log: log, readers: 1, cancel: cancel}
	r.mu.Lock()
	r.mirrors[id] = m
	r.mu.Unlock()
	go r.follow(ctx, m, source)
	return log, sync.OnceFunc(func() { r.leaveMirror(id, m) })
}

// follow copies the progress of a response into the mirror until it ends. When its home node is lost, follow searches
// for the new one.
func (r *Replicator) follow(ctx context.Context, m *mirror, source membership.Member) {
	id, workspace := m.log.Meta().ID, m.log.Meta().Workspace
	unreachableSince := time.Time{}
	for ctx.Err() == nil && !m.log.End().Finished {
		state, err := r.fetchFrom(ctx, source, workspace, id, m.log.Len(), false)
		if err == nil && state.Home {
			unreachableSince = time.Time{}
			_ = m.log.Apply(state.Progress, time.Now())
			continue
		}
		if unreachableSince.IsZero() {
			unreachableSince = time.Now()
		}
		if time.Since(unreachableSince) > findRetryTimeout {
			_ = m.log.Finish(m.log.Attempt(), "", code.UnknownResponse, time.Now())
			return
		}
		if found, state, err := r.find(ctx, workspace, id, m.log.Len()); err == nil {
			source = found
			_ = m.log.Apply(state.Progress, time.Now())
			continue
		}
		clock.Sleep(ctx, findRetryInterval)
	}
}

// find returns the node that runs a response or has all of it. If the home node is gone, a replica takes over.
func (r *Replicator) find(ctx context.Context, workspace, id string, offset uint32) (membership.Member, *pb.StreamState, error) {
	home, known := r.Member(HomeOf(id))
	if known && reachable(home) && home.Node != r.Self.Node {
		if state, err := r.fetchFrom(ctx, home, workspace, id, offset, false); err == nil {
			return r.resolveHome(ctx, home, state, workspace, id, offset)
		}
	}
	for _, peer := range r.possibleReplicas(id, membership.Member{Node: HomeOf(id), FailureDomain: home.FailureDomain}) {
		if peer.Node == r.Self.Node {
			if state := r.takeOverLocally(workspace, id, offset); state != nil {
				return r.Self, state, nil
			}
			continue
		}
		state, err := r.fetchFrom(ctx, peer, workspace, id, offset, false)
		if err != nil {
			continue
		}
		return r.resolveHome(ctx, peer, state, workspace, id, offset)
	}
	if HomeOf(id) == r.Self.Node {
		// This node has handed the response over, and the new home node was lost without leaving a replica.
		if state := r.takeOverLocally(workspace, id, offset); state != nil {
			return r.Self, state, nil
		}
	}
	return membership.Member{}, nil, errNotFound
}

// possibleReplicas returns the nodes that may hold a replica of a response: those eligible for one now, then those that
// are leaving or suspected, which may have received one earlier.
func (r *Replicator) possibleReplicas(id string, home membership.Member) []membership.Member {
	out := r.candidates(id, home, maxFindNodes)
	var former []membership.Member
	for _, member := range r.Members() {
		if reachable(member) && member.Status != pb.MemberState_ALIVE && member.Node != home.Node {
			former = append(former, member)
		}
	}
	return append(out, membership.Rendezvous(id, former, maxFindNodes)...)
}

// reachable reports whether a node may still serve its responses; a leaving one does.
func reachable(m membership.Member) bool {
	return m.Status == pb.MemberState_ALIVE || m.Status == pb.MemberState_LEAVING || m.Status == pb.MemberState_SUSPECT
}

// resolveHome returns the node that runs a response, given a peer that has a copy of it. If the response's home node
// cannot serve it, the peer takes over.
func (r *Replicator) resolveHome(ctx context.Context, peer membership.Member, state *pb.StreamState, workspace, id string,
	offset uint32) (membership.Member, *pb.StreamState, error) {
	if state.Home || state.Progress.GetFinished() {
		return peer, state, nil
	}
	if home, ok := r.Member(state.HomeNode); ok && reachable(home) && home.Node != peer.Node && home.Node != r.Self.Node {
		if moved, err := r.fetchFrom(ctx, home, workspace, id, offset, false); err == nil && (moved.Home || moved.Progress.GetFinished()) {
			return home, moved, nil
		}
	}
	state, err := r.fetchFrom(ctx, peer, workspace, id, offset, true)
	return peer, state, err
}

// takeOverLocally makes this node the home node of a response if it holds a replica, and returns nil if it holds none.
func (r *Replicator) takeOverLocally(workspace, id string, offset uint32) *pb.StreamState {
	message := &pb.StreamFetch{ResponseId: id, Workspace: workspace, Offset: offset, TakeOver: true}
	state := r.fetch(context.Background(), message).GetStreamState()
	if !state.Found {
		return nil
	}
	return state
}

func (r *Replicator) fetchFrom(ctx context.Context, peer membership.Member, workspace, id string, offset uint32, takeOver bool) (*pb.StreamState, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	message := &pb.StreamFetch{ResponseId: id, Workspace: workspace, Offset: offset, TakeOver: takeOver}
	reply, err := r.Transport.Request(ctx, peer.NodeAddr, &pb.Envelope{Body: &pb.Envelope_StreamFetch{StreamFetch: message}})
	if err != nil {
		return nil, err
	}
	state := reply.GetStreamState()
	if state == nil || !state.Found {
		return nil, errNotFound
	}
	return state, nil
}

// Handover makes another node the home node of a response that runs here, and reports whether one accepted it. The local
// log becomes a replica, which follows the new home node for the sake of its local readers.
//
// retainKV retains the KV cache on the server and returns its handle. It is called before the progress is sent, so that
// the new home node can continue without recomputing. stop ends the local run once a node has accepted the response.
func (r *Replicator) Handover(ctx context.Context, log *stream.Log, retainKV func(context.Context) string, stop func()) bool {
	meta := log.Meta()
	peers := r.responsiveCandidates(meta.ID, "")
	if len(peers) == 0 || meta.Home != r.Self.Node {
		return false // the caller retries soon, and each KV cache copy costs the server memory and time
	}
	kv := retainKV(ctx)
	for _, peer := range peers {
		// The new home node starts its attempt after this progress. Tokens that arrive here in the meantime are generated
		// again there, and the log drops the duplicates by their offset.
		message := &pb.StreamHandover{Open: log.Open(), Progress: log.Progress(0), Kv: kv}
		message.Open.Home = peer.Node
		ctx, cancel := context.WithTimeout(ctx, maxOpenAttempts*openTimeout+openTimeout)
		err := r.checkAck(r.Transport.Request(ctx, peer.NodeAddr, &pb.Envelope{Body: &pb.Envelope_StreamHandover{StreamHandover: message}}))
		cancel()
		r.setUnresponsive(peer.Node, err != nil)
		if err != nil {
			r.Metrics.Retry("handover")
			continue
		}
		stop()
		log.SetHome(peer.Node)
		r.removeReplica(meta.ID)
		go r.followLocal(log, peer)
		r.Metrics.Add("responses_handed_over", 1)
		return true
	}
	return false
}

// followLocal copies the new home node's progress into the local log, which callers of this node still read.
func (r *Replicator) followLocal(log *stream.Log, source membership.Member) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.follow(ctx, &mirror{log: log, cancel: cancel}, source)
}
