package membership

import (
	"time"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

const (
	// listReaders is the number of nodes that read the instance list every listPeriod; the others read it every
	// listSlowPeriod. Together they stay far below the platform's rate limit for reads.
	listReaders    = 3
	listPeriod     = 10 * time.Second
	listSlowPeriod = time.Minute
	// listRetryPeriod is the time between two reads by a node that knows no other live node.
	listRetryPeriod = 2 * time.Second
)

// ListDue reports whether the instance list should be read now. When it returns true, it counts this as a read.
func (c *Core) ListDue(now time.Time) bool {
	live := c.Live()
	period := listSlowPeriod
	switch {
	case len(live) <= 1:
		period = listRetryPeriod
	case containsNode(Rendezvous("instance-list", live, listReaders), c.cfg.Node):
		period = listPeriod
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lastListAttempt.IsZero() && now.Sub(c.lastListAttempt) < period {
		return false
	}
	c.lastListAttempt = now
	return true
}

func containsNode(members []Member, node string) bool {
	for _, m := range members {
		if m.Node == node {
			return true
		}
	}
	return false
}

// HandleInstances applies the instance list. Nodes not known by gossip become members, which are probed like others. A
// node listed as leaving gets no new work. A suspected node that has been missing from the list for
// listAbsenceTimeout is considered dead, so that the members of a region that is lost for good do not stay suspected.
func (c *Core) HandleInstances(now time.Time, instances []platform.Instance) {
	c.mu.Lock()
	first := c.lastListRead.IsZero()
	c.lastListRead = now
	for _, i := range instances {
		if i.Kind != platform.EntryNode || i.NodeAddr == "" || i.ID == c.cfg.Node || i.State == platform.Starting {
			continue
		}
		c.applyInstance(now, i)
	}
	for _, r := range c.records {
		if r.listedAt.IsZero() || first {
			continue
		}
		if !r.dead && now.Sub(r.listedAt) >= listAbsenceTimeout && c.statusOf(r) == pb.MemberState_SUSPECT {
			r.dead, c.changed = true, true
		}
	}
	c.unlockAndNotify()
}

// applyInstance applies one instance of the list.
func (c *Core) applyInstance(now time.Time, i platform.Instance) {
	r := c.records[i.ID]
	if r == nil {
		r = &record{Member: Member{Node: i.ID, Region: i.Region, FailureDomain: i.FailureDomain, NodeAddr: i.NodeAddr,
			CallerAddr: i.Addr, Status: pb.MemberState_ALIVE}, expires: now.Add(itemTTL)}
		c.records[i.ID] = r
		c.changed = true
	}
	r.listedAt = now
	if r.NodeAddr == "" {
		r.Region, r.FailureDomain, r.NodeAddr, r.CallerAddr = i.Region, i.FailureDomain, i.NodeAddr, i.Addr
		c.changed = true
	}
	if leaving := i.State == platform.Leaving; leaving && !r.listedLeaving {
		r.listedLeaving, c.changed = true, true
	}
}
