package node_test

import (
	"fmt"
	"sync"
	"time"
)

const (
	streamsPerNode = 2
	loadPause      = 150 * time.Millisecond
	// abandonEvery booking is not sent again after ran:"no", so that a later run of it would show.
	abandonEvery = 2
	resends      = 4
	// shortEvery booking has a caller who waits for less than the service needs, so that the answer is given while the
	// call may run. The timeouts go up in shortSteps of shortStep, over the time of the claim and of the run.
	shortEvery = 3
	shortSteps = 8
	shortStep  = 50 * time.Millisecond
)

// mixedLoad are the callers of a run: streams, bookings and lookups on every node.
type mixedLoad struct {
	cluster    *cluster
	violations chan<- string
	quit       chan struct{}
	callers    sync.WaitGroup

	mu       sync.Mutex
	bookings []*booking
	leaving  map[string]time.Time // since when, by node
}

// booking is one key and what its caller was told.
type booking struct {
	key string
	// onlyNo says that every answer so far was a refusal with ran:"no", or a redirect.
	onlyNo  bool
	answers []string
}

func startLoad(c *cluster, violations chan<- string) *mixedLoad {
	l := &mixedLoad{cluster: c, violations: violations, quit: make(chan struct{}), leaving: map[string]time.Time{}}
	for node := range c.nodes {
		for i := range streamsPerNode {
			l.callers.Go(func() { l.stream(node, i) })
		}
		l.callers.Go(func() { l.book(node) })
		l.callers.Go(func() { l.lookUp(node) })
	}
	return l
}

// stop ends the load and waits for the answers in progress.
func (l *mixedLoad) stop() {
	close(l.quit)
	l.callers.Wait()
}

func (l *mixedLoad) running() bool {
	select {
	case <-l.quit:
		return false
	default:
		return true
	}
}

func (l *mixedLoad) violation(format string, args ...any) {
	select {
	case l.violations <- fmt.Sprintf(format, args...):
	default: // more than the report can show
	}
}

// leaves notes that a node has been told to leave.
func (l *mixedLoad) leaves(node string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaving[node].IsZero() {
		l.leaving[node] = time.Now()
	}
}

// accepted checks that a node which accepts work now is not one that left too long ago.
func (l *mixedLoad) accepted(node int, begin time.Time) {
	name := l.cluster.nodes[node].settings.Node
	l.mu.Lock()
	since, leaving := l.leaving[name]
	l.mu.Unlock()
	if leaving && begin.Sub(since) > leaveBound {
		l.violation("%s accepted work %v after it was told to leave", name, begin.Sub(since))
	}
}

// stream reads one answer after the other.
func (l *mixedLoad) stream(node, number int) {
	caller := newCaller(l.cluster)
	for i := 0; l.running(); i++ {
		p := prompt{text: fmt.Sprintf("brief %d for caller %d of node %d", i, number, node), tokens: uint32(100 + 50*number), seed: uint64(i + 1)}
		begin := time.Now()
		s, refused := caller.open(node, p)
		if refused != nil {
			time.Sleep(loadPause)
			continue
		}
		l.accepted(node, begin)
		if err := s.finish(); err != nil {
			l.violation("accepted stream: %v", err)
		} else if err := s.check(p); err != nil {
			l.violation("accepted stream: %v", err)
		}
	}
}

// book makes one booking after the other; a booking without an answer is sent again to the next nodes.
func (l *mixedLoad) book(node int) {
	caller := newCaller(l.cluster)
	for i := 0; l.running(); i++ {
		b := &booking{key: fmt.Sprintf("k-%d-%d", node, i), onlyNo: true}
		l.mu.Lock()
		l.bookings = append(l.bookings, b)
		l.mu.Unlock()
		timeout := time.Duration(0)
		if i%shortEvery == 0 {
			timeout = time.Duration(1+i/shortEvery%shortSteps) * shortStep
		}
		for try := range resends {
			target := (node + try) % len(l.cluster.nodes)
			begin := time.Now()
			a := caller.bookWithin(target, b.key, "deposit", timeout)
			if l.note(b, a, target, begin) || (b.onlyNo && i%abandonEvery == 0) {
				break
			}
			time.Sleep(loadPause)
		}
		time.Sleep(loadPause)
	}
}

// note records an answer and reports whether the booking is done.
func (l *mixedLoad) note(b *booking, a answer, node int, begin time.Time) (done bool) {
	b.answers = append(b.answers, a.String())
	if a.err == nil && a.status == 200 {
		l.accepted(node, begin)
		b.onlyNo = false
		if n := l.cluster.runs.Count("shop/" + b.key); n != 1 {
			l.violation("%s was answered with success and ran %d times", b.key, n)
		}
		return true
	}
	if a.ran != "no" && a.location == "" {
		b.onlyNo = false
	}
	l.checkNo(b)
	return false
}

func (l *mixedLoad) checkNo(b *booking) {
	if n := l.cluster.runs.Count("shop/" + b.key); b.onlyNo && n > 0 {
		l.violation("%s ran %d times although its callers were told that it did not: %v", b.key, n, b.answers)
	}
}

// checkBookings checks at the end that no booking ran after its callers were told that it did not.
func (l *mixedLoad) checkBookings(*run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.bookings {
		l.checkNo(b)
	}
}

func (l *mixedLoad) lookUp(node int) {
	caller := newCaller(l.cluster)
	for l.running() {
		begin := time.Now()
		if a := caller.look(node); a.err == nil && a.status == 200 {
			l.accepted(node, begin)
		}
		time.Sleep(loadPause)
	}
}
