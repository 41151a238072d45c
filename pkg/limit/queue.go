package limit

import (
	"container/heap"
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollenlug/pollenlug/pkg/code"
)

// fairQueue gives slots to waiting requests by start-time fair queueing: each workspace has a virtual start time that
// advances by cost over weight with each request served, and the workspace with the earliest one is served next. Within
// a workspace, requests are ordered by priority, higher values first, then by arrival.
//
// The queue's capacity is divided between the workspaces by weight, so that one workspace cannot fill it up.
type fairQueue struct {
	now      func() time.Time
	limit    int
	slots    atomic.Int64
	waiting  atomic.Int64
	_        [48]byte // padding: the counters that each request writes are not on the cache line that each request reads
	taken    atomic.Int64
	released atomic.Uint64 // number of requests that have released their slot
	_        [48]byte

	mu             sync.Mutex
	totalWeight    float64
	virtualTime    float64
	meanCost       float64 // moving average of the cost of the requests served
	backlogged     workspaceHeap
	recentlyServed map[*workspace]bool // served within recentlyServedTime
	lastSequence   uint64

	releaseRate    float64 // requests that release their slot per second
	releaseRateAt  time.Time
	releasedAtRate uint64
}

// queuedWorkspace is the part of a workspace that is guarded by the queue's lock, except for the atomic fields.
type queuedWorkspace struct {
	weight     float64
	start      float64   // virtual start time of the next request
	lastServed time.Time // when the queue last gave it a slot
	waiters    waiterHeap
	index      int // position in the queue's workspace heap while waiters is not empty

	// Moving averages of the service time and of its absolute deviation, in seconds, as float64 bits.
	meanService, deviation atomic.Uint64
}

type waiter struct {
	priority uint32
	sequence uint64
	cost     float64
	deadline time.Time
	index    int // position in the heap, -1 when it has left the queue
	ready    chan *code.Error
}

const (
	rateInterval     = 200 * time.Millisecond
	releaseRateDecay = 0.7
	serviceDecay     = 0.9
	minWaiting       = 4 // requests of each workspace that may wait whatever its weight
	costDecay        = 0.95
	// idleCredit is the number of requests of mean cost that a workspace may have served ahead of its share after using
	// less than its share. Without it, bursts of such a workspace would wait as if the share were its only capacity.
	idleCredit = 16

	// One slot in 16 is reserved, on nodes with at least 8 slots, for workspaces served within the last second.
	reserveDivisor     = 16
	minSlotsToReserve  = 8
	recentlyServedTime = time.Second
)

func cost(tokens uint32) float64 { return float64(max(1, tokens)) }

func (q *fairQueue) setTotalWeight(sum float64) {
	q.mu.Lock()
	q.totalWeight = sum
	q.mu.Unlock()
}

// tryTake takes a free slot unless other requests wait.
func (q *fairQueue) tryTake() bool {
	return q.waiting.Load() == 0 && q.takeSlot()
}

func (q *fairQueue) takeSlot() bool {
	for {
		taken := q.taken.Load()
		if taken >= q.slots.Load() {
			return false
		}
		if q.taken.CompareAndSwap(taken, taken+1) {
			return true
		}
	}
}

func (q *fairQueue) release(w *workspace, service time.Duration) {
	mean, seconds := loadFloat(&w.queued.meanService), service.Seconds()
	if mean == 0 {
		mean = seconds
	}
	deviation := loadFloat(&w.queued.deviation)
	storeFloat(&w.queued.deviation, serviceDecay*deviation+(1-serviceDecay)*math.Abs(seconds-mean))
	storeFloat(&w.queued.meanService, serviceDecay*mean+(1-serviceDecay)*seconds)
	q.released.Add(1)
	q.taken.Add(-1)
	q.wake()
}

// wake gives free slots to waiting requests. To avoid lost wake-ups, a request counts as waiting before it looks for a
// free slot again, and a slot is freed before its holder looks for waiting requests.
func (q *fairQueue) wake() {
	if q.waiting.Load() == 0 {
		return
	}
	q.mu.Lock()
	q.dispatch()
	q.mu.Unlock()
}

// wait queues a request until it has a slot, its deadline passes or ctx ends.
func (q *fairQueue) wait(ctx context.Context, w *workspace, config *Workspace, req *Request, now time.Time) error {
	item := &waiter{
		priority: req.Priority + config.Priority,
		cost:     cost(req.Tokens),
		deadline: req.Deadline,
		ready:    make(chan *code.Error, 1),
	}
	q.mu.Lock()
	q.updateReleaseRate(now)
	w.queued.weight = float64(max(1, config.Share))
	if refusal := q.checkWait(w, item, now); refusal != nil {
		q.mu.Unlock()
		return refusal
	}
	q.push(w, item)
	q.dispatch()
	q.mu.Unlock()

	var expired <-chan time.Time
	if !req.Deadline.IsZero() {
		timer := time.NewTimer(req.Deadline.Sub(now))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case refusal := <-item.ready:
		if refusal != nil {
			return refusal
		}
		return nil
	case <-ctx.Done():
		return q.leave(w, item, code.Wrap(code.CallerGone, code.RanNo, "the request ended while it waited", ctx.Err()))
	case <-expired:
		return q.leave(w, item, q.deadlineRefusal(w))
	}
}

// leave removes a request from the queue. If it was given a slot in the meantime, the slot goes to the next request.
func (q *fairQueue) leave(w *workspace, item *waiter, reason *code.Error) error {
	q.mu.Lock()
	if item.index >= 0 {
		q.remove(w, item)
		q.mu.Unlock()
		return reason
	}
	q.mu.Unlock()
	if refusal := <-item.ready; refusal != nil {
		return refusal
	}
	q.taken.Add(-1)
	q.wake()
	return reason
}

// checkWait returns a refusal if a request must not wait, because it would miss its deadline or the workspace's part of
// the queue is full. If that part is full, the request displaces the workspace's last waiting request in the order if its
// priority is higher.
func (q *fairQueue) checkWait(w *workspace, item *waiter, now time.Time) *code.Error {
	ahead := 0
	for _, other := range w.queued.waiters {
		if other.priority >= item.priority {
			ahead++
		}
	}
	wait := q.expectedWait(w, ahead+1)
	if !item.deadline.IsZero() {
		left := item.deadline.Sub(now)
		if wait+q.serviceTime(w) > left {
			return code.New(code.DeadlineUnreachable, "the request would not be served before its deadline").
				WithRetryAfter(clampRetry(wait + q.serviceTime(w) - left))
		}
	}
	if len(w.queued.waiters) < q.maxWaiting(w) {
		return nil
	}
	full := code.New(code.QueueFull, "the queue is full").WithRetryAfter(clampRetry(wait))
	last := w.queued.waiters.last()
	if last.priority >= item.priority {
		return full
	}
	q.remove(w, last)
	last.ready <- full
	return nil
}

// maxWaiting returns the number of requests of a workspace that may wait.
func (q *fairQueue) maxWaiting(w *workspace) int {
	weights := max(q.totalWeight, w.queued.weight)
	return max(minWaiting, int(float64(q.limit)*w.queued.weight/weights))
}

// expectedWait returns the time until n more requests of a workspace are served, at the current rate of released slots.
func (q *fairQueue) expectedWait(w *workspace, n int) time.Duration {
	weights := 0.0
	for _, other := range q.backlogged {
		weights += other.queued.weight
	}
	if len(w.queued.waiters) == 0 {
		weights += w.queued.weight
	}
	rate := q.releaseRate
	if rate <= 0 {
		// No rate is known yet: the service time of the workspace is the only estimate.
		service := q.serviceTime(w).Seconds()
		if service <= 0 {
			return 0
		}
		rate = float64(q.slots.Load()) / service
	}
	seconds := float64(n) * weights / w.queued.weight / rate
	return time.Duration(min(seconds, 3600) * float64(time.Second))
}

// serviceTime returns a conservative estimate of a request's service time, two mean deviations above the mean: a request
// that runs but ends late takes a slot from one that would have been in time.
func (q *fairQueue) serviceTime(w *workspace) time.Duration {
	seconds := loadFloat(&w.queued.meanService) + 2*loadFloat(&w.queued.deviation)
	return time.Duration(seconds * float64(time.Second))
}

func (q *fairQueue) updateReleaseRate(now time.Time) {
	elapsed := now.Sub(q.releaseRateAt)
	if elapsed < rateInterval {
		return
	}
	released := q.released.Load()
	rate := float64(released-q.releasedAtRate) / elapsed.Seconds()
	switch {
	case q.releaseRateAt.IsZero():
		rate = 0
	case q.releaseRate > 0:
		rate = releaseRateDecay*q.releaseRate + (1-releaseRateDecay)*rate
	}
	q.releaseRate, q.releaseRateAt, q.releasedAtRate = rate, now, released
}

func (q *fairQueue) push(w *workspace, item *waiter) {
	q.lastSequence++
	item.sequence = q.lastSequence
	q.waiting.Add(1)
	heap.Push(&w.queued.waiters, item)
	if len(w.queued.waiters) == 1 {
		w.queued.start = max(w.queued.start, q.virtualTime-idleCredit*q.meanCost/w.queued.weight)
		heap.Push(&q.backlogged, w)
	}
}

func (q *fairQueue) remove(w *workspace, item *waiter) {
	heap.Remove(&w.queued.waiters, item.index)
	item.index = -1
	q.waiting.Add(-1)
	if len(w.queued.waiters) == 0 {
		heap.Remove(&q.backlogged, w.queued.index)
	}
}

// dispatch gives free slots to waiting requests, by the virtual start times of their workspaces.
func (q *fairQueue) dispatch() {
	if len(q.backlogged) == 0 {
		return
	}
	now := q.now()
	q.updateReleaseRate(now)
	for len(q.backlogged) > 0 {
		w := q.backlogged[0]
		if q.reservedForOthers(w, now) || !q.takeSlot() {
			return
		}
		item := w.queued.waiters[0]
		q.remove(w, item)
		if !item.deadline.IsZero() && now.Add(q.serviceTime(w)).After(item.deadline) {
			q.taken.Add(-1)
			item.ready <- q.deadlineRefusalLocked(w)
			continue
		}
		q.virtualTime = max(q.virtualTime, w.queued.start)
		q.meanCost = costDecay*q.meanCost + (1-costDecay)*item.cost
		w.queued.start += item.cost / w.queued.weight
		w.queued.lastServed = now
		q.recentlyServed[w] = true
		if len(w.queued.waiters) > 0 {
			heap.Fix(&q.backlogged, w.queued.index)
		}
		item.ready <- nil
	}
}

// reservedForOthers reports whether the last free slots are reserved for another workspace that was served recently and
// is behind its share. Otherwise the next request of that one would always wait for a slot to be released while w has
// requests in the queue.
func (q *fairQueue) reservedForOthers(w *workspace, now time.Time) bool {
	slots := q.slots.Load()
	if slots < minSlotsToReserve || q.taken.Load() < slots-(slots+reserveDivisor-1)/reserveDivisor {
		return false
	}
	for other := range q.recentlyServed {
		if now.Sub(other.queued.lastServed) > recentlyServedTime {
			delete(q.recentlyServed, other)
			continue
		}
		if other != w && len(other.queued.waiters) == 0 && other.queued.start < w.queued.start {
			return true
		}
	}
	return false
}

func (q *fairQueue) deadlineRefusal(w *workspace) *code.Error {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.deadlineRefusalLocked(w)
}

func (q *fairQueue) deadlineRefusalLocked(w *workspace) *code.Error {
	return code.New(code.DeadlineUnreachable, "the deadline came too close while the request waited").
		WithRetryAfter(clampRetry(q.expectedWait(w, len(w.queued.waiters)+1)))
}
