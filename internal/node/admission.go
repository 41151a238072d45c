package node

import (
	"context"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/config"
	"github.com/pollenlug/pollenlug/pkg/limit"
)

const (
	demandKeyPrefix = "demand/"
	// demandInterval is how often a node tells the others what its workspaces asked for.
	demandInterval = time.Second
	// demandTTL outlives a few lost items; a node that is silent for longer counts as out of touch.
	demandTTL = 10 * time.Second
	// defaultConcurrency is what a server runs at a time when its group does not say.
	defaultConcurrency = 64
	// slotHeadroom is how much more than an even part of the servers' capacity one node may use, because callers do not
	// spread evenly over the nodes.
	slotHeadroom = 2
)

// setWorkspaces gives the admission the shares and limits of a configuration.
func setWorkspaces(a *limit.Admission, index *config.Index) {
	var out []limit.Workspace
	for _, w := range index.Folder().Workspaces {
		out = append(out, limit.Workspace{
			Name:              w.Name,
			Share:             config.Share(w),
			Priority:          w.Priority,
			RequestsPerSecond: w.MaxRequestsPerSecond,
			TokensPerSecond:   w.MaxTokensPerSecond,
			Concurrent:        w.MaxConcurrentRequests,
		})
	}
	a.SetWorkspaces(out)
}

// exchangeDemand tells the other nodes the demand on this node, and takes theirs, until ctx ends.
func (n *Node) exchangeDemand(ctx context.Context) {
	n.cluster.gossip.Watch(demandKeyPrefix, n.takeDemand)
	for ctx.Err() == nil {
		sleep(ctx, demandInterval)
		var names []string
		for _, m := range n.cluster.live() {
			names = append(names, m.Node)
		}
		n.admission.SetNodes(names)
		n.admission.SetConcurrency(n.slots(len(names)))
		out := &pb.WorkspaceDemand{}
		for _, d := range n.admission.ExportDemand() {
			out.Demands = append(out.Demands, &pb.Demand{
				Workspace:         d.Workspace,
				RequestsPerSecond: d.Requests,
				TokensPerSecond:   d.Tokens,
				Concurrent:        d.Concurrent,
			})
		}
		if len(out.Demands) > 0 {
			n.cluster.publish(demandKeyPrefix+n.opts.Settings.Node, out, demandTTL, false)
		}
		n.cluster.view.SetLoad(int(n.openRequests.Load()))
	}
}

func (n *Node) takeDemand(item *pb.GossipItem) {
	var message pb.WorkspaceDemand
	if proto.Unmarshal(item.Value, &message) != nil {
		return
	}
	demands := make([]limit.Demand, 0, len(message.Demands))
	for _, d := range message.Demands {
		demands = append(demands, limit.Demand{
			Workspace:  d.Workspace,
			Requests:   d.RequestsPerSecond,
			Tokens:     d.TokensPerSecond,
			Concurrent: d.Concurrent,
		})
	}
	n.admission.SetDemand(strings.TrimPrefix(item.Key, demandKeyPrefix), demands)
}

// slots returns how many requests this node may run at a time: its part of what the servers can run.
func (n *Node) slots(nodes int) int {
	index := n.Config()
	if index == nil {
		return defaultConcurrency
	}
	capacity := 0
	for _, instance := range n.tracker.List() {
		group, ok := index.Group(instance.BackendGroup)
		if !ok || group.Kind != pb.BackendGroup_MODEL_ENGINE {
			continue
		}
		if group.Concurrency == 0 {
			capacity += defaultConcurrency
			continue
		}
		capacity += int(group.Concurrency)
	}
	return max(defaultConcurrency, slotHeadroom*capacity/max(1, nodes))
}
