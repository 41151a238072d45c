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
// advances by cost over weight with each request served, and the workspace with the earliest one is next. Inside a
// workspace the higher priority goes first, then the earlier arrival.
//
// The queue's length is divided between the workspaces by weight, so that one workspace cannot fill it for others.
type fairQueue struct {
	now     func() time.Time
	limit   int
	slots   atomic.Int64
	waiting atomic.Int64
	_       [48]byte // keeps what each request writes off the cache line that each request reads
	taken   atomic.Int64
	ended   atomic.Uint64 // requests that released their slot
	_       [48]byte

	mu      sync.Mutex
	weights float64
	virtual float64
	cost    float64 // mean cost of the requests served
	order   workspaceHeap
	active  map[*workspace]bool // served lately
	next    uint64

	rate       float64 // requests that end per second
	rateAt     time.Time
	ratedEnded uint64
}

// queuedWorkspace is the part of a workspace that the queue's lock guards.
type queuedWorkspace struct {
	weight  float64
	start   float64   // virtual start time of the next request
	served  time.Time // when the queue last gave it a slot
	waiters waiterHeap
	index   int // position in order, when waiters is not empty

	// Mean service time and its mean deviation, in seconds as float64 bits.
	meanService, deviation atomic.Uint64
}

type waiter struct {
	priority uint32
	number   uint64
	cost     float64
	deadline time.Time
	index    int // -1 when it left the queue
	ready    chan *code.Error
}

const (
	rateInterval = 200 * time.Millisecond
	rateKeep     = 0.7
	serviceKeep  = 0.9
	minQueue     = 4 // requests of each workspace that may wait
	costKeep     = 0.95
	// idleCredit is the number of requests a workspace may have served ahead of its share after it used less than that.
	// Without it, the bursts of a workspace below its share would wait as if the share were a server of its own.
	idleCredit = 16

	// One slot in 16 is held back, on nodes with at least 8 slots, for workspaces served within the last second.
	reservedPart = 16
	minReserving = 8
	activeFor    = time.Second
)

func cost(tokens uint32) float64 { return float64(max(1, tokens)) }

func (q *fairQueue) setWeights(sum float64) {
	q.mu.Lock()
	q.weights = sum
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
	mean, seen := loadFloat(&w.queued.meanService), service.Seconds()
	if mean == 0 {
		mean = seen
	}
	deviation := loadFloat(&w.queued.deviation)
	storeFloat(&w.queued.deviation, serviceKeep*deviation+(1-serviceKeep)*math.Abs(seen-mean))
	storeFloat(&w.queued.meanService, serviceKeep*mean+(1-serviceKeep)*seen)
	q.ended.Add(1)
	q.taken.Add(-1)
	q.wake()
}

// wake gives free slots to waiting requests. The order of the counters matters: a request counts as waiting before it
// looks for a free slot again, and a slot is free before its holder looks for waiting requests.
func (q *fairQueue) wake() {
	if q.waiting.Load() == 0 {
		return
	}
	q.mu.Lock()
	q.dispatch()
	q.mu.Unlock()
}

// wait queues a request until it has a slot.
func (q *fairQueue) wait(ctx context.Context, w *workspace, config *Workspace, req *Request, now time.Time) error {
	item := &waiter{
		priority: req.Priority + config.Priority,
		cost:     cost(req.Tokens),
		deadline: req.Deadline,
		ready:    make(chan *code.Error, 1),
	}
	q.mu.Lock()
	q.measure(now)
	w.queued.weight = float64(max(1, config.Share))
	if refusal := q.refuse(w, item, now); refusal != nil {
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
		return q.leave(w, item, q.late(w))
	}
}

// leave takes a request out of the queue. A slot it was given meanwhile goes to the next one.
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

// refuse decides whether a request may wait at all.
func (q *fairQueue) refuse(w *workspace, item *waiter, now time.Time) *code.Error {
	ahead := 0
	for _, other := range w.queued.waiters {
		if other.priority >= item.priority {
			ahead++
		}
	}
	wait := q.expectedWait(w, ahead+1)
	if !item.deadline.IsZero() {
		left := item.deadline.Sub(now)
		if wait+q.service(w) > left {
			return code.New(code.DeadlineUnreachable, "the request would not be served before its deadline").
				WithRetryAfter(retryTime(wait + q.service(w) - left))
		}
	}
	if len(w.queued.waiters) < q.bound(w) {
		return nil
	}
	full := code.New(code.QueueFull, "the queue is full").WithRetryAfter(retryTime(wait))
	last := w.queued.waiters.last()
	if last.priority >= item.priority {
		return full
	}
	q.remove(w, last)
	last.ready <- full
	return nil
}

// bound is the number of requests of a workspace that may wait.
func (q *fairQueue) bound(w *workspace) int {
	weights := max(q.weights, w.queued.weight)
	return max(minQueue, int(float64(q.limit)*w.queued.weight/weights))
}

// expectedWait is the time until a workspace has had n more turns, at the rate at which slots get free.
func (q *fairQueue) expectedWait(w *workspace, n int) time.Duration {
	weights := 0.0
	for _, other := range q.order {
		weights += other.queued.weight
	}
	if len(w.queued.waiters) == 0 {
		weights += w.queued.weight
	}
	rate := q.rate
	if rate <= 0 {
		// Nothing has ended yet: the mean service time of the workspace is the only estimate.
		service := q.service(w).Seconds()
		if service <= 0 {
			return 0
		}
		rate = float64(q.slots.Load()) / service
	}
	seconds := float64(n) * weights / w.queued.weight / rate
	return time.Duration(min(seconds, 3600) * float64(time.Second))
}

// service returns a cautious estimate of a request's service time: a request that runs and ends late takes a slot
// from one that would have been in time.
func (q *fairQueue) service(w *workspace) time.Duration {
	seconds := loadFloat(&w.queued.meanService) + 2*loadFloat(&w.queued.deviation)
	return time.Duration(seconds * float64(time.Second))
}

func (q *fairQueue) measure(now time.Time) {
	elapsed := now.Sub(q.rateAt)
	if elapsed < rateInterval {
		return
	}
	ended := q.ended.Load()
	seen := float64(ended-q.ratedEnded) / elapsed.Seconds()
	switch {
	case q.rateAt.IsZero():
		seen = 0
	case q.rate > 0:
		seen = rateKeep*q.rate + (1-rateKeep)*seen
	}
	q.rate, q.rateAt, q.ratedEnded = seen, now, ended
}

func (q *fairQueue) push(w *workspace, item *waiter) {
	q.next++
	item.number = q.next
	q.waiting.Add(1)
	heap.Push(&w.queued.waiters, item)
	if len(w.queued.waiters) == 1 {
		w.queued.start = max(w.queued.start, q.virtual-idleCredit*q.cost/w.queued.weight)
		heap.Push(&q.order, w)
	}
}

func (q *fairQueue) remove(w *workspace, item *waiter) {
	heap.Remove(&w.queued.waiters, item.index)
	item.index = -1
	q.waiting.Add(-1)
	if len(w.queued.waiters) == 0 {
		heap.Remove(&q.order, w.queued.index)
	}
}

// dispatch gives free slots to the workspaces in the order of their virtual start times.
func (q *fairQueue) dispatch() {
	if len(q.order) == 0 {
		return
	}
	now := q.now()
	q.measure(now)
	for len(q.order) > 0 {
		w := q.order[0]
		if q.holdBack(w, now) || !q.takeSlot() {
			return
		}
		item := w.queued.waiters[0]
		q.remove(w, item)
		if !item.deadline.IsZero() && now.Add(q.service(w)).After(item.deadline) {
			q.taken.Add(-1)
			item.ready <- q.lateLocked(w)
			continue
		}
		q.virtual = max(q.virtual, w.queued.start)
		q.cost = costKeep*q.cost + (1-costKeep)*item.cost
		w.queued.start += item.cost / w.queued.weight
		w.queued.served = now
		q.active[w] = true
		if len(w.queued.waiters) > 0 {
			heap.Fix(&q.order, w.queued.index)
		}
		item.ready <- nil
	}
}

// holdBack tells whether the last free slots are kept for a workspace that was served lately and is behind its share.
// Otherwise its next request would always wait for a slot to be released, since the queue of the other never empties.
func (q *fairQueue) holdBack(w *workspace, now time.Time) bool {
	slots := q.slots.Load()
	if slots < minReserving || q.taken.Load() < slots-(slots+reservedPart-1)/reservedPart {
		return false
	}
	for other := range q.active {
		if now.Sub(other.queued.served) > activeFor {
			delete(q.active, other)
			continue
		}
		if other != w && len(other.queued.waiters) == 0 && other.queued.start < w.queued.start {
			return true
		}
	}
	return false
}

func (q *fairQueue) late(w *workspace) *code.Error {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.lateLocked(w)
}

func (q *fairQueue) lateLocked(w *workspace) *code.Error {
	return code.New(code.DeadlineUnreachable, "the deadline came too close while the request waited").
		WithRetryAfter(retryTime(q.expectedWait(w, len(w.queued.waiters)+1)))
}
