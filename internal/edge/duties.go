package edge

import (
	"context"
	"time"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/logline"
	"github.com/pollenlug/pollenlug/pkg/elastic"
	"github.com/pollenlug/pollenlug/pkg/lease"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

const (
	// dutyLease is the name of the lease whose holder performs the duties.
	dutyLease = "duties"
	// dutyLeaseDuration is how long the lease is valid without renewal. After its holder fails, no node orders servers
	// until it expires.
	dutyLeaseDuration = 1500 * time.Millisecond
	// dutyCallTimeout limits one duty call.
	dutyCallTimeout = 500 * time.Millisecond
	// dutyHolderTimeout is how long the holder may be unresponsive before other nodes try to acquire the lease. Trying
	// is harmless while the holder is alive.
	dutyHolderTimeout = 500 * time.Millisecond
	// dutyStoreTimeout limits one store call for the lease; the store may be slow for some time.
	dutyStoreTimeout = time.Second
	// dutyCandidates is how many nodes try to acquire the lease while no holder is known; each reads the store about
	// once a second.
	dutyCandidates = 2
	// dutyStartDelay is how long a starting node listens for a holder's heartbeats before it tries to acquire the
	// lease.
	dutyStartDelay = 600 * time.Millisecond
	// dutyInterval is how often the holder performs the duties.
	dutyInterval = 250 * time.Millisecond
	// usageTable holds the final counts of usage windows, so that a later holder repeats exactly what was reported.
	usageTable = "usage"
	// usageSentWindows is how many past usage windows a node sends to its peers.
	usageSentWindows = 3
	// usageSettleTime is the time after the end of a window until its counts are final: by then the last heartbeats
	// have arrived.
	usageSettleTime = time.Second
	// usageKeptWindows is how many windows keep their row in usageTable.
	usageKeptWindows = 12
	// orderRepeatInterval is how often an unchanged order is sent again; the platform may have lost a server
	// permanently.
	orderRepeatInterval = 4 * time.Second
	// minOrderInterval is the minimum time between two orders of the same kind for a service and failure domain.
	minOrderInterval = time.Second
	// refusalTTL is how long a refused order counts as a refusal of reclaimable servers in the plan.
	refusalTTL = 2500 * time.Millisecond
	// loadRiseHalfLife and loadFallHalfLife are the half-lives used to smooth the planned load. It falls slowly because
	// new servers take seconds to boot and callers that arrive in bursts come back.
	loadRiseHalfLife = 1500 * time.Millisecond
	loadFallHalfLife = 4 * time.Second
	// peakFallHalfLife is the half-life of the peak load, which sizes the reclaimable (cheap) servers. It is long
	// because a server that is stopped loses its cache.
	peakFallHalfLife = 12 * time.Second
	// fleetSettleTime is how long the view of servers must be unchanged before on-demand (not reclaimable) servers are
	// ordered: an order based on an incomplete view could remove running servers. Servers write their rows about once a
	// second.
	fleetSettleTime = 1500 * time.Millisecond
	// startupPeriod is the age above which a node is assumed to know the fleet and the load at the start of its term.
	startupPeriod = 15 * time.Second
	// loadSettleTime is how long load must have been observed before it counts as known.
	loadSettleTime = 3 * time.Second
)

// Tokens per second of one engine that only processes prompts (prefill) or only generates output.
const (
	enginePrefillRate = 50_000
	engineOutputRate  = 4_500
)

// runDuties acquires the duty lease and performs the duties while this node holds it, until ctx ends.
func (n *Node) runDuties(ctx context.Context) {
	leases := lease.New(lease.Options{Table: n.store, Node: n.settings.Node, Duration: dutyLeaseDuration,
		MaxOrderTime: dutyCallTimeout, StoreTimeout: dutyStoreTimeout, NoEarlierHolder: n.settings.FirstStart})
	// An earlier incarnation of this node may have made duty calls until just before this one started.
	lastActed := n.started
	clock.Sleep(ctx, dutyStartDelay)
	for ctx.Err() == nil {
		if !n.isDutyCandidate() {
			clock.Sleep(ctx, dutyInterval)
			continue
		}
		held, err := n.acquireDuties(ctx, leases)
		if err != nil {
			continue
		}
		n.log.Info(logline.DutiesAcquired)
		n.holdsDuties.Store(true)
		n.performDuties(ctx, held, lastActed.Add(n.settings.LeaseDuration))
		n.holdsDuties.Store(false)
		lastActed = time.Now()
		n.log.Info(logline.DutiesEnded)
	}
}

// isDutyCandidate reports whether this node is one of those that try to acquire the lease while no holder is known.
func (n *Node) isDutyCandidate() bool {
	return !n.peers.dutyHolderAlive(time.Now()) && n.peers.readerRank() < dutyCandidates
}

// acquireDuties waits for the lease. It gives up when this node is no longer a candidate, for example because another
// node holds the lease.
func (n *Node) acquireDuties(ctx context.Context, leases *lease.Leases) (*lease.Held, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for clock.Sleep(ctx, dutyInterval) {
			if !n.isDutyCandidate() {
				cancel()
			}
		}
	}()
	return leases.Acquire(ctx, dutyLease)
}

// performDuties performs the duties, starting at from, until the lease or ctx ends. from is one platform lease after
// this node's last possible duty call: another node may have made calls since, and two nodes must not alternate within
// one lease duration.
func (n *Node) performDuties(ctx context.Context, held *lease.Held, from time.Time) {
	defer n.releaseDuties(held)
	h := &dutyHolder{n: n, held: held, lastOrders: map[orderKey]*placedOrder{}, smoothers: map[string]*elastic.Smoother{},
		refusedAt: map[string]time.Time{}, final: map[int64]map[string]int64{},
		initialServers: map[string]int{}, fleetSettled: map[string]bool{},
		reported: map[int64]bool{}}
	n.rollouts.newTerm()
	ticker := time.NewTicker(dutyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-held.Done():
			return
		case <-ticker.C:
			// The conditions of these writes protect them from an earlier holder, and they are due in time.
			h.writeRollouts(ctx)
			if now := time.Now(); now.After(from) {
				h.step(ctx, now)
			}
		}
	}
}

func (n *Node) releaseDuties(held *lease.Held) {
	ctx, cancel := context.WithTimeout(context.Background(), dutyStoreTimeout)
	defer cancel()
	if err := held.Release(ctx); err != nil {
		n.log.WithError(err).Warning("releasing lease of the duties failed; it expires by itself")
	}
}

// dutyHolder is the state of the duty holder during one lease term.
type dutyHolder struct {
	n          *Node
	held       *lease.Held
	lastOrders map[orderKey]*placedOrder
	smoothers  map[string]*elastic.Smoother
	refusedAt  map[string]time.Time // time of the last refusal, by service and failure domain
	final      map[int64]map[string]int64
	reported   map[int64]bool
	cleanedAt  time.Time
	// loadSince is when load was first observed in this term.
	loadSince time.Time
	// initialServers is the number of servers that a service needed at the start of the term. fleetSettled is set once
	// all running servers are assumed to have registered.
	initialServers map[string]int
	fleetSettled   map[string]bool
}

type orderKey struct {
	service, domain string
	reclaimable     bool
}

type placedOrder struct {
	count    int
	at       time.Time
	accepted bool
}

func (h *dutyHolder) step(ctx context.Context, now time.Time) {
	h.reportUsage(ctx, now)
	h.orderServers(ctx, now)
	h.deleteStaleRows(ctx, now)
}

// deleteStaleRows periodically deletes the rows of dead nodes and of old usage windows.
func (h *dutyHolder) deleteStaleRows(ctx context.Context, now time.Time) {
	if now.Sub(h.cleanedAt) < staleRowAge {
		return
	}
	h.cleanedAt = now
	for _, m := range h.n.peers.staleRows(now) {
		if _, err := h.n.store.Commit(ctx, []platform.Mutation{m}); err != nil {
			h.n.log.WithError(err).WithField("key", m.Key).Info("deleting row of a dead node failed")
		}
	}
	h.deleteOldUsage(ctx, now)
}

func (h *dutyHolder) deleteOldUsage(ctx context.Context, now time.Time) {
	oldest := h.n.finalUsage.key(h.n.usage.WindowNumber(now) - usageKeptWindows)
	rows, err := h.n.store.List(ctx, usageTable, "", "", 50)
	if err != nil {
		h.n.log.WithError(err).Info("listing old usage rows failed")
		return
	}
	var old []platform.Mutation
	for _, row := range rows {
		if row.Key < oldest {
			old = append(old, platform.Mutation{Table: usageTable, Key: row.Key, Delete: true})
		}
	}
	if len(old) == 0 {
		return
	}
	if _, err := h.n.store.Commit(ctx, old); err != nil {
		h.n.log.WithError(err).Info("deleting old usage rows failed")
	}
}
