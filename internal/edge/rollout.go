package edge

import (
	"context"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/logline"
	"github.com/pollenlug/pollenlug/internal/metrics"
	"github.com/pollenlug/pollenlug/pkg/rollout"
	"github.com/pollenlug/pollenlug/pkg/serving"
)

const (
	// rolloutInterval is how often a node judges the evidence of its rollouts.
	rolloutInterval = 250 * time.Millisecond
	// silenceShare is the part of the rollback time for which a node may hear nothing of the node that leads a rollout
	// until it sends everything to the version in force again; minSilence is the least such time, in which another node
	// takes over.
	silenceShare = 0.6
	minSilence   = 2500 * time.Millisecond
	// silentHeartbeats is that time in heartbeat intervals at least.
	silentHeartbeats = 2.5
	// lostSettleTime is how long after the loss of a connection it is known whether its server has crashed or left. Only
	// if neither, the loss counts against the version.
	lostSettleTime = 900 * time.Millisecond
	// maxLostAttempts limits the attempts that wait for lostSettleTime.
	maxLostAttempts = 1000
	// maxRollouts limits the services whose rollouts a node follows.
	maxRollouts = 64
	// maxRouteNames limits the routes of a service whose names are kept.
	maxRouteNames = 256
	// crashMemory is how long a crash explains lost connections.
	crashMemory = 5 * time.Second
)

// rollouts chooses the version of the servers for each request. Package rollout decides; this part collects what it needs
// to know. It is safe for concurrent use.
type rollouts struct {
	bounds  rollout.Bounds
	started time.Time
	records Records
	log     *logrus.Entry
	metrics *metrics.Set
	// announce sends an urgent heartbeat; leads reports whether this node decides on the phases; isLeaving whether a server
	// has said that it leaves; trafficPart returns this node's part of the requests of a service; streams reports whether a
	// route of a service streams.
	announce          func()
	leads             func(now time.Time) bool
	isLeaving         func(s serving.Server, now time.Time) bool
	trafficPart       func(service string, now time.Time) float64
	streams           func(service string) bool
	heartbeatInterval func() time.Duration

	mu       sync.Mutex
	services map[string]*serviceVersions
	// statusLoaded is set once the states of earlier rollouts are known; orders that arrive before wait.
	statusLoaded  bool
	waitingOrders []rollout.Order
	lost          []lostAttempt
	crashedAt     map[serverProcess]time.Time
}

// serverProcess is one process of a server.
type serverProcess struct {
	id   string
	born int64
}

// lostAttempt is an attempt whose connection broke.
type lostAttempt struct {
	*versionAttempt
	at time.Time
}

// serviceVersions is what is known of the versions of a service.
type serviceVersions struct {
	inForce string
	servers []serving.Server
	// ready is the number of ready servers of each version, firstSeen when this node first saw the ready ones.
	ready     map[string]int
	firstSeen map[serverProcess]time.Time
	// state is the last rollout, or nil; gate and recorder belong to it.
	state    *rollout.Rollout
	gate     *rollout.Gate
	recorder *rollout.Recorder
	// routeNames has the names of routes by their hash, for log lines.
	routeNames map[uint32]string
	// canaryRank is the rank of each new server among those that get canary requests.
	canaryRank map[string]int
	// inherited is set if the rollout had begun before this node started.
	inherited bool
	// newSince is when the first canaries started.
	newSince time.Time
	// heardAt is when the node that leads the rollout was last heard; returnedAt when the order was first read in another
	// era of the store.
	heardAt, returnedAt time.Time
	stored              storedStatus
	// versionsSince is when the set of versions that run last changed.
	versionsSince time.Time
}

func newRollouts(o Options) *rollouts {
	return &rollouts{bounds: o.Settings.Rollout, started: time.Now(), records: o.Records, log: o.Log, metrics: o.Metrics, statusLoaded: o.Settings.FirstStart,
		services: map[string]*serviceVersions{}, crashedAt: map[serverProcess]time.Time{}}
}

func (r *rollouts) enabled() bool { return r.bounds.Enabled() }

// run judges the rollouts until ctx ends.
func (r *rollouts) run(ctx context.Context) {
	for r.enabled() && clock.Sleep(ctx, rolloutInterval) {
		r.step(time.Now())
	}
}

func (r *rollouts) step(now time.Time) {
	leads := r.leads(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settleLost(now)
	for name, s := range r.services {
		if s.state == nil || s.state.Phase().Final() {
			continue
		}
		s.rankCanaries(now)
		in := rollout.Input{Now: now, OldServers: s.ready[s.state.From], NewServers: s.ready[s.state.To], NewSince: s.newSince,
			Streams: r.streams(name)}
		s.state.SetServers(in)
		s.state.Judge.Set(ownEvidence, s.recorder.Export(now))
		changed := s.state.Observe(now)
		if leads {
			s.heardAt = now
			changed = s.state.Advance(in) || changed
		}
		if changed {
			r.changed(name, s)
		}
	}
}

// ownEvidence is the name of this node's own counts.
const ownEvidence = ""

// changed reports a new phase. The caller holds mu.
func (r *rollouts) changed(service string, s *serviceVersions) {
	for hash, name := range s.routeNames {
		s.state.Reason = strings.Replace(s.state.Reason, rollout.RouteLabel(hash), "route "+name, 1)
	}
	verdict := s.state.Verdict()
	exposed, requests := s.gate.Exposed()
	r.metrics.Count("rollout_changes", "phase", s.state.Phase().String(), 1)
	r.log.WithFields(logrus.Fields{"service": service, "from": s.state.From, "to": s.state.To, "phase": s.state.Phase().String(),
		logline.Reason: s.state.Reason, "responses": verdict.Responses, "failed": verdict.Failed, "evidence": verdict.Evidence,
		"sent": exposed, "requests": requests}).Info(logline.RolloutChanged)
	r.updateInForce(s)
	r.announce()
}

// versions returns the entry of a service, or nil if there are too many. The caller holds mu.
func (r *rollouts) versions(service string) *serviceVersions {
	s := r.services[service]
	if s == nil && len(r.services) < maxRollouts {
		s = &serviceVersions{ready: map[string]int{}, firstSeen: map[serverProcess]time.Time{}, routeNames: map[uint32]string{}}
		r.services[service] = s
	}
	return s
}

// setServers records the servers of all services.
func (r *rollouts) setServers(servers []serving.Server, now time.Time) {
	if !r.enabled() {
		return
	}
	groups := map[string][]serving.Server{}
	for _, s := range servers {
		groups[s.Service] = append(groups[s.Service], s)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range groups {
		r.versions(name)
	}
	for name, s := range r.services {
		s.setServers(groups[name], now)
		r.updateInForce(s)
	}
}

func (s *serviceVersions) setServers(servers []serving.Server, now time.Time) {
	before := s.ready
	s.servers, s.ready = servers, map[string]int{}
	seen := make(map[serverProcess]time.Time, len(servers))
	for _, server := range servers {
		if server.State != serving.Ready {
			continue
		}
		s.ready[server.Version]++
		process := serverProcess{server.ID, server.Born}
		if at, ok := s.firstSeen[process]; ok {
			seen[process] = at
		} else {
			seen[process] = now
		}
	}
	s.firstSeen = seen
	if !maps.Equal(versionsOf(before), versionsOf(s.ready)) {
		s.versionsSince = now
	}
	s.rankCanaries(now)
}

func versionsOf(ready map[string]int) map[string]bool {
	out := make(map[string]bool, len(ready))
	for version := range ready {
		out[version] = true
	}
	return out
}

// oldest returns the start of the oldest ready server of a version.
func (s *serviceVersions) oldest(version string) (born int64) {
	born = math.MaxInt64
	for _, server := range s.servers {
		if server.State == serving.Ready && server.Version == version {
			born = min(born, server.Born)
		}
	}
	return born
}

// rankCanaries orders the new servers in the same way on all nodes, so that few of them get all canary requests. Servers
// of different failure domains alternate. Servers that are still cold would look like a slow version.
func (s *serviceVersions) rankCanaries(now time.Time) {
	s.canaryRank, s.newSince = nil, time.Time{}
	if s.state == nil {
		return
	}
	useCold := now.Sub(s.state.Start) > time.Duration(coldPart*float64(s.state.Duration))
	domains := map[string][]serving.Server{}
	for _, server := range s.servers {
		if server.State == serving.Ready && server.Version == s.state.To && (useCold || !s.isCold(server, now)) {
			domains[server.Domain] = append(domains[server.Domain], server)
		}
	}
	type ranked struct {
		server serving.Server
		round  int
	}
	var order []ranked
	for _, list := range domains {
		slices.SortFunc(list, byHash)
		for i, server := range list {
			order = append(order, ranked{server, i})
		}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		if a.round != b.round {
			return a.round - b.round
		}
		return byHash(a.server, b.server)
	})
	s.canaryRank = make(map[string]int, len(order))
	var started []time.Time
	for i, o := range order {
		s.canaryRank[o.server.ID] = i
		started = append(started, s.startOf(o.server))
	}
	if len(started) > 0 {
		started = started[:min(len(started), canariesForAge)]
		slices.SortFunc(started, time.Time.Compare)
		s.newSince = started[len(started)/2]
	}
}

// isCold reports whether a server is still warming up.
func (s *serviceVersions) isCold(server serving.Server, now time.Time) bool {
	return now.Before(s.firstSeen[serverProcess{server.ID, server.Born}].Add(server.ColdLeft))
}

// coldPart is the part of the duration after which servers get requests although they are still cold.
const coldPart = 0.3

// canariesForAge is the number of canaries whose median start counts as that of the new version.
const canariesForAge = 5

func byHash(a, b serving.Server) int {
	ha, hb := xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)
	switch {
	case ha < hb:
		return -1
	case ha > hb:
		return 1
	}
	return 0
}

// startOf returns when a server became ready, as far as this node knows: when the node saw it or, if the node has started
// during the rollout, soon after the start of the server's process. The clocks of the two machines may differ.
func (s *serviceVersions) startOf(server serving.Server) time.Time {
	seen := s.firstSeen[serverProcess{server.ID, server.Born}]
	if ready := time.UnixMilli(server.Born).Add(startSkew); server.Born > 0 && s.inherited && ready.Before(seen) {
		return ready
	}
	return seen
}

// updateInForce determines the version in force: the one that was, as long as it has servers, else the one of the oldest
// server. A version that is being rolled out or was reverted is in force only if no other one has servers.
func (r *rollouts) updateInForce(s *serviceVersions) {
	excluded, hasExcluded := "", false
	if s.state != nil {
		switch s.state.Phase() {
		case rollout.Completed:
			if s.ready[s.state.To] > 0 {
				s.inForce = s.state.To
				return
			}
		default:
			excluded, hasExcluded = s.state.To, s.state.To != s.state.From
		}
	}
	if s.ready[s.inForce] > 0 && !(hasExcluded && s.inForce == excluded) {
		return
	}
	best, most, oldest := "", 0, int64(0)
	for version, n := range s.ready {
		if hasExcluded && version == excluded {
			continue
		}
		// A version that is being rolled out may have as many servers as the one in force, or more.
		if born := s.oldest(version); most == 0 || born < oldest ||
			born == oldest && (n > most || n == most && version < best) {
			best, most, oldest = version, n, born
		}
	}
	switch {
	case most > 0:
		s.inForce = best
	case hasExcluded && s.ready[excluded] > 0 && s.inForce == "":
		s.inForce = excluded
	}
	if s.state != nil && s.state.From == "" && most > 0 {
		s.state.From = s.inForce
	}
}

// filter selects the servers that a request may be sent to.
type filter = func(*serving.Server) bool

func ofVersion(version string) filter {
	return func(s *serving.Server) bool { return s.Version == version }
}

// choices returns filters of the servers for the next send of a request; the first one with a candidate applies. nil
// allows all servers. first is set for its first send.
func (r *rollouts) choices(req *request, first bool, now time.Time) []filter {
	if !r.enabled() {
		return []filter{nil}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[req.service.Name]
	if s == nil || s.state == nil && len(s.ready) < 2 {
		return []filter{nil}
	}
	if s.state == nil {
		return []filter{ofVersion(s.inForce)}
	}
	old, fresh := ofVersion(s.inForce), ofVersion(s.state.To)
	switch phase := s.state.Phase(); {
	case phase == rollout.Completed:
		return []filter{old} // the new version is in force
	case phase == rollout.Reverting || phase == rollout.Reverted:
		return s.withFallback(old, fresh)
	case now.Sub(s.heardAt) > r.silence():
		return s.withFallback(old, fresh)
	case phase == rollout.All || phase == rollout.Completing:
		// Old servers stop at once when the rollout completes, so a request there would be cut off.
		if s.ready[s.state.To] > 0 {
			return []filter{fresh}
		}
		return []filter{fresh, old}
	}
	if !first || !s.state.Allows(s.gate, now) || rand.Float64() >= s.state.RouteShare(nameHash(req.route.Name), now) {
		return s.withFallback(old, fresh)
	}
	ranks, canaries, version := s.canaryRank, s.state.Canaries(now), s.state.To
	canary := func(server *serving.Server) bool {
		rank, ok := ranks[server.ID]
		return ok && server.Version == version && rank < canaries
	}
	return append([]filter{canary}, s.withFallback(old, fresh)...)
}

// silence is how long a node may hear nothing of the node that leads a rollout.
func (r *rollouts) silence() time.Duration {
	return max(minSilence, time.Duration(silenceShare*float64(r.bounds.Rollback)), time.Duration(silentHeartbeats*float64(r.heartbeatInterval())))
}

// withFallback returns the filter of the version in force, and the one of the new version if no server of the former is
// left.
func (s *serviceVersions) withFallback(old, fresh filter) []filter {
	if s.ready[s.inForce] > 0 {
		return []filter{old}
	}
	return []filter{old, fresh}
}

// carriesLoad reports whether a server counts as capacity for the load of its service. Servers that get canary requests
// only do not.
func (r *rollouts) carriesLoad(server *serving.Server) bool {
	if !r.enabled() {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[server.Service]
	if s == nil || len(s.ready) < 2 {
		return true
	}
	if s.state != nil && (s.state.Phase() == rollout.All || s.state.Phase() == rollout.Completing) {
		return server.Version == s.state.To
	}
	return server.Version == s.inForce
}

// maxFleetHold limits how long servers of two versions keep the fleet as it is after the last change of the rollout's phase
// or, without an order, of the versions that run. A rollout that goes on changes its phase more often, and servers that
// leave stop within seconds.
const maxFleetHold = 15 * time.Second

// holdsFleet reports whether the number of servers of a service must not be ordered now, because servers of two versions
// run beside each other. The limit of a failure domain applies to both versions together and an order to one kind of
// server of any version: an unchanged order, sent again, takes away servers of the old and of the new version.
func (r *rollouts) holdsFleet(service string, now time.Time) bool {
	if !r.enabled() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[service]
	if s == nil {
		return false
	}
	since := s.versionsSince
	if s.state != nil {
		if phaseSince := s.state.Since(); phaseSince.After(since) {
			since = phaseSince
		}
		// The new servers start soon after the order.
		if s.state.Phase() == rollout.Canary && now.Before(s.state.Start.Add(maxServerStart)) {
			return true
		}
	}
	return len(s.ready) > 1 && now.Before(since.Add(maxFleetHold))
}

// maxServerStart is how long after an order the servers of the new version are expected to start.
const maxServerStart = 5 * time.Second

// completed reports whether the last rollout of a service has been completed.
func (r *rollouts) completed(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[service]
	return s != nil && s.state != nil && s.state.Phase() == rollout.Completed
}

// leadsRollouts reports whether this node decides on the phases of rollouts: the duty holder or, while none is known, for
// example because the store is away, the first node of those that hear most others. Two that do so for a moment are
// harmless, because phases only go forward.
func (n *Node) leadsRollouts(now time.Time) bool {
	if n.holdsDuties.Load() {
		return true
	}
	return !n.peers.dutyHolderAlive(now) && n.peers.nodeRank() == 0 && 2*(len(n.peers.alive(now))+1) > n.peers.deploymentSize()
}

// trafficPart returns this node's part of the requests of a service over all nodes.
func (n *Node) trafficPart(service string, now time.Time) float64 {
	own, all := 0.0, 0.0
	for _, d := range n.demand.export(now) {
		if d.Service == service {
			own += float64(d.Requests)
		}
	}
	for _, heartbeat := range n.peers.alive(now) {
		for _, d := range heartbeat.Demand {
			if d.Service == service {
				all += float64(d.Requests)
			}
		}
	}
	if all += own; all == 0 {
		return 1 / float64(n.peers.deploymentSize())
	}
	return own / all
}

// streams reports whether a route of the service streams.
func (n *Node) streams(service string) bool {
	c := n.config.Load()
	return c != nil && c.Services[service] != nil && c.Services[service].Engine != nil
}
