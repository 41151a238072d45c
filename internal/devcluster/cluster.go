package devcluster

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/pollenlug/pollenlug/internal/adapter/wiring"
	"github.com/pollenlug/pollenlug/internal/node"
	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/internal/transport"
)

const (
	// DefaultPort is the port of the first entry node.
	DefaultPort = 8080
	// defaultNodes is the number of entry nodes; each is in a failure domain of its own.
	defaultNodes = 3
	region       = "local"
	// readyTimeout bounds the start of a development cluster.
	readyTimeout = 20 * time.Second
)

// domains are the failure domains of a development cluster.
var domains = []string{"domain-a", "domain-b", "domain-c", "domain-d"}

// Options configure a development cluster.
type Options struct {
	ConfigDir string
	Port      int // 0 picks free ports
	FaultPort int
	Seed      uint64
	Policy    string
	Nodes     int
	Log       *logrus.Entry
	// Tune changes the settings of each backend server before it starts; nil leaves them as they are.
	Tune func(*pb.StandinServer)
	// RestartStreams makes the nodes restart interrupted responses from their first token; measurements use this as
	// their baseline.
	RestartStreams bool
}

// Cluster is a running development cluster.
type Cluster struct {
	Standins *Standins
	nodes    []*clusterNode
}

type clusterNode struct {
	settings *pb.NodeSettings
	node     *node.Node
	cancel   context.CancelFunc
	done     chan struct{}
}

// Start starts a development cluster and returns when every node is ready.
func Start(opts Options) (*Cluster, error) {
	if opts.Nodes == 0 {
		opts.Nodes = defaultNodes
	}
	if opts.Log == nil {
		opts.Log = logrus.NewEntry(logrus.New())
	}
	servers, err := standinServers(opts.ConfigDir)
	if err != nil {
		return nil, err
	}
	if opts.Tune != nil {
		for _, server := range servers {
			opts.Tune(server)
		}
	}
	settings := &pb.StandinSettings{
		Seed:         opts.Seed,
		PlatformAddr: "127.0.0.1:0",
		ConfigDir:    opts.ConfigDir,
		Servers:      servers,
	}
	if opts.FaultPort != 0 {
		settings.FaultAddr = fmt.Sprintf("127.0.0.1:%d", opts.FaultPort)
	}
	standins, err := StartStandins(settings, opts.Log)
	if err != nil {
		return nil, err
	}
	c := &Cluster{Standins: standins}
	standins.setKillNode(c.kill)
	if err := c.startNodes(opts); err != nil {
		c.Stop(canceledContext())
		return nil, err
	}
	return c, nil
}

func canceledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

func (c *Cluster) startNodes(opts Options) error {
	authority, err := transport.NewDevAuthority()
	if err != nil {
		return err
	}
	for i := range opts.Nodes {
		if err := c.startNode(opts, authority, i); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	for _, n := range c.nodes {
		if err := n.node.AwaitReady(ctx, opts.Nodes); err != nil {
			return merry.Prepend(err, n.settings.Node)
		}
	}
	return nil
}

func (c *Cluster) startNode(opts Options, authority *transport.DevAuthority, i int) error {
	settings := &pb.NodeSettings{
		Node:          fmt.Sprintf("entry-%d", i+1),
		Region:        region,
		FailureDomain: domains[i%len(domains)],
		PlatformUrl:   c.Standins.PlatformURL(),
		RoutingPolicy: opts.Policy,
	}
	var err error
	if settings.CallerAddr, err = callerAddr(opts.Port, i); err != nil {
		return err
	}
	if settings.NodeAddr, err = freeUDPAddr(); err != nil {
		return err
	}
	credentials, err := authority.Credentials(settings.Node)
	if err != nil {
		return err
	}
	restart := func(o *node.Options) { o.RestartStreams = opts.RestartStreams }
	n, err := wiring.NewNode(settings, credentials, opts.Log.WithField("node", settings.Node), restart)
	if err != nil {
		return err
	}
	c.Standins.addEntry(&pb.StandinEntry{
		Node:          settings.Node,
		Region:        settings.Region,
		FailureDomain: settings.FailureDomain,
		NodeAddr:      settings.NodeAddr,
		CallerAddr:    settings.CallerAddr,
	})
	ctx, cancel := context.WithCancel(context.Background())
	started := &clusterNode{settings: settings, node: n, cancel: cancel, done: make(chan struct{})}
	c.nodes = append(c.nodes, started)
	go func() {
		defer close(started.done)
		if err := n.Run(ctx); err != nil {
			opts.Log.WithError(err).WithField("node", settings.Node).Error("node stopped")
		}
	}()
	return nil
}

func callerAddr(port, i int) (string, error) {
	if port != 0 {
		return fmt.Sprintf("127.0.0.1:%d", port+i), nil
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

func freeUDPAddr() (string, error) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer conn.Close()
	return conn.LocalAddr().String(), nil
}

// Addresses returns the line `ready node=... addr=...` of each node.
func (c *Cluster) Addresses() []string {
	var out []string
	for _, n := range c.nodes {
		out = append(out, fmt.Sprintf("ready node=%s addr=%s", n.settings.Node, n.settings.CallerAddr))
	}
	return out
}

// CallerAddrs returns the address at which each node accepts requests of callers.
func (c *Cluster) CallerAddrs() []string {
	var out []string
	for _, n := range c.nodes {
		out = append(out, n.settings.CallerAddr)
	}
	return out
}

// Node returns the i-th entry node.
func (c *Cluster) Node(i int) *node.Node { return c.nodes[i].node }

// kill stops a node without draining, like a crash of its process. It reports whether the node exists.
func (c *Cluster) kill(name string) bool {
	for _, n := range c.nodes {
		if n.settings.Node == name {
			n.node.Kill()
			n.cancel()
			return true
		}
	}
	return false
}

// Stop drains the nodes, kills those that have not finished when ctx ends, and stops the stand-ins.
func (c *Cluster) Stop(ctx context.Context) {
	var wg sync.WaitGroup
	for _, n := range c.nodes {
		n.cancel()
		wg.Go(func() {
			select {
			case <-n.done:
			case <-ctx.Done():
				n.node.Kill()
				<-n.done
			}
		})
	}
	wg.Wait()
	c.Standins.Close()
}
