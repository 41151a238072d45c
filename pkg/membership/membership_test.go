package membership_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/internal/simnet"
	"github.com/pollenlug/pollenlug/pkg/gossip"
	"github.com/pollenlug/pollenlug/pkg/membership"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

// cluster is a simulated network of nodes in two regions with three failure domains each.
type cluster struct {
	t       *testing.T
	net     *simnet.Net
	seed    uint64
	nodes   []membership.Config
	cores   map[string]*membership.Core
	configs map[string]membership.Config
	// dropped reports whether messages from one node to another are lost.
	dropped func(from, to membership.Config) bool
	// outage makes the instance list unavailable.
	outage bool
}

func newCluster(t *testing.T, n int, seed uint64) *cluster {
	c := &cluster{t: t, net: simnet.New(seed), seed: seed, cores: map[string]*membership.Core{},
		configs: map[string]membership.Config{}}
	c.net.Delay = func(from, to string) time.Duration {
		if c.configs[from].Region != c.configs[to].Region {
			return 40 * time.Millisecond
		}
		return time.Millisecond
	}
	c.net.Drop = func(from, to string) bool { return c.dropped != nil && c.dropped(c.configs[from], c.configs[to]) }
	for i := range n {
		c.nodes = append(c.nodes, membership.Config{Node: fmt.Sprintf("n%03d", i), Region: fmt.Sprintf("r%d", i%2),
			FailureDomain: fmt.Sprintf("r%d-d%d", i%2, i/2%3), NodeAddr: fmt.Sprintf("10.0.%d.%d:1", i/200, i%200+1)})
	}
	for _, cfg := range c.nodes {
		c.start(cfg)
	}
	return c
}

// start starts a node; its incarnation is the virtual time.
func (c *cluster) start(cfg membership.Config) *membership.Core {
	c.seed++
	cfg.Rand = rand.New(rand.NewPCG(c.seed, 1))
	cfg.Incarnation = uint64(c.net.Now().UnixMilli())
	g := gossip.NewCore(gossip.Config{Node: cfg.Node, Region: cfg.Region, Incarnation: cfg.Incarnation,
		Rand: rand.New(rand.NewPCG(c.seed, 2))})
	core := membership.NewCore(cfg, g)
	c.configs[cfg.Node], c.cores[cfg.Node] = cfg, core
	c.net.Start(cfg.Node, core)
	c.readList(cfg.Node, core)
	return core
}

// readList reads the instance list when it is due, as Runner does.
func (c *cluster) readList(node string, core *membership.Core) {
	if c.cores[node] != core {
		return
	}
	if core.ListDue(c.net.Now()) && !c.outage {
		var list []platform.Instance
		for _, cfg := range c.nodes {
			if c.cores[cfg.Node] == nil && c.net.Now() != simnet.Epoch {
				continue
			}
			list = append(list, platform.Instance{ID: cfg.Node, Kind: platform.EntryNode, State: platform.Live,
				Region: cfg.Region, FailureDomain: cfg.FailureDomain, NodeAddr: cfg.NodeAddr})
		}
		core.HandleInstances(c.net.Now(), list)
	}
	c.net.At(500*time.Millisecond, func() { c.readList(node, core) })
}

func (c *cluster) kill(node string) {
	c.net.Stop(node)
	delete(c.cores, node)
}

// status returns the status of a node in the observer's view.
func (c *cluster) status(observer, node string) pb.MemberState_Status {
	for _, m := range c.cores[observer].Members() {
		if m.Node == node {
			return m.Status
		}
	}
	return pb.MemberState_STATUS_UNSPECIFIED
}

// count returns the number of running nodes in whose view the node has one of the statuses.
func (c *cluster) count(node string, statuses ...pb.MemberState_Status) int {
	n := 0
	for observer := range c.cores {
		for _, s := range statuses {
			if c.status(observer, node) == s {
				n++
			}
		}
	}
	return n
}

// requireNever runs for d and fails the test if a running node has the status in the view of any node; except names
// the pairs that may.
func (c *cluster) requireNever(d time.Duration, status pb.MemberState_Status, except func(observer, node string) bool) {
	c.t.Helper()
	for end := c.net.Now().Add(d); c.net.Now().Before(end); c.net.Run(500 * time.Millisecond) {
		for observer, core := range c.cores {
			for _, m := range core.Members() {
				if m.Status == status && c.cores[m.Node] != nil && (except == nil || !except(observer, m.Node)) {
					c.t.Fatalf("%v: %s sees running %s as %v", c.net.Now().Sub(simnet.Epoch), observer, m.Node, status)
				}
			}
		}
	}
}

// waitUntil runs until the condition holds and returns the time that took. It fails the test after the limit.
func (c *cluster) waitUntil(limit time.Duration, what string, ok func() bool) time.Duration {
	c.t.Helper()
	start := c.net.Now()
	for !ok() {
		if c.net.Now().Sub(start) >= limit {
			c.t.Fatalf("not within %v: %s", limit, what)
		}
		c.net.Run(50 * time.Millisecond)
	}
	return c.net.Now().Sub(start)
}

const (
	alive   = pb.MemberState_ALIVE
	suspect = pb.MemberState_SUSPECT
	dead    = pb.MemberState_DEAD
	leaving = pb.MemberState_LEAVING
)

// Guards against new work for a leaving node: all of 400 nodes must know within 2 s that it leaves.
func TestLeaveIsKnownEverywhereWithinTwoSeconds(t *testing.T) {
	c := newCluster(t, 400, 1)
	c.net.Run(8 * time.Second)
	assert.Equal(t, len(c.cores["n000"].Live()), 400)
	for i := range 5 {
		node := fmt.Sprintf("n%03d", i*71)
		c.cores[node].Leave()
		elapsed := c.waitUntil(2*time.Second, "leave known by all", func() bool { return c.count(node, leaving) == 400 })
		t.Logf("leave known by all 400 after %v", elapsed)
	}
}

// Guards against a false suspicion when only the prober's link to the target fails and other nodes reach the target.
func TestProberLinkFailureCausesNoSuspicion(t *testing.T) {
	c := newCluster(t, 24, 2)
	c.net.Run(10 * time.Second)
	c.dropped = func(from, to membership.Config) bool { return from.Node == "n000" && to.Node == "n002" }
	c.requireNever(2*time.Minute, suspect, nil)
	assert.Equal(t, c.count("n002", alive), 24)
}

// Guards against a dead node that stays in the view.
func TestDeadNodeIsDetected(t *testing.T) {
	c := newCluster(t, 24, 3)
	c.net.Run(10 * time.Second)
	c.kill("n004")
	t.Logf("suspected after %v", c.waitUntil(6*time.Second, "suspected by all", func() bool { return c.count("n004", suspect, dead) == 23 }))
	t.Logf("dead after %v more", c.waitUntil(4*time.Second, "dead for all", func() bool { return c.count("n004", dead) == 23 }))
}

// Guards against the loss of a failure domain that is not detected, or that gets surviving nodes suspected.
func TestLostFailureDomain(t *testing.T) {
	c := newCluster(t, 120, 4)
	c.net.Run(15 * time.Second)
	lost := map[string]bool{}
	for _, cfg := range c.nodes {
		if cfg.FailureDomain == "r0-d1" {
			lost[cfg.Node] = true
			c.kill(cfg.Node)
		}
	}
	assert.Equal(t, len(lost), 20)
	gone := func() bool {
		for node := range lost {
			if c.count(node, suspect, dead) < len(c.cores) {
				return false
			}
		}
		return true
	}
	for start := c.net.Now(); !gone(); {
		c.requireNever(500*time.Millisecond, suspect, nil)
		assert.Assert(t, c.net.Now().Sub(start) < 15*time.Second, "the lost domain was not detected")
	}
	t.Logf("lost domain known after %v", c.net.Now().Sub(simnet.Epoch)-15*time.Second)
	c.requireNever(30*time.Second, suspect, nil)
}

// Guards against an isolated node that declares the others dead instead of suspecting itself.
func TestIsolatedNodeSuspectsItself(t *testing.T) {
	c := newCluster(t, 24, 5)
	c.net.Run(10 * time.Second)
	before := c.cores["n006"].Self().Incarnation
	c.dropped = func(from, to membership.Config) bool { return from.Node == "n006" || to.Node == "n006" }
	c.waitUntil(20*time.Second, "n006 suspects itself", func() bool { return c.cores["n006"].Self().Status == suspect })
	c.waitUntil(10*time.Second, "others see n006 as dead", func() bool { return c.count("n006", dead) == 23 })
	for _, m := range c.cores["n006"].Members() {
		assert.Assert(t, m.Status != dead, "n006 declared %s dead", m.Node)
	}
	c.dropped = nil
	c.waitUntil(30*time.Second, "n006 is back", func() bool { return c.count("n006", alive) == 24 })
	assert.Assert(t, c.cores["n006"].Self().Incarnation > before, "a refutation needs a higher incarnation")
}

// Guards against live nodes declared dead while regions are partitioned for minutes: the other region must be suspected
// as a whole, no node may be dead, and the regions must find each other again.
func TestRegionSplitHeals(t *testing.T) {
	c := newCluster(t, 60, 6)
	c.net.Run(15 * time.Second)
	c.dropped = func(from, to membership.Config) bool { return from.Region != to.Region }
	c.net.Run(12 * time.Second)
	assert.Equal(t, c.status("n000", "n001"), suspect)
	assert.Equal(t, len(c.cores["n000"].Live()), 30)
	otherRegion := func(observer, node string) bool { return c.configs[observer].Region != c.configs[node].Region }
	c.requireNever(10*time.Second, suspect, otherRegion)
	c.cores["n003"].Leave()
	c.requireNever(5*time.Minute, dead, nil)
	c.dropped = nil
	c.waitUntil(15*time.Second, "regions see each other", func() bool { return len(c.cores["n000"].Live()) == 59 })
	c.waitUntil(15*time.Second, "leave during the split is known", func() bool { return c.count("n003", leaving) == 60 })
	c.requireNever(time.Minute, dead, nil)
}

// Guards against a view that depends on the instance list, and against a node that never joins because the list was
// unavailable when it started.
func TestInstanceListOutage(t *testing.T) {
	c := newCluster(t, 12, 7)
	c.net.Run(15 * time.Second)
	c.outage = true
	c.nodes = append(c.nodes, membership.Config{Node: "late", Region: "r0", FailureDomain: "r0-d0", NodeAddr: "10.1.0.1:1"})
	late := c.start(c.nodes[12])
	c.net.Run(time.Minute)
	assert.Equal(t, len(late.Live()), 1)
	c.kill("n008")
	c.waitUntil(12*time.Second, "death is detected without the list", func() bool { return c.count("n008", dead) == 11 })
	c.net.Run(2 * time.Hour) // four times the TTL of a member
	assert.Equal(t, len(c.cores["n000"].Live()), 11, "the view must outlast an outage of hours")
	c.outage = false
	c.waitUntil(10*time.Second, "late node joins", func() bool { return c.count("late", alive) == 12 && len(late.Live()) == 12 })
}

// Guards against a restarted node that stays dead because of the items about its earlier process.
func TestRestartWithTheSameName(t *testing.T) {
	c := newCluster(t, 24, 8)
	c.net.Run(10 * time.Second)
	c.kill("n010")
	c.waitUntil(12*time.Second, "dead", func() bool { return c.count("n010", dead) == 23 })
	c.start(c.nodes[10])
	c.waitUntil(5*time.Second, "alive again", func() bool { return c.count("n010", alive) == 24 })
}

// Guards against a release that fails on messages of a newer release, as during a rolling update, or that no longer
// accepts a node of the other release as alive.
func TestTwoProtocolVersionsSideBySide(t *testing.T) {
	c := newCluster(t, 12, 9)
	newer := &newerRelease{c.cores["n000"]}
	c.net.Start("n000", newer)
	c.requireNever(30*time.Second, suspect, nil)
	assert.Equal(t, len(c.cores["n005"].Live()), 12)
}

// newerRelease sends, besides the usual messages, fields and message kinds that this release does not know.
type newerRelease struct{ *membership.Core }

func (n *newerRelease) Tick(now time.Time) []gossip.Message {
	out := n.Core.Tick(now)
	for _, m := range out {
		m.Env.Protocol = 2
		// An unknown field: number 1000, a varint.
		m.Env.ProtoReflect().SetUnknown([]byte{0xc0, 0x3e, 0x01})
		out = append(out, gossip.Message{To: m.To, Env: &pb.Envelope{Protocol: 2}})
	}
	return out
}

// Guards against a rendezvous choice that moves the keys of unaffected nodes, distributes keys unevenly, or picks
// members of the excluded domain.
func TestRendezvous(t *testing.T) {
	var members []membership.Member
	for i := range 60 {
		members = append(members, membership.Member{Node: fmt.Sprintf("n%02d", i), FailureDomain: fmt.Sprintf("d%d", i%3)})
	}
	load := map[string]int{}
	for k := range 3000 {
		key := fmt.Sprintf("key%d", k)
		first := membership.Rendezvous(key, members, 3)
		load[first[0].Node]++
		without := membership.Rendezvous(key, members[1:], 3)
		if first[0].Node != "n00" && first[1].Node != "n00" && first[2].Node != "n00" {
			assert.DeepEqual(t, first, without)
		}
		for _, m := range membership.RendezvousOutside(key, members, 2, "d1") {
			assert.Assert(t, m.FailureDomain != "d1")
		}
	}
	for node, n := range load {
		assert.Assert(t, n > 20 && n < 90, "%s has %d of 3000 keys", node, n)
	}
}

// TestMeasureSlopes prints traffic, CPU time and memory of membership and gossip per node in the steady state, for
// docs/CAPACITY.md. POLLENLUG_MEASURE=1 runs it for the cluster sizes listed there.
func TestMeasureSlopes(t *testing.T) {
	sizes := []int{20}
	if os.Getenv("POLLENLUG_MEASURE") != "" {
		sizes = []int{10, 50, 100, 200, 400}
	}
	for _, n := range sizes {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		c := newCluster(t, n, 1)
		c.net.Run(90 * time.Second)
		start := c.net.Traffic("n000")
		runtime.GC()
		runtime.ReadMemStats(&after)
		cpuStart := time.Now()
		c.net.Run(20 * time.Second)
		cpu := time.Since(cpuStart)
		end := c.net.Traffic("n000")
		t.Logf("| %d | %d B/s sent | %d B/s received | %.1f messages/s received | %.0f KiB | %.3f%% of a core, %.0f us per message |", n,
			(end.SentBytes-start.SentBytes)/20, (end.ReceivedBytes-start.ReceivedBytes)/20,
			float64(end.ReceivedMessages-start.ReceivedMessages)/20,
			float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/1024/float64(n), 100*cpu.Seconds()/20/float64(n),
			float64(cpu.Microseconds())/float64(n)/float64(end.ReceivedMessages-start.ReceivedMessages))
		runtime.KeepAlive(c)
	}
}
