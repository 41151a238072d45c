package edge

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenlug/pollenlug/internal/adapter/httpclient"
	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/logline"
	"github.com/pollenlug/pollenlug/internal/metrics"
	"github.com/pollenlug/pollenlug/internal/netdial"
	"github.com/pollenlug/pollenlug/pkg/limit"
	"github.com/pollenlug/pollenlug/pkg/placement"
	"github.com/pollenlug/pollenlug/pkg/quota"
	"github.com/pollenlug/pollenlug/pkg/serving"
	"github.com/pollenlug/pollenlug/pkg/usage"
)

const (
	// memoryShare is the part of the memory limit that the runtime keeps to; the rest is for stacks and socket buffers.
	memoryShare = 0.7
	// serverDialTimeout bounds a new connection to a backend server.
	serverDialTimeout = 700 * time.Millisecond
	// serverIdleTimeout closes unused connections to servers before the servers do.
	serverIdleTimeout = 4 * time.Second
	// serverIdleConnections is per server.
	serverIdleConnections = 16
	// ejectPercent is the most servers of a service that are taken out for failures at a time.
	ejectPercent = 40
	// callerIdleTimeout closes unused connections of callers; it is over the longest that a configuration names.
	callerIdleTimeout = 3 * time.Minute
	// callerHeaderTimeout bounds the header of a request until there is a configuration, whose own bound is usually a few
	// seconds; callerHeaderBytes bounds its size.
	callerHeaderTimeout = 30 * time.Second
	callerHeaderBytes   = 64 << 10
)

// Options are the parts of a Node that the adapter of a platform provides.
type Options struct {
	Settings *Settings
	Headers  Headers
	Records  Records
	Names    Names
	Store    Store
	Duties   Duties
	Metrics  *metrics.Set
	Log      *logrus.Entry
}

// Node is one node.
type Node struct {
	settings *Settings
	headers  Headers
	names    Names
	store    Store
	duties   Duties
	metrics  *metrics.Set
	log      *logrus.Entry
	started  time.Time

	config  *configView
	servers *serverView
	peers   *peers
	fetcher *fetcher

	callers  *callerConns
	client   *httpclient.Client
	board    *placement.Board
	outliers *limit.Outliers
	quota    *quota.Buckets
	usage    *usage.Counter
	crashes  *crashGuard
	demand   *demandMeter
	memory   *memoryBound

	retriesMu sync.Mutex
	retries   map[string]*limit.RetryWindow

	holdsDuties atomic.Bool
	stopping    atomic.Bool
	stoppedAt   atomic.Pointer[time.Time] // of the stop signal
	open        atomic.Int64
}

// New returns a node that serves nothing until Run.
func New(o Options) *Node {
	now := time.Now()
	n := &Node{settings: o.Settings, headers: o.Headers, names: o.Names, store: o.Store, duties: o.Duties,
		metrics: o.Metrics, log: o.Log, started: now, retries: map[string]*limit.RetryWindow{}}
	n.client = httpclient.New(httpclient.Options{DialTimeout: serverDialTimeout, IdleTimeout: serverIdleTimeout,
		MaxIdleConnections: serverIdleConnections, Dial: netdial.Dial(serverDialTimeout)})
	n.board = placement.NewBoard(o.Settings.FailureDomain)
	n.outliers = limit.NewOutliers(ejectPercent, time.Now)
	n.quota = quota.New()
	n.usage = usage.New(life(o.Settings.Node, now.UnixMilli()), o.Settings.UsageWindow)
	n.crashes = newCrashGuard(o.Log)
	n.demand = newDemandMeter(now)
	n.memory = newMemoryBound(o.Settings.MemoryBytes)
	n.callers = &callerConns{log: o.Log, limits: n.callerLimits, conns: map[net.Conn]*callerConn{}}
	n.config = &configView{store: o.Store, records: o.Records, names: o.Names, log: o.Log, changed: n.configChanged}
	n.servers = &serverView{store: o.Store, records: o.Records, table: o.Names.ServerTable, log: o.Log,
		changed: n.serversChanged, entries: map[string]*serverEntry{}}
	n.fetcher = newFetcher(n.config, n.servers, o.Log)
	n.peers = &peers{self: o.Settings.Node, addr: o.Settings.PeerAddr, store: o.Store, log: o.Log, started: now.UnixMilli(),
		compose: n.beat, composeNews: n.news, usage: n.usageBeat, heard: n.heard, left: n.peerLeft, nodes: map[string]*peerNode{}, largest: 1, news: make(chan struct{}, 1)}
	turn := &storeTurn{position: n.peers.position, place: n.peers.place, lost: &atomic.Int32{}}
	n.peers.turn, n.config.turn, n.servers.turn = turn, turn, turn
	n.servers.beat, n.servers.news, n.config.news = n.peers.beatInterval, n.peers.sendSoon, n.peers.sendSoon
	return n
}

// Run serves until ctx ends, then drains within the grace.
func (n *Node) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(memoryShare * float64(n.settings.MemoryBytes)))
	if err := n.peers.listen(); err != nil {
		return fmt.Errorf("datagram socket: %w", err)
	}
	n.peers.seed(n.seedAddrs(n.settings.Seeds))
	background, stop := context.WithCancel(context.Background())
	defer stop()
	servers, err := n.listen(background)
	if err != nil {
		return err
	}
	var work sync.WaitGroup
	for _, run := range []func(context.Context){n.config.follow, n.servers.follow, n.peers.run, n.peers.register, n.crashes.run, n.callers.run, n.summarize, n.followUnseen} {
		work.Go(func() { run(background) })
	}
	dutiesCtx, stopDuties := context.WithCancel(background)
	defer stopDuties()
	work.Go(func() { n.runDuties(dutiesCtx) })
	n.log.WithFields(logrus.Fields{"addr": n.settings.CallerAddr, "failure_domain": n.settings.FailureDomain}).Info(logline.NodeStarted)
	<-ctx.Done()
	n.drain(servers, stopDuties)
	stop()
	work.Wait()
	n.log.Info(logline.NodeStopped)
	return nil
}

// Reload takes the settings that can change while the node runs: the addresses of other nodes. Listeners, limits and
// bounds need a restart.
func (n *Node) Reload(s *Settings) {
	n.peers.seed(n.seedAddrs(s.Seeds))
}

// seedAddrs returns the datagram addresses of seeds.
func (n *Node) seedAddrs(seeds []string) []string {
	var out []string
	for _, seed := range seeds {
		out = append(out, withPort(seed, n.settings.PeerPort))
	}
	return out
}

// listen opens all listeners and serves them.
func (n *Node) listen(ctx context.Context) ([]*http.Server, error) {
	handlers := []struct {
		addr    string
		handler http.Handler
	}{
		{n.settings.CallerAddr, http.HandlerFunc(n.serveRequest)},
		{n.settings.ReadyAddr, n.readyHandler()},
		{n.settings.DirectoryAddr, n.directoryHandler()},
		{n.settings.ControlAddr, n.controlHandler()},
		{n.settings.MetricsAddr, n.metrics},
	}
	var servers []*http.Server
	for _, h := range handlers {
		listener, err := netdial.Listen(ctx, h.addr)
		if err != nil {
			return nil, err
		}
		server := &http.Server{Handler: h.handler, ReadHeaderTimeout: callerHeaderTimeout, IdleTimeout: callerIdleTimeout,
			MaxHeaderBytes: callerHeaderBytes, ErrorLog: discardLog()}
		if h.addr == n.settings.CallerAddr {
			n.callers.attach(server)
		}
		servers = append(servers, server)
		go func() {
			if err := server.Serve(listener); err != nil && err != http.ErrServerClosed {
				n.log.WithError(err).WithField("addr", h.addr).Error("listener failed")
			}
		}()
	}
	return servers, nil
}

// callerLimits are the limits of the configuration in force; none before there is one.
func (n *Node) callerLimits() serving.Limits {
	if c := n.config.Load(); c != nil {
		return c.Limits
	}
	return serving.Limits{}
}

// serves reports whether callers should be sent here.
func (n *Node) serves() bool { return !n.stopping.Load() && n.informed() }

// informed reports whether the node knows the configuration and the servers.
func (n *Node) informed() bool { return n.config.Load() != nil && n.servers.known.Load() }

const (
	// startWait is how long a request waits for a node that has just started to know where to send it.
	startWait = 400 * time.Millisecond
	// startPoll is how often it looks.
	startPoll = 10 * time.Millisecond
)

// awaitViews waits a moment for the first views of a node that has just started.
func (n *Node) awaitViews(ctx context.Context) {
	until := n.started.Add(startWait)
	for !n.informed() && time.Now().Before(until) && clock.Sleep(ctx, startPoll) {
	}
}

// configChanged prepares what depends on the configuration before it is in force.
func (n *Node) configChanged(c *serving.Config) {
	limits := make([]quota.Limit, 0, len(c.Workspaces))
	for _, w := range c.Workspaces {
		limits = append(limits, quota.Limit{Workspace: w.Name, Rate: w.Rate, Burst: w.Burst})
	}
	n.quota.SetLimits(limits, time.Now())
}

func (n *Node) serversChanged(servers []serving.Server) {
	n.crashes.serversChanged(servers, time.Now())
	n.board.SetServers(servers)
	groups := map[string][]string{}
	for _, s := range servers {
		groups[s.Service] = append(groups[s.Service], s.ID)
	}
	n.outliers.SetServers(groups)
	n.log.WithField("servers", len(servers)).Info(logline.ServerViewChanged)
}

// retryWindow returns the budget of repeats to a service.
func (n *Node) retryWindow(service string) *limit.RetryWindow {
	n.retriesMu.Lock()
	defer n.retriesMu.Unlock()
	w := n.retries[service]
	if w == nil {
		w = limit.NewRetryWindow(retryShare*n.settings.RetryRatio, n.settings.RetryWindow, 0)
		n.retries[service] = w
	}
	w.SetAllowance(retryShare * n.settings.RetrySlack / float64(n.peers.size()))
	return w
}

// summarize logs what has been counted, now and then, for readers of logs without metrics.
func (n *Node) summarize(ctx context.Context) {
	for clock.Sleep(ctx, summaryInterval) {
		n.log.WithFields(logrus.Fields{"store_calls": n.metrics.Snapshot("store_calls"), "requests": n.metrics.Snapshot("requests"),
			"retries": n.metrics.Snapshot("retries"), "open": n.open.Load(), "nodes": len(n.peers.alive(time.Now())) + 1}).Info("summary")
	}
}
