// Package node assembles an entry node from its components and runs it.
//
// # Lifecycle
//
// A node finds the other nodes through the instance list, joins their membership and fetches the configuration in force
// from them or from the platform's stores. It listens for callers from the start; until it has a configuration, it
// refuses requests with a result code.
// On SIGTERM or a reclaim notice it announces that it is leaving, redirects new requests to other nodes, finishes or
// hands over the open ones, and exits.
package node

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/pollenlug/pollenlug/internal/callerguard"
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
	"github.com/pollenlug/pollenlug/pkg/headerlimit"
	"github.com/pollenlug/pollenlug/pkg/limit"
	"github.com/pollenlug/pollenlug/pkg/platform"
	"github.com/pollenlug/pollenlug/pkg/route"
	"github.com/pollenlug/pollenlug/pkg/stream"
)

// Limits of the HTTP server for callers. The default ones apply where the settings have no value.
const (
	defaultMaxHeaderBytes = 32 << 10
	// headerMemory bounds the memory of the headers of all connections, in bytes.
	headerMemory = 32 << 20
	// callerDescriptorPercent is the percentage of the process's descriptors that may be connections of callers. The
	// rest is for backend servers, the platform and files.
	callerDescriptorPercent = 50
	defaultHeaderTimeout    = 5 * time.Second
	idleTimeout             = 2 * time.Minute
	// bodyTimeout limits the time for a body after its header.
	bodyTimeout = time.Minute
	bytesPerKiB = 1024
	// responseExpiryInterval is how often expired responses are deleted.
	responseExpiryInterval = 10 * time.Second
	// claimPurgeInterval and claimPurgeRows bound the load that deleting old claims puts on the table service: 0.2
	// reads per second.
	claimPurgeInterval = 5 * time.Second
	claimPurgeRows     = 256
	// defaultMaxOpenRequests bounds the open requests of a node; each stream takes about 32 KiB.
	defaultMaxOpenRequests = 20_000
	// claimStoreTimeout bounds the wait for a claim. While the store is down, callers must be refused within 250 ms;
	// the other 50 ms are for sending the refusal.
	claimStoreTimeout = 200 * time.Millisecond
	// maxEjectedPercent bounds the share of a group's servers that get no requests because they fail.
	maxEjectedPercent = 30
	// shutdownTimeout bounds the shutdown of the HTTP server after the drain.
	shutdownTimeout = 2 * time.Second
)

// Platform holds the clients of the platform's services.
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
	// Send sends a one-way message, which may be lost.
	Send(addr string, env *pb.Envelope)
	// Request sends a message and returns the reply of the node at addr.
	Request(ctx context.Context, addr string, env *pb.Envelope) (*pb.Envelope, error)
	SetHandler(h func(ctx context.Context, from string, env *pb.Envelope) (*pb.Envelope, error))
	Close() error
}

// Options are the settings and dependencies of a Node.
type Options struct {
	Settings    *pb.NodeSettings
	Platform    Platform
	Credentials *transport.Credentials
	Engine      backend.Engine
	Service     backend.Service
	Log         *logrus.Entry
	// Transport carries messages between nodes; nil means QUIC at the settings' node_addr with the Credentials.
	Transport Transport
	// Listen opens the listener for callers; nil means TCP.
	Listen func(addr string) (net.Listener, error)
	// Seed makes random choices reproducible, for tests; 0 means a random seed.
	Seed uint64
	// RestartStreams restarts interrupted responses from their first token; benchmarks use it as the baseline.
	RestartStreams bool
}

// Node is an entry node.
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
	callerGuard  *callerguard.Guard

	folderFaults atomic.Pointer[folderFaults]
	leaving      atomic.Bool
	drained      chan struct{}
	openRequests atomic.Int64
	// closing ends when the node is about to exit, endCalls ends it.
	closing  context.Context
	endCalls context.CancelFunc
	// reclaimed receives the deadline from a reclaim notice for this node.
	reclaimed chan time.Time
	killed    chan struct{}
	killOnce  sync.Once
}

// New returns a node, which does nothing until Run.
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
	n.closing, n.endCalls = context.WithCancel(context.Background())
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
	quicTransport, err := transport.New(transport.Options{
		Node:        n.opts.Settings.Node,
		Region:      n.opts.Settings.Region,
		Addr:        n.opts.Settings.NodeAddr,
		Credentials: n.opts.Credentials,
		Log:         n.log,
	})
	if err != nil {
		return merry.Prepend(err, "node_addr")
	}
	n.transport = quicTransport
	return nil
}

// build creates the components and connects them.
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
		ReadsList:    func() bool { return n.cluster.hasRole(instanceListRole, 1) },
		ReadsNotices: func() bool { return n.cluster.hasRole(noticeRole, noticeReaders) },
		Gossip:       n.cluster.gossip,
		Leaving:      n.serverLeaving,
		Changed:      n.serversChanged,
		Self:         s.Node,
		SelfLeaving:  func(deadline time.Time) { n.reclaimed <- deadline },
		Log:          n.log,
	})
	n.guard.queryLoad = newLoadQuery(n.opts.Engine, n.opts.Service, n.tracker.Instance)
	n.guard.hasNotice = n.tracker.HasNotice
	n.guard.startedAt = n.loads.startedAt
	n.config.Watch(n.applyConfig)
	n.cluster.watchConfig(n.handleConfigAnnouncement)
	n.cluster.gossip.Watch(folderFaultKey, n.handleFolderFaults)
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
		Run:       func(log *stream.Log, kv string) error { return n.runner.RunWithKV(log, kv, func() {}) },
		Metrics:   n.metrics,
		Log:       n.log,
	})
}

// progress forwards the progress of responses to the replicator, which is built after the runner.
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
		StoreTimeout: claimStoreTimeout,
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
			uniqueSuffix: n.random.uniqueSuffix,
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
		Closing:  n.closing,
		Metrics:  n.metrics,
		Log:      n.log,
	})
	server := &http.Server{
		Handler:           n.limitOpenRequests(handler),
		ReadHeaderTimeout: defaultHeaderTimeout,
		MaxHeaderBytes:    defaultMaxHeaderBytes,
		IdleTimeout:       idleTimeout,
	}
	if edge.GetHeaderTimeoutMs() > 0 {
		server.ReadHeaderTimeout = time.Duration(edge.HeaderTimeoutMs) * time.Millisecond
	}
	if edge.GetMaxHeaderKib() > 0 {
		server.MaxHeaderBytes = int(edge.MaxHeaderKib) * bytesPerKiB
	}
	limits := headerlimit.Limits{HeaderBytes: server.MaxHeaderBytes, HeaderTimeout: server.ReadHeaderTimeout, BodyTimeout: bodyTimeout, IdleTimeout: server.IdleTimeout}
	n.callerGuard = callerguard.New(callerguard.Options{
		Limits:      func() headerlimit.Limits { return limits },
		Budget:      headerlimit.NewBudget(headerMemory, nil),
		Connections: callerguard.Descriptors(0) * callerDescriptorPercent / 100,
		Metrics:     n.metrics,
		Log:         n.log,
	})
	n.callerGuard.Attach(server)
	server.MaxHeaderBytes *= 2 // the guard refuses before net/http does, with a result code
	return server
}

// limitOpenRequests refuses requests above the limit of open ones. A drain waits until the count of open requests is 0.
func (n *Node) limitOpenRequests(next http.Handler) http.Handler {
	limit := int64(defaultMaxOpenRequests)
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
	backgroundCtx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	n.start(backgroundCtx, &wg)
	serveErr := make(chan error, 1)
	go func() { serveErr <- n.serve(listener) }()
	n.log.WithField("addr", n.opts.Settings.CallerAddr).Info("node listening; waiting for configuration and members")
	err = n.awaitShutdown(ctx, serveErr)
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

// awaitShutdown returns when the node has drained, was killed or could not serve.
func (n *Node) awaitShutdown(ctx context.Context, serveErr <-chan error) error {
	var deadline time.Time
	select {
	case err := <-serveErr:
		return err
	case <-n.killed:
		return nil
	case <-ctx.Done():
		deadline = n.drainDeadline()
	case deadline = <-n.reclaimed:
	}
	go n.Drain(context.Background(), deadline)
	select {
	case <-n.drained:
	case <-n.killed:
		return nil
	}
	n.cluster.view.AnnounceLeft()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if !deadline.IsZero() {
		shutdownCtx, cancel = context.WithDeadline(shutdownCtx, deadline.Add(-lastStepMargin))
		defer cancel()
	}
	_ = n.server.Shutdown(shutdownCtx)
	return n.server.Close()
}

// drainDeadline returns the time by which a drain that starts now must end; zero means no limit.
func (n *Node) drainDeadline() time.Time {
	if n.opts.Settings.DrainLimitSeconds == 0 {
		return time.Time{}
	}
	return time.Now().Add(time.Duration(n.opts.Settings.DrainLimitSeconds) * time.Second)
}

func (n *Node) serve(listener net.Listener) error {
	if files := n.opts.Settings.CallerTls; files != nil {
		certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
		if err != nil {
			return merry.Prepend(err, "caller_tls")
		}
		// HTTP/2 is not offered: callerGuard counts the headers of HTTP/1.1 only.
		listener = tls.NewListener(listener, &tls.Config{Certificates: []tls.Certificate{certificate}, NextProtos: []string{"http/1.1"}})
	}
	err := n.server.Serve(n.callerGuard.Listener(listener))
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// start starts the background tasks, which run until ctx ends.
func (n *Node) start(ctx context.Context, wg *sync.WaitGroup) {
	n.cluster.start(ctx, wg)
	for _, run := range []func(context.Context){
		n.config.Run,
		n.tracker.Run,
		n.replicator.Run,
		func(ctx context.Context) { n.loads.run(ctx, n.tracker.List) },
		n.claims.Run,
		n.expireResponses,
		n.exchangeDemand,
		n.exchangeModelDemand,
		n.runFleet,
		n.adjustSlots,
		n.serveProfiles,
		n.guard.run,
		n.purgeClaims,
		n.publishFolderFaults,
		func(ctx context.Context) { callerguard.Run(ctx, n.log, n.callerGuard) },
	} {
		wg.Go(func() { run(ctx) })
	}
}

// purgeClaims deletes the old claim rows of non-repeatable calls while this node holds that role.
func (n *Node) purgeClaims(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, claimPurgeInterval)
		if !n.cluster.hasRole(purgeRole, 1) {
			continue
		}
		if _, err := n.claims.Purge(ctx, claimPurgeRows); err != nil {
			n.log.WithError(err).Debug("could not delete old claim rows; will retry")
		}
	}
}

// expireResponses deletes the responses that have had no reader and no change for the retention period.
func (n *Node) expireResponses(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, responseExpiryInterval)
		if index := n.Config(); index != nil {
			n.logs.Expire(time.Now(), index.Policy().ResponseRetention)
		}
	}
}

// applyConfig applies a new configuration in force to the node's components and announces it.
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

// handleConfigAnnouncement handles a version that another node announces. Of two concurrent announcements, the one with
// the lower version may win; a node with a higher version in force therefore announces its own again.
func (n *Node) handleConfigAnnouncement(version uint64, digest, node string) {
	current := n.config.Current()
	if current != nil && current.Version > version {
		go n.cluster.announceConfig(current.Version, current.Digest)
		return
	}
	n.config.HandleAnnouncement(context.Background(), version, digest, node)
}

// serverLeaving moves the responses that run on a leaving server.
func (n *Node) serverLeaving(server string, deadline time.Time) {
	go n.runner.ServerLeaving(context.Background(), server, deadline)
}

// serversChanged updates the list of backend servers in the components that keep state for each.
func (n *Node) serversChanged(list []platform.Instance) {
	n.loads.setServers(list)
	ids := make([]string, 0, len(list))
	groups := map[string][]string{}
	for _, instance := range list {
		ids = append(ids, instance.ID)
		groups[instance.BackendGroup] = append(groups[instance.BackendGroup], instance.ID)
	}
	n.serverLimits.Retain(ids)
	n.outliers.SetServers(groups)
}

// Kill stops the node at once, like a power failure: nothing is handed over, and its runs on backend servers end.
func (n *Node) Kill() {
	n.killOnce.Do(func() {
		close(n.killed)
		_ = n.server.Close()
		_ = n.transport.Close()
		n.logs.Each(func(log *stream.Log) { n.runner.Stop(log.Meta().ID) })
	})
}

// Config returns the configuration in force, or nil if there is none yet.
func (n *Node) Config() *config.Index {
	if current := n.config.Current(); current != nil {
		return current.Index
	}
	return nil
}

// handle processes a message from another node and returns the reply.
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
	if reply := n.replicator.Handle(ctx, from, env); reply != nil {
		return reply, nil
	}
	return n.cluster.handle(ctx, from, env)
}
