// Package quota enforces the limits of workspaces over all nodes without calls to a store.
//
// Each node has a token bucket per workspace with the full rate and burst. It charges its own requests to the bucket,
// and those of the other nodes when it receives their running totals. The level may become negative by what the others
// admitted before they reported it; this debt is paid off before the next request, so that the sum over all nodes keeps
// to the rate and exceeds the burst by one exchange of totals at most.
//
// For a node that does not report, an equal share of the rate is charged until its total is known again. Both sides of a
// partition do that, so together they stay below the limit. A node that starts has a fraction of the burst until a peer
// that has run for longer reports its level, since all nodes may have been restarted right after the burst was used. What
// nodes that started with it or later have admitted is in no such level and is charged as a whole.
//
// Load pattern: one customer sends many times its usual load, spread over all nodes. Equal shares per node would refuse
// requests while other nodes have capacity left, and independent counts per node would admit a multiple of the limit.
package quota

import (
	"math"
	"sync"
	"time"
)

const (
	// unresponsiveAfter is the time without a report after which a node is charged an equal share; several exchanges of
	// totals.
	unresponsiveAfter = 1500 * time.Millisecond
	// chargeInterval is the time between two charges of unresponsive nodes; each takes all nodes and workspaces.
	chargeInterval = 50 * time.Millisecond
	// dropAfter is how long an unresponsive node is charged. By then its process has ended, and so have its requests.
	dropAfter = 20 * time.Second
	// initialLevelFraction is the initial level of a bucket as a fraction of the burst, well under a tenth of what a
	// window of several seconds admits.
	initialLevelFraction = 0.25
	// minReportInterval is the shortest time between two messages that is used to compute a rate.
	minReportInterval = 50 * time.Millisecond
	// outlierRate limits the rate of one node, as a multiple of the mean rate, in the estimate of what the nodes have not
	// reported yet: one large request between two reports does not mean that the next one is as large, while a surge raises
	// the rates of all nodes.
	outlierRate = 3
	// Between two messages, a node may admit fairShareFactor times an equal share of the remaining level or growthFactor
	// times what it admitted in the previous interval, whichever is more. A burst that arrives at all nodes at once then
	// takes little more than is left.
	fairShareFactor = 1.5
	growthFactor    = 2
	// minRequests is how many requests it may admit in any case while the level is above relaxedLevel, as a fraction of the
	// burst: on many nodes a share is smaller than a single request.
	minRequests  = 2
	relaxedLevel = 0.5
	// minRetry keeps callers from retrying before another exchange of totals.
	minRetry = 100 * time.Millisecond
	// maxRetry is the upper bound of the retry time.
	maxRetry = 5 * time.Second
)

// Limit is the limit of one workspace over all nodes: Rate in units per second and Burst in units.
type Limit struct {
	Workspace   string
	Rate, Burst float64
}

// Use is a node's report for one workspace: Total is the cost it has admitted since its start, Level that of its bucket.
type Use struct {
	Workspace string
	Total     float64
	Level     float64
}

// Buckets holds the token buckets of one node, one per workspace with a limit. It is safe for concurrent use.
type Buckets struct {
	mu      sync.Mutex
	buckets map[string]*bucket
	peers   map[string]*peer
	// chargedAt is when unresponsive nodes were last charged.
	chargedAt time.Time
	// nodes is the number of nodes, also of those that have not reported yet.
	nodes int
}

type bucket struct {
	Limit
	level         float64
	at            time.Time
	total         float64 // cost admitted by this node since its start
	levelReceived bool    // the level has been initialised from that of a peer
	// admitted is the cost admitted by this node since its last export, admittedBefore that of the interval before, and
	// requests the number of requests admitted since the last export.
	admitted, admittedBefore float64
	requests                 int
}

type peer struct {
	reportedAt time.Time
	totals     map[string]float64
	charged    map[string]float64 // estimated charges since the node's last report
	rates      map[string]float64 // cost admitted per second between the last two reports
}

// New returns Buckets without limits.
func New() *Buckets {
	return &Buckets{buckets: map[string]*bucket{}, peers: map[string]*peer{}}
}

// SetNodes sets the number of nodes that are known, this one included, whether they have reported or not.
func (b *Buckets) SetNodes(nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = nodes
}

// SetLimits applies the limits of a new configuration; those with a Rate of 0 or less are ignored. Buckets that remain
// keep their level, up to the new burst.
func (b *Buckets) SetLimits(limits []Limit, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	next := make(map[string]*bucket, len(limits))
	for _, l := range limits {
		if l.Rate <= 0 {
			continue
		}
		k := b.buckets[l.Workspace]
		if k == nil {
			k = &bucket{at: now, level: initialLevelFraction * l.Burst}
		}
		k.Limit = l
		k.level = min(k.level, l.Burst)
		next[l.Workspace] = k
	}
	b.buckets = next
}

func (k *bucket) refill(now time.Time) {
	if elapsed := now.Sub(k.at); elapsed > 0 {
		k.level = min(k.Burst, k.level+k.Rate*elapsed.Seconds())
		k.at = now
	}
}

// Take admits a request of the given cost, or returns false and the time after which the caller should retry. Workspaces
// without a limit are always admitted.
func (b *Buckets) Take(workspace string, cost float64, now time.Time) (retryAfter time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.buckets[workspace]
	if k == nil {
		return 0, true
	}
	b.advance(now)
	level := k.level - b.unreported(workspace, now)
	if k.admitted > max(fairShareFactor*level/float64(max(len(b.peers)+1, b.nodes)), growthFactor*k.admittedBefore) &&
		(k.requests >= minRequests || level < relaxedLevel*k.Burst) {
		return minRetry, false
	}
	if level <= 0 {
		wait := time.Duration((-level + cost) / k.Rate * float64(time.Second))
		return min(max(wait, minRetry), maxRetry), false
	}
	k.level -= cost
	k.total += cost
	k.admitted += cost
	k.requests++
	return 0, true
}

// unreported estimates what the other nodes have admitted since their last reports, at the rate between the last two.
// Without it the sum would overshoot by what a hot workspace sends between two reports, which grows with the number of
// nodes.
func (b *Buckets) unreported(workspace string, now time.Time) float64 {
	mean := 0.0
	for _, p := range b.peers {
		mean += p.rates[workspace] / float64(len(b.peers))
	}
	sum := 0.0
	for _, p := range b.peers {
		if since := now.Sub(p.reportedAt); since < unresponsiveAfter {
			sum += min(p.rates[workspace], outlierRate*mean) * since.Seconds()
		}
	}
	return sum
}

// Refund refunds the cost of a request that did not run.
func (b *Buckets) Refund(workspace string, cost float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if k := b.buckets[workspace]; k != nil {
		k.level = min(k.Burst, k.level+cost)
		k.total -= cost
	}
}

// Export returns this node's report for its peers. It must be called exactly once per message, since it starts a new
// interval.
func (b *Buckets) Export(now time.Time) []Use {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	uses := make([]Use, 0, len(b.buckets))
	for name, k := range b.buckets {
		k.admittedBefore, k.admitted, k.requests = k.admitted, 0, 0
		uses = append(uses, Use{Workspace: name, Total: k.total, Level: k.level})
	}
	return uses
}

// ApplyReport applies the report of another node. A node must have another name after a restart. older is set if its
// process has run for longer than this one's.
func (b *Buckets) ApplyReport(node string, uses []Use, older bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	p := b.peers[node]
	first := p == nil
	if first {
		p = &peer{totals: map[string]float64{}, charged: map[string]float64{}, rates: map[string]float64{}}
		b.peers[node] = p
	}
	for _, u := range uses {
		k := b.buckets[u.Workspace]
		if k == nil {
			continue
		}
		before, known := p.totals[u.Workspace]
		switch {
		case !k.levelReceived && older:
			// The peer may not have heard yet what this node has admitted.
			k.level, k.levelReceived = min(u.Level, k.Burst)-k.total, true
		case known:
			k.level = min(k.Burst, k.level-(u.Total-before)+p.charged[u.Workspace])
			p.rates[u.Workspace] = max(0, u.Total-before) / max(now.Sub(p.reportedAt), minReportInterval).Seconds()
		case !first || !older:
			k.level -= u.Total
		}
		p.totals[u.Workspace] = u.Total
	}
	clear(p.charged)
	p.reportedAt = now
}

// RemovePeer removes a node that has announced its stop.
func (b *Buckets) RemovePeer(node string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.peers, node)
}

// advance brings all buckets up to date. The charges come first: after a pause of this node, a bucket that is refilled up to
// its burst and then charged for the whole pause would be in debt although nobody used it.
func (b *Buckets) advance(now time.Time) {
	if now.Sub(b.chargedAt) >= chargeInterval {
		b.chargeUnresponsive(now)
		b.chargedAt = now
	}
	for _, k := range b.buckets {
		k.refill(now)
	}
}

// chargeUnresponsive charges an equal share of each limit for every node whose reports are missing.
func (b *Buckets) chargeUnresponsive(now time.Time) {
	nodes := float64(len(b.peers) + 1)
	for name, p := range b.peers {
		sinceReport := now.Sub(p.reportedAt)
		if sinceReport > dropAfter {
			delete(b.peers, name)
			continue
		}
		if sinceReport < unresponsiveAfter {
			continue
		}
		for workspace, k := range b.buckets {
			due := k.Rate / nodes * sinceReport.Seconds()
			if more := due - p.charged[workspace]; more > 0 {
				k.level -= more
				p.charged[workspace] = due
			}
		}
	}
}

// Level returns the level of a workspace's bucket in units, or infinity if it has no limit.
func (b *Buckets) Level(workspace string, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.buckets[workspace]
	if k == nil {
		return math.Inf(1)
	}
	b.advance(now)
	return k.level
}
