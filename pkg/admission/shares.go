package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minClassShare is the part of a workspace's share that each of its classes has whatever the more urgent ones use.
	minClassShare = 0.02
	// reportExpiry is how long the report of another node is counted. Reports of large deployments are up to 1.2 s old.
	reportExpiry = 3 * time.Second
	// overFactor marks a workspace as over its share if a smaller part of its demand than this, relative to that of all
	// demand, is within it. Smaller differences come from the random arrival of its requests.
	overFactor = 0.8
	// urgentTolerance is by how much the demand of a workspace's most urgent class may exceed its share: the few requests
	// of a class within rateTime differ from their mean by more than a third.
	urgentTolerance = 1.5
	// offersWait is the wait, as a fraction of the tightest slack, from which a node reports what each workspace offers. It
	// is below that from which shares limit anyone.
	offersWait = 0.08
	// maxOwed limits what returned requests take from the share later, in server-seconds.
	maxOwed = 1.0
)

// rate is an exponentially decaying sum with the time constant rateTime.
type rate struct{ decayed }

func (r *rate) add(v float64, now time.Time) { r.decayed.add(v, rateTime, now) }

func (r *rate) perSecond(now time.Time) float64 {
	r.add(0, now)
	return r.sum / rateTime.Seconds()
}

// fastRate is the same with a shorter time constant, for sums over all nodes.
type fastRate struct{ decayed }

func (r *fastRate) add(v float64, now time.Time) { r.decayed.add(v, fastRateTime, now) }

func (r *fastRate) perSecond(now time.Time) float64 {
	r.add(0, now)
	return r.sum / fastRateTime.Seconds()
}

// flow is the state of one workspace.
type flow struct {
	name    string
	weight  float64
	offered [Priorities]rate
	// demand is the cost offered per second on all nodes, by priority and in total.
	demand [Priorities]float64
	total  float64
	// within and least are the parts of the requests of a class that are within the share, and within its minimum part.
	within, least [Priorities]float64
	owed          float64 // cost of returned requests not yet taken from the share
	over          bool
}

// flow returns the flow of a workspace.
func (g *Gate) flow(workspace string) *flow {
	if f := g.flows[workspace]; f != nil {
		return f
	}
	if len(g.flows) >= maxFlows {
		workspace = ""
		if f := g.flows[workspace]; f != nil {
			return f
		}
	}
	f := &flow{name: workspace, weight: g.weight(workspace)}
	f.unlimited()
	g.flows[workspace] = f
	g.ordered = append(g.ordered, f)
	return f
}

func (g *Gate) weight(workspace string) float64 {
	if w := g.weights[workspace]; w > 0 && !math.IsInf(w, 1) {
		return w
	}
	return 1
}

// SetWeights sets the weights of the workspaces; others have weight 1.
func (g *Gate) SetWeights(weights map[string]float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.weights = weights
	for name, f := range g.flows {
		f.weight = g.weight(name)
	}
}

// take reports whether a request is within the share, and within its minimum part.
func (f *flow) take(r *Request, now time.Time) (inShare, least bool) {
	inShare = chance(r, now, shareChance) < f.within[r.Priority]
	least = chance(r, now, leastChance) < f.least[r.Priority]
	if inShare && f.owed >= r.Cost && f.within[r.Priority] < 1 {
		f.owed -= r.Cost
		return false, least
	}
	return inShare, least
}

// charge takes a request that returns from the share: a later one of the same workspace waits or is rejected for it.
func (f *flow) charge(r *Request) { f.owed = min(f.owed+r.Cost, maxOwed) }

// Purposes of chance.
const (
	shareChance uint64 = iota + 1
	leastChance
	boundChance
)

// chance returns a number in [0, 1) that depends on the request and the time alone. It is as good as random: counting
// requests instead would need many of each workspace and class on each node.
func chance(r *Request, now time.Time, purpose uint64) float64 {
	x := uint64(now.UnixNano()) ^ uint64(r.Key)<<32 ^ purpose*0x9e3779b97f4a7c15
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return float64(x>>11) / (1 << 53)
}

func (f *flow) unlimited() {
	for p := range Priorities {
		f.within[p], f.least[p] = 1, 0
	}
	f.over = false
}

// refresh computes the shares from the demand of all nodes.
func (g *Gate) refresh(now time.Time) {
	if now.Sub(g.refreshedAt) < refreshInterval {
		return
	}
	elapsed := now.Sub(g.refreshedAt)
	g.refreshedAt = now
	g.returns.expire(now)
	g.sumDemand(now)
	slack, _ := g.tightest(Priorities-1, now)
	ratio := 0.0
	if !math.IsInf(slack, 1) {
		ratio = g.wait / slack
	}
	predicted := max(ratio+g.drift.sum/slack, 0)
	g.capacity.surge(g.demand, g.viewAge, now)
	g.capacity.observe(g.served.perSecond(now)+g.peersServed, g.demand, ratio, predicted, now)
	if !g.capacity.pressed {
		for _, f := range g.ordered {
			f.unlimited()
		}
		g.drift = drift{}
		return
	}
	g.divide(g.capacity.target())
	g.predict(elapsed, now)
}

// sumDemand adds up the demand of all nodes and drops expired reports and idle workspaces.
func (g *Gate) sumDemand(now time.Time) {
	g.ordered = slices.DeleteFunc(g.ordered, func(f *flow) bool {
		f.total = 0
		for p := range Priorities {
			f.demand[p] = f.offered[p].perSecond(now)
			f.total += f.demand[p]
		}
		if f.total < negligible {
			delete(g.flows, f.name)
		}
		return f.total < negligible
	})
	g.peersServed = 0
	reported := 0.0
	g.removePeers(func(r *peerReport) bool { return now.Sub(r.at) > reportExpiry })
	for _, report := range g.peers {
		g.peersServed += report.Served
		reported += report.Offered
		for i := range report.Offers {
			f := g.flow(report.Offers[i].Workspace)
			for p, v := range report.Offers[i].PerSecond {
				f.demand[p] += v
				f.total += v
			}
		}
	}
	reported += g.arrived.perSecond(now)
	attributed := 0.0
	for _, f := range g.ordered {
		attributed += f.total
	}
	g.demand = reported * g.surge.growth(reported, now)
	if attributed <= 0 {
		return
	}
	// What other nodes have not reported by workspace, and the growth since, is taken to be like what is known.
	scale := max(g.demand/attributed, 1)
	for _, f := range g.ordered {
		f.total *= scale
		for p := range f.demand {
			f.demand[p] *= scale
		}
	}
}

// negligible is the demand in server-seconds per second below which a workspace counts as idle.
const negligible = 1e-6

// divide divides the capacity between the workspaces, max-min by demand over weight, and each share between the classes
// of its workspace, the most urgent first.
func (g *Gate) divide(capacity float64) {
	flows := slices.Clone(g.ordered)
	weights := 0.0
	for _, f := range g.ordered {
		weights += f.weight
	}
	slices.SortStableFunc(flows, func(a, b *flow) int { return cmp.Compare(a.total/a.weight, b.total/b.weight) })
	served := min(capacity/max(g.demand, negligible), 1)
	for _, f := range flows {
		share := min(f.total, capacity*f.weight/weights)
		capacity -= share
		weights -= f.weight
		f.over = share < overFactor*served*f.total
		f.fill(share)
	}
}

// fill divides a share between the classes of its workspace.
func (f *flow) fill(share float64) {
	left, tolerance := share, urgentTolerance
	for p, d := range f.demand {
		if d <= 0 {
			f.within[p], f.least[p] = 1, 0
			continue
		}
		f.within[p] = min(tolerance*left/d, 1)
		tolerance = 1
		f.least[p] = min(minClassShare*share/d, 1)
		left = max(left-d, 0)
	}
}

// Report is what a node tells the others about a service.
type Report struct {
	// Offered is the cost of all requests that arrive at the node, in server-seconds per second. Offers is the same by
	// workspace, over a longer time; it is left out while the service is far from overload.
	Offered float64
	Offers  []Offer
	// Served is the cost of the requests that servers have answered to the node, in server-seconds per second.
	Served float64
}

// Offer is the cost that arrives at a node from one workspace, in server-seconds per second by priority.
type Offer struct {
	Workspace string
	PerSecond [Priorities]float64
}

type peerReport struct {
	Report
	node string
	at   time.Time
}

// SetPeer stores the report of another node.
func (g *Gate) SetPeer(node string, report Report, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r := g.byNode[node]; r != nil {
		r.Report, r.at = report, now
		return
	}
	r := &peerReport{Report: report, node: node, at: now}
	g.byNode[node] = r
	g.peers = append(g.peers, r)
}

// RemovePeer drops the report of a node that has left.
func (g *Gate) RemovePeer(node string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.removePeers(func(r *peerReport) bool { return r.node == node })
}

func (g *Gate) removePeers(gone func(*peerReport) bool) {
	g.peers = slices.DeleteFunc(g.peers, func(r *peerReport) bool {
		remove := gone(r)
		if remove {
			delete(g.byNode, r.node)
		}
		return remove
	})
}

// Export returns this node's report.
func (g *Gate) Export(now time.Time) Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	report := Report{Served: g.served.perSecond(now), Offered: g.arrived.perSecond(now)}
	slack, _ := g.tightest(Priorities-1, now)
	loaded := g.capacity.pressed || g.surge.factor > 1 || g.wait > offersWait*slack
	for _, f := range g.ordered {
		o := Offer{Workspace: f.name}
		sum := 0.0
		for p := range Priorities {
			o.PerSecond[p] = f.offered[p].perSecond(now)
			sum += o.PerSecond[p]
		}
		if loaded && sum >= negligible {
			report.Offers = append(report.Offers, o)
		}
	}
	return report
}
