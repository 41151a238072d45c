package node

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/fleetholder"
	"github.com/pollenlug/pollenlug/internal/gateway"
	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/configstore"
	"github.com/pollenlug/pollenlug/pkg/limit"
	"github.com/pollenlug/pollenlug/pkg/membership"
)

type status struct {
	Node          string             `json:"node"`
	Region        string             `json:"region"`
	FailureDomain string             `json:"failure_domain"`
	State         string             `json:"state"`
	Waiting       []string           `json:"waiting_for,omitempty"`
	Config        configstore.Status `json:"config"`
	FolderFaults  *folderFaults      `json:"folder_faults,omitempty"`
	Members       []memberStatus     `json:"members"`
	Servers       []serverStatus     `json:"servers"`
	Responses     responseStatus     `json:"responses"`
	Claims        claimStatus        `json:"non_repeatable_calls"`
	Limits        limit.Status       `json:"limits"`
	Quarantines   any                `json:"quarantines"`
	Fleet         fleetholder.Status `json:"fleet"`
}

type memberStatus struct {
	Node          string `json:"node"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	State         string `json:"state"`
	Load          uint32 `json:"load"`
}

type serverStatus struct {
	Server        string `json:"server"`
	BackendGroup  string `json:"backend_group"`
	FailureDomain string `json:"failure_domain"`
	State         string `json:"state"`
	Reclaimable   bool   `json:"reclaimable"`
	Running       uint32 `json:"running"`
	Waiting       uint32 `json:"waiting"`
	CachePercent  uint32 `json:"cache_percent"`
	LoadAgeMs     int64  `json:"load_age_ms"`
}

type responseStatus struct {
	Running      int   `json:"running"`
	Kept         int   `json:"kept"`
	OpenRequests int64 `json:"open_requests"`
}

type claimStatus struct {
	Open       int `json:"open"`
	Background int `json:"background_writes"`
}

// Status implements gateway.Node.
func (n *Node) Status() any {
	s := n.opts.Settings
	claims := n.claims.Stats()
	return status{
		Node:          s.Node,
		Region:        s.Region,
		FailureDomain: s.FailureDomain,
		State:         n.state(),
		Waiting:       n.waitingFor(),
		Config:        n.config.Status(),
		FolderFaults:  n.currentFolderFaults(),
		Members:       n.memberStatus(),
		Servers:       n.serverStatus(),
		Responses:     responseStatus{n.runner.Running(), n.logs.Len(), n.openRequests.Load()},
		Claims:        claimStatus{claims.Open, claims.Background},
		Limits:        n.admission.Status(),
		Quarantines:   n.guard.quarantines(),
		Fleet:         n.fleet.Status(),
	}
}

func (n *Node) state() string {
	switch {
	case n.Leaving():
		return "leaving"
	case n.Ready():
		return "ready"
	default:
		return "starting"
	}
}

// readyServerPercent is the percentage of the servers whose models a ready node must know; the others may be unreachable.
const readyServerPercent = 50

// waitingFor lists what the node still needs before it is ready.
func (n *Node) waitingFor() []string {
	var out []string
	if n.Config() == nil {
		out = append(out, "configuration")
	}
	list := n.tracker.List()
	if len(list) == 0 {
		out = append(out, "backend servers")
	}
	if !n.loads.hasWorkerStates(list, readyServerPercent) {
		out = append(out, "states of backend servers")
	}
	return out
}

func (n *Node) memberStatus() []memberStatus {
	var out []memberStatus
	for _, m := range n.cluster.members() {
		out = append(out, memberStatus{m.Node, m.Region, m.FailureDomain, m.Status.String(), m.Load})
	}
	return out
}

func (n *Node) serverStatus() []serverStatus {
	var out []serverStatus
	for _, instance := range n.tracker.List() {
		entry := serverStatus{
			Server:        instance.ID,
			BackendGroup:  instance.BackendGroup,
			FailureDomain: instance.FailureDomain,
			State:         string(instance.State),
			Reclaimable:   instance.Reclaimable,
			LoadAgeMs:     -1,
		}
		if load, ok := n.loads.get(instance.ID); ok {
			entry.Running, entry.Waiting, entry.CachePercent = load.Running, load.Waiting, load.CachePercent
			entry.LoadAgeMs = time.Since(load.At).Milliseconds()
		}
		out = append(out, entry)
	}
	return out
}

// Leaving implements gateway.Node.
func (n *Node) Leaving() bool { return n.leaving.Load() }

// Ready implements gateway.Node.
func (n *Node) Ready() bool { return !n.Leaving() && len(n.waitingFor()) == 0 }

// Entries implements gateway.Node. Nodes with about the same load are ordered by a hash that includes the caller's
// address, so that callers spread over the nodes instead of all choosing the same one.
func (n *Node) Entries(caller string) []gateway.Entry {
	live := slices.DeleteFunc(slices.Clone(n.cluster.live()), func(m membership.Member) bool {
		return m.Status != pb.MemberState_ALIVE || (m.Node == n.opts.Settings.Node && n.Leaving())
	})
	ordered := membership.Rendezvous(caller, live, len(live))
	slices.SortStableFunc(ordered, func(a, b membership.Member) int { return cmp.Compare(loadBucket(a), loadBucket(b)) })
	out := make([]gateway.Entry, 0, len(ordered))
	for _, m := range ordered {
		out = append(out, gateway.Entry{Addr: m.CallerAddr, Region: m.Region, FailureDomain: m.FailureDomain, Load: m.Load})
	}
	return out
}

// loadBucketSize is the difference in open requests from which callers are directed to a less loaded node.
const loadBucketSize = 64

func loadBucket(m membership.Member) uint32 { return m.Load / loadBucketSize }

// AwaitReady returns when the node is ready, sees at least the given number of live nodes and knows the models of all
// servers. It returns an error when ctx ends first.
func (n *Node) AwaitReady(ctx context.Context, nodes int) error {
	for !n.Ready() || len(n.cluster.live()) < nodes || !n.loads.hasWorkerStates(n.tracker.List(), 100) {
		if ctx.Err() != nil {
			return merry.Errorf("not ready: %d live nodes, waiting for %v", len(n.cluster.live()), n.waitingFor())
		}
		clock.Sleep(ctx, drainPollInterval)
	}
	return nil
}

// MemberState returns the membership state of a node as this node sees it, or "" if it does not know the node.
func (n *Node) MemberState(node string) string {
	if m, ok := n.cluster.member(node); ok {
		return m.Status.String()
	}
	return ""
}
