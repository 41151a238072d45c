package replica

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"pgregory.net/rapid"

	"github.com/pollenlug/pollenlug/internal/generate"
	"github.com/pollenlug/pollenlug/internal/metrics"
	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/backend"
	"github.com/pollenlug/pollenlug/pkg/config"
	"github.com/pollenlug/pollenlug/pkg/membership"
	"github.com/pollenlug/pollenlug/pkg/route"
	"github.com/pollenlug/pollenlug/pkg/stream"
	"github.com/pollenlug/pollenlug/pkg/strike"
)

const (
	testNodes   = 4
	testServers = 6
	testTokens  = 300
	testStep    = 10 * time.Millisecond // time of one token
	// detection is how long the others take to see that a node is dead.
	detection = 5 * time.Second
	workspace = "council"
)

// TestMain fixes the seed of rapid, so that every run has the same verdict. Another one is set by -rapid.seed.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

var errLinkDown = errors.New("test: no answer")

// world is a cluster of fakes: nodes that hold real replicators and runners, and servers that generate "t0 t1 ...".
type world struct {
	mu      sync.Mutex
	nodes   []*testNode
	servers map[string]*testServer
	ended   chan struct{}
}

type testNode struct {
	member membership.Member
	dead   bool
	*Replicator
	runner *generate.Runner
	router *route.Router
}

// testServer is a fake engine. down, frozen and up are ended by closing changed.
type testServer struct {
	state   string // "", down or frozen
	changed chan struct{}
}

func newWorld(t testing.TB, progressFirst bool) *world {
	w := &world{servers: map[string]*testServer{}, ended: make(chan struct{})}
	for i := range testServers {
		w.servers[fmt.Sprintf("server-%d", i)] = &testServer{changed: make(chan struct{})}
	}
	index := testIndex(t, progressFirst)
	for i := range testNodes {
		w.nodes = append(w.nodes, w.newNode(i, index))
	}
	return w
}

func testIndex(t testing.TB, progressFirst bool) *config.Index {
	merged, faults := config.Merge(map[string][]byte{"a.json": []byte(`{
		"policy":{"progress_before_delivery":` + strconv.FormatBool(progressFirst) + `},
		"instance_classes":[{"name":"gpu","on_demand_price_micros":1}],
		"backend_groups":[{"name":"engines","kind":"MODEL_ENGINE","instance_classes":["gpu"]}],
		"models":[{"name":"m","version":"1","backend_group":"engines","context_tokens":8192}],
		"workspaces":[{"name":"council","token_sha256":["` + strings.Repeat("0", 64) + `"]}]}`)})
	assert.Equal(t, len(faults), 0, "%v", faults)
	return config.NewIndex(&pb.Snapshot{Merged: merged})
}

func (w *world) newNode(i int, index *config.Index) *testNode {
	name := fmt.Sprintf("node-%d", i)
	n := &testNode{member: membership.Member{Node: name, NodeAddr: name, FailureDomain: fmt.Sprintf("domain-%d", i), Status: pb.MemberState_ALIVE}}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	n.router = route.New(route.Options{Seed: uint64(i) + 1})
	n.router.SetServers(w.routeServers(nil))
	set := metrics.NewSet()
	n.runner = generate.NewRunner(generate.Options{
		Router:   n.router,
		Engine:   &testEngine{world: w},
		Budget:   free{},
		Strikes:  free{},
		Limits:   free{},
		Health:   health{},
		Progress: progressOf{n},
		Config:   func() *config.Index { return index },
		Metrics:  set,
		Log:      logrus.NewEntry(logger),
	})
	n.Replicator = New(Options{
		Self:      n.member,
		Live:      w.live,
		Members:   w.members,
		Member:    w.memberOf,
		Transport: &testTransport{world: w, from: n},
		Logs:      stream.NewStore(),
		Run:       func(log *stream.Log, kv string) error { return n.runner.RunWith(log, kv, func() {}) },
		Metrics:   set,
		Log:       logrus.NewEntry(logger),
	})
	return n
}

type progressOf struct{ node *testNode }

func (p progressOf) Changed(log *stream.Log) { p.node.Replicator.Changed(log) }

func (p progressOf) Confirm(ctx context.Context, log *stream.Log, attempt, offset uint32, tokens []string) {
	p.node.Replicator.Confirm(ctx, log, attempt, offset, tokens)
}

// free grants everything.
type free struct{}

// health accepts every report.
type health struct{}

func (health) Observe(string, bool) {}

func (free) Wait(ctx context.Context) error             { return ctx.Err() }
func (free) Acquire(string) bool                        { return false }
func (free) Observe(string, time.Duration)              {}
func (free) Release(string)                             {}
func (free) State(string) (strike.State, time.Duration) { return strike.Clear, 0 }
func (free) Begin(*route.Server, string) (func(strike.Outcome), bool) {
	return func(strike.Outcome) {}, true
}

func (w *world) routeServers(leaving map[string]bool) []route.Server {
	var out []route.Server
	for i := range testServers {
		name := fmt.Sprintf("server-%d", i)
		out = append(out, route.Server{ID: name, Addr: name, Group: "engines", Models: []string{"m"},
			FailureDomain: fmt.Sprintf("domain-%d", i%testNodes), Leaving: leaving[name]})
	}
	return out
}

func (w *world) members() []membership.Member {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []membership.Member
	for _, n := range w.nodes {
		out = append(out, n.member)
	}
	return out
}

func (w *world) live() []membership.Member {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []membership.Member
	for _, n := range w.nodes {
		if n.member.Status == pb.MemberState_ALIVE {
			out = append(out, n.member)
		}
	}
	return out
}

func (w *world) memberOf(node string) (membership.Member, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.nodes {
		if n.member.Node == node {
			return n.member, true
		}
	}
	return membership.Member{}, false
}

func (w *world) setStatus(status pb.MemberState_Status, nodes ...int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, i := range nodes {
		w.nodes[i].member.Status = status
	}
}

func (w *world) isDead(n *testNode) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return n.dead
}

// kill stops a node at once; the others see it only after the detection time.
func (w *world) kill(i int) {
	n := w.nodes[i]
	w.mu.Lock()
	n.dead = true
	w.mu.Unlock()
	n.Logs.Each(func(log *stream.Log) { n.runner.Stop(log.Meta().ID) })
	time.AfterFunc(detection, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		n.member.Status = pb.MemberState_DEAD
	})
}

// setServer changes the state of a server: "" for up, down or frozen.
func (w *world) setServer(name, state string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.servers[name]
	s.state = state
	close(s.changed)
	s.changed = make(chan struct{})
}

func (w *world) server(name string) (state string, changed chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.servers[name].state, w.servers[name].changed
}

// reclaim gives a server notice and switches it off at its end.
func (w *world) reclaim(name string, notice time.Duration) {
	deadline := time.Now().Add(notice)
	for _, n := range w.nodes {
		n.router.SetServers(w.routeServers(map[string]bool{name: true}))
		go n.runner.ServerLeaving(context.Background(), name, deadline)
	}
	time.AfterFunc(notice, func() { w.setServer(name, "down") })
}

// testTransport carries messages within a millisecond. A dead node neither sends nor answers.
type testTransport struct {
	world *world
	from  *testNode
}

func (t *testTransport) Request(ctx context.Context, addr string, env *pb.Envelope) (*pb.Envelope, error) {
	time.Sleep(time.Millisecond)
	for _, n := range t.world.nodes {
		if n.member.NodeAddr != addr {
			continue
		}
		if t.world.isDead(n) || t.world.isDead(t.from) {
			<-ctx.Done()
			return nil, errLinkDown
		}
		answer := n.Handle(ctx, t.from.member.Node, env)
		if t.world.isDead(n) {
			return nil, errLinkDown
		}
		return answer, nil
	}
	return nil, errLinkDown
}

// testEngine runs requests on the fake servers of the world.
type testEngine struct {
	backend.Engine
	world *world
}

// Generate repeats the last resumed token in its first chunk, as an engine may whose answer overlaps with that of another.
func (e *testEngine) Generate(ctx context.Context, addr string, req backend.GenerateRequest, emit func(backend.Chunk) error) error {
	first := uint32(max(0, len(req.Resume)-1))
	for i := first; ; i++ {
		state, changed := e.world.server(addr)
		if state == "down" {
			if i == first {
				return backend.ErrUnreachable
			}
			return backend.ErrInterrupted
		}
		if state == "frozen" {
			time.Sleep(2 * time.Second)
			return backend.ErrSilent
		}
		select {
		case <-time.After(testStep):
		case <-changed:
			i--
			continue
		case <-ctx.Done():
			return ctx.Err()
		}
		chunk := backend.Chunk{Offset: i, Tokens: []string{testToken(i)}}
		if i < uint32(len(req.Resume)) && i+1 < req.MaxTokens {
			i++
			chunk.Tokens = append(chunk.Tokens, testToken(i))
		}
		if i+1 == req.MaxTokens {
			chunk.FinishReason = "length"
		}
		if err := emit(chunk); err != nil || chunk.FinishReason != "" {
			return err
		}
	}
}

func (e *testEngine) ExportKV(context.Context, string, string) ([]byte, error) {
	return []byte("kv"), nil
}

func (e *testEngine) ImportKV(context.Context, string, string, []byte) error { return nil }

func testToken(i uint32) string { return "t" + strconv.Itoa(int(i)) + " " }

func expected() string {
	var b strings.Builder
	for i := range uint32(testTokens) {
		b.WriteString(testToken(i))
	}
	return b.String()
}

// accept accepts a request on a node, as the node's front does.
func (w *world) accept(i int, id string) error {
	n := w.nodes[i]
	meta := stream.Meta{ID: NewID(n.member.Node, id), Workspace: workspace, Home: n.member.Node, Path: "/v1/completions",
		Request: []byte(fmt.Sprintf(`{"model":"m","prompt":"p","stream":true,"max_tokens":%d}`, testTokens)), Created: time.Now()}
	log := n.Logs.Add(stream.NewLog(meta, time.Now()))
	if err := n.Open(context.Background(), log); err != nil {
		return err
	}
	return n.runner.Run(log, func() {})
}

// caller reads a response like a client: when its node dies it resumes on the next one.
type caller struct {
	world  *world
	id     string
	node   int
	offset uint32
	text   strings.Builder
	notes  []string
}

// read returns when the response is complete, or with an error after the limit.
func (c *caller) read(limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for ctx.Err() == nil {
		done, err := c.readAt(ctx, c.world.nodes[c.node])
		if done || err != nil {
			return err
		}
		c.node = (c.node + 1) % testNodes
		c.notes = append(c.notes, fmt.Sprintf("resume on node-%d", c.node))
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("not complete after %v: %d tokens", limit, c.offset)
}

// readAt reads on one node until the response ends or the node dies.
func (c *caller) readAt(ctx context.Context, n *testNode) (done bool, err error) {
	if c.world.isDead(n) {
		return false, nil
	}
	log, release, err := n.Attach(ctx, workspace, c.id)
	if err != nil {
		return false, nil // the next node may know it
	}
	defer release()
	changes, cancel := log.Subscribe()
	defer cancel()
	for {
		if c.world.isDead(n) {
			return false, nil
		}
		next, end := log.Read(c.offset, func(_ uint32, token []byte) { c.text.Write(token) })
		c.offset = next
		if end.Finished {
			if end.Code != 0 {
				return false, fmt.Errorf("ended with %v after %d tokens", end.Code, c.offset)
			}
			return true, nil
		}
		select {
		case <-changes:
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
			return false, nil
		}
	}
}

func (w *world) start() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	for _, n := range w.nodes {
		go n.Run(ctx)
	}
	return func() {
		cancel()
		for _, n := range w.nodes {
			n.Logs.Each(func(log *stream.Log) { n.runner.Stop(log.Meta().ID) })
		}
		time.Sleep(time.Minute) // ends what still waits
	}
}

// Guards against an accepted answer that is lost, cut, repeated or out of order, under random schedules of crashed,
// frozen and reclaimed servers and of killed nodes. A failing schedule is printed and replays by its seed.
func TestAcceptedAnswersAreWholeUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.Custom(drawFault), 1, 6).Draw(rt, "faults")
		synctest.Test(t, func(*testing.T) {
			w := newWorld(t, false)
			defer w.start()()
			if err := w.play(faults); err != nil {
				rt.Errorf("%v", err)
			}
		})
	})
}

// fault is one step of a schedule.
type fault struct {
	After  time.Duration
	Kind   string // crash, freeze, reclaim or kill
	Target int
}

func drawFault(rt *rapid.T) fault {
	return fault{
		After:  time.Duration(rapid.IntRange(1, 80).Draw(rt, "after")) * 10 * time.Millisecond,
		Kind:   rapid.SampledFrom([]string{"crash", "freeze", "reclaim", "kill"}).Draw(rt, "kind"),
		Target: rapid.IntRange(0, testServers-1).Draw(rt, "target"),
	}
}

// play runs three responses of each node against a schedule and checks every answer.
func (w *world) play(faults []fault) error {
	var callers []*caller
	for i := range w.nodes {
		if err := w.accept(i, "a"); err != nil {
			return err
		}
		callers = append(callers, &caller{world: w, id: NewID(w.nodes[i].member.Node, "a"), node: i})
	}
	results := make(chan error, len(callers))
	for _, c := range callers {
		go func() {
			err := c.read(2 * time.Minute)
			if err == nil && c.text.String() != expected() {
				err = fmt.Errorf("%s: the answer differs from the fault-free one", c.id)
			}
			results <- err
		}()
	}
	w.inject(faults)
	var err error
	for range callers {
		err = errors.Join(err, <-results)
	}
	return err
}

// inject applies the faults. One node is killed at most, since the promise covers the loss of one of the two nodes
// that hold a log; a server comes back after 300 ms, so that some are always up.
func (w *world) inject(faults []fault) {
	killed := false
	for _, f := range faults {
		time.Sleep(f.After)
		name := fmt.Sprintf("server-%d", f.Target)
		switch f.Kind {
		case "crash":
			w.setServer(name, "down")
		case "freeze":
			w.setServer(name, "frozen")
		case "reclaim":
			w.reclaim(name, 500*time.Millisecond)
		case "kill":
			if !killed {
				killed = true
				w.kill(f.Target % testNodes)
			}
			continue
		}
		time.AfterFunc(800*time.Millisecond, func() { w.setServer(name, "") })
	}
}

// Guards against a change of the order of events when a node dies while a server is reclaimed: one golden session.
func TestSessionOfADyingHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, false)
		defer w.start()()
		assert.NilError(t, w.accept(0, "a"))
		c := &caller{world: w, id: NewID("node-0", "a")}
		time.AfterFunc(time.Second, func() {
			for i := range testServers / 2 {
				w.reclaim(fmt.Sprintf("server-%d", i), 300*time.Millisecond)
			}
		})
		time.AfterFunc(1500*time.Millisecond, func() { w.kill(0) })
		assert.NilError(t, c.read(time.Minute))
		c.notes = append(c.notes, fmt.Sprintf("complete: %d tokens, exact: %v", c.offset, c.text.String() == expected()))
		golden.Assert(t, strings.Join(c.notes, "\n")+"\n", "dying-home.golden")
	})
}

// Guards against an answer that jumps at a takeover when the engine is not deterministic: with
// progress_before_delivery the replica has every token that the caller has seen.
func TestReplicaHasEveryDeliveredToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, true)
		defer w.start()()
		assert.NilError(t, w.accept(0, "a"))
		id := NewID("node-0", "a")
		replicaNode := w.nodes[0].candidates(id, w.nodes[0].Self, 1)[0].Node
		home := w.nodes[0].Logs.Get(id)
		changes, cancel := home.Subscribe()
		defer cancel()
		for home.Len() < testTokens/2 {
			<-changes
			delivered := home.Len()
			for _, n := range w.nodes {
				if n.member.Node == replicaNode {
					assert.Assert(t, n.Logs.Get(id).Len() >= delivered, "the replica has fewer tokens than the caller")
				}
			}
		}
	})
}

// Guards against KV caches that are copied again and again, as a leaving node retries, when no node can take the response
// or one has it already.
func TestHandoverCopiesNoKVCacheForNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, false)
		defer w.start()()
		assert.NilError(t, w.accept(0, "a"))
		n, copies := w.nodes[0], 0
		log := n.Logs.Get(NewID("node-0", "a"))
		handover := func() bool {
			keepKV := func(context.Context) string { copies++; return "" }
			return n.Handover(t.Context(), log, keepKV, func() { n.runner.Stop(log.Meta().ID) })
		}
		w.setStatus(pb.MemberState_LEAVING, 1, 2, 3)
		assert.Assert(t, !handover())
		assert.Equal(t, copies, 0, "no node could take the response")
		w.setStatus(pb.MemberState_ALIVE, 1, 2, 3)
		assert.Assert(t, handover())
		assert.Assert(t, !handover(), "the response has another home already")
		assert.Equal(t, copies, 1)
	})
}

// Guards against a response that another workspace can read, and against one that is found after its log has gone.
func TestAttachRefusesOtherWorkspaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, false)
		defer w.start()()
		assert.NilError(t, w.accept(0, "a"))
		for _, n := range w.nodes {
			_, _, err := n.Attach(t.Context(), "shop", NewID("node-0", "a"))
			assert.ErrorContains(t, err, "no live node holds this response")
		}
		_, _, err := w.nodes[2].Attach(t.Context(), workspace, NewID("node-0", "b"))
		assert.ErrorContains(t, err, "no live node holds this response")
	})
}
