package membership_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/internal/transport"
	"github.com/pollenlug/pollenlug/pkg/gossip"
	"github.com/pollenlug/pollenlug/pkg/loadview"
	"github.com/pollenlug/pollenlug/pkg/membership"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

// sharedList is an in-memory instance list.
type sharedList struct {
	mu        sync.Mutex
	instances []platform.Instance
}

func (l *sharedList) Instances(context.Context) ([]platform.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.instances, nil
}

// Guards against cores that work only in virtual time: four nodes over QUIC must find each other, share the loads of a
// worker and of an unreachable one, and learn that a node leaves.
func TestRunnersOverTransport(t *testing.T) {
	authority, err := transport.NewDevAuthority()
	assert.NilError(t, err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	list := &sharedList{}
	var members []*membership.Runner
	var loads []*loadview.Runner
	var running sync.WaitGroup
	for i := range 4 {
		node := fmt.Sprintf("n%d", i)
		credentials, err := authority.Credentials(node)
		assert.NilError(t, err)
		tr, err := transport.New(transport.Options{Node: node, Region: "r", Addr: "127.0.0.1:0", Credentials: credentials,
			Log: logrus.NewEntry(log)})
		assert.NilError(t, err)
		t.Cleanup(func() { _ = tr.Close() })
		g := gossip.NewCore(gossip.Config{Node: node, Region: "r", Incarnation: 1, Rand: rand.New(rand.NewPCG(1, uint64(i)))})
		core := membership.NewCore(membership.Config{Node: node, Region: "r", FailureDomain: fmt.Sprintf("d%d", i%2),
			NodeAddr: tr.Addr(), Incarnation: 1, Rand: rand.New(rand.NewPCG(2, uint64(i)))}, g)
		m := membership.NewRunner(core, tr, list, logrus.NewEntry(log))
		l := loadview.NewRunner(loadview.NewCore(loadview.Config{Node: node, FailureDomain: fmt.Sprintf("d%d", i%2),
			Rand: rand.New(rand.NewPCG(3, uint64(i)))}, g, core), tr, pollWorker)
		l.SetWorkers([]loadview.Worker{{Name: "w", FailureDomain: "d0"}, {Name: "broken", FailureDomain: "d1"}})
		tr.SetHandler(func(_ context.Context, from string, env *pb.Envelope) (*pb.Envelope, error) {
			m.Receive(from, env)
			l.Receive(from, env)
			return nil, nil
		})
		members, loads = append(members, m), append(loads, l)
		list.instances = append(list.instances, platform.Instance{ID: node, Kind: platform.EntryNode, State: platform.Live,
			Region: "r", FailureDomain: fmt.Sprintf("d%d", i%2), NodeAddr: tr.Addr()})
	}
	for i := range members {
		running.Go(func() { members[i].Run(ctx) })
		running.Go(func() { loads[i].Run(ctx) })
	}
	t.Cleanup(running.Wait)
	t.Cleanup(cancel)
	wait := func(what string, ok func(i int) bool) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			for i := range members {
				if !ok(i) {
					return poll.Continue("%s at node %d", what, i)
				}
			}
			return poll.Success()
		}, poll.WithTimeout(20*time.Second), poll.WithDelay(50*time.Millisecond))
	}
	wait("all are live", func(i int) bool { return len(members[i].Live()) == 4 })
	wait("load is known", func(i int) bool {
		l, ok := loads[i].Get(time.Now(), "w")
		broken, found := loads[i].Get(time.Now(), "broken")
		return ok && l.Running == 12 && !l.Unreachable && found && broken.Unreachable
	})
	members[0].Leave()
	wait("leave is known", func(i int) bool { return len(members[i].Live()) == 3 })
}

func pollWorker(_ context.Context, worker string) (*pb.WorkerLoad, error) {
	if worker == "broken" {
		return nil, errors.New("no response")
	}
	return &pb.WorkerLoad{Server: worker, Running: 13}, nil
}

// Guards against messages from a peer that make the cores panic or send an unbounded number of messages.
func FuzzHandle(f *testing.F) {
	for _, env := range []*pb.Envelope{
		{Body: &pb.Envelope_Probe{Probe: &pb.Probe{Number: 1}}},
		{Body: &pb.Envelope_ProbeAck{ProbeAck: &pb.ProbeAck{Number: 1}}},
		{Body: &pb.Envelope_ProbeRequest{ProbeRequest: &pb.ProbeRequest{Target: "n2"}}},
		{Body: &pb.Envelope_GossipPush{GossipPush: &pb.GossipPush{Items: []*pb.GossipItem{{Key: "member/n1", Incarnation: 1}}}}},
		{Body: &pb.Envelope_GossipDigest{GossipDigest: &pb.GossipDigest{Buckets: make([]uint64, 64)}}},
		{Body: &pb.Envelope_GossipDigest{GossipDigest: &pb.GossipDigest{Listed: []uint32{70}, Versions: []uint32{1}}}},
		{Body: &pb.Envelope_LoadDigest{LoadDigest: &pb.LoadDigest{Versions: []*pb.LoadVersion{{Domain: 1}}}}},
		{Body: &pb.Envelope_LoadDelta{LoadDelta: &pb.LoadDelta{Domains: []*pb.DomainLoad{{Version: &pb.LoadVersion{}}}}}},
	} {
		data, err := proto.Marshal(env)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		env := &pb.Envelope{}
		if proto.Unmarshal(data, env) != nil {
			return
		}
		now := time.Unix(2e9, 0)
		g := gossip.NewCore(gossip.Config{Node: "n0", Region: "r", Rand: rand.New(rand.NewPCG(1, 1))})
		core := membership.NewCore(membership.Config{Node: "n0", Region: "r", Rand: rand.New(rand.NewPCG(1, 2))}, g)
		core.HandleInstances(now, []platform.Instance{
			{ID: "n1", Kind: platform.EntryNode, Region: "r", FailureDomain: "d1", NodeAddr: "a:1", State: platform.Live},
			{ID: "n2", Kind: platform.EntryNode, Region: "r", FailureDomain: "d2", NodeAddr: "a:2", State: platform.Live}})
		l := loadview.NewCore(loadview.Config{Node: "n0", Rand: rand.New(rand.NewPCG(1, 3))}, g, core)
		l.SetWorkers([]loadview.Worker{{Name: "w", FailureDomain: "d1"}})
		sent := 0
		for range 3 {
			sent += len(core.Handle(now, "n1", env)) + len(l.Handle(now, "n1", env)) + len(core.Tick(now)) + len(l.Tick(now))
			now = now.Add(time.Second)
		}
		if sent > 60 {
			t.Fatalf("%d messages sent", sent)
		}
	})
}
