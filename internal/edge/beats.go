package edge

import (
	"context"
	"time"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/placement"
	"github.com/pollenlug/pollenlug/pkg/quota"
	"github.com/pollenlug/pollenlug/pkg/usage"
)

// news is what decisions of the other nodes wait for.
func (n *Node) news(now time.Time) *pb.PeerBeat {
	return &pb.PeerBeat{
		Node: n.settings.Node, Started: n.started.UnixMilli(), FailureDomain: n.settings.FailureDomain,
		CallerAddr: n.settings.CallerAddr, PeerAddr: n.settings.PeerAddr, ControlAddr: n.settings.ControlAddr,
		Ready: n.informed(), Leaving: n.stopping.Load(), ConfigVersion: n.config.Version(), Servers: n.servers.state(now),
		HoldsDuties: n.holdsDuties.Load(), StoreLost: n.peers.turn.lost.Load() > 0,
		Changes: n.servers.tell(n.peers.beatInterval(), now), NewsOnly: true,
	}
}

// beat is what this node tells the others.
func (n *Node) beat(now time.Time) *pb.PeerBeat {
	b := n.news(now)
	b.NewsOnly = false
	b.Crashes, b.Demand = n.crashes.export(now), n.demand.export(now)
	for id, load := range n.board.OwnLoads(now) {
		b.Loads = append(b.Loads, &pb.ServerUse{Server: nameHash(id), Running: uint32(load.Running),
			PrefillTokens: uint32(load.Prefill), Failures: uint32(10 * load.Failures)})
	}
	for _, u := range n.quota.Export(now) {
		b.Uses = append(b.Uses, &pb.WorkspaceUse{Workspace: nameHash(u.Workspace), Total: int64(u.Total), Level: int64(u.Level)})
	}
	return b
}

// usageBeat is what this node tells those that may report usage, besides its beat.
func (n *Node) usageBeat(now time.Time) []*pb.UsageWindow {
	var out []*pb.UsageWindow
	for _, w := range n.usage.OwnWindows(n.usage.WindowNumber(now) - usageTold) {
		out = append(out, &pb.UsageWindow{Number: w.Number, Counts: w.Counts})
	}
	return out
}

// heard takes what another node tells.
func (n *Node) heard(beat *pb.PeerBeat, now time.Time) {
	if beat.NewsOnly {
		n.fetcher.heard(beat, now)
		return
	}
	name := life(beat.Node, beat.Started)
	n.board.SetPeer(beat.Node, n.loadsOf(beat), now)
	n.quota.ApplyReport(name, n.usesOf(beat), now)
	windows := make([]usage.Window, 0, len(beat.Usage))
	for _, w := range beat.Usage {
		windows = append(windows, usage.Window{Number: w.Number, Counts: w.Counts})
	}
	n.usage.Merge(name, windows)
	n.crashes.heard(beat.Crashes, now)
	n.fetcher.heard(beat, now)
}

func (n *Node) peerLeft(node string, started int64) {
	n.quota.RemovePeer(life(node, started))
	n.board.RemovePeer(node)
}

// usesOf translates the uses of a beat to the names of workspaces; unknown workspaces are left out.
func (n *Node) usesOf(beat *pb.PeerBeat) []quota.Use {
	c := n.config.Load()
	if c == nil {
		return nil
	}
	uses := make([]quota.Use, 0, len(beat.Uses))
	for _, w := range c.Workspaces {
		hash := nameHash(w.Name)
		for _, u := range beat.Uses {
			if u.Workspace == hash {
				uses = append(uses, quota.Use{Workspace: w.Name, Total: float64(u.Total), Level: float64(u.Level)})
			}
		}
	}
	return uses
}

// loadsOf translates the loads of a beat to the ids of servers; unknown servers are left out.
func (n *Node) loadsOf(beat *pb.PeerBeat) map[string]placement.Load {
	ids := n.board.IDsByHash(nameHash)
	loads := make(map[string]placement.Load, len(beat.Loads))
	for _, l := range beat.Loads {
		if id, ok := ids[l.Server]; ok {
			loads[id] = placement.Load{Running: float64(l.Running), Prefill: float64(l.PrefillTokens), Failures: float64(l.Failures) / 10}
		}
	}
	return loads
}

// summaryInterval is how often a node logs its counters.
const summaryInterval = 10 * time.Second

// placeInterval is how often the part of the load is estimated that this node cannot see.
const placeInterval = time.Second

// followUnseen tells the board how much the other nodes send before this one hears of it.
func (n *Node) followUnseen(ctx context.Context) {
	for clock.Sleep(ctx, placeInterval) {
		now := time.Now()
		requests := map[string]float64{}
		for _, beat := range n.peers.alive(now) {
			for _, d := range beat.Demand {
				requests[d.Service] += float64(d.Requests)
			}
		}
		for service, rate := range requests {
			servers := len(n.board.Servers(service))
			n.board.SetUnreported(service, rate*n.peers.beatInterval().Seconds()/float64(max(servers, 1)))
		}
	}
}
