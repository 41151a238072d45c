package edge

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

const (
	// nodeTable is the table through which nodes discover each other.
	nodeTable = "nodes"
	// staleRowAge is how long a node must be unresponsive before the duty holder deletes its row.
	staleRowAge = 20 * time.Second
)

// register writes this node's row and reads those of the others; while this node is selected as a store reader, it
// waits for changes. Nodes that do not read the store learn of a new node when it has read their rows and sends them
// heartbeats.
func (p *peers) register(ctx context.Context) {
	dep := dependency{log: p.log, name: "store nodes", lost: p.readers.lost}
	reader := &tableReader{store: p.store, table: nodeTable, beforeSnapshot: p.writeRow, apply: p.applyChange}
	p.readers.watch(ctx, &dep, reader.step)
}

func (p *peers) applyChange(ctx context.Context, c platform.Change) error {
	switch {
	case !c.Deleted:
		p.applyRow(c.Row)
	case c.Key == p.self:
		// Another node considered this one dead.
		return p.writeRow(ctx)
	default:
		p.clearRow(c.Key)
	}
	return nil
}

func (p *peers) writeRow(ctx context.Context) error {
	value, err := proto.Marshal(&pb.NodeRow{Node: p.self, PeerAddr: p.addr, Started: p.started})
	if err != nil {
		return err
	}
	versions, err := p.store.Commit(ctx, []platform.Mutation{{Table: nodeTable, Key: p.self, Value: value}})
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.ownRowVersion = versions[0]
	p.mu.Unlock()
	return nil
}

// rewriteRow writes this node's row unless it has done so in the given era.
func (p *peers) rewriteRow(ctx context.Context, era uint64) (bool, error) {
	p.mu.Lock()
	current := platform.EraOf(p.ownRowVersion) == era
	p.mu.Unlock()
	if current {
		return false, nil
	}
	return true, p.writeRow(ctx)
}

func (p *peers) applyRow(row platform.Row) {
	if row.Key == p.self {
		return
	}
	node := &pb.NodeRow{}
	if err := proto.Unmarshal(row.Value, node); err != nil || node.Node != row.Key {
		p.log.WithError(err).WithField("key", row.Key).Warning("decoding row of a node failed")
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.nodes[row.Key]
	if n == nil {
		n = &peerNode{addedAt: time.Now()}
		p.nodes[row.Key] = n
	}
	if n.lastHeartbeat == nil || node.Started > n.lastHeartbeat.Started {
		n.addr = node.PeerAddr
	}
	n.rowVersion = row.Version
}

func (p *peers) clearRow(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := p.nodes[key]; n != nil {
		n.rowVersion = 0
	}
}

// staleRows returns mutations that delete the rows of nodes unresponsive for longer than staleRowAge, for the duty
// holder.
func (p *peers) staleRows(now time.Time) []platform.Mutation {
	era, _ := p.store.Era()
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []platform.Mutation
	for name, n := range p.nodes {
		lastReceived := n.receivedAt
		if lastReceived.IsZero() {
			lastReceived = n.addedAt
		}
		if platform.EraOf(n.rowVersion) == era && n.rowVersion != 0 && now.Sub(lastReceived) > staleRowAge {
			out = append(out, platform.Mutation{Table: nodeTable, Key: name, Delete: true,
				If: platform.Condition{Kind: platform.VersionIs, Version: n.rowVersion}})
		}
	}
	return out
}

// unregister deletes this node's row.
func (p *peers) unregister(ctx context.Context) {
	p.mu.Lock()
	version := p.ownRowVersion
	p.mu.Unlock()
	if version == 0 {
		return
	}
	condition := platform.Condition{Kind: platform.VersionIs, Version: version}
	if _, err := p.store.Commit(ctx, []platform.Mutation{{Table: nodeTable, Key: p.self, Delete: true, If: condition}}); err != nil {
		p.log.WithError(err).Warning("deleting own node row failed; the duty holder deletes it later")
	}
}
