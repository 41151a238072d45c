package replica

import (
	"context"
	"sync"
	"time"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/stream"
)

const (
	// replicaCheckInterval is how often the home node checks for replicas on leaving nodes. A node exits 2 s after it
	// has announced that it leaves, so its replicas must move promptly.
	replicaCheckInterval = 200 * time.Millisecond
	// maxParallelTransfers bounds the replicas that are sent to other nodes at the same time.
	maxParallelTransfers = 64
)

// moveReplicas opens new replicas for the logs whose replica is on a node that is leaving or gone. Otherwise the loss of
// the home node right after the exit of the replica's node would lose the response.
func (r *Replicator) moveReplicas(ctx context.Context) {
	leaving := map[string]bool{} // by node with replicas
	moving := map[string]*replicaState{}
	r.mu.Lock()
	for id, state := range r.replicas {
		node := state.peer.Node
		if _, known := leaving[node]; !known {
			member, ok := r.Member(node)
			leaving[node] = !ok || member.Status != pb.MemberState_ALIVE && member.Status != pb.MemberState_SUSPECT
		}
		if leaving[node] && len(moving) < maxParallelTransfers {
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

// TransferReplicas copies this node's replicas of unfinished responses to remaining nodes before the node exits. Live
// home nodes have moved their replicas already, but if a home node has died undetected, this replica is the last copy.
func (r *Replicator) TransferReplicas(ctx context.Context) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxParallelTransfers)
	r.Logs.Each(func(log *stream.Log) {
		if log.Meta().Home == r.Self.Node || log.End().Finished {
			return
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			r.transferReplica(ctx, log)
		})
	})
	wg.Wait()
}

// transferReplica sends a replica to the first node that acknowledges it.
func (r *Replicator) transferReplica(ctx context.Context, log *stream.Log) {
	meta := log.Meta()
	for _, peer := range r.responsiveCandidates(meta.ID, meta.Home) {
		if r.openAt(ctx, peer, log) != nil {
			continue
		}
		message := &pb.StreamAppend{Progress: []*pb.StreamProgress{log.Progress(0)}}
		env := &pb.Envelope{Body: &pb.Envelope_StreamAppend{StreamAppend: message}}
		if r.checkAck(r.Transport.Request(ctx, peer.NodeAddr, env)) == nil {
			return
		}
	}
}
