package headerlimit

import (
	"sync"
	"time"
)

// freeCost is the cost of a header, in bytes, that counts as part of its connection and needs nothing of the budget. An
// ordinary header of 20 lines in 1 KB costs 7 KB, so a crowd that uses up the budget excludes large headers only.
const freeCost = 10 << 10

// Account is the memory of a machine from which budgets are taken.
type Account interface {
	Take(n int64) bool
	Give(n int64)
}

// Budget limits the cost of all headers of one or several tables. It is safe for concurrent use.
type Budget struct {
	limit   int64
	account Account // nil means none

	mu   sync.Mutex
	used int64
}

// NewBudget returns a budget of limit bytes, which also come from account unless it is nil.
func NewBudget(limit int64, account Account) *Budget { return &Budget{limit: limit, account: account} }

func (b *Budget) take(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > b.limit || b.account != nil && !b.account.Take(n) {
		return false
	}
	b.used += n
	return true
}

func (b *Budget) give(n int64) {
	if n == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	if b.account != nil {
		b.account.Give(n)
	}
}

// Used returns the bytes in use.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Phase says what a connection waits for.
type Phase uint8

// Phases.
const (
	// Reading connections have not sent a complete header.
	Reading Phase = iota
	// Idle connections are between two requests.
	Idle
	// Receiving connections have sent a header whose body is not complete, so that the request was not sent to a server.
	Receiving
	// Serving connections have a complete request that has not ended. They are never closed by a Table.
	Serving
	closed
)

// Entry is a connection in a Table.
type Entry struct {
	// Owner is what the connection was opened with.
	Owner      any
	phase      Phase
	since      time.Time
	charged    int64 // taken from the budget
	prev, next *Entry
}

// Phase returns what the connection waits for.
func (e *Entry) Phase() Phase { return e.phase }

// IsClosed reports whether the table has closed the connection or it was removed.
func (e *Entry) IsClosed() bool { return e.phase == closed }

// Charged returns the cost up to which the connection needs no further memory.
func (e *Entry) Charged() int64 { return e.charged + freeCost }

// Table decides which connections of a listener stay open. Its methods are not safe for concurrent use.
//
// Connections: at its limit, a new connection replaces one that has waited for its header for headerGrace, else the one that
// has been idle longest, else the one that has waited longest for its header, else for its body. Ordinary clients send
// their header at once, so a crowd replaces its own connections first, and shuts out ordinary clients only if it opens as
// many connections as the limit in the time that a header takes. Without the grace time, a burst of ordinary clients would
// replace each other while connections that have been idle for seconds stay.
//
// Headers: what exceeds the budget closes the connections whose headers were begun last; those that were begun earlier
// end by their timeout. Connections with a complete request are never closed for another one.
type Table struct {
	limit  int
	budget *Budget
	count  int
	// waiting has the connections of the phases before Serving, in the order in which they entered them. The lists are
	// rings whose first element is a sentinel.
	waiting [Serving]Entry
}

// NewTable returns a table of limit connections.
func NewTable(limit int, budget *Budget) *Table {
	t := &Table{limit: limit, budget: budget}
	for phase := range t.waiting {
		t.waiting[phase].prev, t.waiting[phase].next = &t.waiting[phase], &t.waiting[phase]
	}
	return t
}

// Count returns the number of open connections.
func (t *Table) Count() int { return t.count }

// Open adds a connection. It returns the entry that was closed for it, if any, and nil entries if the connection is
// refused because all others serve requests.
func (t *Table) Open(owner any, now time.Time) (opened, replaced *Entry) {
	if t.count >= t.limit {
		if replaced = t.replaceable(now); replaced == nil {
			return nil, nil
		}
		t.Close(replaced)
	}
	t.count++
	opened = &Entry{Owner: owner, phase: closed}
	t.Enter(opened, Reading, now)
	return opened, replaced
}

// headerGrace is how long a new connection has to send its header before it is replaced in place of an idle one.
const headerGrace = 300 * time.Millisecond

// replaceable returns the connection that a new one replaces at the limit.
func (t *Table) replaceable(now time.Time) *Entry {
	if e := t.first(Reading); e != nil && now.Sub(e.since) >= headerGrace {
		return e
	}
	for _, phase := range [...]Phase{Idle, Reading, Receiving} {
		if e := t.first(phase); e != nil {
			return e
		}
	}
	return nil
}

// first returns the connection that has been longest in a phase, or nil.
func (t *Table) first(phase Phase) *Entry {
	if head := &t.waiting[phase]; head.next != head {
		return head.next
	}
	return nil
}

// Enter moves an open entry to another phase.
func (t *Table) Enter(e *Entry, phase Phase, now time.Time) {
	e.unlink()
	e.phase, e.since = phase, now
	if phase < Serving {
		head := &t.waiting[phase]
		e.prev, e.next = head.prev, head
		e.prev.next, head.prev = e, e
	}
}

func (e *Entry) unlink() {
	if e.next != nil {
		e.prev.next, e.next.prev = e.next, e.prev
		e.prev, e.next = nil, nil
	}
}

// Close removes an entry and releases its memory. It does nothing if the entry is closed.
func (t *Table) Close(e *Entry) {
	if e.phase == closed {
		return
	}
	e.unlink()
	e.phase = closed
	t.count--
	t.budget.give(e.charged)
	e.charged = 0
}

// Charge sets the cost of an entry's headers. It returns the entries that were closed for it, and reports whether the
// entry may stay open.
func (t *Table) Charge(e *Entry, cost int64) (replaced []*Entry, ok bool) {
	if e.phase == closed {
		return nil, true
	}
	delta := max(cost-freeCost, 0) - e.charged
	if delta <= 0 {
		t.budget.give(-delta)
		e.charged += delta
		return nil, true
	}
	for !t.budget.take(delta) {
		if e.phase != Reading { // trailers, and headers behind a request, are newer than any header that is being read
			return replaced, false
		}
		victim := t.newestCharged(e)
		if victim == nil || victim == e {
			return replaced, false
		}
		t.Close(victim)
		replaced = append(replaced, victim)
	}
	e.charged += delta
	return replaced, true
}

// newestCharged returns the entry whose header was begun last, among those that hold memory and e.
func (t *Table) newestCharged(e *Entry) *Entry {
	head := &t.waiting[Reading]
	for other := head.prev; other != head; other = other.prev {
		if other == e || other.charged > 0 {
			return other
		}
	}
	return nil
}

// Overdue returns the entries that exceed their timeout in a phase.
func (t *Table) Overdue(phase Phase, timeout time.Duration, now time.Time) (overdue []*Entry) {
	head := &t.waiting[phase]
	for e := head.next; timeout > 0 && e != head && now.Sub(e.since) > timeout; e = e.next {
		overdue = append(overdue, e)
	}
	return overdue
}

// Expired closes and returns the entries that exceed their timeout in a phase.
func (t *Table) Expired(phase Phase, timeout time.Duration, now time.Time) (expired []*Entry) {
	head := &t.waiting[phase]
	for timeout > 0 && head.next != head && now.Sub(head.next.since) > timeout {
		expired = append(expired, head.next)
		t.Close(head.next)
	}
	return expired
}
