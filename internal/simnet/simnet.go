// Package simnet simulates a network of many nodes in one process and in virtual time, for tests and measurements. It
// runs the deterministic cores of the nodes; runs with the same seed are identical.
package simnet

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/gossip"
	"google.golang.org/protobuf/proto"
)

// Epoch is the virtual time at which every simulation starts.
var Epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// Endpoint is the deterministic core of one node. Both methods return the messages to send.
type Endpoint interface {
	Tick(now time.Time) []gossip.Message
	Handle(now time.Time, from string, env *pb.Envelope) []gossip.Message
}

// Traffic counts what one node sent and received, with gossip.MessageOverhead per message.
type Traffic struct {
	SentMessages, SentBytes, ReceivedMessages, ReceivedBytes uint64
}

// Net delivers messages between endpoints. It is not safe for concurrent use.
type Net struct {
	// Rand is the only source of randomness.
	Rand *rand.Rand
	// Delay returns the one-way delay between two nodes; nil means 1 ms.
	Delay func(from, to string) time.Duration
	// Drop reports whether a message between two nodes is lost; nil means that none is.
	Drop func(from, to string) bool
	// TickEvery is the time between two ticks of a node.
	TickEvery time.Duration
	// Sent, if set, is called for each message that a node sends.
	Sent func(from string, m gossip.Message)

	now          time.Time
	queue        events
	lastSequence uint64
	nodes        map[string]Endpoint
	// generation counts the starts and stops of a node, so that ticks scheduled before the latest of them are dropped.
	generation map[string]int
	traffic    map[string]*Traffic
}

type event struct {
	at       time.Time
	sequence uint64 // order of events at the same time
	run      func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// New returns a network without nodes.
func New(seed uint64) *Net {
	return &Net{Rand: rand.New(rand.NewPCG(seed, 1)), TickEvery: 100 * time.Millisecond, now: Epoch,
		nodes: map[string]Endpoint{}, generation: map[string]int{}, traffic: map[string]*Traffic{}}
}

// Now returns the virtual time.
func (n *Net) Now() time.Time { return n.now }

// At schedules f to run once the given virtual time has passed.
func (n *Net) At(after time.Duration, f func()) {
	n.lastSequence++
	heap.Push(&n.queue, event{n.now.Add(after), n.lastSequence, f})
}

// Start adds a node, which first ticks after a random part of the tick period. A node of the same name is replaced.
func (n *Net) Start(node string, e Endpoint) {
	n.nodes[node] = e
	n.generation[node]++
	if n.traffic[node] == nil {
		n.traffic[node] = &Traffic{}
	}
	n.tick(node, n.generation[node], time.Duration(n.Rand.Int64N(int64(n.TickEvery))))
}

// Stop removes a node without notice to the others, as in a crash.
func (n *Net) Stop(node string) {
	delete(n.nodes, node)
	n.generation[node]++
}

func (n *Net) tick(node string, generation int, after time.Duration) {
	n.At(after, func() {
		if n.generation[node] != generation {
			return
		}
		n.Send(node, n.nodes[node].Tick(n.now))
		n.tick(node, generation, n.TickEvery)
	})
}

// Send schedules the delivery of a node's messages after the delays between the nodes.
func (n *Net) Send(from string, messages []gossip.Message) {
	for _, m := range messages {
		size := uint64(proto.Size(m.Env) + gossip.MessageOverhead)
		n.traffic[from].SentMessages++
		n.traffic[from].SentBytes += size
		if n.Sent != nil {
			n.Sent(from, m)
		}
		to := m.To.Node
		if n.Drop != nil && n.Drop(from, to) {
			continue
		}
		delay := time.Millisecond
		if n.Delay != nil {
			delay = n.Delay(from, to)
		}
		n.At(delay, func() { n.deliver(from, to, size, m.Env) })
	}
}

func (n *Net) deliver(from, to string, size uint64, env *pb.Envelope) {
	e := n.nodes[to]
	if e == nil {
		return
	}
	n.traffic[to].ReceivedMessages++
	n.traffic[to].ReceivedBytes += size
	n.Send(to, e.Handle(n.now, from, env))
}

// Run advances virtual time by d and runs the events of that time.
func (n *Net) Run(d time.Duration) {
	end := n.now.Add(d)
	for len(n.queue) > 0 && !n.queue[0].at.After(end) {
		e := heap.Pop(&n.queue).(event)
		n.now = e.at
		e.run()
	}
	n.now = end
}

// Traffic returns the traffic of a node so far.
func (n *Net) Traffic(node string) Traffic { return *n.traffic[node] }
