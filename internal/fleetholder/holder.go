// Package fleetholder carries out the fleet plan.
//
// # Design
//
// Run is part of every entry node and acts only while the node holds the lease "fleet". What a successor must know is
// in one row of the table service: starts and drains are written there, under the condition that the row is as the
// holder knows it, before the cloud is asked or a server is announced as leaving. The number of a start decision in
// the row makes its token, so a successor that repeats the start gets the same instance. A holder whose lease has
// passed to another node fails at the row; one that wakes after the write fails at the check of the lease, which comes
// right before each call. A call that is late all the same repeats a decision in the row.
//
// Orders are desired states and are only given for what a late order cannot harm: a load adds to what a server has,
// an unload goes only to servers that check fencing numbers, and the standby role goes only to servers that drain, which is never
// withdrawn.
//
// The row is written only when a decision changes it, so a fleet at rest costs no store call beyond the lease's.
// Without a holder nodes serve on with the servers there are.
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
	// stepInterval is the time between two plans, retryInterval the wait after the platform failed.
	stepInterval  = 2 * time.Second
	retryInterval = 5 * time.Second
	// watchInterval is how often a node notes the demand, whether it is the holder or not.
	watchInterval = time.Second
	// callTimeout bounds one read of the platform.
	callTimeout = 2 * time.Second
	// pricesInterval is how often the prices are read.
	pricesInterval = time.Minute
	// releaseTimeout bounds the release of the lease at the end.
	releaseTimeout = time.Second
	// keptReasons bounds the decisions that the status shows.
	keptReasons = 16
)

// Server is a backend server as the node knows it.
type Server struct {
	platform.Instance
	// Load is the last report; Known is false before the first.
	Load  backend.Load
	Known bool
	// Noticed means that the cloud reclaims the instance.
	Noticed bool
}

// Options are the parts of a Fleet.
type Options struct {
	Leases    *lease.Leases
	Table     platform.Table
	Cloud     platform.Cloud
	Instances platform.InstanceList
	Weights   platform.Weights
	// Order gives an order to an engine.
	Order func(ctx context.Context, addr string, order backend.Order) error
	// Load asks a backend server for its load now.
	Load func(ctx context.Context, instance platform.Instance) (backend.Load, error)
	// Config returns the configuration in force, or nil.
	Config func() *config.Index
	// Servers returns the backend servers, Domains the failure domains in which instances may run.
	Servers func() []Server
	Domains func() []fleet.Domain
	// Demand returns the present demand per model.
	Demand func() map[string]fleet.Demand
	// Announce tells all nodes that a server leaves by the plan. It is called again and again.
	Announce func(server string, deadline time.Time)
	// MaxOrderTime bounds each call that the lease allows; it must not exceed that of Leases.
	MaxOrderTime time.Duration
	// DrainTime is how long a drained server may finish what it runs.
	DrainTime time.Duration
	Metrics   *metrics.Set
	Log       *logrus.Entry
}

// DefaultDrainTime lets nearly all answers finish where they run; what is left moves to other servers.
const DefaultDrainTime = 10 * time.Minute

// Fleet is the fleet loop of one node.
type Fleet struct {
	Options
	observed *observer

	mu     sync.Mutex
	status Status
}

// Status is what the node shows of its fleet loop.
type Status struct {
	Holder  bool              `json:"holder"`
	Fencing uint64            `json:"fencing,omitempty"`
	Target  []fleet.Count     `json:"target,omitempty"`
	Short   map[string]string `json:"short,omitempty"`
	Starts  int               `json:"pending_starts"`
	Drains  []string          `json:"draining,omitempty"`
	// Recent has the last decisions with their reasons, newest last.
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
	return &Fleet{Options: opts, observed: newObserver()}
}

// Run takes part in the election of the holder and acts while this node is it, until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { f.watch(ctx) })
	for ctx.Err() == nil {
		held, err := f.Leases.Acquire(ctx, LeaseName)
		if err != nil {
			return
		}
		f.hold(ctx, held)
	}
}

// watch notes demand and reclaims on every node, so that a new holder knows the last minutes.
func (f *Fleet) watch(ctx context.Context) {
	for ctx.Err() == nil {
		f.observed.note(time.Now(), f.Demand(), f.Servers())
		clock.Sleep(ctx, watchInterval)
	}
}

// hold acts until the lease or ctx ends.
func (f *Fleet) hold(ctx context.Context, held *lease.Held) {
	fencing, _ := held.Check()
	log := f.Log.WithField("fencing", fencing)
	log.Info("fleet lease acquired")
	t := newTerm(f, held, log)
	for ctx.Err() == nil && t.valid() {
		wait := stepInterval
		if err := t.step(ctx); err != nil {
			log.WithError(err).Debug("fleet step failed; the fleet stays as it is until the next")
			f.Metrics.Count("fleet_steps", "result", "failed", 1)
			wait = retryInterval
		} else {
			f.Metrics.Count("fleet_steps", "result", "done", 1)
		}
		t.report()
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
		log.WithError(err).Debug("fleet lease not released; the successor waits until it expires")
	}
}

// Status returns the state of the loop.
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

// errLeaseLost means that the lease is not valid; nothing was sent.
var errLeaseLost = errors.New("fleetholder: the lease is no longer valid")

// guarded calls fn if the lease is valid right now. fn gets the fencing number and must end within MaxOrderTime.
func (t *term) guarded(ctx context.Context, fn func(ctx context.Context, fencing uint64) error) error {
	ctx, cancel := context.WithTimeout(ctx, t.f.MaxOrderTime)
	defer cancel()
	fencing, ok := t.held.Check()
	if !ok {
		return errLeaseLost
	}
	return fn(ctx, fencing)
}

func token(s *pb.FleetStart) string {
	kind := "on-demand"
	if s.Reclaimable {
		kind = "reclaimable"
	}
	return fmt.Sprintf("fleet-%d-%s-%s-%s-%s", s.Number, s.BackendGroup, s.InstanceClass, s.FailureDomain, kind)
}
