package node

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/internal/transport"
	"github.com/pollenlug/pollenlug/pkg/code"
	"github.com/pollenlug/pollenlug/pkg/gossip"
	"github.com/pollenlug/pollenlug/pkg/membership"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

const (
	// folderReaders is how many nodes read the operators' folder; more than one, so that the loss of a node delays
	// nothing.
	folderReaders = 3
	folderRole    = "folder"
	// listRole is held by the node that reads the instance list for all, noticeRole by those that read the notices.
	listRole      = "instance-list-reader"
	noticeRole    = "notice-reader"
	noticeReaders = 2
	// purgeRole is held by the node that deletes old rows of non-repeatable calls.
	purgeRole = "claim-purger"
	// configKeyPrefix precedes the node in the item that announces the newest configuration it has in force. Each
	// node writes its own item, because two nodes must not write one item with the same version.
	configKeyPrefix = "config/"
	versionBytes    = 8
)

// errUnknownNode means that a message was meant for a node that is not in the view.
var errUnknownNode = merry.New("node is not a live member")

// cluster is a node's view of the other nodes: membership, gossip and the requests to peers.
type cluster struct {
	self      membership.Member
	transport *transport.Transport
	gossip    *gossip.Runner
	view      *membership.Runner
	log       *logrus.Entry
}

func newCluster(s *pb.NodeSettings, t *transport.Transport, list platform.InstanceList, log *logrus.Entry) *cluster {
	incarnation := uint64(time.Now().UnixMilli())
	core := gossip.NewCore(gossip.Config{Node: s.Node, Region: s.Region, Incarnation: incarnation, Rand: newRand()})
	members := membership.NewCore(membership.Config{
		Node:          s.Node,
		Region:        s.Region,
		FailureDomain: s.FailureDomain,
		NodeAddr:      s.NodeAddr,
		CallerAddr:    s.CallerAddr,
		Incarnation:   incarnation,
		Rand:          newRand(),
	}, core)
	return &cluster{
		self:      members.Self(),
		transport: t,
		gossip:    gossip.NewRunner(core, t),
		view:      membership.NewRunner(members, t, list, log),
		log:       log,
	}
}

// start runs membership, which drives gossip too.
func (c *cluster) start(ctx context.Context, wg *sync.WaitGroup) {
	wg.Go(func() { c.view.Run(ctx) })
}

func (c *cluster) members() []membership.Member { return c.view.Members() }

func (c *cluster) live() []membership.Member { return c.view.Live() }

func (c *cluster) member(node string) (membership.Member, bool) {
	for _, m := range c.view.Members() {
		if m.Node == node {
			return m, true
		}
	}
	return membership.Member{}, false
}

// hasRole reports whether this node is one of the n live nodes that hold a role.
func (c *cluster) hasRole(role string, n int) bool {
	for _, m := range membership.Rendezvous(role, c.live(), n) {
		if m.Node == c.self.Node {
			return true
		}
	}
	return false
}

// readsFolder reports whether this node is one of those that read the operators' folder.
func (c *cluster) readsFolder() bool { return c.hasRole(folderRole, folderReaders) }

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// handle answers messages of gossip and membership.
func (c *cluster) handle(_ context.Context, from string, env *pb.Envelope) (*pb.Envelope, error) {
	c.view.Receive(from, env)
	return &pb.Envelope{Body: &pb.Envelope_Ack{Ack: &pb.Ack{}}}, nil
}

// Sample implements configstore.Peers.
func (c *cluster) Sample(n int) []string {
	var out []string
	live := c.live()
	for _, i := range rand.Perm(len(live)) {
		if len(out) == n {
			break
		}
		if live[i].Node != c.self.Node {
			out = append(out, live[i].Node)
		}
	}
	return out
}

// request sends a message to a node by its name.
func (c *cluster) request(ctx context.Context, node string, env *pb.Envelope) (*pb.Envelope, error) {
	m, ok := c.member(node)
	if !ok {
		return nil, merry.Prepend(errUnknownNode, node)
	}
	answer, err := c.transport.Request(ctx, m.NodeAddr, env)
	if err != nil {
		return nil, err
	}
	if ack := answer.GetAck(); ack != nil && ack.Code != 0 {
		return nil, code.New(code.Code(ack.Code), ack.Message)
	}
	return answer, nil
}

// FetchConfig implements configstore.Peers.
func (c *cluster) FetchConfig(ctx context.Context, node string, fetch *pb.ConfigFetch) (*pb.ConfigState, error) {
	answer, err := c.request(ctx, node, &pb.Envelope{Body: &pb.Envelope_ConfigFetch{ConfigFetch: fetch}})
	return answer.GetConfigState(), err
}

// AttemptQuery implements claim.Peers.
func (c *cluster) AttemptQuery(ctx context.Context, node string, query *pb.AttemptQuery) (*pb.AttemptState, error) {
	answer, err := c.request(ctx, node, &pb.Envelope{Body: &pb.Envelope_AttemptQuery{AttemptQuery: query}})
	return answer.GetAttemptState(), err
}

// announceConfig tells the other nodes which version this node has in force.
func (c *cluster) announceConfig(version uint64, digest string) {
	value := binary.BigEndian.AppendUint64(nil, version)
	c.gossip.Set(configKeyPrefix+c.self.Node, append(value, digest...), 0, true)
}

// watchConfig calls offer for each version that another node announces.
func (c *cluster) watchConfig(offer func(version uint64, digest, node string)) {
	c.gossip.Watch(configKeyPrefix, func(item *pb.GossipItem) {
		if len(item.Value) <= versionBytes {
			return
		}
		version := binary.BigEndian.Uint64(item.Value)
		offer(version, string(item.Value[versionBytes:]), strings.TrimPrefix(item.Key, configKeyPrefix))
	})
}

// publish sets an item of this node to a message.
func (c *cluster) publish(key string, message proto.Message, ttl time.Duration, urgent bool) {
	value, err := proto.Marshal(message)
	if err != nil {
		c.log.WithError(err).WithField("key", key).Error("gossip item cannot be encoded")
		return
	}
	c.gossip.Set(key, value, ttl, urgent)
}

// keyvalLogger gives packages that log key-value pairs the node's logger.
type keyvalLogger struct{ log *logrus.Entry }

// Log implements configstore.Logger.
func (l keyvalLogger) Log(keyvals ...any) error {
	fields := logrus.Fields{}
	message := ""
	for i := 0; i+1 < len(keyvals); i += 2 {
		key, _ := keyvals[i].(string)
		if key == "msg" {
			message, _ = keyvals[i+1].(string)
			continue
		}
		fields[key] = keyvals[i+1]
	}
	l.log.WithFields(fields).Info(message)
	return nil
}
