package membership

import (
	"time"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

const (
	// listReaders is the number of nodes that read the instance list every listPeriod; the others read it every
	// listSlowPeriod. Together they stay far below the platform's read limit.
	listReaders    = 3
	listPeriod     = 10 * time.Second
	listSlowPeriod = time.Minute
	// listRetry is the time between two attempts of a node that knows no other node.
	listRetry = 2 * time.Second
)

// ListDue reports whether the instance list should be read now; a true answer counts as an attempt.
func (c *Core) ListDue(now time.Time) bool {
	live := c.Live()
	period := listSlowPeriod
	switch {
	case len(live) <= 1:
		period = listRetry
	case chosen(Rendezvous("instance-list", live, listReaders), c.cfg.Node):
		period = listPeriod
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.listTried.IsZero() && now.Sub(c.listTried) < period {
		return false
	}
	c.listTried = now
	return true
}

func chosen(members []Member, node string) bool {
	for _, m := range members {
		if m.Node == node {
			return true
		}
	}
	return false
}

// HandleInstances takes the instance list. Nodes not known by gossip become peers that are probed like others. A
// listed node that is leaving gets no new work. A suspected node that is missing for listGone is dead: so the
// members of a region that is lost for good do not stay suspected.
func (c *Core) HandleInstances(now time.Time, instances []platform.Instance) {
	c.mu.Lock()
	first := c.listRead.IsZero()
	c.listRead = now
	for _, i := range instances {
		if i.Kind != platform.EntryNode || i.NodeAddr == "" || i.ID == c.cfg.Node || i.State == platform.Starting {
			continue
		}
		c.listed(now, i)
	}
	for _, r := range c.records {
		if r.listed.IsZero() || first {
			continue
		}
		if !r.dead && now.Sub(r.listed) >= listGone && c.statusOf(r) == pb.MemberState_SUSPECT {
			r.dead, c.dirty = true, true
		}
	}
	c.finish()
}

// listed records one instance of the list.
func (c *Core) listed(now time.Time, i platform.Instance) {
	r := c.records[i.ID]
	if r == nil {
		r = &record{Member: Member{Node: i.ID, Region: i.Region, FailureDomain: i.FailureDomain, NodeAddr: i.NodeAddr,
			CallerAddr: i.Addr, Status: pb.MemberState_ALIVE}, expires: now.Add(itemTTL)}
		c.records[i.ID] = r
		c.dirty = true
	}
	r.listed = now
	if r.NodeAddr == "" {
		r.Region, r.FailureDomain, r.NodeAddr, r.CallerAddr = i.Region, i.FailureDomain, i.NodeAddr, i.Addr
		c.dirty = true
	}
	if leaving := i.State == platform.Leaving; leaving && !r.listLeaving {
		r.listLeaving, c.dirty = true, true
	}
}
