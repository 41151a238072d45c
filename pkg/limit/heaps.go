package limit

import (
	"math"
	"sync/atomic"
)

func loadFloat(a *atomic.Uint64) float64     { return math.Float64frombits(a.Load()) }
func storeFloat(a *atomic.Uint64, v float64) { a.Store(math.Float64bits(v)) }

// workspaceHeap orders the workspaces with waiting requests by virtual start time.
type workspaceHeap []*workspace

func (h workspaceHeap) Len() int           { return len(h) }
func (h workspaceHeap) Less(i, j int) bool { return h[i].queued.start < h[j].queued.start }
func (h workspaceHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].queued.index, h[j].queued.index = i, j
}
func (h *workspaceHeap) Push(x any) {
	w := x.(*workspace)
	w.queued.index = len(*h)
	*h = append(*h, w)
}
func (h *workspaceHeap) Pop() any {
	old := *h
	n := len(old) - 1
	w := old[n]
	old[n] = nil
	*h = old[:n]
	return w
}

// waiterHeap orders the waiting requests of a workspace by priority, then by arrival.
type waiterHeap []*waiter

func (h waiterHeap) before(a, b *waiter) bool {
	if a.priority != b.priority {
		return a.priority > b.priority
	}
	return a.sequence < b.sequence
}

// last returns the request that is last in the order; the heap must not be empty.
func (h waiterHeap) last() *waiter {
	last := h[0]
	for _, item := range h {
		if h.before(last, item) {
			last = item
		}
	}
	return last
}

func (h waiterHeap) Len() int           { return len(h) }
func (h waiterHeap) Less(i, j int) bool { return h.before(h[i], h[j]) }
func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *waiterHeap) Push(x any) {
	item := x.(*waiter)
	item.index = len(*h)
	*h = append(*h, item)
}
func (h *waiterHeap) Pop() any {
	old := *h
	n := len(old) - 1
	item := old[n]
	old[n] = nil
	*h = old[:n]
	return item
}
