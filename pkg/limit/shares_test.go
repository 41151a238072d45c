package limit

import (
	"context"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// cluster runs the Admissions of several nodes in virtual time, with gossip delays of up to 1.5 s.
type cluster struct {
	t            *testing.T
	limit        uint32
	now          time.Time
	rng          *rand.Rand
	nodes        map[string]*Admission
	names        []string
	offered      map[string]float64 // requests per second
	disconnected func(from, to string) bool
	pending      []delivery
	admitted     []int // per clusterStep
}

type delivery struct {
	at       time.Time
	from, to string
	demands  []Demand
}

const (
	clusterTokens = 10 // per request
	clusterStep   = 10 * time.Millisecond
)

func newCluster(t *testing.T, limit uint32, names ...string) *cluster {
	c := &cluster{t: t, limit: limit, now: time.UnixMilli(0), rng: rand.New(rand.NewPCG(5, 6)), nodes: map[string]*Admission{}, offered: map[string]float64{}}
	for _, name := range names {
		c.join(name)
	}
	c.updateMembers()
	return c
}

func (c *cluster) join(name string) {
	a := NewAdmission(Options{Node: name, Concurrency: 1 << 20, Now: func() time.Time { return c.now }})
	c.nodes[name] = a
	c.names = append(c.names, name)
	a.SetNodes(c.names)
	a.SetWorkspaces([]Workspace{{Name: "w", RequestsPerSecond: c.limit, TokensPerSecond: c.limit * clusterTokens}})
}

// updateMembers updates the membership on all nodes; tests call it late to model the propagation of membership changes.
func (c *cluster) updateMembers() {
	for _, name := range c.names {
		c.nodes[name].SetNodes(c.names)
	}
}

func (c *cluster) leave(name string) {
	delete(c.nodes, name)
	for i, n := range c.names {
		if n == name {
			c.names = append(c.names[:i:i], c.names[i+1:]...)
			break
		}
	}
}

func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(clusterStep) {
		admitted := 0
		for i, name := range c.names {
			a := c.nodes[name]
			if c.now.UnixMilli()%1000 == int64(i*120)%1000 {
				c.gossip(name, a.ExportDemand())
			}
			for n := c.poisson(c.offered[name] * clusterStep.Seconds()); n > 0; n-- {
				if g, err := a.Acquire(context.Background(), Request{Workspace: "w", Tokens: clusterTokens}); err == nil {
					g.Done(0)
					admitted++
				}
			}
		}
		c.admitted = append(c.admitted, admitted)
		c.deliver()
	}
}

func (c *cluster) poisson(mean float64) int {
	n := 0
	for limit, p := math.Exp(-mean), c.rng.Float64(); p > limit; n++ {
		p *= c.rng.Float64()
	}
	return n
}

func (c *cluster) gossip(from string, demands []Demand) {
	for _, to := range c.names {
		if to != from && (c.disconnected == nil || !c.disconnected(from, to)) {
			delay := time.Duration(c.rng.Float64() * float64(1500*time.Millisecond))
			c.pending = append(c.pending, delivery{c.now.Add(delay), from, to, demands})
		}
	}
}

func (c *cluster) deliver() {
	kept := c.pending[:0]
	for _, d := range c.pending {
		if d.at.After(c.now) {
			kept = append(kept, d)
		} else if a := c.nodes[d.to]; a != nil {
			a.SetDemand(d.from, d.demands)
		}
	}
	c.pending = kept
}

// maxWindowRate returns the maximum admitted within any 10 s, relative to the limit.
func (c *cluster) maxWindowRate() float64 {
	const window = int(10 * time.Second / clusterStep)
	sum, most := 0, 0
	for i, n := range c.admitted {
		sum += n
		if i >= window {
			sum -= c.admitted[i-window]
		}
		most = max(most, sum)
	}
	return float64(most) / float64(10*c.limit)
}

// recentRate returns the admitted requests of the last 5 s, relative to the limit.
func (c *cluster) recentRate() float64 {
	sum := 0
	for _, n := range c.admitted[len(c.admitted)-500:] {
		sum += n
	}
	return float64(sum) / float64(5*c.limit)
}

var eightNodes = []string{"n0", "n1", "n2", "n3", "n4", "n5", "n6", "n7"}

func (c *cluster) offer(rates ...float64) {
	for i, name := range c.names {
		c.offered[name] = rates[i%len(rates)]
	}
}

func (c *cluster) assertBound(name string) {
	c.t.Logf("%s: at most %.3f of the limit in any 10 s, %.3f in the last 5 s", name, c.maxWindowRate(), c.recentRate())
	assert.Assert(c.t, c.maxWindowRate() <= 1.05, name)
}

// Demand that moves between nodes faster than gossip must not exceed the limit in sum, and must still be served.
func TestOvershootWhenDemandMoves(t *testing.T) {
	c := newCluster(t, 200, eightNodes...)
	c.offer(100)
	c.run(15 * time.Second)
	assert.Assert(t, c.recentRate() >= 0.9)
	for range 6 {
		c.offer(400, 0, 0, 0, 0, 0, 0, 0)
		c.run(13 * time.Second)
		assert.Assert(t, c.recentRate() >= 0.9, "%.3f", c.recentRate())
		c.offer(0, 0, 0, 300, 0, 0, 300, 0)
		c.run(13 * time.Second)
		assert.Assert(t, c.recentRate() >= 0.9, "%.3f", c.recentRate())
	}
	c.assertBound("moving demand")
}

// The share of nodes that leave must go to the others, but not before its reservation expires. Nodes that join must
// start with a small share.
func TestOvershootWhenNodesLeaveAndJoin(t *testing.T) {
	c := newCluster(t, 200, eightNodes...)
	c.offer(200)
	c.run(20 * time.Second)
	c.leave("n2")
	c.leave("n5")
	c.updateMembers()
	c.run(20 * time.Second)
	c.assertBound("two leave")
	assert.Assert(t, c.recentRate() >= 0.95)
	c.join("n8")
	c.join("n9")
	c.offer(200)
	c.run(2 * time.Second)
	c.updateMembers()
	c.run(20 * time.Second)
	c.assertBound("two join")
	assert.Assert(t, c.recentRate() >= 0.95)
}

// Nodes that lose contact must fall back to equal shares on both sides of a partition.
func TestOvershootWhenNodesLoseContact(t *testing.T) {
	side := func(name string) bool { return name >= "n4" }
	for name, cut := range map[string]func(a, b string) bool{
		"half and half": func(a, b string) bool { return side(a) != side(b) },
		"one alone":     func(a, b string) bool { return a == "n0" || b == "n0" },
		"all alone":     func(a, b string) bool { return true },
	} {
		c := newCluster(t, 200, eightNodes...)
		c.offer(300, 0, 0, 50, 0, 20, 0, 0)
		c.run(20 * time.Second)
		c.disconnected = cut
		c.run(2 * time.Second)
		c.offer(300)
		c.run(30 * time.Second)
		c.assertBound(name)
		assert.Assert(t, c.recentRate() >= 0.45, name)
		c.disconnected = nil
		c.run(20 * time.Second)
		c.assertBound(name + ", healed")
		assert.Assert(t, c.recentRate() >= 0.95)
	}
}

// With a small limit, the single request that each node's bucket holds must not exceed the bound in sum.
func TestOvershootOfSmallLimit(t *testing.T) {
	c := newCluster(t, 10, eightNodes...)
	c.offer(2)
	c.run(30 * time.Second)
	c.offer(0)
	c.run(30 * time.Second)
	c.offer(20)
	c.run(60 * time.Second)
	c.assertBound("limit of 10")
	// The cost of the bound: the limit is lowered by what the buckets may hold, and refills of a full bucket are lost.
	assert.Assert(t, c.recentRate() >= 0.7)
}

// A surge on all nodes must not exceed the limit by the contents of the buckets, nor reduce the admitted rate.
func TestSurge(t *testing.T) {
	c := newCluster(t, 200, eightNodes...)
	c.offer(15)
	c.run(20 * time.Second)
	c.offer(75)
	c.run(5 * time.Second)
	t.Logf("first 5 s of the surge: %.3f of the limit", c.recentRate())
	assert.Assert(t, c.recentRate() >= 0.6)
	c.run(15 * time.Second)
	c.assertBound("surge")
	assert.Assert(t, c.recentRate() >= 0.95)
}

// Nodes that join, and are not known to the others yet, must not add a full share to those of the others in a surge.
func TestOvershootWhenNodesJoinInSurge(t *testing.T) {
	c := newCluster(t, 200, eightNodes...)
	c.offer(15)
	c.run(20 * time.Second)
	for _, name := range []string{"n8", "n9", "na", "nb", "nc", "nd", "ne", "nf"} {
		c.join(name)
	}
	c.disconnected = func(from, to string) bool { return from > "n7" || to > "n7" }
	c.offer(75)
	c.run(2 * time.Second)
	c.disconnected = nil
	c.updateMembers()
	c.run(20 * time.Second)
	c.assertBound("eight join")
}
