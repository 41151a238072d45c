package replica

import (
	"context"
	"sync"
	"time"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/stream"
)

const (
	// leaveInterval is how often replicas on nodes that leave are looked for. A node exits 2 s after it has announced
	// that it leaves, so that its replicas must move at once.
	leaveInterval = 200 * time.Millisecond
	// movesAtOnce bounds the replicas and copies that are sent to other nodes at a time.
	movesAtOnce = 64
)

// moveReplicas gives another replica to the logs whose replica is on a node that leaves or is gone. Without it, the
// loss of the home right after the exit of the replica's node would lose the response.
func (r *Replicator) moveReplicas(ctx context.Context) {
	leaving := map[string]bool{} // by node that has replicas
	moving := map[string]*replicaState{}
	r.mu.Lock()
	for id, state := range r.copies {
		node := state.peer.Node
		if _, known := leaving[node]; !known {
			member, ok := r.Member(node)
			leaving[node] = !ok || member.Status != pb.MemberState_ALIVE && member.Status != pb.MemberState_SUSPECT
		}
		if leaving[node] && len(moving) < movesAtOnce {
			moving[id] = state
		}
	}
	r.mu.Unlock()
	var wg sync.WaitGroup
	for id, state := range moving {
		if log := r.Logs.Get(id); log != nil {
			wg.Go(func() {
				r.reopen(ctx, log, state)
				r.Changed(log)
			})
		}
	}
	wg.Wait()
}

// PassOnCopies gives the copies of unfinished responses to nodes that stay, before this node exits. Homes that live have
// moved their replicas already; the copy of a home that has died unnoticed would be the last one.
func (r *Replicator) PassOnCopies(ctx context.Context) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, movesAtOnce)
	r.Logs.Each(func(log *stream.Log) {
		if log.Meta().Home == r.Self.Node || log.End().Finished {
			return
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			r.passOn(ctx, log)
		})
	})
	wg.Wait()
}

// passOn sends a copy to the first node that takes it.
func (r *Replicator) passOn(ctx context.Context, log *stream.Log) {
	meta := log.Meta()
	for _, peer := range r.answering(meta.ID, meta.Home) {
		if r.openAt(ctx, peer, log) != nil {
			continue
		}
		message := &pb.StreamAppend{Progress: []*pb.StreamProgress{log.Progress(0)}}
		env := &pb.Envelope{Body: &pb.Envelope_StreamAppend{StreamAppend: message}}
		if r.acknowledged(r.Transport.Request(ctx, peer.NodeAddr, env)) == nil {
			return
		}
	}
}
