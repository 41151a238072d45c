package node

import (
	"context"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/config"
	"github.com/pollenlug/pollenlug/pkg/limit"
	"github.com/pollenlug/pollenlug/pkg/membership"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

const (
	demandKeyPrefix = "demand/"
	// demandInterval is how often a node publishes the demand of its workspaces to the other nodes.
	demandInterval = time.Second
	// demandTTL is the lifetime of a demand item in gossip, long enough for a few updates to be lost. The shares count a
	// node as unreachable sooner, after staleAfter of package limit without an update.
	demandTTL = 10 * time.Second
	// slotInterval is much shorter than the time to first token, in which the learned limits may double.
	slotInterval = 50 * time.Millisecond
	// idleSlotInterval reduces wake-ups while the node has no open requests.
	idleSlotInterval = 500 * time.Millisecond
	// minSlots lets a node admit requests before it knows any server.
	minSlots = 16
)

// setWorkspaces sets the shares and limits of a configuration's workspaces.
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

// exchangeDemand publishes the demand on this node to the other nodes, and receives theirs, until ctx ends.
func (n *Node) exchangeDemand(ctx context.Context) {
	n.cluster.gossip.Watch(demandKeyPrefix, n.handleDemand)
	for ctx.Err() == nil {
		clock.Sleep(ctx, demandInterval)
		var names []string
		for _, m := range n.cluster.members() {
			if mayAdmit(m) {
				names = append(names, m.Node)
			}
		}
		n.admission.SetNodes(names)
		n.router.SetNodeCount(len(n.cluster.live()))
		limited := limitedWorkspaces(n.Config())
		message := &pb.WorkspaceDemand{}
		for _, d := range n.admission.ExportDemand() {
			if !limited[d.Workspace] {
				continue
			}
			message.Demands = append(message.Demands, &pb.Demand{
				Workspace:         d.Workspace,
				RequestsPerSecond: d.Requests,
				TokensPerSecond:   d.Tokens,
				Concurrent:        d.Concurrent,
			})
		}
		// Published even without demand: a part of each limit stays reserved for a node without an item.
		if len(limited) > 0 {
			n.cluster.publish(demandKeyPrefix+n.opts.Settings.Node, message, demandTTL, false)
		}
		n.cluster.view.SetLoad(int(n.openRequests.Load()))
	}
}

// limitedWorkspaces returns the names of the workspaces that have a cluster-wide limit. The demand of other workspaces
// is not published, because no other node needs it.
func limitedWorkspaces(index *config.Index) map[string]bool {
	out := map[string]bool{}
	if index == nil {
		return out
	}
	for _, w := range index.Folder().Workspaces {
		if w.MaxRequestsPerSecond > 0 || w.MaxTokensPerSecond > 0 || w.MaxConcurrentRequests > 0 {
			out[w.Name] = true
		}
	}
	return out
}

// mayAdmit reports whether a node may still admit requests and so needs its share of the limits. That includes a node
// that is suspected or unreachable.
func mayAdmit(m membership.Member) bool {
	return m.Status != pb.MemberState_DEAD && m.Status != pb.MemberState_LEFT
}

// adjustSlots keeps the admission's concurrency equal to slots, which follows the limits learned from the engines'
// latency, until ctx ends.
func (n *Node) adjustSlots(ctx context.Context) {
	for ctx.Err() == nil {
		n.admission.SetConcurrency(n.slots())
		if n.openRequests.Load() > 0 {
			clock.Sleep(ctx, slotInterval)
		} else {
			clock.Sleep(ctx, idleSlotInterval)
		}
	}
}

func (n *Node) handleDemand(item *pb.GossipItem) {
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

// slots returns how many generations this node may run at the same time: the sum of the in-flight limits of all
// engines, which it has learned from their latency, but at least minSlots.
func (n *Node) slots() int {
	sum := 0
	for _, instance := range n.tracker.List() {
		if instance.Kind == platform.ModelEngine {
			sum += n.serverLimits.Limit(instance.ID)
		}
	}
	return max(minSlots, sum)
}
