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
	// fetchTimeout bounds one request for progress; it includes the peer's wait.
	fetchTimeout = fetchWait + time.Second
	// findTries is how many nodes are asked for a response whose home has gone.
	findTries = 8
	// refindInterval is the wait between searches after the node that ran a response was lost.
	refindInterval = 200 * time.Millisecond
	// refindLimit is how long a mirror searches; it covers the time in which a dead home is detected.
	refindLimit = 15 * time.Second
)

// errNotFound means that no asked node has the response.
var errNotFound = errors.New("replica: response not found")

// mirror is a copy of a response that runs on another node, shared by the readers on this node.
type mirror struct {
	log     *stream.Log
	readers int
	cancel  context.CancelFunc
}

// Attach returns the log of a workspace's response. A response that runs on another node is followed by a mirror
// until release is called.
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

// follow copies the progress of a response until it ends. When its node is lost, it looks for the successor.
func (r *Replicator) follow(ctx context.Context, m *mirror, source membership.Member) {
	id, workspace := m.log.Meta().ID, m.log.Meta().Workspace
	lostSince := time.Time{}
	for ctx.Err() == nil && !m.log.End().Finished {
		state, err := r.fetchFrom(ctx, source, workspace, id, m.log.Len(), false)
		if err == nil && state.Home {
			lostSince = time.Time{}
			_ = m.log.Apply(state.Progress, time.Now())
			continue
		}
		if lostSince.IsZero() {
			lostSince = time.Now()
		}
		if time.Since(lostSince) > refindLimit {
			_ = m.log.Finish(m.log.Attempt(), "", code.UnknownResponse, time.Now())
			return
		}
		if found, state, err := r.find(ctx, workspace, id, m.log.Len()); err == nil {
			source = found
			_ = m.log.Apply(state.Progress, time.Now())
			continue
		}
		clock.Sleep(ctx, refindInterval)
	}
}

// find returns the node that runs a response or has all of it. When the home has gone, a replica takes over.
func (r *Replicator) find(ctx context.Context, workspace, id string, offset uint32) (membership.Member, *pb.StreamState, error) {
	home, known := r.Member(HomeOf(id))
	if known && reachable(home) && home.Node != r.Self.Node {
		if state, err := r.fetchFrom(ctx, home, workspace, id, offset, false); err == nil {
			return r.followHome(ctx, home, state, workspace, id, offset)
		}
	}
	for _, peer := range r.holders(id, membership.Member{Node: HomeOf(id), FailureDomain: home.FailureDomain}) {
		if peer.Node == r.Self.Node {
			if state := r.takeOverHere(workspace, id, offset); state != nil {
				return r.Self, state, nil
			}
			continue
		}
		state, err := r.fetchFrom(ctx, peer, workspace, id, offset, false)
		if err != nil {
			continue
		}
		return r.followHome(ctx, peer, state, workspace, id, offset)
	}
	if HomeOf(id) == r.Self.Node {
		// This node has handed the response over, and its new home is lost without a replica.
		if state := r.takeOverHere(workspace, id, offset); state != nil {
			return r.Self, state, nil
		}
	}
	return membership.Member{}, nil, errNotFound
}

// holders returns the nodes that may hold a copy of a response: those that may get a replica now, then those that
// leave or are suspected, which may have got one before.
func (r *Replicator) holders(id string, home membership.Member) []membership.Member {
	out := r.candidates(id, home, findTries)
	var others []membership.Member
	for _, member := range r.Members() {
		if reachable(member) && member.Status != pb.MemberState_ALIVE && member.Node != home.Node {
			others = append(others, member)
		}
	}
	return append(out, membership.Rendezvous(id, others, findTries)...)
}

// reachable tells whether a node may still answer for its responses; a leaving one does.
func reachable(m membership.Member) bool {
	return m.Status == pb.MemberState_ALIVE || m.Status == pb.MemberState_LEAVING || m.Status == pb.MemberState_SUSPECT
}

// followHome goes from a node that has a copy to the one that runs the response, or makes the copy's holder run it.
func (r *Replicator) followHome(ctx context.Context, peer membership.Member, state *pb.StreamState, workspace, id string,
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

// takeOverHere makes this node the home of a response it holds the replica of.
func (r *Replicator) takeOverHere(workspace, id string, offset uint32) *pb.StreamState {
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
	answer, err := r.Transport.Request(ctx, peer.NodeAddr, &pb.Envelope{Body: &pb.Envelope_StreamFetch{StreamFetch: message}})
	if err != nil {
		return nil, err
	}
	state := answer.GetStreamState()
	if state == nil || !state.Found {
		return nil, errNotFound
	}
	return state, nil
}

// Handover makes another node the home of a response that runs here, and reports whether one took it. The local log
// becomes that of a replica; its readers follow the new home.
//
// keepKV is called before the progress is sent, so that the new home can continue without a recompute.
func (r *Replicator) Handover(ctx context.Context, log *stream.Log, keepKV func(context.Context) string, stop func()) bool {
	meta := log.Meta()
	peers := r.answering(meta.ID, "")
	if len(peers) == 0 || meta.Home != r.Self.Node {
		return false // the caller asks again soon; each copy of a KV cache costs the server memory and time
	}
	kv := keepKV(ctx)
	for _, peer := range peers {
		// The new home begins its attempt after this progress; tokens that arrive here meanwhile are generated again
		// there and dropped by their offset.
		message := &pb.StreamHandover{Open: log.Open(), Progress: log.Progress(0), Kv: kv}
		message.Open.Home = peer.Node
		ctx, cancel := context.WithTimeout(ctx, openTries*openTimeout+openTimeout)
		err := r.acknowledged(r.Transport.Request(ctx, peer.NodeAddr, &pb.Envelope{Body: &pb.Envelope_StreamHandover{StreamHandover: message}}))
		cancel()
		r.setSilent(peer.Node, err != nil)
		if err != nil {
			r.Metrics.Retry("handover")
			continue
		}
		stop()
		log.SetHome(peer.Node)
		r.forget(meta.ID)
		go r.followLocal(log, peer)
		r.Metrics.Add("responses_handed_over", 1)
		return true
	}
	return false
}

// followLocal copies the progress of the new home into the local log, whose readers are callers of this node.
func (r *Replicator) followLocal(log *stream.Log, source membership.Member) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.follow(ctx, &mirror{log: log, cancel: cancel}, source)
}
