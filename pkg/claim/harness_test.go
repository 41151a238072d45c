package claim

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/internal/standin/table"
	"github.com/pollenlug/pollenlug/pkg/backend"
	"github.com/pollenlug/pollenlug/pkg/code"
)

// behaviour is what the service does with one call.
type behaviour struct {
	// delay is the time before the call runs and again the time before its response.
	delay time.Duration
	// unsent fails before a byte is sent, lostCall after the send without a run, and lostResponse after the run.
	unsent, lostCall, lostResponse bool
}

// service is a backend service that counts the runs of each key.
type service struct {
	mu        sync.Mutex
	runs      map[string]int
	outcomes  map[string]Outcome
	queryable bool
}

func (s *service) run(key string, digest byte) Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[key]++
	out := Outcome{Status: 200, Body: fmt.Appendf(nil, "%d/%s/%d", digest, key, s.runs[key])}
	s.outcomes[key] = out
	return out
}

func (s *service) runsOf(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// Outcome implements Outcomes.
func (s *service) Outcome(_ context.Context, call Call, _ string) (Outcome, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out, ok := s.outcomes[call.Key]
	return out, ok && s.queryable, nil
}

// testNode is one entry node with its own clock. A simulated pause of the process moves the clock ahead of the timers.
type testNode struct {
	*Claims
	store *table.Client

	mu       sync.Mutex
	ahead    time.Duration
	dead     bool
	isolated bool // other nodes cannot query it
}

func (n *testNode) now() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Now().Add(n.ahead)
}

func (n *testNode) pause(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ahead += d
}

func (n *testNode) setFailure(dead, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dead = dead
	n.isolated = isolated
}

func (n *testNode) failure() (dead, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dead, n.isolated
}

// cluster is a set of nodes that share one table and one service.
type cluster struct {
	table   *table.Table
	service *service
	nodes   []*testNode

	mu     sync.Mutex
	byName map[string]*testNode
}

func newCluster(seed uint64, nodes int) *cluster {
	c := &cluster{
		table:   table.New(table.Options{Seed: seed}),
		service: &service{runs: map[string]int{}, outcomes: map[string]Outcome{}},
		byName:  map[string]*testNode{},
	}
	for range nodes {
		c.startNode()
	}
	return c
}

func (c *cluster) startNode() *testNode {
	name := fmt.Sprintf("node-%d", len(c.nodes)+1)
	n := &testNode{store: c.table.NewClient(name)}
	var mu sync.Mutex
	ids := 0
	n.Claims = New(Options{Table: n.store, Node: name, Peers: c, Outcomes: c.service, Now: n.now,
		Jitter: func() float64 { return 0.5 },
		ID: func() string {
			mu.Lock()
			defer mu.Unlock()
			ids++
			return fmt.Sprintf("%s-attempt-%d", name, ids)
		}})
	c.nodes = append(c.nodes, n)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byName[name] = n
	return n
}

// endHangingCalls ends the calls that hang, since virtual time stops once a test has returned.
func (c *cluster) endHangingCalls() {
	for _, n := range c.nodes {
		n.store.SetFaults(table.Faults{Outage: table.Refusing})
	}
	time.Sleep(time.Second)
}

// AttemptQuery implements Peers.
func (c *cluster) AttemptQuery(ctx context.Context, node string, q *pb.AttemptQuery) (*pb.AttemptState, error) {
	c.mu.Lock()
	n := c.byName[node]
	c.mu.Unlock()
	if dead, isolated := n.failure(); dead || isolated {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return n.Query(q.Workspace, q.Key, q.Attempt), nil
}

func callOf(key string, digest byte) Call {
	return Call{Workspace: "desk", Key: key, Service: "book", Digest: sha256.Sum256([]byte{digest})}
}

// do makes a call through a node; ran reports whether this call's own attempt has run.
func (c *cluster) do(ctx context.Context, n *testNode, key string, digest byte, b behaviour) (out Outcome, ran func() bool, err error) {
	var mu sync.Mutex
	didRun := false
	ran = func() bool { mu.Lock(); defer mu.Unlock(); return didRun }
	out, err = n.Do(ctx, callOf(key, digest), func(context.Context, string) (Outcome, Sent, error) {
		if b.unsent {
			return Outcome{}, NothingSent, backend.ErrUnreachable
		}
		time.Sleep(b.delay)
		if dead, _ := n.failure(); dead || b.lostCall {
			return Outcome{}, MaybeSent, backend.ErrInterrupted
		}
		mu.Lock()
		didRun = true
		mu.Unlock()
		out := c.service.run(key, digest)
		time.Sleep(b.delay)
		if dead, _ := n.failure(); dead || b.lostResponse {
			return Outcome{}, MaybeSent, backend.ErrInterrupted
		}
		return out, MaybeSent, nil
	})
	return out, ran, err
}

// storedRow returns the current row.
func (c *cluster) storedRow(t *testing.T, key string) *pb.ClaimRow {
	t.Helper()
	r, err := c.table.Get(t.Context(), TableName, rowKey("desk", key))
	assert.NilError(t, err)
	var row pb.ClaimRow
	assert.NilError(t, proto.Unmarshal(r.Value, &row))
	return &row
}

// assertError checks the code and the Ran value of an error.
func assertError(t *testing.T, err error, want code.Code, ran code.Ran) {
	t.Helper()
	var e *code.Error
	assert.Assert(t, errors.As(err, &e), "error is %v", err)
	assert.Equal(t, e.Code, want, "%v", err)
	assert.Equal(t, e.Ran, ran, "%v", err)
}
