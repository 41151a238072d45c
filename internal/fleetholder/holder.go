// Package fleetholder executes the fleet plan on the node that holds the fleet lease.
//
// # Design
//
// Every entry node calls Run, which acts only while the node holds the lease "fleet". The state that a successor needs
// is one row of the table service. Starts and drains are written to it, conditional on the row version that the holder
// read last, before the cloud API is called or a server is announced as leaving. The token of a start is derived from
// its decision number in the row, so a successor that retries the start gets the same instance. If the lease has moved
// to another node, the conditional write fails; a holder that is paused after the write fails at the lease check,
// which precedes each call. A call that is delayed even further only repeats a decision already in the row.
//
// Orders state a desired state and are limited to those that do no harm when they arrive late: a load only adds to what
// a server holds, an unload goes only to servers that check fencing tokens, and the standby role goes only to
// draining servers, whose drain is never withdrawn.
//
// The row is written only when a decision changes it, so an idle fleet makes no store calls besides lease renewals.
// Without a holder, nodes keep serving with the existing servers.
package fleetholder

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/metrics"
	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/backend"
	"github.com/pollenlug/pollenlug/pkg/config"
	"github.com/pollenlug/pollenlug/pkg/fleet"
	"github.com/pollenlug/pollenlug/pkg/lease"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

// LeaseName is the name of the lease.
const LeaseName = "fleet"

const (
	// stepInterval is the time between two planning steps, retryInterval the wait after a failed step.
	stepInterval  = 2 * time.Second
	retryInterval = 5 * time.Second
	// observeInterval is how often each node, holder or not, samples demand and reclaims.
	observeInterval = time.Second
	// callTimeout bounds the reads of the row and the instance list together, and a read of the prices.
	callTimeout = 2 * time.Second
	// pricesInterval is how often the prices are read.
	pricesInterval = time.Minute
	// releaseTimeout bounds the release of the lease when the loop ends.
	releaseTimeout = time.Second
	// maxRecentDecisions bounds the number of decisions in Status.Recent.
	maxRecentDecisions = 16
)

// Server is this node's view of a backend server.
type Server struct {
	platform.Instance
	// Load is the last load report; Known is false before the first one.
	Load  backend.Load
	Known bool
	// Noticed means that the cloud has given notice that it will reclaim the instance.
	Noticed bool
}

// Options holds the dependencies and settings of a Fleet.
type Options struct {
	Leases    *lease.Leases
	Table     platform.Table
	Cloud     platform.Cloud
	Instances platform.InstanceList
	Weights   platform.Weights
	// Order sends an order to an engine.
	Order func(ctx context.Context, addr string, order backend.Order) error
	// Load queries a backend server for its current load.
	Load func(ctx context.Context, instance platform.Instance) (backend.Load, error)
	// Config returns the configuration in force, or nil.
	Config func() *config.Index
	// Servers returns the known backend servers, Domains the failure domains in which instances may run.
	Servers func() []Server
	Domains func() []fleet.Domain
	// Demand returns the current demand by model.
	Demand func() map[string]fleet.Demand
	// Announce reports to all nodes that the plan drains a server. It is called repeatedly for the same server.
	Announce func(server string, deadline time.Time)
	// MaxOrderTime bounds each call made under the lease; it must not exceed the MaxOrderTime of Leases. 0 means
	// lease.DefaultMaxOrderTime.
	MaxOrderTime time.Duration
	// DrainTime is how long a draining server may finish its requests. 0 means DefaultDrainTime.
	DrainTime time.Duration
	Metrics   *metrics.Set
	Log       *logrus.Entry
}

// DefaultDrainTime is long enough for nearly all responses to finish on their server; the rest move to other servers.
const DefaultDrainTime = 10 * time.Minute

// Fleet runs the fleet control loop of one node.
type Fleet struct {
	Options
	observer *observer

	mu     sync.Mutex
	status Status
}

// Status is the state of the control loop that the node's status endpoint reports.
type Status struct {
	Holder  bool              `json:"holder"`
	Fencing uint64            `json:"fencing,omitempty"`
	Target  []fleet.Count     `json:"target,omitempty"`
	Short   map[string]string `json:"short,omitempty"`
	Starts  int               `json:"pending_starts"`
	Drains  []string          `json:"draining,omitempty"`
	// Recent holds the last decisions with their reasons, newest last.
	Recent []string `json:"recent,omitempty"`
}

// New returns a Fleet that is not running yet.
func New(opts Options) *Fleet {
	if opts.MaxOrderTime == 0 {
		opts.MaxOrderTime = lease.DefaultMaxOrderTime
	}
	if opts.DrainTime == 0 {
		opts.DrainTime = DefaultDrainTime
	}
	return &Fleet{Options: opts, observer: newObserver()}
}

// Run competes for the fleet lease and executes the plan while this node holds it, until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { f.observe(ctx) })
	for ctx.Err() == nil {
		held, err := f.Leases.Acquire(ctx, LeaseName)
		if err != nil {
			return
		}
		f.runTerm(ctx, held)
	}
}

// observe samples demand and reclaims on every node, so that a new holder has the history of the last minutes.
func (f *Fleet) observe(ctx context.Context) {
	for ctx.Err() == nil {
		f.observer.record(time.Now(), f.Demand(), f.Servers())
		clock.Sleep(ctx, observeInterval)
	}
}

// runTerm plans and acts until the lease or ctx ends.
func (f *Fleet) runTerm(ctx context.Context, held *lease.Held) {
	fencing, _ := held.Check()
	log := f.Log.WithField("fencing", fencing)
	log.Info("fleet lease acquired")
	t := newTerm(f, held, log)
	for ctx.Err() == nil && t.valid() {
		wait := stepInterval
		if err := t.step(ctx); err != nil {
			log.WithError(err).Debug("fleet step failed; retrying after a delay")
			f.Metrics.Count("fleet_steps", "result", "failed", 1)
			wait = retryInterval
		} else {
			f.Metrics.Count("fleet_steps", "result", "done", 1)
		}
		t.updateStatus()
		select {
		case <-held.Done():
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
	f.setStatus(Status{})
	log.Info("fleet lease ended")
	release, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	if err := held.Release(release); err != nil {
		log.WithError(err).Debug("releasing fleet lease failed; the successor must wait until it expires")
	}
}

// Status returns the state of the control loop.
func (f *Fleet) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.status
}

func (f *Fleet) setStatus(s Status) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.status = s
}

// errLeaseLost means that the lease is no longer valid and that the call was not made.
var errLeaseLost = errors.New("fleetholder: the lease is no longer valid")

// withLease calls fn if the lease is valid. fn receives the fencing token and a context that ends after MaxOrderTime.
func (t *term) withLease(ctx context.Context, fn func(ctx context.Context, fencing uint64) error) error {
	ctx, cancel := context.WithTimeout(ctx, t.f.MaxOrderTime)
	defer cancel()
	fencing, ok := t.held.Check()
	if !ok {
		return errLeaseLost
	}
	return fn(ctx, fencing)
}

// startToken returns the idempotency token of a start.
func startToken(s *pb.FleetStart) string {
	kind := "on-demand"
	if s.Reclaimable {
		kind = "reclaimable"
	}
	return fmt.Sprintf("fleet-%d-%s-%s-%s-%s", s.Number, s.BackendGroup, s.InstanceClass, s.FailureDomain, kind)
}
