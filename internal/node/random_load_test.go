package node_test

import (
	"fmt"
	"sync"
	"time"
)

const (
	streamsPerNode = 2
	loadInterval   = 150 * time.Millisecond
	// Of every abandonEvery bookings, one is not sent again after ran:"no", so that a later run of it can be detected.
	abandonEvery = 2
	maxSends     = 4
	// Of every shortTimeoutEvery bookings, one has a timeout that may be shorter than the service needs, so that the
	// caller gets a response while the call may run. The timeouts increase in shortTimeoutSteps steps of
	// shortTimeoutStep, so that they cover the time of the claim and of the run.
	shortTimeoutEvery = 3
	shortTimeoutSteps = 8
	shortTimeoutStep  = 50 * time.Millisecond
)

// mixedLoad is the load of a schedule run: callers that send streams, bookings and lookups to every node.
type mixedLoad struct {
	cluster    *cluster
	violations chan<- string
	quit       chan struct{}
	callers    sync.WaitGroup

	mu           sync.Mutex
	bookings     []*booking
	leavingSince map[string]time.Time // by node
}

// booking is one idempotency key and the responses that its caller got.
type booking struct {
	key string
	// onlyNotRun reports whether every response so far was a refusal with ran:"no" or a redirect.
	onlyNotRun bool
	responses  []string
}

func startMixedLoad(c *cluster, violations chan<- string) *mixedLoad {
	l := &mixedLoad{cluster: c, violations: violations, quit: make(chan struct{}), leavingSince: map[string]time.Time{}}
	for node := range c.nodes {
		for i := range streamsPerNode {
			l.callers.Go(func() { l.stream(node, i) })
		}
		l.callers.Go(func() { l.book(node) })
		l.callers.Go(func() { l.lookUp(node) })
	}
	return l
}

// stop ends the load and waits for the requests in progress.
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

func (l *mixedLoad) report(format string, args ...any) {
	select {
	case l.violations <- fmt.Sprintf(format, args...):
	default: // the channel is full; further violations are dropped
	}
}

// markLeaving records that a node has been ordered to leave.
func (l *mixedLoad) markLeaving(node string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leavingSince[node].IsZero() {
		l.leavingSince[node] = time.Now()
	}
}

// checkAccepted reports a violation if a node accepted a request later than leaveLimit after it was ordered to leave.
func (l *mixedLoad) checkAccepted(node int, start time.Time) {
	name := l.cluster.nodes[node].settings.Node
	l.mu.Lock()
	since, leaving := l.leavingSince[name]
	l.mu.Unlock()
	if leaving && start.Sub(since) > leaveLimit {
		l.report("%s accepted work %v after it was ordered to leave", name, start.Sub(since))
	}
}

// stream sends one streamed prompt after the other and checks the responses.
func (l *mixedLoad) stream(node, callerNumber int) {
	caller := newCaller(l.cluster)
	for i := 0; l.running(); i++ {
		p := prompt{text: fmt.Sprintf("brief %d for caller %d of node %d", i, callerNumber, node), tokens: uint32(100 + 50*callerNumber), seed: uint64(i + 1)}
		start := time.Now()
		s, refused := caller.open(node, p)
		if refused != nil {
			time.Sleep(loadInterval)
			continue
		}
		l.checkAccepted(node, start)
		if err := s.finish(); err != nil {
			l.report("accepted stream: %v", err)
		} else if err := s.check(p); err != nil {
			l.report("accepted stream: %v", err)
		}
	}
}

// book makes one booking after the other; a booking that has not succeeded is sent again to the next nodes.
func (l *mixedLoad) book(node int) {
	caller := newCaller(l.cluster)
	for i := 0; l.running(); i++ {
		b := &booking{key: fmt.Sprintf("k-%d-%d", node, i), onlyNotRun: true}
		l.mu.Lock()
		l.bookings = append(l.bookings, b)
		l.mu.Unlock()
		timeout := time.Duration(0)
		if i%shortTimeoutEvery == 0 {
			timeout = time.Duration(1+i/shortTimeoutEvery%shortTimeoutSteps) * shortTimeoutStep
		}
		for try := range maxSends {
			target := (node + try) % len(l.cluster.nodes)
			start := time.Now()
			res := caller.bookWithin(target, b.key, "deposit", timeout)
			if l.record(b, res, target, start) || (b.onlyNotRun && i%abandonEvery == 0) {
				break
			}
			time.Sleep(loadInterval)
		}
		time.Sleep(loadInterval)
	}
}

// record adds a response to a booking, checks it and reports whether the booking has succeeded.
func (l *mixedLoad) record(b *booking, res response, node int, start time.Time) (done bool) {
	b.responses = append(b.responses, res.String())
	if res.err == nil && res.status == 200 {
		l.checkAccepted(node, start)
		b.onlyNotRun = false
		if n := l.cluster.runs.Count("shop/" + b.key); n != 1 {
			l.report("%s succeeded for its caller but ran %d times", b.key, n)
		}
		return true
	}
	if res.ran != "no" && res.location == "" {
		b.onlyNotRun = false
	}
	l.checkNotRun(b)
	return false
}

func (l *mixedLoad) checkNotRun(b *booking) {
	if n := l.cluster.runs.Count("shop/" + b.key); b.onlyNotRun && n > 0 {
		l.report("%s ran %d times although its callers got ran:no: %v", b.key, n, b.responses)
	}
}

// checkBookings checks at the end that no booking ran whose caller only got responses with ran:"no" or redirects.
func (l *mixedLoad) checkBookings(*faultRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.bookings {
		l.checkNotRun(b)
	}
}

func (l *mixedLoad) lookUp(node int) {
	caller := newCaller(l.cluster)
	for l.running() {
		start := time.Now()
		if res := caller.lookUp(node); res.err == nil && res.status == 200 {
			l.checkAccepted(node, start)
		}
		time.Sleep(loadInterval)
	}
}
