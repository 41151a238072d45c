// Package fairqueue orders waiting items by start-time fair queueing. Each flow has a virtual start time that advances
// by cost over weight with each item served, and the flow with the earliest one is served next. Within a flow, items are
// ordered by rank, lower first, then by order, lower first.
//
// Load pattern: one workspace queues far more work than the others. In the order of arrival, every other workspace would
// wait behind it. With virtual start times, n backlogged flows of equal weight each get 1/n of what is served, whatever
// the sizes of their items, so that neither a small flow nor a long item waits without end.
//
// A Queue has no lock and no clock; pkg/limit and pkg/admission use it under their own.
package fairqueue

import "container/heap"

const (
	costDecay = 0.95
	// idleCredit is the number of items of mean cost that a flow may have served ahead of its share after using less
	// than its share. Without it, bursts of such a flow would wait as if the share were its only capacity.
	idleCredit = 16
)

// Queue holds the flows with waiting items. The zero Queue is empty.
type Queue[T any] struct {
	virtualTime float64
	meanCost    float64 // moving average of the cost of the items served
	backlogged  flowHeap[T]
	length      int
}

// Flow is a sequence of items that share a weight.
type Flow[T any] struct {
	Weight float64 // positive

	start float64 // virtual start time of the next item
	items itemHeap[T]
	index int // position in the queue's heap while items is not empty
}

// Item is one waiting item. It is in at most one queue.
type Item[T any] struct {
	Rank, Order int64
	Cost        float64
	Value       T

	flow  *Flow[T]
	index int
}

// Queued reports whether the item is in a queue.
func (i *Item[T]) Queued() bool { return i.flow != nil }

// Len returns the number of items in the queue.
func (q *Queue[T]) Len() int { return q.length }

// Len returns the number of waiting items of the flow.
func (f *Flow[T]) Len() int { return len(f.items) }

// Items returns the waiting items of the flow in no particular order. The caller must not change the slice.
func (f *Flow[T]) Items() []*Item[T] { return f.items }

// StartsBefore reports whether the flow is served before another.
func (f *Flow[T]) StartsBefore(other *Flow[T]) bool { return f.start < other.start }

// Push adds an item to a flow.
func (q *Queue[T]) Push(f *Flow[T], item *Item[T]) {
	item.flow = f
	q.length++
	heap.Push(&f.items, item)
	if len(f.items) == 1 {
		f.start = max(f.start, q.virtualTime-idleCredit*q.meanCost/f.Weight)
		heap.Push(&q.backlogged, f)
	}
}

// Remove takes an item out of the queue without charging its flow.
func (q *Queue[T]) Remove(item *Item[T]) {
	f := item.flow
	heap.Remove(&f.items, item.index)
	item.flow = nil
	q.length--
	if len(f.items) == 0 {
		heap.Remove(&q.backlogged, f.index)
	}
}

// First returns the flow that is served next and its first item, or nil if the queue is empty.
func (q *Queue[T]) First() (*Flow[T], *Item[T]) {
	if len(q.backlogged) == 0 {
		return nil, nil
	}
	f := q.backlogged[0]
	return f, f.items[0]
}

// Last returns the item of a flow that is last in its order, or nil if none waits.
func (f *Flow[T]) Last() *Item[T] {
	if len(f.items) == 0 {
		return nil
	}
	last := f.items[0]
	for _, item := range f.items {
		if f.items.before(last, item) {
			last = item
		}
	}
	return last
}

// Charge advances the virtual start time of a flow by the cost of an item that is served.
func (q *Queue[T]) Charge(f *Flow[T], cost float64) {
	q.virtualTime = max(q.virtualTime, f.start)
	q.meanCost = costDecay*q.meanCost + (1-costDecay)*cost
	f.start += cost / f.Weight
	if len(f.items) > 0 {
		heap.Fix(&q.backlogged, f.index)
	}
}

// Weights returns the sum of the weights of the flows with waiting items.
func (q *Queue[T]) Weights() float64 {
	sum := 0.0
	for _, f := range q.backlogged {
		sum += f.Weight
	}
	return sum
}

// flowHeap orders the flows with waiting items by virtual start time.
type flowHeap[T any] []*Flow[T]

func (h flowHeap[T]) Len() int           { return len(h) }
func (h flowHeap[T]) Less(i, j int) bool { return h[i].start < h[j].start }
func (h flowHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *flowHeap[T]) Push(x any) {
	f := x.(*Flow[T])
	f.index = len(*h)
	*h = append(*h, f)
}
func (h *flowHeap[T]) Pop() any {
	old := *h
	n := len(old) - 1
	f := old[n]
	old[n] = nil
	*h = old[:n]
	return f
}

// itemHeap orders the waiting items of a flow.
type itemHeap[T any] []*Item[T]

func (h itemHeap[T]) before(a, b *Item[T]) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	return a.Order < b.Order
}

func (h itemHeap[T]) Len() int           { return len(h) }
func (h itemHeap[T]) Less(i, j int) bool { return h.before(h[i], h[j]) }
func (h itemHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *itemHeap[T]) Push(x any) {
	item := x.(*Item[T])
	item.index = len(*h)
	*h = append(*h, item)
}
func (h *itemHeap[T]) Pop() any {
	old := *h
	n := len(old) - 1
	item := old[n]
	old[n] = nil
	*h = old[:n]
	return item
}
