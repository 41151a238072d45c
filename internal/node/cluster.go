package node

import (
	"context"
	"encoding/binary"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/code"
	"github.com/pollenlug/pollenlug/pkg/gossip"
	"github.com/pollenlug/pollenlug/pkg/membership"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

const (
	// folderReaders is how many nodes read the operators' folder; more than one, so that losing a node causes no delay.
	folderReaders = 3
	folderRole    = "folder"
	// instanceListRole is held by the node that reads the instance list for all nodes, noticeRole by the nodes that
	// read the reclaim notices.
	instanceListRole = "instance-list-reader"
	noticeRole       = "notice-reader"
	noticeReaders    = 2
	// purgeRole is held by the node that deletes the old claim rows of non-repeatable calls.
	purgeRole = "claim-purger"
	// configKey is the key of the gossip item that announces the newest configuration in force.
	configKey = "config/current"
	// versionBytes and digestChars are the sizes of the version and the digest in its value; the name of the announcing
	// node follows them.
	versionBytes = 8
	digestChars  = 64
)

// errUnknownNode means that the recipient of a message is not in this node's membership view.
var errUnknownNode = merry.New("node is not a live member")

// cluster is a node's connection to the other nodes: membership, gossip and requests to peers.
type cluster struct {
	self      membership.Member
	transport Transport
	gossip    *gossip.Runner
	view      *membership.Runner
	random    *random
	log       *logrus.Entry
}

func newCluster(s *pb.NodeSettings, t Transport, list platform.InstanceList, random *random, log *logrus.Entry) *cluster {
	incarnation := uint64(time.Now().UnixMilli())
	core := gossip.NewCore(gossip.Config{Node: s.Node, Region: s.Region, Incarnation: incarnation, Rand: random.fork(),
		Preferred: []string{configKey, membership.KeyPrefix}})
	members := membership.NewCore(membership.Config{
		Node:          s.Node,
		Region:        s.Region,
		FailureDomain: s.FailureDomain,
		NodeAddr:      s.NodeAddr,
		CallerAddr:    s.CallerAddr,
		Incarnation:   incarnation,
		Rand:          random.fork(),
	}, core)
	return &cluster{
		self:      members.Self(),
		transport: t,
		gossip:    gossip.NewRunner(core, t),
		view:      membership.NewRunner(members, t, list, log),
		random:    random,
		log:       log,
	}
}

// start runs the membership protocol, which also drives gossip, until ctx ends.
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

// hasRole reports whether this node is one of the n live nodes that hold a role by rendezvous hashing.
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

// handle processes a gossip or membership message and acknowledges it.
func (c *cluster) handle(_ context.Context, from string, env *pb.Envelope) (*pb.Envelope, error) {
	c.view.Receive(from, env)
	return &pb.Envelope{Body: &pb.Envelope_Ack{Ack: &pb.Ack{}}}, nil
}

// Sample implements configstore.Peers.
func (c *cluster) Sample(n int) []string {
	var out []string
	live := c.live()
	for _, i := range c.random.perm(len(live)) {
		if len(out) == n {
			break
		}
		if live[i].Node != c.self.Node {
			out = append(out, live[i].Node)
		}
	}
	return out
}

// request sends a message to the named node and returns its reply. A reply with a result code becomes a *code.Error.
func (c *cluster) request(ctx context.Context, node string, env *pb.Envelope) (*pb.Envelope, error) {
	m, ok := c.member(node)
	if !ok {
		return nil, merry.Prepend(errUnknownNode, node)
	}
	reply, err := c.transport.Request(ctx, m.NodeAddr, env)
	if err != nil {
		return nil, err
	}
	if ack := reply.GetAck(); ack != nil && ack.Code != 0 {
		return nil, code.New(code.Code(ack.Code), ack.Message)
	}
	return reply, nil
}

// FetchConfig implements configstore.Peers.
func (c *cluster) FetchConfig(ctx context.Context, node string, fetch *pb.ConfigFetch) (*pb.ConfigState, error) {
	reply, err := c.request(ctx, node, &pb.Envelope{Body: &pb.Envelope_ConfigFetch{ConfigFetch: fetch}})
	return reply.GetConfigState(), err
}

// AttemptQuery implements claim.Peers.
func (c *cluster) AttemptQuery(ctx context.Context, node string, query *pb.AttemptQuery) (*pb.AttemptState, error) {
	reply, err := c.request(ctx, node, &pb.Envelope{Body: &pb.Envelope_AttemptQuery{AttemptQuery: query}})
	return reply.GetAttemptState(), err
}

// announceConfig announces a version in force to the other nodes, unless it or a later one is already being announced:
// if each of 400 nodes announced every version, that would use up the gossip budget for a minute.
func (c *cluster) announceConfig(version uint64, digest string) {
	if item, ok := c.gossip.Get(configKey); ok {
		if announced, _, _ := decodeConfig(item.Value); announced >= version {
			return
		}
	}
	value := binary.BigEndian.AppendUint64(nil, version)
	value = append(append(value, digest...), c.self.Node...)
	c.gossip.Set(configKey, value, 0, true)
}

// decodeConfig returns the announced version, its digest and the announcing node. Version 0 means a malformed value.
func decodeConfig(value []byte) (version uint64, digest, node string) {
	if len(value) < versionBytes+digestChars {
		return 0, "", ""
	}
	rest := string(value[versionBytes:])
	return binary.BigEndian.Uint64(value), rest[:digestChars], rest[digestChars:]
}

// watchConfig calls handle for each announced version.
func (c *cluster) watchConfig(handle func(version uint64, digest, node string)) {
	c.gossip.Watch(configKey, func(item *pb.GossipItem) {
		if version, digest, node := decodeConfig(item.Value); version > 0 {
			handle(version, digest, node)
		}
	})
}

// publish sets a gossip item of this node to an encoded message.
func (c *cluster) publish(key string, message proto.Message, ttl time.Duration, urgent bool) {
	value, err := proto.Marshal(message)
	if err != nil {
		c.log.WithError(err).WithField("key", key).Error("could not encode gossip item")
		return
	}
	c.gossip.Set(key, value, ttl, urgent)
}

// keyvalLogger adapts the node's logger to packages that log key-value pairs.
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
