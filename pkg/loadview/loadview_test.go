package loadview_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/internal/simnet"
	"github.com/pollenlug/pollenlug/pkg/gossip"
	"github.com/pollenlug/pollenlug/pkg/loadview"
	"github.com/pollenlug/pollenlug/pkg/membership"
)

// protocol is a way to replicate loads; all nodes of a cluster run the same one.
type protocol interface {
	simnet.Endpoint
	AssignedWorkers() []string
	Observe(now time.Time, load *pb.WorkerLoad)
	// running returns the known number of running requests of a worker.
	running(now time.Time, worker string) (uint32, bool)
}

// fixedMembers is a membership view that the test sets.
type fixedMembers struct{ live []membership.Member }

func (f *fixedMembers) Live() []membership.Member { return f.live }

// relayNode is the protocol of the package. Its gossip core only maintains the view of peers.
type relayNode struct {
	*loadview.Core
	peers *gossip.Core
}

func (r *relayNode) Tick(now time.Time) []gossip.Message {
	r.peers.Tick(now)
	return r.Core.Tick(now)
}

func (r *relayNode) running(now time.Time, worker string) (uint32, bool) {
	l, ok := r.Get(now, worker)
	return l.Running, ok
}

// reportNode is the common part of the two protocols that are measured for comparison: each worker has one observer,
// and loads are sent as one report per observer.
type reportNode struct {
	node     string
	assigned []string
	polled   map[string]*pb.WorkerLoad
	known    map[string]uint32
	next     time.Time
	sent     string
}

func (p *reportNode) AssignedWorkers() []string { return p.assigned }

func (p *reportNode) Observe(_ time.Time, load *pb.WorkerLoad) { p.polled[load.Server] = load }

func (p *reportNode) running(_ time.Time, worker string) (uint32, bool) {
	if l := p.polled[worker]; l != nil {
		return quantizedRunning(l.Running), true
	}
	n, ok := p.known[worker]
	return n, ok
}

// report returns the loads in the format of the package's messages, with eight bytes per worker.
func (p *reportNode) report() *pb.DomainLoad {
	d := &pb.DomainLoad{}
	for i, name := range p.assigned {
		if l := p.polled[name]; l != nil {
			d.Workers = append(d.Workers, uint32(i))
			d.Loads = append(d.Loads, byte(quantizedRunning(l.Running)>>8), byte(quantizedRunning(l.Running)), 0, 0)
		}
	}
	return d
}

// applyReport applies a report of another observer. All nodes know which workers it observes.
func (p *reportNode) applyReport(d *pb.DomainLoad, assigned []string) {
	for i, w := range d.Workers {
		p.known[assigned[w]] = uint32(d.Loads[4*i])<<8 | uint32(d.Loads[4*i+1])
	}
}

// meshNode sends a heartbeat with the loads to every node each second, without a traffic budget.
type meshNode struct {
	reportNode
	c *cluster
}

func (m *meshNode) Tick(now time.Time) []gossip.Message {
	if now.Before(m.next) {
		return nil
	}
	m.next = now.Add(time.Second)
	env := &pb.Envelope{Body: &pb.Envelope_LoadDelta{LoadDelta: &pb.LoadDelta{Domains: []*pb.DomainLoad{m.report()}}}}
	var out []gossip.Message
	for _, p := range m.c.peers {
		if p.Node != m.node {
			out = append(out, gossip.Message{To: p, Env: env})
		}
	}
	return out
}

func (m *meshNode) Handle(_ time.Time, from string, env *pb.Envelope) []gossip.Message {
	m.applyReport(env.GetLoadDelta().Domains[0], m.c.byNode[from].AssignedWorkers())
	return nil
}

// gossipNode writes a gossip item per observer when a load has changed, at most every two seconds.
type gossipNode struct {
	reportNode
	c *cluster
	g *gossip.Core
}

func (e *gossipNode) Tick(now time.Time) []gossip.Message {
	value, err := proto.Marshal(e.report())
	if err == nil && string(value) != e.sent && !now.Before(e.next) {
		e.next, e.sent = now.Add(2*time.Second), string(value)
		e.g.Set(now, "load/"+e.node, value, 10*time.Second, false)
	}
	return e.g.Tick(now)
}

func (e *gossipNode) Handle(now time.Time, from string, env *pb.Envelope) []gossip.Message {
	return e.g.Handle(now, from, env)
}

// quantizedRunning returns the number of running requests as the package quantizes it.
func quantizedRunning(running uint32) uint32 {
	last := uint32(0)
	for n := uint32(1); n <= running; {
		last = n
		switch {
		case n < 3:
			n++
		case n%3 == 0:
			n = n / 3 * 4
		default:
			n = n / 2 * 3
		}
	}
	return last
}

// trueLoad is the true number of running requests of a worker from a time on.
type trueLoad struct {
	at      time.Time
	running uint32
}

// matchesLevel reports whether a known, quantized number is correct: the true one lies within its level, widened by the
// margin of a tenth that the package uses.
func matchesLevel(known, running uint32) bool {
	next := known + 1
	for quantizedRunning(next) == known {
		next++
	}
	return 10*running >= 9*known && 10*running < 11*next
}

// cluster simulates nodes and workers in six failure domains, three in each of two regions.
type cluster struct {
	net     *simnet.Net
	peers   []gossip.Peer
	members *fixedMembers
	workers []loadview.Worker
	byNode  map[string]protocol
	history map[string][]trueLoad
	loads   map[string]float64
	// levelChanges counts the changes of quantized numbers, without the margin.
	levelChanges int
}

func newCluster(nodes, workers int, seed uint64, kind string) *cluster {
	c := &cluster{net: simnet.New(seed), members: &fixedMembers{}, byNode: map[string]protocol{},
		history: map[string][]trueLoad{}, loads: map[string]float64{}}
	place := func(i int) (region, domain string) {
		return fmt.Sprintf("r%d", i%2), fmt.Sprintf("r%d-d%d", i%2, i/2%3)
	}
	regions := map[string]string{}
	for i := range nodes {
		region, domain := place(i)
		name, addr := fmt.Sprintf("n%03d", i), fmt.Sprintf("10.0.0.%d:1", i)
		regions[name] = region
		c.peers = append(c.peers, gossip.Peer{Node: name, Region: region, FailureDomain: domain, Addr: addr})
		c.members.live = append(c.members.live, membership.Member{Node: name, Region: region, FailureDomain: domain, NodeAddr: addr})
	}
	for i := range workers {
		_, domain := place(i)
		c.workers = append(c.workers, loadview.Worker{Name: fmt.Sprintf("w%03d", i), FailureDomain: domain})
	}
	c.net.Delay = func(from, to string) time.Duration {
		if regions[from] != regions[to] {
			return 40 * time.Millisecond
		}
		return time.Millisecond
	}
	assigned := map[string][]string{}
	for _, w := range c.workers {
		o := membership.RendezvousInside(w.Name, c.members.live, 1, w.FailureDomain)[0].Node
		assigned[o] = append(assigned[o], w.Name)
	}
	for i, p := range c.peers {
		g := gossip.NewCore(gossip.Config{Node: p.Node, Region: p.Region, Incarnation: 1, BytesPerSecond: 5500,
			Rand: rand.New(rand.NewPCG(seed, uint64(i)))})
		g.SetPeers(c.peers)
		base := reportNode{node: p.Node, assigned: assigned[p.Node], polled: map[string]*pb.WorkerLoad{},
			known: map[string]uint32{}}
		switch kind {
		case "mesh":
			c.byNode[p.Node] = &meshNode{base, c}
		case "epidemic":
			e := &gossipNode{base, c, g}
			g.Watch("load/", func(item *pb.GossipItem) {
				d := &pb.DomainLoad{}
				from := strings.TrimPrefix(item.Key, "load/")
				if proto.Unmarshal(item.Value, d) == nil && from != e.node {
					e.applyReport(d, assigned[from])
				}
			})
			c.byNode[p.Node] = e
		default:
			core := loadview.NewCore(loadview.Config{Node: p.Node, FailureDomain: p.FailureDomain,
				Rand: rand.New(rand.NewPCG(seed, uint64(i)+1000))}, g, c.members)
			core.SetWorkers(c.workers)
			c.byNode[p.Node] = &relayNode{core, g}
		}
		c.net.Start(p.Node, c.byNode[p.Node])
	}
	for _, w := range c.workers {
		c.loads[w.Name] = 8 + 40*c.net.Rand.Float64()
	}
	c.poll()
	return c
}

// poll changes every load at random and lets the observers poll, every 500 ms.
func (c *cluster) poll() {
	now := c.net.Now()
	for _, w := range c.workers {
		x := c.loads[w.Name] * (1 + 0.1*c.net.Rand.NormFloat64())
		c.loads[w.Name] = min(max(x, 2), 120)
		running := uint32(c.loads[w.Name])
		h := c.history[w.Name]
		if len(h) > 0 && quantizedRunning(h[len(h)-1].running) != quantizedRunning(running) {
			c.levelChanges++
		}
		c.history[w.Name] = append(h, trueLoad{now, running})
	}
	for _, p := range c.peers {
		for _, name := range c.byNode[p.Node].AssignedWorkers() {
			c.byNode[p.Node].Observe(now, &pb.WorkerLoad{Server: name, Running: uint32(c.loads[name]), CachePercent: 50, StepUs: 30000})
		}
	}
	c.net.At(500*time.Millisecond, c.poll)
}

// staleness returns the time since the load that the node knows of the worker was last correct; known is false when
// the node knows no load of the worker.
func (c *cluster) staleness(node, worker string) (stale time.Duration, known bool) {
	running, ok := c.byNode[node].running(c.net.Now(), worker)
	h := c.history[worker]
	if !ok || matchesLevel(running, h[len(h)-1].running) {
		return 0, ok
	}
	for i := len(h) - 2; i >= 0; i-- {
		if matchesLevel(running, h[i].running) {
			return c.net.Now().Sub(h[i+1].at), true
		}
	}
	return c.net.Now().Sub(h[0].at), true
}

// result is one row of the printed table.
type result struct {
	p50, p90, p99, max time.Duration
	outdated           float64
	sent, maxRate      float64 // bytes/s of a node: mean sent, and maximum sent or received
	cpu                time.Duration
	messages           uint64
}

func (c *cluster) measure(warm, d time.Duration) result {
	c.net.Run(warm)
	before := map[string]simnet.Traffic{}
	for _, p := range c.peers {
		before[p.Node] = c.net.Traffic(p.Node)
	}
	var samples []time.Duration
	outdated := 0
	var cpu time.Duration
	for end := c.net.Now().Add(d); c.net.Now().Before(end); {
		start := time.Now()
		// The period differs from that of the polls, so that samples are taken at varying times after a poll.
		c.net.Run(970 * time.Millisecond)
		cpu += time.Since(start)
		for i := 0; i < len(c.peers); i += max(1, len(c.peers)/40) { // at most 79 nodes, evenly spaced
			for _, w := range c.workers {
				s, known := c.staleness(c.peers[i].Node, w.Name)
				if !known {
					s = c.net.Now().Sub(simnet.Epoch)
				}
				if s > 0 {
					outdated++
				}
				samples = append(samples, s)
			}
		}
	}
	slices.Sort(samples)
	at := func(q float64) time.Duration { return samples[int(q*float64(len(samples)-1))] }
	r := result{p50: at(0.5), p90: at(0.9), p99: at(0.99), max: at(1), outdated: float64(outdated) / float64(len(samples)), cpu: cpu}
	for _, p := range c.peers {
		t := c.net.Traffic(p.Node)
		sent := float64(t.SentBytes-before[p.Node].SentBytes) / d.Seconds()
		received := float64(t.ReceivedBytes-before[p.Node].ReceivedBytes) / d.Seconds()
		r.sent += sent / float64(len(c.peers))
		r.maxRate = max(r.maxRate, sent, received)
		r.messages += t.ReceivedMessages - before[p.Node].ReceivedMessages
	}
	return r
}

// TestMeasureProtocols prints the table of docs/measurements-gossip.md; POLLENLUG_MEASURE=1 runs it for all its sizes.
func TestMeasureProtocols(t *testing.T) {
	sizes, workers, d := []int{10, 50}, 100, 10*time.Second
	if os.Getenv("POLLENLUG_MEASURE") != "" {
		sizes, workers, d = []int{10, 50, 100, 200, 400}, 640, 30*time.Second
	}
	for _, kind := range []string{"mesh", "epidemic", "relay"} {
		t.Run(kind, func(t *testing.T) {
			for _, n := range sizes {
				measureProtocol(t, kind, n, workers, d)
			}
		})
	}
}

func measureProtocol(t *testing.T, kind string, nodes, workers int, d time.Duration) {
	c := newCluster(nodes, workers, 1, kind)
	r := c.measure(20*time.Second, d)
	t.Logf("| %s | %d | %v | %v | %v | %v | %.1f%% | %.0f | %.0f | %.1f us per message (%.0f changes/s)", kind, nodes, r.p50, r.p90, r.p99, r.max,
		100*r.outdated, r.sent, r.maxRate, float64(r.cpu.Microseconds())/float64(max(r.messages, 1)),
		float64(c.levelChanges)/c.net.Now().Sub(simnet.Epoch).Seconds())
}

// TestMeasureSlopes prints the memory per node for docs/CAPACITY.md.
func TestMeasureSlopes(t *testing.T) {
	sizes, workers := []int{10, 50}, 100
	if os.Getenv("POLLENLUG_MEASURE") != "" {
		sizes, workers = []int{50, 100, 200, 400}, 640
	}
	for _, n := range sizes {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		c := newCluster(n, workers, 1, "relay")
		c.net.Run(20 * time.Second)
		runtime.GC()
		runtime.ReadMemStats(&after)
		t.Logf("| %d | %d | %.0f KiB per node |", n, workers, float64(after.HeapAlloc-before.HeapAlloc)/1024/float64(n))
		runtime.KeepAlive(c)
	}
}

// Guards against loads that become stale, and against a node that sends more than its budget.
func TestLoadsAreFreshWithinTheBudget(t *testing.T) {
	c := newCluster(60, 120, 2, "relay")
	r := c.measure(20*time.Second, 20*time.Second)
	assert.Assert(t, r.p99 <= 6*time.Second, "p99 %v", r.p99)
	assert.Assert(t, r.maxRate <= loadview.DefaultBytesPerSecond, "%.0f bytes/s", r.maxRate)
}

// Guards against loads that are no longer updated after the relay or an observer dies, and against workers that stay
// flagged as unobserved.
func TestRelayAndObserversAreReplaced(t *testing.T) {
	c := newCluster(30, 60, 3, "relay")
	c.net.Run(15 * time.Second)
	for range 4 { // of the five nodes of the domain
		observers := loadview.Observers("r0-d0", c.members.live)
		relay := membership.Rendezvous("relay/r0-d0", observers, 1)[0].Node
		c.net.Stop(relay)
		c.members.live = slices.DeleteFunc(slices.Clone(c.members.live), func(m membership.Member) bool { return m.Node == relay })
		c.peers = slices.DeleteFunc(slices.Clone(c.peers), func(p gossip.Peer) bool { return p.Node == relay })
		for _, p := range c.peers {
			c.byNode[p.Node].(*relayNode).peers.SetPeers(c.peers)
		}
		c.net.Run(20 * time.Second)
		for _, p := range c.peers {
			for name, l := range c.byNode[p.Node].(*relayNode).View(c.net.Now()) {
				assert.Assert(t, !l.Unobserved && l.Age < 10*time.Second, "%s sees %s with age %v", p.Node, name, l.Age)
			}
			for _, w := range c.workers {
				s, known := c.staleness(p.Node, w.Name)
				assert.Assert(t, known && s < 10*time.Second, "%s: load of %s has been wrong for %v", p.Node, w.Name, s)
			}
		}
	}
}

// Guards against malformed messages from a peer that make the core panic or reply.
func TestMalformedMessagesAreIgnored(t *testing.T) {
	c := newCluster(10, 20, 4, "relay")
	for _, d := range []*pb.DomainLoad{nil, {}, {Version: &pb.LoadVersion{Term: 1, Sequence: 1}, Workers: []uint32{1}},
		{Version: &pb.LoadVersion{Term: 1, Sequence: 1}, Workers: []uint32{1}, Loads: []byte{255, 255, 255, 255}, Ages: []byte{0}, Back: []uint32{9}}} {
		env := &pb.Envelope{Body: &pb.Envelope_LoadDelta{LoadDelta: &pb.LoadDelta{Domains: []*pb.DomainLoad{d}}}}
		assert.Equal(t, len(c.byNode["n000"].Handle(c.net.Now(), "n001", env)), 0)
	}
	c.net.Run(time.Second)
}
