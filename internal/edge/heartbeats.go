package edge

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/internal/strikewire"
	"github.com/pollenlug/pollenlug/pkg/quota"
	"github.com/pollenlug/pollenlug/pkg/usage"
)

// composeUrgent returns the heartbeat fields that other nodes' decisions depend on; see peers.composeUrgent.
func (n *Node) composeUrgent(now time.Time) *pb.PeerBeat {
	era, _ := n.store.Era()
	return &pb.PeerBeat{
		Node: n.settings.Node, Started: n.started.UnixMilli(), FailureDomain: n.settings.FailureDomain,
		CallerAddr: n.settings.CallerAddr, PeerAddr: n.settings.PeerAddr, ControlAddr: n.settings.ControlAddr,
		Ready: n.viewsLoaded(), Leaving: n.stopping.Load(), ConfigVersion: n.config.Version(), Servers: n.servers.state(now),
		HoldsDuties: n.holdsDuties.Load(), StoreLost: n.peers.readers.lost.Load() > 0,
		Changes: n.servers.heartbeatChanges(n.peers.heartbeatInterval(), now), NewsOnly: true, StoreEra: era, Cores: float32(n.settings.Cores),
		ConfigBytes: n.config.size(), Rollouts: n.rollouts.export(true, now),
	}
}

// composeHeartbeat returns this node's full heartbeat.
func (n *Node) composeHeartbeat(now time.Time) *pb.PeerBeat {
	b := n.composeUrgent(now)
	b.NewsOnly, b.Rollouts = false, n.rollouts.export(false, now)
	b.Crashes, b.Parts, b.Trials, b.Demand = n.crashes.export(now), n.crashes.exportParts(now), n.crashes.tracker.Trials(now), n.demand.export(now)
	if at := n.crashes.tracker.LastServed(); !at.IsZero() {
		b.ServedAgeMs = proto.Uint32(strikewire.AgeMillis(at, now))
	}
	b.Loads = n.exportLoads(now)
	for _, u := range n.quota.Export(now) {
		b.Uses = append(b.Uses, &pb.WorkspaceUse{Workspace: nameHash(u.Workspace), Total: int64(u.Total), Level: int64(u.Level)})
	}
	return b
}

// usageWindows returns the usage counts that only usage receivers get, in addition to the heartbeat.
func (n *Node) usageWindows(now time.Time) []*pb.UsageWindow {
	var out []*pb.UsageWindow
	for _, w := range n.usage.OwnWindows(n.usage.WindowNumber(now) - usageSentWindows) {
		out = append(out, &pb.UsageWindow{Number: w.Number, Counts: w.Counts})
	}
	return out
}

// handleHeartbeat applies a heartbeat received from another node.
func (n *Node) handleHeartbeat(heartbeat *pb.PeerBeat, now time.Time) {
	n.store.ObserveEra(heartbeat.StoreEra)
	n.rollouts.handleHeartbeat(heartbeat, now)
	if heartbeat.NewsOnly {
		n.fetcher.handleHeartbeat(heartbeat, now)
		return
	}
	name := incarnation(heartbeat.Node, heartbeat.Started)
	loads, reports := n.serverLoads(heartbeat)
	n.board.SetPeer(heartbeat.Node, loads, now)
	n.board.SetPeerReports(reports, now)
	older := heartbeat.Started < n.started.Add(-startSkew).UnixMilli()
	n.quota.ApplyReport(name, n.workspaceUses(heartbeat), older, now)
	n.quota.SetNodes(n.peers.knownNodes())
	windows := make([]usage.Window, 0, len(heartbeat.Usage))
	for _, w := range heartbeat.Usage {
		windows = append(windows, usage.Window{Number: w.Number, Counts: w.Counts})
	}
	n.usage.Merge(name, windows)
	n.crashes.merge(heartbeat.Crashes, heartbeat.Parts, now)
	n.crashes.tracker.SetPeerTrials(heartbeat.Node, heartbeat.Trials, now)
	if heartbeat.ServedAgeMs != nil {
		n.crashes.tracker.AddPeerServed(strikewire.Ago(heartbeat.GetServedAgeMs(), now))
	}
	n.fetcher.handleHeartbeat(heartbeat, now)
}

func (n *Node) peerRestarted(node string, started int64) {
	n.quota.RemovePeer(incarnation(node, started))
	n.board.RemovePeer(node)
}

// workspaceUses maps the workspace hashes of a heartbeat to workspace names; unknown workspaces are skipped.
func (n *Node) workspaceUses(heartbeat *pb.PeerBeat) []quota.Use {
	c := n.config.Load()
	if c == nil {
		return nil
	}
	uses := make([]quota.Use, 0, len(heartbeat.Uses))
	for _, w := range c.Workspaces {
		hash := nameHash(w.Name)
		for _, u := range heartbeat.Uses {
			if u.Workspace == hash {
				uses = append(uses, quota.Use{Workspace: w.Name, Total: float64(u.Total), Level: float64(u.Level)})
			}
		}
	}
	return uses
}

// startSkew is the largest assumed difference between the clocks of two machines when their start times are compared.
const startSkew = 2 * time.Second

const summaryInterval = 10 * time.Second

// unreportedInterval is how often the load sent by other nodes but not yet reported to this one is estimated.
const unreportedInterval = time.Second

// estimateUnreported updates the board's estimate of the requests that other nodes send to each server between two of
// their heartbeats.
func (n *Node) estimateUnreported(ctx context.Context) {
	for clock.Sleep(ctx, unreportedInterval) {
		now := time.Now()
		requests := map[string]float64{}
		for _, heartbeat := range n.peers.alive(now) {
			for _, d := range heartbeat.Demand {
				requests[d.Service] += float64(d.Requests)
			}
		}
		for service, rate := range requests {
			servers := len(n.board.Servers(service))
			n.board.SetUnreported(service, rate*n.peers.heartbeatInterval().Seconds()/float64(max(servers, 1)))
			n.board.SetArrivals(service, rate, n.peers.heartbeatInterval())
		}
	}
}
