package node_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/internal/adapter/enginehttp"
	"github.com/pollenlug/pollenlug/internal/adapter/httpclient"
	"github.com/pollenlug/pollenlug/internal/adapter/servicehttp"
	"github.com/pollenlug/pollenlug/internal/example"
	"github.com/pollenlug/pollenlug/internal/node"
	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/internal/standin/engine"
	"github.com/pollenlug/pollenlug/internal/standin/netfault"
	standin "github.com/pollenlug/pollenlug/internal/standin/platform"
	"github.com/pollenlug/pollenlug/internal/standin/service"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

const (
	testRegion  = "local"
	testDomains = 4
	// listLag is how old the entries of the instance list are, loadLag how old the engines' load reports are.
	listLag = 2 * time.Second
	loadLag = 200 * time.Millisecond
	// stepTime is the time of one token on an idle engine.
	stepTime = 20 * time.Millisecond
	// readyLimit bounds the start of a cluster in virtual time.
	readyLimit = 30 * time.Second
	// settleTime is how long a stopped cluster is given for its goroutines to end: no generation runs for longer.
	settleTime = 15 * time.Minute
)

// TestMain fixes the seed of rapid, so that every run has the same result; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

var verbose = flag.Bool("node.log", false, "print the logs of the nodes")

// server is the common interface of the stand-in engines and services.
type server interface {
	Listen(addr string) error
	Close()
	Crash()
	Restart() error
	Freeze()
	Unfreeze()
	Net() *netfault.Server
}

// clusterOptions configure a cluster. Zero values mean four nodes and two servers of each kind per failure domain.
type clusterOptions struct {
	Nodes        int
	Servers      int // of each kind
	Seed         uint64
	ServiceDelay time.Duration
}

// cluster is a set of complete entry nodes, with stand-ins for the platform and the backend servers, in the virtual
// time of a synctest bubble.
type cluster struct {
	opts     clusterOptions
	platform *standin.Platform
	folder   *standin.MemFolder
	network  *netfault.PipeNetwork
	mesh     *mesh
	nodesMu  sync.Mutex // guards nodes, which a restart changes while watchVersions reads them
	nodes    []*testNode
	engines  map[string]*engine.Engine
	services map[string]*service.Service
	runs     *service.RunLog
	started  time.Time
}

// testNode is one entry node.
type testNode struct {
	*node.Node
	settings *pb.NodeSettings
	process  *process
	drain    context.CancelFunc // has the effect of SIGTERM
	done     chan struct{}
	err      error
}

// runWithCluster runs a scenario with a cluster in virtual time.
func runWithCluster(t *testing.T, opts clusterOptions, scenario func(t *testing.T, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c, err := newCluster(opts)
		assert.NilError(t, err)
		defer c.stop()
		scenario(t, c)
	})
}

// newCluster starts a cluster and returns when every node is ready and sees all others.
func newCluster(opts clusterOptions) (*cluster, error) {
	if opts.Nodes == 0 {
		opts.Nodes = testDomains
	}
	if opts.Servers == 0 {
		opts.Servers = 2 * testDomains
	}
	if opts.Seed == 0 {
		opts.Seed = 1
	}
	folder := standin.NewMemFolder(example.Files())
	c := &cluster{
		opts:     opts,
		folder:   folder,
		platform: standin.New(standin.Options{Seed: opts.Seed, Folder: folder, Cloud: standin.CloudOptions{ListLag: listLag}}),
		network:  netfault.NewPipeNetwork(),
		mesh:     newMesh(opts.Seed),
		engines:  map[string]*engine.Engine{},
		services: map[string]*service.Service{},
		runs:     service.NewRunLog(),
	}
	for i := range opts.Servers {
		if err := errors.Join(c.addEngine(i), c.addService(i)); err != nil {
			return nil, err
		}
	}
	for i := range opts.Nodes {
		if err := c.addNode(i); err != nil {
			return nil, err
		}
	}
	err := c.awaitReady(opts.Nodes)
	c.started = time.Now()
	if err != nil {
		c.stop()
	}
	return c, err
}

func (c *cluster) awaitReady(live int) error {
	ctx, cancel := context.WithTimeout(context.Background(), readyLimit)
	defer cancel()
	for _, n := range c.nodes {
		if n.process.isDead() {
			continue
		}
		if err := n.AwaitReady(ctx, live); err != nil {
			return fmt.Errorf("%s: %w", n.settings.Node, err)
		}
	}
	return nil
}

func domain(i int) string { return fmt.Sprintf("domain-%d", i%testDomains) }

func (c *cluster) addEngine(i int) error {
	name := fmt.Sprintf("engine-%d", i)
	e := engine.New(engine.Options{
		Name:     name,
		Models:   []string{"quote-small", "brief-large"},
		Seed:     c.opts.Seed,
		StepBase: stepTime,
		LoadLag:  loadLag,
		Listen:   c.network.Listen,
	})
	c.engines[name] = e
	return c.addServer(name, i, "assistant", "gpu", platform.ModelEngine, e)
}

func (c *cluster) addService(i int) error {
	name := fmt.Sprintf("service-%d", i)
	s := service.New(service.Options{
		Name:   name,
		Seed:   c.opts.Seed,
		Delay:  max(5*time.Millisecond, c.opts.ServiceDelay),
		Runs:   c.runs,
		Listen: c.network.Listen,
	})
	c.services[name] = s
	return c.addServer(name, i, "booking", "cpu", platform.PlainService, s)
}

func (c *cluster) addServer(name string, i int, group, class string, kind platform.InstanceKind, s server) error {
	addr := fmt.Sprintf("%s:80", name)
	if err := s.Listen(addr); err != nil {
		return err
	}
	c.platform.Cloud.Add(platform.Instance{
		ID:            name,
		Kind:          kind,
		Region:        testRegion,
		FailureDomain: domain(i),
		Addr:          addr,
		BackendGroup:  group,
		InstanceClass: class,
		Reclaimable:   true,
	}, s.Close)
	return nil
}

// server returns a backend server by its name.
func (c *cluster) server(name string) server {
	if e, ok := c.engines[name]; ok {
		return e
	}
	return c.services[name]
}

// addNode starts the i-th entry node.
func (c *cluster) addNode(i int) error {
	settings := &pb.NodeSettings{
		Node:          fmt.Sprintf("entry-%d", i+1),
		Region:        testRegion,
		FailureDomain: domain(i),
		CallerAddr:    fmt.Sprintf("10.0.0.%d:8080", i+1),
		NodeAddr:      fmt.Sprintf("10.0.0.%d:9000", i+1),
	}
	n, err := c.build(settings)
	if err != nil {
		return err
	}
	c.platform.Cloud.Add(platform.Instance{
		ID:            settings.Node,
		Kind:          platform.EntryNode,
		Region:        settings.Region,
		FailureDomain: settings.FailureDomain,
		Addr:          settings.CallerAddr,
		NodeAddr:      settings.NodeAddr,
		Reclaimable:   true,
	}, n.kill)
	c.nodesMu.Lock()
	defer c.nodesMu.Unlock()
	if i < len(c.nodes) {
		c.nodes[i] = n // a restart
	} else {
		c.nodes = append(c.nodes, n)
	}
	return nil
}

func (c *cluster) build(settings *pb.NodeSettings) (*testNode, error) {
	n := &testNode{settings: settings, process: newProcess(), done: make(chan struct{})}
	client := httpclient.Options{Dial: n.process.dialer(c.network)}
	var err error
	n.Node, err = node.New(node.Options{
		Settings:  settings,
		Platform:  n.process.platform(c.platform),
		Engine:    enginehttp.New(enginehttp.Options{HTTP: client}),
		Service:   servicehttp.New(servicehttp.Options{HTTP: client}),
		Log:       testLog(settings.Node),
		Transport: c.mesh.listen(settings, n.process),
		Listen:    n.process.listener(c.network),
		Seed:      c.opts.Seed,
	})
	if err != nil {
		return nil, err
	}
	var ctx context.Context
	ctx, n.drain = context.WithCancel(context.Background())
	go func() {
		defer close(n.done)
		n.err = n.Run(ctx)
	}()
	return n, nil
}

func testLog(name string) *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	logger.SetLevel(logrus.PanicLevel)
	if *verbose {
		logger.SetOutput(os.Stderr)
		logger.SetLevel(logrus.DebugLevel)
		logger.SetFormatter(&logrus.TextFormatter{TimestampFormat: "15:04:05.000000", FullTimestamp: true})
	}
	return logger.WithField("node", name)
}

// kill ends a node at once, like a power failure of its instance.
func (n *testNode) kill() {
	n.process.kill()
	n.Kill()
	n.drain()
}

// exited reports whether the node's Run has returned.
func (n *testNode) exited() bool {
	select {
	case <-n.done:
		return true
	default:
		return false
	}
}

// stop ends everything and waits settleTime, so that no goroutine is left in the synctest bubble.
func (c *cluster) stop() {
	for _, n := range c.nodes {
		n.kill()
	}
	for _, n := range c.nodes {
		<-n.done
	}
	c.platform.Close()
	for _, e := range c.engines {
		e.Close()
	}
	for _, s := range c.services {
		s.Close()
	}
	time.Sleep(settleTime)
}

// Guards against nodes that cannot start without real sockets or whose start depends on the real clock.
func TestNodesRunInVirtualTime(t *testing.T) {
	runWithCluster(t, clusterOptions{}, func(t *testing.T, c *cluster) {
		for i, n := range c.nodes {
			res := newCaller(c).do(i, request{method: "GET", path: "/readyz"})
			assert.Equal(t, res.status, 200, "%s: %s", n.settings.Node, res.body)
		}
	})
}
