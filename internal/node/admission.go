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
	// demandInterval is how often a node tells the others what its workspaces asked for.
	demandInterval = time.Second
	// demandTTL outlives a few lost items; a node that is silent for longer counts as out of touch.
	demandTTL = 10 * time.Second
	// slotInterval is short against the time to the first token, in which the learned limits may double.
	slotInterval = 50 * time.Millisecond
	// idleSlotInterval spares an idle node wake-ups.
	idleSlotInterval = 500 * time.Millisecond
	// minSlots lets a node start work before it knows any server.
	minSlots = 16
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
		out := &pb.WorkspaceDemand{}
		for _, d := range n.admission.ExportDemand() {
			if !limited[d.Workspace] {
				continue
			}
			out.Demands = append(out.Demands, &pb.Demand{
				Workspace:         d.Workspace,
				RequestsPerSecond: d.Requests,
				TokensPerSecond:   d.Tokens,
				Concurrent:        d.Concurrent,
			})
		}
		// A node without demand says so: one that is not heard of keeps a part of each limit reserved.
		if len(limited) > 0 {
			n.cluster.publish(demandKeyPrefix+n.opts.Settings.Node, out, demandTTL, false)
		}
		n.cluster.view.SetLoad(int(n.openRequests.Load()))
	}
}

// limitedWorkspaces names the workspaces with a limit over all nodes; the demand of others concerns nobody else.
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

// mayAdmit reports whether a node may still admit requests, and so needs its share of the limits: also one that is
// suspected or out of touch.
func mayAdmit(m membership.Member) bool {
	return m.Status != pb.MemberState_DEAD && m.Status != pb.MemberState_LEFT
}

// adjustSlots follows the limits learned from the servers' latency until ctx ends.
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

// slots returns how many generations this node may run at a time: what it may have in flight on all engines by the
// limits that it has learned from their latency.
func (n *Node) slots() int {
	sum := 0
	for _, instance := range n.tracker.List() {
		if instance.Kind == platform.ModelEngine {
			sum += n.serverLimits.Limit(instance.ID)
		}
	}
	return max(minSlots, sum)
}
