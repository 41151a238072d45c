package configstore

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/internal/standin/object"
	"github.com/pollenlug/pollenlug/internal/standin/table"
	"github.com/pollenlug/pollenlug/pkg/config"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

// TestMain fixes the seed of the property tests unless the command line gives one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261")
	flag.Parse()
	os.Exit(m.Run())
}

// folder is an operators' folder that records all its revisions.
type folder struct {
	mu     sync.Mutex
	states []platform.FolderState
	at     []time.Time
}

// edit adds a revision. An invalid one refers to a missing backend group.
func (f *folder) edit(valid bool) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	revision := uint64(len(f.states) + 1)
	text := fmt.Sprintf(`{"workspaces": [{"name": "w", "share": %d, "token_sha256": [%q]}]}`, revision, config.Digest(nil))
	files := map[string][]byte{"10.json": []byte(text)}
	if !valid {
		files["20.json"] = []byte(`{"models": [{"name": "m", "backend_group": "missing", "context_tokens": 1}]}`)
	}
	f.states = append(f.states, platform.FolderState{Revision: revision, Files: files})
	f.at = append(f.at, time.Now())
	return revision
}

// folderView is the folder as one node reads it: with a fixed lag, or unavailable.
type folderView struct {
	f    *folder
	lag  time.Duration
	down bool
	mu   sync.Mutex
}

func (v *folderView) set(lag time.Duration, down bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lag, v.down = lag, down
}

func (v *folderView) Read(context.Context) (platform.FolderState, error) {
	v.mu.Lock()
	lag, down := v.lag, v.down
	v.mu.Unlock()
	if down {
		return platform.FolderState{}, platform.ErrUnavailable
	}
	v.f.mu.Lock()
	defer v.f.mu.Unlock()
	for i := len(v.f.states) - 1; i >= 0; i-- {
		if i == 0 || time.Since(v.f.at[i]) >= lag {
			return v.f.states[i], nil
		}
	}
	return platform.FolderState{}, platform.ErrUnavailable
}

// node is one store with its own clients of the platform.
type node struct {
	name   string
	c      *cluster
	table  *table.Client
	folder *folderView
	store  *Store
	cancel context.CancelFunc
	rand   *rand.Rand
	mu     sync.Mutex
}

// cluster is a set of nodes with simulated gossip: each change is pushed to 3 peers twice, 300 ms apart, and each node
// exchanges the newest version with one peer per second.
type cluster struct {
	folder  *folder
	table   *table.Table
	objects *object.Store
	nodes   []*node
	latency time.Duration
	timing  Timing
	// failure describes the first violation observed.
	mu      sync.Mutex
	failure string
}

const leaders = 3

func newCluster(seed uint64, n int) *cluster {
	c := &cluster{
		folder:  &folder{},
		table:   table.New(table.Options{Seed: seed}),
		objects: object.New(),
		latency: time.Millisecond,
	}
	for i := range n {
		name := fmt.Sprintf("n%d", i)
		c.nodes = append(c.nodes, &node{
			name:   name,
			c:      c,
			table:  c.table.NewClient(name),
			folder: &folderView{f: c.folder},
			rand:   rand.New(rand.NewPCG(seed, uint64(i))),
		})
	}
	return c
}

func (c *cluster) fail(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure == "" {
		c.failure = fmt.Sprintf(format, args...)
	}
}

func (c *cluster) start(ctx context.Context) {
	for i, n := range c.nodes {
		n.start(ctx, i < leaders)
	}
}

func (c *cluster) stop() {
	for _, n := range c.nodes {
		n.stop()
	}
}

func (n *node) randIntN(limit int) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rand.IntN(limit)
}

func (n *node) start(ctx context.Context, leader bool) {
	ctx, n.cancel = context.WithCancel(ctx)
	store := New(Options{
		Table:   n.table,
		Objects: n.c.objects,
		Folder:  n.folder,
		Peers:   n,
		Node:    n.name,
		Leader:  func() bool { return leader },
		Rand:    rand.New(rand.NewPCG(uint64(n.randIntN(1<<30)), 1)),
		Timing:  n.c.timing,
	})
	n.mu.Lock()
	n.store = store
	n.mu.Unlock()
	last := uint64(0)
	store.Watch(func(current *InForce) {
		if current.Version <= last {
			n.c.fail("%s: version %d after %d", n.name, current.Version, last)
		}
		last = current.Version
		go n.push(ctx, store, current)
	})
	go store.Run(ctx)
	go n.exchange(ctx, store)
}

func (n *node) stop() { n.cancel() }

func (n *node) current() *Store {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.store
}

func (n *node) version() uint64 { return n.current().currentVersion() }

func (n *node) push(ctx context.Context, store *Store, current *InForce) {
	for range 2 {
		if !clock.Sleep(ctx, n.c.latency) {
			return
		}
		for _, peer := range n.Sample(3) {
			n.peer(peer).current().HandleAnnouncement(ctx, current.Version, current.Digest, n.name)
		}
		if !clock.Sleep(ctx, 300*time.Millisecond) {
			return
		}
	}
}

func (n *node) exchange(ctx context.Context, store *Store) {
	for clock.Sleep(ctx, time.Duration(900+n.randIntN(200))*time.Millisecond) {
		for _, peer := range n.Sample(1) {
			if current := store.Current(); current != nil {
				n.peer(peer).current().HandleAnnouncement(ctx, current.Version, current.Digest, n.name)
			}
			if theirs := n.peer(peer).current().Current(); theirs != nil {
				store.HandleAnnouncement(ctx, theirs.Version, theirs.Digest, peer)
			}
		}
	}
}

func (n *node) peer(name string) *node {
	for _, other := range n.c.nodes {
		if other.name == name {
			return other
		}
	}
	return nil
}

// Sample implements Peers.
func (n *node) Sample(count int) []string {
	var out []string
	for len(out) < min(count, len(n.c.nodes)-1) {
		other := n.c.nodes[n.randIntN(len(n.c.nodes))]
		if other != n && !slices.Contains(out, other.name) {
			out = append(out, other.name)
		}
	}
	return out
}

// FetchConfig implements Peers.
func (n *node) FetchConfig(ctx context.Context, name string, fetch *pb.ConfigFetch) (*pb.ConfigState, error) {
	if !clock.Sleep(ctx, 2*n.c.latency) {
		return nil, ctx.Err()
	}
	state := n.peer(name).current().Serve(fetch)
	return proto.Clone(state).(*pb.ConfigState), nil
}

// observe checks every 25 ms that neither the version nor the folder revision of the row decreases.
func (c *cluster) observe(ctx context.Context) {
	view := c.table.NewClient("observer")
	last := &pb.AcceptedVersion{}
	for clock.Sleep(ctx, 25*time.Millisecond) {
		current, err := readRow(view)
		if errors.Is(err, platform.ErrNotFound) {
			continue
		}
		if err != nil {
			c.fail("read row: %v", err)
			return
		}
		advanced := current.Version > last.Version && current.FolderRevision > last.FolderRevision
		if !advanced && !proto.Equal(current, last) {
			c.fail("row changed from %v to %v", last, current)
		}
		last = current
	}
}

func readRow(view platform.Table) (*pb.AcceptedVersion, error) {
	row, err := view.Get(context.Background(), TableName, RowKey)
	if err != nil {
		return nil, err
	}
	value := &pb.AcceptedVersion{}
	return value, proto.Unmarshal(row.Value, value)
}

// waitInForceEverywhere waits until the folder revision or a higher one is in force on every node, and returns the
// time that it took and whether it was reached within the timeout.
func (c *cluster) waitInForceEverywhere(revision uint64, timeout time.Duration) (time.Duration, bool) {
	start := time.Now()
	for time.Since(start) < timeout {
		done := true
		for _, n := range c.nodes {
			current := n.current().Current()
			done = done && current != nil && current.FolderRevision >= revision
		}
		if done {
			return time.Since(start), true
		}
		time.Sleep(5 * time.Millisecond)
	}
	return timeout, false
}
