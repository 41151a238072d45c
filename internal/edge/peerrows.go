package edge

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

const (
	// nodeTable is the table by which nodes find each other.
	nodeTable = "nodes"
	// staleRow is how long a node must be silent before the holder of the duties removes its row.
	staleRow = 20 * time.Second
)

// register writes this node's row and reads those of the others; while it is this node's turn, it waits for changes.
// Nodes that are not told of a new one by the store hear of it, because it reads their rows.
func (p *peers) register(ctx context.Context) {
	link := dependency{log: p.log, name: "store nodes", lost: p.turn.lost}
	reader := &tableReader{store: p.store, table: nodeTable, start: p.writeRow, take: p.takeChange}
	p.turn.follow(ctx, &link, reader.step)
}

func (p *peers) takeChange(ctx context.Context, c platform.Change) error {
	switch {
	case !c.Deleted:
		p.takeRow(c.Row)
	case c.Key == p.self:
		// Another node took this one for gone.
		return p.writeRow(ctx)
	default:
		p.dropRow(c.Key)
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
	p.ownRow = versions[0]
	p.mu.Unlock()
	return nil
}

func (p *peers) takeRow(row platform.Row) {
	if row.Key == p.self {
		return
	}
	node := &pb.NodeRow{}
	if err := proto.Unmarshal(row.Value, node); err != nil || node.Node != row.Key {
		p.log.WithError(err).WithField("key", row.Key).Warning("row of a node cannot be read")
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.nodes[row.Key]
	if n == nil {
		n = &peerNode{since: time.Now()}
		p.nodes[row.Key] = n
	}
	if n.beat == nil || node.Started > n.beat.Started {
		n.addr = node.PeerAddr
	}
	n.rowVersion = row.Version
}

func (p *peers) dropRow(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := p.nodes[key]; n != nil {
		n.rowVersion = 0
	}
}

// staleRows returns the rows of nodes that have been silent for long, for the holder of the duties.
func (p *peers) staleRows(now time.Time) []platform.Mutation {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []platform.Mutation
	for name, n := range p.nodes {
		heard := n.heardAt
		if heard.IsZero() {
			heard = n.since
		}
		if n.rowVersion != 0 && now.Sub(heard) > staleRow {
			out = append(out, platform.Mutation{Table: nodeTable, Key: name, Delete: true,
				If: platform.Condition{Kind: platform.VersionIs, Version: n.rowVersion}})
		}
	}
	return out
}

// unregister removes this node's row.
func (p *peers) unregister(ctx context.Context) {
	p.mu.Lock()
	version := p.ownRow
	p.mu.Unlock()
	if version == 0 {
		return
	}
	condition := platform.Condition{Kind: platform.VersionIs, Version: version}
	if _, err := p.store.Commit(ctx, []platform.Mutation{{Table: nodeTable, Key: p.self, Delete: true, If: condition}}); err != nil {
		p.log.WithError(err).Warning("own row not removed; the holder of the duties removes it later")
	}
}
