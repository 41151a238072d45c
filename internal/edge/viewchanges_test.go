package edge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/platform"
	"github.com/pollenlug/pollenlug/pkg/serving"
)

// rowRecords decodes one-byte rows that hold the state of a server.
type rowRecords struct{ Records }

func (rowRecords) Server(key string, value []byte) (serving.Server, error) {
	return serving.Server{ID: key, Address: "10.0.0.1:1", State: serving.ServerState(value[0])}, nil
}

// fakeStore is a store with one table whose rows and changes are set by the test.
type fakeStore struct {
	Store
	version uint64
	rows    map[string]platform.Row
	log     []platform.Change
}

func (s *fakeStore) set(key string, state serving.ServerState) {
	s.version++
	row := platform.Row{Key: key, Value: []byte{byte(state)}, Version: s.version}
	s.rows[key] = row
	s.log = append(s.log, platform.Change{Row: row})
}

func (s *fakeStore) remove(key string) {
	s.version++
	delete(s.rows, key)
	s.log = append(s.log, platform.Change{Row: platform.Row{Key: key, Version: s.version}, Deleted: true})
}

func (s *fakeStore) Snapshot(context.Context, string) ([]platform.Row, uint64, error) {
	rows := make([]platform.Row, 0, len(s.rows))
	for _, row := range s.rows {
		rows = append(rows, row)
	}
	return rows, s.version, nil
}

func (s *fakeStore) Changes(_ context.Context, _ string, since uint64, _ time.Duration) ([]platform.Change, uint64, error) {
	var changes []platform.Change
	for _, c := range s.log {
		if c.Version > since {
			changes = append(changes, c)
		}
	}
	return changes, s.version, nil
}

func newTestView(store Store) *serverView {
	logger := logrus.New()
	logger.SetLevel(logrus.PanicLevel)
	return &serverView{store: store, records: rowRecords{}, log: logrus.NewEntry(logger), onChange: func([]serving.Server) {},
		onStoreChange: func() {}, entries: map[string]*serverEntry{}}
}

func (v *serverView) states() map[string]serving.ServerState {
	states := map[string]serving.ServerState{}
	for key, e := range v.entries {
		states[key] = e.server.State
	}
	return states
}

// Guards against a drain that reaches the nodes of a large deployment only after each has fetched the reader's whole
// view over its slow link.
func TestChangeArrivesWithTheBeat(t *testing.T) {
	store := &fakeStore{rows: map[string]platform.Row{}}
	for i := range 90 {
		store.set(fmt.Sprintf("engine-%02d", i), serving.Ready)
	}
	reader, other := newTestView(store), newTestView(nil)
	assert.NilError(t, reader.read(t.Context()))
	now := time.Now()
	assert.NilError(t, other.merge(reader.export(0, now), now))
	store.set("engine-01", serving.Draining)
	store.remove("engine-02")
	notified := 0
	reader.onStoreChange = func() { notified++ }
	assert.NilError(t, reader.read(t.Context()))
	assert.Equal(t, notified, 1)

	heartbeat := &pb.PeerBeat{Servers: reader.state(time.Now()), Changes: reader.heartbeatChanges(minHeartbeatInterval, time.Now())}
	assert.Assert(t, proto.Size(heartbeat.Changes) < 200)
	f := newFetcher(&configView{}, other, other.log)
	f.handleHeartbeat(heartbeat, time.Now())
	assert.DeepEqual(t, other.states(), reader.states())
	assert.Assert(t, reader.heartbeatChanges(minHeartbeatInterval, time.Now().Add(time.Minute)) == nil, "changes are sent forever")
}

// Guards against changes that leave a node with a different view than their sender, whatever the node has missed.
func TestChangesLeadToTheSameView(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		store := &fakeStore{rows: map[string]platform.Row{}}
		reader, others := newTestView(store), []*serverView{newTestView(nil), newTestView(nil), newTestView(nil)}
		for range 60 {
			for range random.IntN(4) {
				key := fmt.Sprintf("engine-%d", random.IntN(8))
				if _, ok := store.rows[key]; ok && random.IntN(3) == 0 {
					store.remove(key)
				} else {
					store.set(key, serving.ServerState(random.IntN(2)))
				}
			}
			assert.NilError(t, reader.read(t.Context()))
			now := time.Now()
			sent := reader.heartbeatChanges(minHeartbeatInterval, now)
			for i, other := range others {
				if sent != nil && random.IntN(2) == 0 {
					// After an error the rest is fetched.
					_ = other.merge(sent, now)
				}
				if !other.observePeer(reader.state(now), now) || random.IntN(2) == 0 {
					continue
				}
				from := reader
				if i > 0 && others[i-1].version > other.version {
					from = others[i-1] // a node that itself received its view from a peer
				}
				_ = other.merge(from.export(other.sinceVersion(), now), now)
			}
		}
		for _, other := range others {
			for range 2 { // the first fetch may show that the whole view is needed
				_ = other.merge(reader.export(other.sinceVersion(), time.Now()), time.Now())
			}
			assert.Equal(t, other.digest, reader.digest, "seed %d", seed)
			assert.DeepEqual(t, other.states(), reader.states())
		}
	}
}

// Guards against a node that learns nothing new for seconds because the connections to the peers it asks first have
// stopped responding.
func TestUnresponsivePeersDoNotBlockFetches(t *testing.T) {
	f := newFetcher(&configView{}, newTestView(nil), logrus.NewEntry(logrus.New()))
	now := time.Unix(1000, 0)
	starts := func(peer string) bool { return f.tryStart(pathServers, pathServers+" "+peer, now) }
	assert.Assert(t, starts("a") && starts("b"))
	assert.Assert(t, !starts("a") && !starts("c"))
	assert.Assert(t, f.tryStart(pathConfig, pathConfig+" c", now), "another view")
	now = now.Add(slowFetch)
	assert.Assert(t, !starts("a") && starts("c") && starts("d") && !starts("e"))
}
