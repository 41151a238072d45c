package edge

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenlug/pollenlug/internal/adapter/httpclient"
	"github.com/pollenlug/pollenlug/internal/callerguard"
	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/logline"
	"github.com/pollenlug/pollenlug/internal/metrics"
	"github.com/pollenlug/pollenlug/internal/netdial"
	"github.com/pollenlug/pollenlug/pkg/drain"
	"github.com/pollenlug/pollenlug/pkg/limit"
	"github.com/pollenlug/pollenlug/pkg/placement"
	"github.com/pollenlug/pollenlug/pkg/platform"
	"github.com/pollenlug/pollenlug/pkg/quota"
	"github.com/pollenlug/pollenlug/pkg/serving"
	"github.com/pollenlug/pollenlug/pkg/stall"
	"github.com/pollenlug/pollenlug/pkg/strike"
	"github.com/pollenlug/pollenlug/pkg/usage"
)

const (
	// memoryShare is the fraction of the memory limit given to the Go runtime; the rest is for stacks and socket
	// buffers.
	memoryShare = 0.7
	// serverDialTimeout limits connection setup to a backend server.
	serverDialTimeout = 700 * time.Millisecond
	// serverIdleTimeout closes unused connections to servers before the servers do.
	serverIdleTimeout = 4 * time.Second
	// serverIdleConnections is the maximum number of idle connections per server.
	serverIdleConnections = 16
	// ejectPercent is the maximum percentage of a service's servers that are ejected as outliers at a time.
	ejectPercent = 40
)

// Options are the parts of a Node that a platform's adapter provides.
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

// Node is one node of the serving system.
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

	guards   []*callerguard.Guard
	client   *httpclient.Client
	board    *placement.Board
	outliers *limit.Outliers
	quota    *quota.Buckets
	usage    *usage.Counter
	crashes  *crashDetector
	prober   *crashProber
	// quarantined keeps the decisions of crashes in the store.
	quarantinedRequests *quarantineRows[strike.Change]
	quarantinedParts    *quarantineRows[strike.PartChange]
	storeReturn         *storeReturn
	pauses              *pauseGuard
	// finalUsage holds the usage counts that this node has made final, also those of its earlier terms.
	finalUsage *finalUsage
	rollouts   *rollouts
	demand     *demandMeter
	memory     *memoryAccount

	retriesMu sync.Mutex
	retries   map[string]*limit.RetryWindow

	holdsDuties  atomic.Bool
	stopping     atomic.Bool
	stoppedAt    atomic.Pointer[time.Time] // time of the stop signal
	openRequests atomic.Int64
	// durations records how long the requests of each route take, forecasts how wrong the expected times of attempts are.
	durations *drain.Durations
	forecasts *stall.Forecasts
	// work ends, by endWork, when a stopping node ends the open requests.
	work    context.Context
	endWork context.CancelFunc
}

// New returns a node that serves nothing until Run.
func New(o Options) *Node {
	now := time.Now()
	n := &Node{settings: o.Settings, headers: o.Headers, names: o.Names, store: o.Store, duties: o.Duties,
		metrics: o.Metrics, log: o.Log, started: now, retries: map[string]*limit.RetryWindow{}}
	n.durations, n.forecasts = drain.NewDurations(), stall.NewForecasts()
	n.work, n.endWork = context.WithCancel(context.Background())
	n.client = httpclient.New(httpclient.Options{DialTimeout: serverDialTimeout, IdleTimeout: serverIdleTimeout,
		MaxIdleConnections: serverIdleConnections, Dial: netdial.Dial(serverDialTimeout)})
	n.board = placement.NewBoard(o.Settings.FailureDomain)
	n.outliers = limit.NewOutliers(ejectPercent, time.Now)
	n.quota = quota.New()
	n.usage = usage.New(incarnation(o.Settings.Node, now.UnixMilli()), o.Settings.UsageWindow)
	n.crashes = newCrashDetector(o.Settings.Node, o.Metrics, o.Log)
	n.crashes.isLeaving = n.board.IsLeaving
	n.prober = &crashProber{dial: netdial.Dial(serverDialTimeout), log: o.Log, remaining: map[string]int{},
		crashed: func(s serving.Server, now time.Time) { n.crashes.recordCrash(s, "probe_refused", now) }}
	n.demand = newDemandMeter(now)
	n.rollouts = newRollouts(o)
	n.crashes.crashed = n.rollouts.serverCrashed
	n.memory = newMemoryAccount(o.Settings.MemoryBytes)
	n.config = &configView{store: o.Store, records: o.Records, names: o.Names, log: o.Log, onChange: n.configChanged, onRow: func(row platform.Row) { n.rollouts.applyRow(row, time.Now()) }}
	n.servers = &serverView{store: o.Store, records: o.Records, table: o.Names.ServerTable, log: o.Log,
		onChange: n.serversChanged, entries: map[string]*serverEntry{}}
	n.fetcher = newFetcher(n.config, n.servers, o.Log)
	n.peers = &peers{self: o.Settings.Node, addr: o.Settings.PeerAddr, store: o.Store, log: o.Log, started: now.UnixMilli(),
		compose: n.composeHeartbeat, composeUrgent: n.composeUrgent, usageWindows: n.usageWindows,
		received: n.handleHeartbeat, discovered: n.crashes.resendRestrictions, restarted: n.peerRestarted, nodes: map[string]*peerNode{}, maxNodesSeen: 1, urgent: make(chan struct{}, 1)}
	readers := &readerSelection{readerRank: n.peers.readerRank, nodeRank: n.peers.nodeRank, lost: &atomic.Int32{}}
	n.peers.readers, n.config.readers, n.servers.readers = readers, readers, readers
	n.finalUsage = &finalUsage{store: o.Store, log: o.Log, window: o.Settings.UsageWindow, counts: map[int64]map[string]int64{}}
	n.storeReturn = &storeReturn{store: o.Store, log: o.Log, metrics: o.Metrics, readers: readers, settled: make(chan struct{}),
		returned: n.announceReturn, rewrite: n.rewriteRows}
	n.pauses = newPauseGuard(o.Log, n.refreshViews)
	n.config.awaitSettled, n.servers.awaitSettled = n.storeReturn.awaitSettled, n.storeReturn.awaitSettled
	isWriter := func() bool { return readers.lost.Load() == 0 && n.peers.readerRank() == 0 }
	n.quarantinedRequests = newQuarantineRows(requestQuarantineTable, requestQuarantines{n.crashes.tracker}, n.crashes, o.Store, o.Store.Snapshot, isWriter)
	n.quarantinedParts = newQuarantineRows(partQuarantineTable, partQuarantines{n.crashes.tracker}, n.crashes, o.Store, o.Store.Snapshot, isWriter)
	n.rollouts.announce, n.rollouts.leads, n.rollouts.isLeaving = n.peers.requestUrgent, n.leadsRollouts, n.board.IsLeaving
	n.rollouts.trafficPart, n.rollouts.streams, n.rollouts.heartbeatInterval = n.trafficPart, n.streams, n.peers.heartbeatInterval
	n.servers.heartbeatInterval, n.servers.onStoreChange, n.config.onStoreChange =
		n.peers.heartbeatInterval, n.peers.requestUrgent, n.peers.requestUrgent
	return n
}

// Run serves until ctx ends, then drains within the grace period.
func (n *Node) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(memoryShare * float64(n.settings.MemoryBytes)))
	if err := n.peers.listen(); err != nil {
		return fmt.Errorf("datagram socket: %w", err)
	}
	n.peers.addSeeds(n.seedAddrs(n.settings.Seeds))
	background, stop := context.WithCancel(context.Background())
	defer stop()
	servers, err := n.listen(background)
	if err != nil {
		return err
	}
	var work sync.WaitGroup
	for _, run := range []func(context.Context){n.config.watch, n.servers.watch, n.peers.run, n.peers.register,
		n.crashes.run, n.runGuards, n.logSummaries, n.estimateUnreported, n.pauses.run, n.rollouts.run, n.loadStatus} {
		work.Go(func() { run(background) })
	}
	work.Go(func() { n.quarantinedRequests.run(background, n.settings.FirstStart) })
	work.Go(func() { n.quarantinedParts.run(background, n.settings.FirstStart) })
	work.Go(func() { n.storeReturn.run(background, n.settings.FirstStart) })
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

// Reload applies the settings that can change at run time: the addresses of seed nodes. Listeners and limits need a
// restart.
func (n *Node) Reload(s *Settings) {
	n.peers.addSeeds(n.seedAddrs(s.Seeds))
}

// seedAddrs converts the control addresses of seeds to their datagram addresses.
func (n *Node) seedAddrs(seeds []string) []string {
	var out []string
	for _, seed := range seeds {
		out = append(out, withPort(seed, n.settings.PeerPort))
	}
	return out
}

// listen opens all listeners and serves them.
func (n *Node) listen(ctx context.Context) ([]*http.Server, error) {
	var servers []*http.Server
	for _, e := range n.endpoints() {
		listener, err := netdial.Listen(ctx, e.addr)
		if err != nil {
			return nil, err
		}
		server := &http.Server{Addr: e.addr, Handler: e.handler, ReadHeaderTimeout: callerHeaderTimeout, IdleTimeout: callerIdleTimeout,
			MaxHeaderBytes: serverHeaderBytes, ErrorLog: discardLog()}
		if e.addr == n.settings.CallerAddr {
			server.DisableGeneralOptionsHandler = true // OPTIONS * is for the service
		}
		e.guard.Attach(server)
		n.guards = append(n.guards, e.guard)
		servers = append(servers, server)
		go func() {
			if err := server.Serve(e.guard.Listener(listener)); err != nil && err != http.ErrServerClosed {
				n.log.WithError(err).WithField("addr", e.addr).Error("listener failed")
			}
		}()
	}
	return servers, nil
}

// runGuards enforces the timeouts of connections until ctx ends.
func (n *Node) runGuards(ctx context.Context) { callerguard.Run(ctx, n.log, n.guards...) }

// serves reports whether callers should be sent to this node.
func (n *Node) serves() bool { return !n.stopping.Load() && n.viewsLoaded() }

// viewsLoaded reports whether the node has a configuration and a view of the servers.
func (n *Node) viewsLoaded() bool { return n.config.Load() != nil && n.servers.loaded.Load() }

const (
	// startupWait is how long after the node's start requests wait for its views.
	startupWait = 400 * time.Millisecond
	// startupPollInterval is how often a waiting request checks the views.
	startupPollInterval = 10 * time.Millisecond
)

// awaitViews waits, only shortly after the node's start, until the views are loaded.
func (n *Node) awaitViews(ctx context.Context) {
	until := n.started.Add(startupWait)
	for !n.viewsLoaded() && time.Now().Before(until) && clock.Sleep(ctx, startupPollInterval) {
	}
}

// announceReturn tells the other nodes at once that the store has returned from a copy. Those that do not read it learn
// of the return from this node.
func (n *Node) announceReturn() {
	if n.peers.readers.selected() {
		n.peers.requestUrgent()
	}
}

// rewriteRows writes again what this node has written to the store and a return may have lost. What it wrote in the
// current era is left out.
func (n *Node) rewriteRows(ctx context.Context, era uint64) {
	written := n.finalUsage.rewrite(ctx, n.usage.WindowNumber(time.Now()))
	if rewritten, err := n.peers.rewriteRow(ctx, era); err != nil {
		n.log.WithError(err).Warning("writing own node row again failed; other nodes know this one from its heartbeats")
	} else if rewritten {
		written++
	}
	n.metrics.Add("rows_written_again", int64(written))
	n.log.WithFields(logrus.Fields{"era": era, "rows": written}).Info(logline.RowsWrittenAgain)
}

// refreshViews reads the configuration and the servers from the store.
func (n *Node) refreshViews(ctx context.Context) error {
	if !n.viewsLoaded() {
		return nil // the first read is in progress
	}
	config := make(chan error, 1)
	go func() { config <- n.config.readStore(ctx, 0) }()
	return errors.Join(n.servers.read(ctx), <-config)
}

// configChanged sets the quota limits of a configuration before it is in force.
func (n *Node) configChanged(c *serving.Config) {
	limits := make([]quota.Limit, 0, len(c.Workspaces))
	for _, w := range c.Workspaces {
		limits = append(limits, quota.Limit{Workspace: w.Name, Rate: w.Rate, Burst: w.Burst})
	}
	n.quota.SetLimits(limits, time.Now())
}

func (n *Node) serversChanged(servers []serving.Server) {
	n.crashes.serversChanged(servers, time.Now())
	n.rollouts.setServers(servers, time.Now())
	n.board.SetServers(servers)
	groups := map[string][]string{}
	for _, s := range servers {
		groups[s.Service] = append(groups[s.Service], s.ID)
	}
	n.outliers.SetServers(groups)
	n.log.WithField("servers", len(servers)).Info(logline.ServerViewChanged)
}

// retryWindow returns the retry budget of a service.
func (n *Node) retryWindow(service string) *limit.RetryWindow {
	n.retriesMu.Lock()
	defer n.retriesMu.Unlock()
	w := n.retries[service]
	if w == nil {
		w = limit.NewRetryWindow(retryShare*n.settings.RetryRatio, n.settings.RetryWindow, 0)
		n.retries[service] = w
	}
	w.SetAllowance(retryShare * n.settings.RetrySlack / float64(n.peers.deploymentSize()))
	return w
}

// logSummaries periodically logs counters for operators who have logs but no metrics.
func (n *Node) logSummaries(ctx context.Context) {
	for clock.Sleep(ctx, summaryInterval) {
		n.log.WithFields(logrus.Fields{"store_calls": n.metrics.Snapshot("store_calls"), "requests": n.metrics.Snapshot("requests"),
			"retries": n.metrics.Snapshot("retries"), "open": n.openRequests.Load(), "nodes": len(n.peers.alive(time.Now())) + 1}).Info("summary")
	}
}
