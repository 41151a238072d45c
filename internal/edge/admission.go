package edge

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/pollenlug/pollenlug/pkg/admission"
	"github.com/pollenlug/pollenlug/pkg/code"
	"github.com/pollenlug/pollenlug/pkg/placement"
	"github.com/pollenlug/pollenlug/pkg/serving"
)

const (
	// waitingShare is the part of the memory for bodies that requests waiting for admission to one service may hold.
	waitingShare = 0.25
	// waitPollInterval is how often the first of the waiting requests is decided again when no request ends meanwhile:
	// other nodes report in between.
	waitPollInterval = 25 * time.Millisecond
	// sizeInterval is how often the size of a service and the weights of workspaces are read again.
	sizeInterval = 500 * time.Millisecond
	// viewAgeIntervals is how old the reports of other nodes are at most, usually, in heartbeat intervals. The interval has a
	// jitter of a third, and sending to all nodes takes a part of it.
	viewAgeIntervals = 1.5
	// utilizationInterval is how long the utilization of plain servers is used; it is summed over all nodes.
	utilizationInterval = 50 * time.Millisecond
	// usualUtilization is the part of the slots in use below which nothing is rejected for the load.
	usualUtilization = 0.5

	// promptTokenTime and outputTokenTime are the times that an engine works on a token: that of a prompt at 66 tokens per
	// millisecond, that of the output in a batch of some dozens.
	promptTokenTime = 15 * time.Microsecond
	outputTokenTime = 100 * time.Microsecond
	// firstEventTime is the time to the first event of an empty prompt on an idle engine.
	firstEventTime = 30 * time.Millisecond
	// plainWork is the assumed duration of a plain request until one has been answered.
	plainWork = 50 * time.Millisecond
	// floorGrowth is how fast, per second, the shortest observed time rises until it is observed again.
	floorGrowth = 0.02
	// workspaceGroups is the number of groups by which refusals of workspaces are counted.
	workspaceGroups = 8
)

// admissionControl holds the admission state of all services whose servers share their machines.
type admissionControl struct {
	started  time.Time
	maxBytes int

	mu       sync.Mutex
	services map[string]*serviceAdmission
}

// serviceAdmission is the admission state of one service.
type serviceAdmission struct {
	gate *admission.Gate

	mu          sync.Mutex
	line        admission.Line
	sizedAt     time.Time
	weights     map[string]float64
	slots       float64 // of an average server
	floor       floor
	utilization float64
	utilizedAt  time.Time
}

// floor is the shortest of the recently observed values.
type floor struct {
	value float64
	at    time.Time
}

func (f *floor) observe(v float64, now time.Time) {
	grown := f.value * (1 + floorGrowth*now.Sub(f.at).Seconds())
	if f.value == 0 || v < grown {
		grown = v
	}
	f.value, f.at = grown, now
}

func newAdmissionControl(memory int64, now time.Time) *admissionControl {
	return &admissionControl{started: now, maxBytes: int(waitingShare * memoryShareKept * float64(memory)),
		services: map[string]*serviceAdmission{}}
}

// service returns the state of a service.
func (a *admissionControl) service(name string) *serviceAdmission {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.services[name]
	if s == nil {
		s = &serviceAdmission{gate: admission.New(a.started)}
		s.line.MaxBytes = a.maxBytes
		a.services[name] = s
	}
	return s
}

// snapshot returns the states of all services by name.
func (a *admissionControl) snapshot() map[string]*serviceAdmission {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[string]*serviceAdmission, len(a.services))
	for name, s := range a.services {
		out[name] = s
	}
	return out
}

// removePeer drops the reports of a node that has restarted.
func (a *admissionControl) removePeer(node string) {
	for _, s := range a.snapshot() {
		s.gate.RemovePeer(node)
	}
}

// restart makes the node start slowly again after a pause of the process.
func (a *admissionControl) restart(now time.Time) {
	for _, s := range a.snapshot() {
		s.gate.Restart(now)
	}
}

// admit decides whether a request is sent with the ticket that was picked for it. It may wait, without a server, and
// return another ticket. Requests that have been sent before are always sent again.
func (n *Node) admit(ctx context.Context, req *request, ticket *placement.Ticket, now time.Time) (*placement.Ticket, *code.Error) {
	switch {
	case req.sends > 0 || req.admitted:
		return ticket, nil
	case n.board.OnSharedMachines(req.service.Name):
		return n.admitOrWait(ctx, req, ticket, now)
	case req.service.Engine != nil:
		return n.admitByTarget(req, ticket, now)
	}
	return ticket, nil
}

// admitByTarget checks that the latency target and the deadline can be met.
func (n *Node) admitByTarget(req *request, ticket *placement.Ticket, now time.Time) (*placement.Ticket, *code.Error) {
	expected := now.Sub(req.arrived) - req.restrictedFor + ticket.Expected
	decision := placement.Admit(expected, req.route.LatencyTarget, req.deadline.Sub(now), req.priority)
	if decision.Admit {
		return ticket, nil
	}
	req.expected, req.refusalTimeLeft = expected, req.deadline.Sub(now)
	ticket.End(placement.Abandoned, now)
	return nil, code.New(code.DeadlineUnreachable, "the engines are too busy to answer in time").WithRetryAfter(decision.RetryAfter)
}

// admitOrWait decides by the gate of the service.
func (n *Node) admitOrWait(ctx context.Context, req *request, ticket *placement.Ticket, now time.Time) (*placement.Ticket, *code.Error) {
	s := n.admission.service(req.service.Name)
	n.updateSize(s, req.service.Name, now)
	r := n.admissionRequest(s, req, ticket, now)
	d := s.gate.Decide(r, now)
	if d.Invalid {
		n.metrics.Add("admission_invalid", 1)
	}
	if d.Verdict == admission.Reject && (d.Reason == admission.OverShare || d.Reason == admission.Overload) && n.mostlyIdle(s, req, &r, now) {
		d = admission.Decision{}
	}
	req.admissionCost = r.Cost
	if d.Verdict == admission.Admit {
		req.admitted = true
		return ticket, nil
	}
	ticket.End(placement.Abandoned, now)
	if d.Verdict == admission.Hold {
		return n.waitForAdmission(ctx, s, req, r, d, now)
	}
	return nil, n.admissionRefusal(req, &r, d)
}

// mostlyIdle reports whether less than half of the slots are in use and the chosen server has no work queued.
func (n *Node) mostlyIdle(s *serviceAdmission, req *request, r *admission.Request, now time.Time) bool {
	return r.Wait <= admission.MinQueued && s.utilizationAt(n.board, req.service.Name, now) < usualUtilization
}

// admissionRequest describes a request for its gate.
func (n *Node) admissionRequest(s *serviceAdmission, req *request, ticket *placement.Ticket, now time.Time) admission.Request {
	r := admission.Request{Priority: req.priority, Elapsed: now.Sub(req.arrived) - req.restrictedFor,
		Target: req.route.LatencyTarget, Left: req.deadline.Sub(now), Key: nameHash(req.content.Digest)}
	if req.workspace != nil {
		r.Workspace = req.workspace.Name
	}
	utilization := 0.0
	if req.service.Engine == nil {
		utilization = s.utilizationAt(n.board, req.service.Name, now)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r.Ahead = s.line.Ahead(req.priority)
	if req.service.Engine == nil {
		r.Own = plainWork
		if s.floor.value > 0 {
			r.Own = time.Duration(s.floor.value * float64(time.Second))
		}
		r.Wait = time.Duration(max(utilization-1, 0) * float64(r.Own))
		r.Cost = r.Own.Seconds() / max(s.slots, 1)
		return r
	}
	// The expected time of a request on an idle engine also depends on the engine's speed; the lowest recent ratio of
	// expected times to those of a usual engine stands for it.
	work := time.Duration(ticket.Prefill() * float64(promptTokenTime))
	usual := firstEventTime + work
	s.floor.observe(ticket.Expected.Seconds()/usual.Seconds(), now)
	r.Own = min(time.Duration(s.floor.value*float64(usual)), ticket.Expected)
	r.Wait = ticket.Expected - r.Own
	r.Cost = (work + time.Duration(req.expectedOutput())*outputTokenTime).Seconds()
	return r
}

// utilizationAt returns the utilization of a service's servers.
func (s *serviceAdmission) utilizationAt(board *placement.Board, service string, now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.utilizedAt) >= utilizationInterval {
		s.utilization, _ = board.Utilization(service, now)
		s.utilizedAt = now
	}
	return s.utilization
}

// waitForAdmission keeps a request in the line of its service until it is admitted, its time is over or its context ends.
func (n *Node) waitForAdmission(ctx context.Context, s *serviceAdmission, req *request, r admission.Request, d admission.Decision,
	now time.Time) (*placement.Ticket, *code.Error) {
	w := &admission.Waiter{Workspace: r.Workspace, Priority: r.Priority, Cost: r.Cost, Deadline: req.deadline, Bytes: len(req.body),
		Ready: make(chan struct{}, 1)}
	if !s.join(w) {
		return nil, n.admissionRefusal(req, &r, admission.Decision{Reason: d.Reason})
	}
	n.metrics.AddGauge("admission_waiting", 1)
	admitted := false
	defer func() {
		s.leave(w, admitted)
		n.metrics.AddGauge("admission_waiting", -1)
		req.heldFor = time.Since(now)
		n.metrics.Observe("admission_wait", req.heldFor)
	}()
	config, until := n.config.Load(), now.Add(d.Hold)
	tick, last := time.NewTicker(waitPollInterval), time.NewTimer(d.Hold)
	defer tick.Stop()
	defer last.Stop()
	for {
		select {
		case <-w.Ready:
		case <-tick.C:
		case <-last.C:
		case <-ctx.Done():
			return nil, n.cancellation(ctx, req)
		}
		now := time.Now()
		if !s.isNext(w) && now.Before(until) {
			continue
		}
		if refusal := n.stillServed(req, &config); refusal != nil {
			return nil, refusal
		}
		ticket, refusal := n.pick(req, now)
		if refusal != nil {
			return nil, refusal
		}
		r := n.admissionRequest(s, req, ticket, now)
		r.Again = true
		d := s.gate.Decide(r, now)
		if d.Verdict == admission.Admit {
			admitted, req.admitted, req.admissionCost = true, true, r.Cost
			return ticket, nil
		}
		ticket.End(placement.Abandoned, now)
		if d.Verdict == admission.Reject {
			return nil, n.admissionRefusal(req, &r, d)
		}
	}
}

// stillServed returns the refusal of a waiting request that a new configuration does not serve as the one before did, or
// that the node, which is stopping, could not answer in time.
func (n *Node) stillServed(req *request, seen **serving.Config) *code.Error {
	if refusal := n.refuseIfStopping(req); refusal != nil {
		return refusal
	}
	c := n.config.Load()
	if c == *seen || c == nil {
		return nil
	}
	*seen = c
	route := c.Match(req.http.Host, req.path)
	if route == nil || c.Services[req.service.Name] == nil {
		return code.New(code.NoBackendServer, "a new configuration no longer serves the route").WithRetryAfter(configRetryAfter)
	}
	if workspace := c.WorkspaceOf(req.Key); c.NeedsKey(route) && (workspace == nil || req.workspace == nil || workspace.Name != req.workspace.Name) {
		return code.New(code.TokenRefused, "the key is not known")
	}
	return nil
}

func (s *serviceAdmission) join(w *admission.Waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.line.Push(w, s.weights[w.Workspace])
}

func (s *serviceAdmission) isNext(w *admission.Waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.line.Next() == w
}

// leave takes a request out of the line and has the next one decided.
func (s *serviceAdmission) leave(w *admission.Waiter, admitted bool) {
	s.mu.Lock()
	s.line.Remove(w, admitted)
	s.mu.Unlock()
	s.wake()
}

// wake has the first waiting request decided again.
func (s *serviceAdmission) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.line.Next(); w != nil {
		select {
		case w.Ready <- struct{}{}:
		default: // already to be decided
		}
	}
}

// admissionEnded tells the gate of the service that an admitted request has left its server.
func (n *Node) admissionEnded(req *request, result sendResult, elapsed time.Duration, now time.Time) {
	if !req.admitted {
		return
	}
	s := n.admission.service(req.service.Name)
	if result.status == delivered || result.status == serverFailed {
		s.gate.Served(req.admissionCost, now)
	}
	if result.completed && req.service.Engine == nil {
		s.mu.Lock()
		s.floor.observe(elapsed.Seconds(), now)
		s.mu.Unlock()
	}
	s.wake()
}

// admissionRefusal returns the refusal of a request that is not admitted.
func (n *Node) admissionRefusal(req *request, r *admission.Request, d admission.Decision) *code.Error {
	req.admissionReason = d.Reason.String()
	req.expected, req.refusalTimeLeft = r.Elapsed+r.Wait+r.Own, r.Left
	n.metrics.Count("admission_refusals", "reason", req.admissionReason, 1)
	group := strconv.Itoa(int(nameHash(r.Workspace) % workspaceGroups))
	n.metrics.Count("admission_refusals_by_group", "group_reason", group+"/"+req.admissionReason, 1)
	refusal := code.New(code.Overloaded, "the servers' capacity goes to more urgent requests")
	switch d.Reason {
	case admission.OverShare:
		refusal = code.New(code.ShareExceeded, "the workspace is over its share of the servers' capacity")
	case admission.Late:
		refusal = code.New(code.DeadlineUnreachable, "the servers are too busy to answer in time")
	}
	return refusal.WithRetryAfter(d.RetryAfter)
}

// updateSize tells the gate of a service about its servers, the nodes and the weights of workspaces. The weight is the
// workspace's limit: operators size it by what the workspace usually needs.
func (n *Node) updateSize(s *serviceAdmission, service string, now time.Time) {
	s.mu.Lock()
	due := now.Sub(s.sizedAt) >= sizeInterval
	if due {
		s.sizedAt = now
	}
	s.mu.Unlock()
	if !due {
		return
	}
	size := admission.Size{Alive: 1, Nodes: max(n.peers.deploymentSize(), n.peers.knownNodes()), Part: 1}
	slots := 0
	for _, server := range n.board.Servers(service) {
		if server.State == serving.Ready {
			size.Servers++
			slots += server.Slots
		}
	}
	cores := n.settings.Cores
	for _, heartbeat := range n.peers.alive(now) {
		size.Alive++
		cores += float64(heartbeat.Cores)
	}
	if cores > 0 { // callers are sent to the nodes in proportion to their cores
		size.Part = n.settings.Cores / cores * float64(size.Alive) / float64(max(size.Nodes, size.Alive))
	}
	s.gate.SetSize(size, now)
	if size.Nodes > 1 {
		s.gate.SetViewAge(time.Duration(viewAgeIntervals * float64(n.peers.heartbeatInterval())))
	}
	weights := n.workspaceWeights()
	s.gate.SetWeights(weights)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.weights = weights
	if size.Servers > 0 {
		s.slots = float64(slots) / float64(size.Servers)
	}
}

func (n *Node) workspaceWeights() map[string]float64 {
	weights := map[string]float64{}
	if c := n.config.Load(); c != nil {
		for _, w := range c.Workspaces {
			weights[w.Name] = w.Rate
		}
	}
	return weights
}
