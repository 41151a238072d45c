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
	// dutyLease is the lease of the node that makes the duty calls.
	dutyLease = "duties"
	// dutyDuration is how long the lease is valid without renewal. Nobody orders servers while a lost holder's lease runs.
	dutyDuration = 1500 * time.Millisecond
	// dutyOrderTime is the longest time of one duty call.
	dutyOrderTime = 500 * time.Millisecond
	// dutySilence is how long the holder may be silent until others ask for the lease. Asking is harmless while it lives.
	dutySilence = 500 * time.Millisecond
	// dutyStoreTimeout bounds a call of the lease to the store, which may answer slowly for a while.
	dutyStoreTimeout = time.Second
	// dutyCandidates is how many nodes ask for the lease when no node is heard of that holds it; each reads the store
	// about once a second.
	dutyCandidates = 2
	// dutyFirst is how long a node that starts listens before it asks for the lease.
	dutyFirst = 600 * time.Millisecond
	// dutyTick is how often the holder looks for work.
	dutyTick = 250 * time.Millisecond
	// usageTable holds the final counts of usage windows, so that a successor repeats exactly what was reported.
	usageTable = "usage"
	// usageTold is how many past windows a node tells its peers.
	usageTold = 3
	// usageSettle is the time after the end of a window until its counts are final: the last beats have arrived.
	usageSettle = time.Second
	// usageKept is how many windows keep their row.
	usageKept = 12
	// orderRepeat is how often an order that has not changed is sent again; the platform may have lost a server for good.
	orderRepeat = 4 * time.Second
	// orderMin is the least time between two changed orders of the same kind in a domain.
	orderMin = time.Second
	// refusedMemory is how long a refusal of reclaimable servers counts.
	refusedMemory = 2500 * time.Millisecond
	// loadRise and loadFall are the half-lives of the planned load. New servers take seconds to boot, and callers that
	// come in clumps come again.
	loadRise = 1500 * time.Millisecond
	loadFall = 4 * time.Second
	// peakFall is the half-life of a peak, which cheap servers follow: one that leaves takes its cache along.
	peakFall = 12 * time.Second
	// fleetSettle is how long the view of the servers must not change before lasting ones are ordered away; they write
	// every second or so.
	fleetSettle = 1500 * time.Millisecond
	// fleetStart is the age from which a node knows the fleet and the load when its term begins.
	fleetStart = 15 * time.Second
	// loadSettle is how long work must have been seen until the load counts as known.
	loadSettle = 3 * time.Second
)

// engineTokens are the tokens that one engine reads and generates in a second when it does only that.
const (
	enginePrefill = 50_000
	engineOutput  = 4_500
)

// runDuties waits for the lease and makes the duty calls while this node holds it, until ctx ends.
func (n *Node) runDuties(ctx context.Context) {
	leases := lease.New(lease.Options{Table: n.store, Node: n.settings.Node, Duration: dutyDuration,
		MaxOrderTime: dutyOrderTime, StoreTimeout: dutyStoreTimeout})
	// An earlier life of this node may have acted until just before this one began.
	lastActed := n.started
	clock.Sleep(ctx, dutyFirst)
	for ctx.Err() == nil {
		if !n.mayAskForDuties() {
			clock.Sleep(ctx, dutyTick)
			continue
		}
		held, err := n.askForDuties(ctx, leases)
		if err != nil {
			continue
		}
		n.log.Info(logline.DutiesAcquired)
		n.holdsDuties.Store(true)
		n.holdDuties(ctx, held, lastActed.Add(n.settings.LeaseDuration))
		n.holdsDuties.Store(false)
		lastActed = time.Now()
		n.log.Info(logline.DutiesEnded)
	}
}

// mayAskForDuties reports whether this node is one of those that ask when nobody is heard of that holds the lease.
func (n *Node) mayAskForDuties() bool {
	return !n.peers.holderHeard(time.Now()) && n.peers.position() < dutyCandidates
}

// askForDuties waits for the lease until another node has it.
func (n *Node) askForDuties(ctx context.Context, leases *lease.Leases) (*lease.Held, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for clock.Sleep(ctx, dutyTick) {
			if !n.mayAskForDuties() {
				cancel()
			}
		}
	}()
	return leases.Acquire(ctx, dutyLease)
}

// holdDuties makes the duty calls from a time on until the lease ends or ctx does. The time is one lease after this node
// may have acted before: another one may have acted since, and two nodes must not alternate within a lease.
func (n *Node) holdDuties(ctx context.Context, held *lease.Held, from time.Time) {
	defer n.releaseDuties(held)
	h := &dutyHolder{n: n, held: held, next: map[orderKey]*placedOrder{}, loads: map[string]*elastic.Smoother{},
		refused: map[string]time.Time{}, frozen: map[int64]map[string]int64{}, initial: map[string]int{}, settled: map[string]bool{},
		reported: map[int64]bool{}}
	ticker := time.NewTicker(dutyTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-held.Done():
			return
		case <-ticker.C:
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
		n.log.WithError(err).Warning("lease of the duties not released; it ends by itself")
	}
}

// dutyHolder is the state of one term.
type dutyHolder struct {
	n        *Node
	held     *lease.Held
	next     map[orderKey]*placedOrder
	loads    map[string]*elastic.Smoother
	refused  map[string]time.Time // by service and domain
	frozen   map[int64]map[string]int64
	reported map[int64]bool
	cleaned  time.Time
	// loadSince is when the first work was seen in this term.
	loadSince time.Time
	// initial is the number of servers that a service needed at the begin of the term; settled is set once all servers
	// seem to have registered.
	initial map[string]int
	settled map[string]bool
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
	h.clean(ctx, now)
}

// clean removes rows that nobody needs any more, once in a while.
func (h *dutyHolder) clean(ctx context.Context, now time.Time) {
	if now.Sub(h.cleaned) < staleRow {
		return
	}
	h.cleaned = now
	for _, m := range h.n.peers.staleRows(now) {
		if _, err := h.n.store.Commit(ctx, []platform.Mutation{m}); err != nil {
			h.n.log.WithError(err).WithField("key", m.Key).Info("row of a silent node not removed")
		}
	}
	h.cleanUsage(ctx, now)
}

func (h *dutyHolder) cleanUsage(ctx context.Context, now time.Time) {
	oldest := time.Unix(0, (h.n.usage.WindowNumber(now)-usageKept)*int64(h.n.settings.UsageWindow)).UTC().Format("20060102T150405.000")
	rows, err := h.n.store.List(ctx, usageTable, "", "", 50)
	if err != nil {
		h.n.log.WithError(err).Info("old usage rows not listed")
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
		h.n.log.WithError(err).Info("old usage rows not removed")
	}
}
