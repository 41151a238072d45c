// Package node builds an entry node from its parts and runs it.
//
// # Lifecycle
//
// A node joins by asking the instance list and other nodes, takes the configuration in force from them, and listens for
// callers from the start: until it has a configuration it refuses them with a code. On SIGTERM or a reclaim notice it
// announces that it leaves, sends new callers to other nodes, finishes or hands over what it has and exits.
package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/dispatch"
	"github.com/pollenlug/pollenlug/internal/fleetholder"
	"github.com/pollenlug/pollenlug/internal/gateway"
	"github.com/pollenlug/pollenlug/internal/generate"
	"github.com/pollenlug/pollenlug/internal/metrics"
	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/internal/replica"
	"github.com/pollenlug/pollenlug/internal/servers"
	"github.com/pollenlug/pollenlug/internal/transport"
	"github.com/pollenlug/pollenlug/pkg/backend"
	"github.com/pollenlug/pollenlug/pkg/claim"
	"github.com/pollenlug/pollenlug/pkg/code"
	"github.com/pollenlug/pollenlug/pkg/config"
	"github.com/pollenlug/pollenlug/pkg/configstore"
	"github.com/pollenlug/pollenlug/pkg/limit"
	"github.com/pollenlug/pollenlug/pkg/platform"
	"github.com/pollenlug/pollenlug/pkg/route"
	"github.com/pollenlug/pollenlug/pkg/stream"
)

// Limits of the HTTP server towards callers, where the settings leave them open.
const (
	defaultMaxHeaderBytes = 32 << 10
	defaultHeaderTimeout  = 5 * time.Second
	idleTimeout           = 2 * time.Minute
	bytesPerKiB           = 1024
	// expireInterval is how often old responses are dropped.
	expireInterval = 10 * time.Second
	// purgeInterval and purgeRows bound what the deletion of old claims costs the table service: 0.2 reads a second.
	purgeInterval = 5 * time.Second
	purgeRows     = 256
	// defaultMaxOpen bounds the open requests of a node; each stream takes about 32 KiB.
	defaultMaxOpen = 20_000
	// storeTimeout bounds the wait for a claim. Callers are to be refused within 250 ms while the store is down; the rest
	// is for the path to them.
	storeTimeout = 200 * time.Millisecond
	// maxEjectedPercent bounds the servers of a group that are passed over because they fail.
	maxEjectedPercent = 30
	// shutdownTimeout bounds the last step of an exit.
	shutdownTimeout = 2 * time.Second
)

// Platform are the interfaces of the platform.
type Platform struct {
	Table     platform.Table
	Objects   platform.Objects
	Folder    platform.Folder
	Cloud     platform.Cloud
	Instances platform.InstanceList
	Weights   platform.Weights
}

// Transport carries messages between nodes; *transport.Transport implements it.
type Transport interface {
	// Send sends a message without an answer; it may get lost.
	Send(addr string, env *pb.Envelope)
	// Request returns the answer of the node at addr.
	Request(ctx context.Context, addr string, env *pb.Envelope) (*pb.Envelope, error)
	SetHandler(h func(ctx context.Context, from string, env *pb.Envelope) (*pb.Envelope, error))
	Close() error
}

// Options are what a node is built from.
type Options struct {
	Settings    *pb.NodeSettings
	Platform    Platform
	Credentials *transport.Credentials
	Engine      backend.Engine
	Service     backend.Service
	Log         *logrus.Entry
	// Transport replaces QUIC between nodes; nil means QUIC at the settings' node_addr with the Credentials.
	Transport Transport
	// Listen opens the listener for callers; nil means TCP.
	Listen func(addr string) (net.Listener, error)
	// Seed fixes the random choices, for tests; 0 means different ones in each process.
	Seed uint64
	// RestartStreams starts interrupted responses again from their first token, as the baseline of measurements.
	RestartStreams bool
}

// Node is one entry node.
type Node struct {
	opts    Options
	log     *logrus.Entry
	metrics *metrics.Set
	random  *random

	transport    Transport
	cluster      *cluster
	config       *configstore.Store
	router       *route.Router
	tracker      *servers.Tracker
	loads        *loads
	serverLimits *limit.ServerLimits
	outliers     *limit.Outliers
	logs         *stream.Store
	replicator   *replica.Replicator
	runner       *generate.Runner
	claims       *claim.Claims
	dispatcher   *dispatch.Dispatcher
	admission    *limit.Admission
	guard        *guard
	modelDemand  *modelDemand
	fleet        *fleetholder.Fleet
	server       *http.Server

	folderFaults atomic.Pointer[folderFaults]
	leaving      atomic.Bool
	drained      chan struct{}
	openRequests atomic.Int64
	// reclaimed receives the deadline of a reclaim notice for this node.
	reclaimed chan time.Time
	killed    chan struct{}
	killOnce  sync.Once
}

// New builds a node. Nothing runs until Run.
func New(opts Options) (*Node, error) {
	n := &Node{
		opts:      opts,
		log:       opts.Log,
		metrics:   metrics.NewSet(),
		random:    newRandom(opts.Seed, opts.Settings.Node),
		logs:      stream.NewStore(),
		drained:   make(chan struct{}),
		reclaimed: make(chan time.Time, 1),
		killed:    make(chan struct{}),
	}
	if err := n.openTransport(); err != nil {
		return nil, err
	}
	n.build()
	n.transport.SetHandler(n.handle)
	return n, nil
}

func (n *Node) openTransport() error {
	if n.opts.Transport != nil {
		n.transport = n.opts.Transport
		return nil
	}
	quic, err := transport.New(transport.Options{
		Node:        n.opts.Settings.Node,
		Region:      n.opts.Settings.Region,
		Addr:        n.opts.Settings.NodeAddr,
		Credentials: n.opts.Credentials,
		Log:         n.log,
	})
	if err != nil {
		return merry.Prepend(err, "node_addr")
	}
	n.transport = quic
	return nil
}

// build connects the parts.
func (n *Node) build() {
	s, p := n.opts.Settings, n.opts.Platform
	n.cluster = newCluster(s, n.transport, p.Instances, n.random, n.log)
	n.config = configstore.New(configstore.Options{
		Table:   p.Table,
		Objects: p.Objects,
		Folder:  p.Folder,
		Peers:   n.cluster,
		Node:    s.Node,
		Leader:  n.cluster.readsFolder,
		Rand:    n.random.fork(),
		Logger:  keyvalLogger{n.log},
	})
	n.router = route.New(route.Options{
		Policy:        route.Policy(s.RoutingPolicy),
		Region:        s.Region,
		FailureDomain: s.FailureDomain,
		Seed:          xxhash.Sum64String(s.Node), // nodes must prefer different subsets of servers
	})
	n.guard = newGuard(n.cluster, n.metrics)
	n.admission = limit.NewAdmission(limit.Options{Node: s.Node, Concurrency: minSlots})
	n.outliers = limit.NewOutliers(maxEjectedPercent, time.Now)
	n.serverLimits = limit.NewServerLimits(config.DefaultFirstToken, time.Now)
	n.loads = newLoads(n)
	n.modelDemand = newModelDemand()
	n.buildResponses()
	n.buildServices()
	n.tracker = servers.New(servers.Options{
		Instances:    p.Instances,
		Cloud:        p.Cloud,
		Router:       n.router,
		Config:       n.Config,
		Load:         n.loads.get,
		Allow:        n.outliers.Allow,
		ReadsList:    func() bool { return n.cluster.hasRole(listRole, 1) },
		ReadsNotices: func() bool { return n.cluster.hasRole(noticeRole, noticeReaders) },
		Gossip:       n.cluster.gossip,
		Leaving:      n.serverLeaving,
		Changed:      n.serversChanged,
		Self:         s.Node,
		SelfLeaving:  func(deadline time.Time) { n.reclaimed <- deadline },
		Log:          n.log,
	})
	n.guard.load = loadOf(n.opts.Engine, n.opts.Service, n.tracker.Instance)
	n.guard.hasNotice = n.tracker.HasNotice
	n.guard.startedAt = n.loads.startedAt
	n.config.Watch(n.applyConfig)
	n.cluster.watchConfig(n.heardConfig)
	n.cluster.gossip.Watch(folderFaultKey, n.heardFolderFaults)
	n.fleet = n.newFleet()
	n.server = n.newServer()
}

func (n *Node) buildResponses() {
	n.runner = generate.NewRunner(generate.Options{
		Router:   n.router,
		Engine:   n.opts.Engine,
		Budget:   n.guard,
		Strikes:  n.guard,
		Limits:   n.serverLimits,
		Progress: progress{n},
		Health:   n.outliers,
		Config:   n.Config,
		Metrics:  n.metrics,
		Log:      n.log,
		Restart:  n.opts.RestartStreams,
	})
	n.replicator = replica.New(replica.Options{
		Self:      n.cluster.self,
		Live:      n.cluster.live,
		Members:   n.cluster.members,
		Member:    n.cluster.member,
		Transport: n.transport,
		Logs:      n.logs,
		Run:       func(log *stream.Log, kv string) error { return n.runner.RunWith(log, kv, func() {}) },
		Metrics:   n.metrics,
		Log:       n.log,
	})
}

// progress tells the replicator, which is built after the runner.
type progress struct{ node *Node }

// Changed implements generate.Progress.
func (p progress) Changed(log *stream.Log) { p.node.replicator.Changed(log) }

// Confirm implements generate.Progress.
func (p progress) Confirm(ctx context.Context, log *stream.Log, attempt, offset uint32, tokens []string) {
	p.node.replicator.Confirm(ctx, log, attempt, offset, tokens)
}

func (n *Node) buildServices() {
	n.dispatcher = dispatch.New(dispatch.Options{
		Router:  n.router,
		Service: n.opts.Service,
		Budget:  n.guard,
		Strikes: n.guard,
		Health:  n.outliers,
		Config:  n.Config,
		Metrics: n.metrics,
		Log:     n.log,
	})
	n.claims = claim.New(claim.Options{
		Table:        n.opts.Platform.Table,
		Node:         n.opts.Settings.Node,
		StoreTimeout: storeTimeout,
		Jitter:       n.random.float64,
		Peers:        n.cluster,
		Outcomes:     n.dispatcher,
	})
	n.dispatcher.UseClaims(n.claims)
}

func (n *Node) newServer() *http.Server {
	edge := n.opts.Settings.Edge
	handler := gateway.New(gateway.Options{
		Node: n,
		Responses: &responses{
			node:         n.opts.Settings.Node,
			unique:       n.random.unique,
			leaving:      n.leaving.Load,
			strikes:      n.guard,
			countRequest: n.guard.Request,
			countDemand:  n.countDemand,
			admission:    n.admission,
			logs:         n.logs,
			replicator:   n.replicator,
			runner:       n.runner,
		},
		Services: n.dispatcher,
		Metrics:  n.metrics,
		Log:      n.log,
	})
	out := &http.Server{
		Handler:           n.countOpen(handler),
		ReadHeaderTimeout: defaultHeaderTimeout,
		MaxHeaderBytes:    defaultMaxHeaderBytes,
		IdleTimeout:       idleTimeout,
	}
	if edge.GetHeaderTimeoutMs() > 0 {
		out.ReadHeaderTimeout = time.Duration(edge.HeaderTimeoutMs) * time.Millisecond
	}
	if edge.GetMaxHeaderKib() > 0 {
		out.MaxHeaderBytes = int(edge.MaxHeaderKib) * bytesPerKiB
	}
	return out
}

// countOpen counts open requests, for which a drain waits, and refuses those above the limit.
func (n *Node) countOpen(next http.Handler) http.Handler {
	limit := int64(defaultMaxOpen)
	if set := n.opts.Settings.Edge.GetMaxOpenStreams(); set > 0 {
		limit = int64(set)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer n.openRequests.Add(-1)
		if n.openRequests.Add(1) > limit {
			e := code.New(code.QueueFull, "the entry node has too many open requests").WithRetryAfter(time.Second)
			gateway.Refuse(w, n.metrics, e)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Run serves until ctx ends or the instance is reclaimed, then drains and returns.
func (n *Node) Run(ctx context.Context) error {
	listener, err := n.listen()
	if err != nil {
		_ = n.transport.Close()
		return merry.Prepend(err, "caller_addr")
	}
	background, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	n.start(background, &wg)
	failed := make(chan error, 1)
	go func() { failed <- n.serve(listener) }()
	n.log.WithField("addr", n.opts.Settings.CallerAddr).Info("node listens; waits for configuration and members")
	err = n.awaitEnd(ctx, failed)
	stop()
	wg.Wait()
	_ = n.transport.Close()
	return err
}

func (n *Node) listen() (net.Listener, error) {
	if n.opts.Listen != nil {
		return n.opts.Listen(n.opts.Settings.CallerAddr)
	}
	return net.Listen("tcp", n.opts.Settings.CallerAddr)
}

// awaitEnd returns after the node has drained, was killed or has failed.
func (n *Node) awaitEnd(ctx context.Context, failed <-chan error) error {
	var deadline time.Time
	select {
	case err := <-failed:
		return err
	case <-n.killed:
		return nil
	case <-ctx.Done():
		deadline = n.drainLimit()
	case deadline = <-n.reclaimed:
	}
	go n.Drain(context.Background(), deadline)
	select {
	case <-n.drained:
	case <-n.killed:
		return nil
	}
	n.cluster.view.Left()
	shutdown, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = n.server.Shutdown(shutdown)
	return n.server.Close()
}

// drainLimit returns when a drain must end by the settings; zero means never.
func (n *Node) drainLimit() time.Time {
	if n.opts.Settings.DrainLimitSeconds == 0 {
		return time.Time{}
	}
	return time.Now().Add(time.Duration(n.opts.Settings.DrainLimitSeconds) * time.Second)
}

func (n *Node) serve(listener net.Listener) error {
	var err error
	if files := n.opts.Settings.CallerTls; files != nil {
		err = n.server.ServeTLS(listener, files.Certificate, files.Key)
	} else {
		err = n.server.Serve(listener)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// start runs the background work.
func (n *Node) start(ctx context.Context, wg *sync.WaitGroup) {
	n.cluster.start(ctx, wg)
	for _, run := range []func(context.Context){
		n.config.Run,
		n.tracker.Run,
		n.replicator.Run,
		func(ctx context.Context) { n.loads.run(ctx, n.tracker.List) },
		n.expire,
		n.exchangeDemand,
		n.exchangeModelDemand,
		n.runFleet,
		n.adjustSlots,
		n.serveProfiles,
		n.guard.run,
		n.purgeClaims,
		n.shareFolderFaults,
	} {
		wg.Go(func() { run(ctx) })
	}
}

// purgeClaims deletes old rows of non-repeatable calls while this node has that role.
func (n *Node) purgeClaims(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, purgeInterval)
		if !n.cluster.hasRole(purgeRole, 1) {
			continue
		}
		if _, err := n.claims.Purge(ctx, purgeRows); err != nil {
			n.log.WithError(err).Debug("old rows of non-repeatable calls cannot be deleted now")
		}
	}
}

// expire drops old responses.
func (n *Node) expire(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, expireInterval)
		if index := n.Config(); index != nil {
			n.logs.Expire(time.Now(), index.Policy().ResponseRetention)
		}
	}
}

// applyConfig puts a configuration into force on this node.
func (n *Node) applyConfig(current *configstore.InForce) {
	policy := current.Index.Policy()
	n.router.SetTargets(policy.FirstToken, policy.BetweenTokens, policy.RecomputeWeight)
	n.guard.setPolicy(policy)
	n.claims.SetRetention(policy.OutcomeRetention)
	n.serverLimits.SetTarget(policy.FirstToken)
	setWorkspaces(n.admission, current.Index)
	n.cluster.announceConfig(current.Version, current.Digest)
	n.log.WithFields(logrus.Fields{"version": current.Version, "digest": current.Digest}).Info("configuration is in force")
}

// heardConfig takes the announcement of a version. Of two announcements under way the one with the lower version may
// win; a node with a higher version in force then announces its own again.
func (n *Node) heardConfig(version uint64, digest, node string) {
	current := n.config.Current()
	if current != nil && current.Version > version {
		go n.cluster.announceConfig(current.Version, current.Digest)
		return
	}
	n.config.HandleAnnouncement(context.Background(), version, digest, node)
}

// serverLeaving moves the responses that run on a server which is to leave.
func (n *Node) serverLeaving(server string, deadline time.Time) {
	go n.runner.ServerLeaving(context.Background(), server, deadline)
}

// serversChanged tells the other parts which servers there are.
func (n *Node) serversChanged(list []platform.Instance) {
	n.loads.setServers(list)
	ids := make([]string, 0, len(list))
	groups := map[string][]string{}
	for _, instance := range list {
		ids = append(ids, instance.ID)
		groups[instance.BackendGroup] = append(groups[instance.BackendGroup], instance.ID)
	}
	n.serverLimits.Keep(ids)
	n.outliers.SetServers(groups)
}

// Kill stops the node at once, as when its machine is switched off: nothing is handed over, and its runs on backend
// servers end.
func (n *Node) Kill() {
	n.killOnce.Do(func() {
		close(n.killed)
		_ = n.server.Close()
		_ = n.transport.Close()
		n.logs.Each(func(log *stream.Log) { n.runner.Stop(log.Meta().ID) })
	})
}

// Config returns the configuration in force, or nil.
func (n *Node) Config() *config.Index {
	if current := n.config.Current(); current != nil {
		return current.Index
	}
	return nil
}

// handle answers messages of other nodes.
func (n *Node) handle(ctx context.Context, from string, env *pb.Envelope) (*pb.Envelope, error) {
	switch body := env.Body.(type) {
	case *pb.Envelope_ConfigFetch:
		return &pb.Envelope{Body: &pb.Envelope_ConfigState{ConfigState: n.config.Serve(body.ConfigFetch)}}, nil
	case *pb.Envelope_AttemptQuery:
		q := body.AttemptQuery
		state := n.claims.Query(q.Workspace, q.Key, q.Attempt)
		return &pb.Envelope{Body: &pb.Envelope_AttemptState{AttemptState: state}}, nil
	}
	switch env.Body.(type) {
	case *pb.Envelope_LoadDigest, *pb.Envelope_LoadDelta:
		n.loads.view.Receive(from, env)
		return &pb.Envelope{Body: &pb.Envelope_Ack{Ack: &pb.Ack{}}}, nil
	}
	if answer := n.replicator.Handle(ctx, from, env); answer != nil {
		return answer, nil
	}
	return n.cluster.handle(ctx, from, env)
}
