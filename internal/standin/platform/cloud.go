package platform

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/pollenlug/pollenlug/pkg/platform"
)

// Server is a running backend server stand-in.
type Server struct {
	// Addr is its address for requests, as IP:port.
	Addr string
	// Stop ends it without draining, as when the machine is switched off.
	Stop func()
}

// LaunchFunc starts the backend server of an instance. The context ends when the instance stops.
type LaunchFunc func(ctx context.Context, instance platform.Instance) (Server, error)

// CloudOptions configure a Cloud.
type CloudOptions struct {
	// Launch starts the backend server of an instance; if it is nil, every Start is refused.
	Launch LaunchFunc
	// StartDelay is the time from the end of Launch until the instance is live.
	StartDelay time.Duration
	// ListLag is the delay of the instance list behind the state of the cloud.
	ListLag time.Duration
	// Prices are the prices per instance class and failure domain. A class cannot be started where it has no price.
	Prices []platform.Price
}

// Cloud is a stand-in for the cloud API and the instance list.
type Cloud struct {
	options CloudOptions
	ctx     context.Context
	cancel  context.CancelFunc

	mu        sync.Mutex
	instances map[string]*instance
	byToken   map[string]*instance
	notices   []platform.Notice
	// changed is closed and replaced when notices are added.
	changed   chan struct{}
	prices    []platform.Price
	refusals  map[refusal]bool
	snapshots []listSnapshot
	started   int
}

type instance struct {
	platform.Instance
	stop   func()
	cancel context.CancelFunc
	// launched is closed when the launch has succeeded or failed.
	launched chan struct{}
}

// refusal selects the starts to refuse; an empty field matches every value.
type refusal struct{ domain, class string }

// listSnapshot is the instance list as it was from takenAt until the next snapshot.
type listSnapshot struct {
	takenAt   time.Time
	instances []platform.Instance
}

var (
	_ platform.Cloud        = (*Cloud)(nil)
	_ platform.InstanceList = (*Cloud)(nil)
)

// NewCloud returns a cloud without instances.
func NewCloud(options CloudOptions) *Cloud {
	ctx, cancel := context.WithCancel(context.Background())
	return &Cloud{
		options:   options,
		ctx:       ctx,
		cancel:    cancel,
		instances: map[string]*instance{},
		byToken:   map[string]*instance{},
		changed:   make(chan struct{}),
		prices:    slices.Clone(options.Prices),
		refusals:  map[refusal]bool{},
		snapshots: []listSnapshot{{takenAt: time.Now()}},
	}
}

// Add adds an instance that is already running. stop may be nil.
func (c *Cloud) Add(i platform.Instance, stop func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i.State == "" {
		i.State = platform.Live
	}
	c.instances[i.ID] = &instance{Instance: i, stop: stop, cancel: func() {}}
	c.recordSnapshot()
}

// Start implements platform.Cloud.
func (c *Cloud) Start(ctx context.Context, req platform.StartRequest) (platform.Instance, error) {
	if ctx.Err() != nil {
		return platform.Instance{}, platform.ErrUnavailable
	}
	if req.Token == "" {
		return platform.Instance{}, errors.New("cloud: a start needs a token")
	}
	c.mu.Lock()
	if i, ok := c.byToken[req.Token]; ok {
		c.mu.Unlock()
		return c.retriedStart(ctx, i)
	}
	i, err := c.addStarting(req)
	if err != nil {
		c.mu.Unlock()
		return platform.Instance{}, err
	}
	starting := i.Instance
	c.mu.Unlock()
	defer close(i.launched)
	return c.launch(i, starting)
}

// retriedStart returns the instance of an earlier start with the same token, or ErrStartRefused if that instance has
// stopped. It waits for the launch, so that the instance has its address.
func (c *Cloud) retriedStart(ctx context.Context, i *instance) (platform.Instance, error) {
	select {
	case <-i.launched:
	case <-ctx.Done():
		return platform.Instance{}, platform.ErrOutcomeUnknown
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.instances[i.ID]; !ok {
		return platform.Instance{}, fmt.Errorf("%w: instance %s has stopped", platform.ErrStartRefused, i.ID)
	}
	return i.Instance, nil
}

// addStarting adds an instance in state Starting, or returns ErrStartRefused; the caller holds c.mu.
func (c *Cloud) addStarting(req platform.StartRequest) (*instance, error) {
	price, ok := c.price(req)
	if !ok || c.options.Launch == nil || c.isRefused(req) {
		return nil, platform.ErrStartRefused
	}
	c.started++
	i := &instance{launched: make(chan struct{}), Instance: platform.Instance{
		ID:                 fmt.Sprintf("i-%04d", c.started),
		Kind:               req.Kind,
		State:              platform.Starting,
		Region:             req.Region,
		FailureDomain:      req.FailureDomain,
		BackendGroup:       req.BackendGroup,
		InstanceClass:      req.InstanceClass,
		Reclaimable:        req.Reclaimable,
		PricePerHourMicros: price,
	}}
	c.instances[i.ID] = i
	c.byToken[req.Token] = i
	c.recordSnapshot()
	return i, nil
}

func (c *Cloud) price(req platform.StartRequest) (uint64, bool) {
	for _, p := range c.prices {
		if p.InstanceClass == req.InstanceClass && p.FailureDomain == req.FailureDomain && p.Reclaimable == req.Reclaimable {
			return p.PricePerHourMicros, true
		}
	}
	return 0, false
}

func (c *Cloud) isRefused(req platform.StartRequest) bool {
	for r := range c.refusals {
		domain := r.domain == "" || r.domain == req.FailureDomain
		class := r.class == "" || r.class == req.InstanceClass
		if domain && class {
			return true
		}
	}
	return false
}

// launch starts the backend server of an instance, which becomes live after StartDelay.
func (c *Cloud) launch(i *instance, starting platform.Instance) (platform.Instance, error) {
	ctx, cancel := context.WithCancel(c.ctx)
	server, err := c.options.Launch(ctx, starting)
	c.mu.Lock()
	if err != nil {
		delete(c.instances, i.ID)
		c.recordSnapshot()
		c.mu.Unlock()
		cancel()
		return platform.Instance{}, fmt.Errorf("%w: %w", platform.ErrStartRefused, err)
	}
	i.Addr = server.Addr
	i.stop = server.Stop
	i.cancel = cancel
	_, exists := c.instances[i.ID]
	c.recordSnapshot()
	out := i.Instance
	c.mu.Unlock()
	if !exists { // it was stopped during the launch
		shutDown(i)
		return out, nil
	}
	time.AfterFunc(c.options.StartDelay, func() { c.markLive(i.ID) })
	return out, nil
}

func (c *Cloud) markLive(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i, ok := c.instances[id]; ok && i.State == platform.Starting {
		i.State = platform.Live
		c.recordSnapshot()
	}
}

// Stop implements platform.Cloud.
func (c *Cloud) Stop(ctx context.Context, id string) error {
	if ctx.Err() != nil {
		return platform.ErrUnavailable
	}
	c.Crash(id)
	return nil
}

// Crash ends an instance immediately, without notice.
func (c *Cloud) Crash(id string) {
	c.mu.Lock()
	i, ok := c.instances[id]
	delete(c.instances, id)
	if ok {
		c.recordSnapshot()
	}
	c.mu.Unlock()
	if ok {
		shutDown(i)
	}
}

func shutDown(i *instance) {
	if i.stop != nil {
		i.stop()
	}
	if i.cancel != nil {
		i.cancel()
	}
}

// Reclaim gives instances notice and ends them after the notice period. It skips instances that are unknown or already
// have notice, and returns the ids of the others.
func (c *Cloud) Reclaim(notice time.Duration, ids ...string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline := time.Now().Add(notice)
	var notified []string
	for _, id := range ids {
		i, ok := c.instances[id]
		if !ok || i.State == platform.Leaving {
			continue
		}
		i.State = platform.Leaving
		i.Deadline = deadline
		number := uint64(len(c.notices) + 1)
		c.notices = append(c.notices, platform.Notice{Number: number, Instance: id, Deadline: deadline})
		notified = append(notified, id)
		time.AfterFunc(notice, func() { c.Crash(id) })
	}
	if len(notified) > 0 {
		c.recordSnapshot()
		close(c.changed)
		c.changed = make(chan struct{})
	}
	return notified
}

// ReclaimDomain reclaims all instances of a failure domain, or only the reclaimable ones. It returns the ids as Reclaim
// does.
func (c *Cloud) ReclaimDomain(domain string, notice time.Duration, onlyReclaimable bool) []string {
	c.mu.Lock()
	var ids []string
	for id, i := range c.instances {
		if i.FailureDomain == domain && (i.Reclaimable || !onlyReclaimable) {
			ids = append(ids, id)
		}
	}
	c.mu.Unlock()
	slices.Sort(ids)
	return c.Reclaim(notice, ids...)
}

// RefuseStarts refuses starts of a class in a failure domain, or allows them again; "" matches all.
func (c *Cloud) RefuseStarts(domain, class string, refuse bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if refuse {
		c.refusals[refusal{domain, class}] = true
		return
	}
	delete(c.refusals, refusal{domain, class})
}

// SetPrices replaces the prices; running instances keep theirs.
func (c *Cloud) SetPrices(prices []platform.Price) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prices = slices.Clone(prices)
}

// Prices implements platform.Cloud.
func (c *Cloud) Prices(ctx context.Context) ([]platform.Price, error) {
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.prices), nil
}

// Notices implements platform.Cloud. It returns no notices and no error if the context ends first.
func (c *Cloud) Notices(ctx context.Context, after uint64) ([]platform.Notice, error) {
	for {
		c.mu.Lock()
		var out []platform.Notice
		if after < uint64(len(c.notices)) {
			out = slices.Clone(c.notices[after:]) // the notice with number n is at index n-1
		}
		changed := c.changed
		c.mu.Unlock()
		if len(out) > 0 {
			return out, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, nil
		}
	}
}

// recordSnapshot appends the current state to the snapshots and drops those that are too old for Instances; the caller
// holds c.mu.
func (c *Cloud) recordSnapshot() {
	now := time.Now()
	all := make([]platform.Instance, 0, len(c.instances))
	for _, i := range c.instances {
		all = append(all, i.Instance)
	}
	slices.SortFunc(all, func(a, b platform.Instance) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	c.snapshots = append(c.snapshots, listSnapshot{now, all})
	cut := now.Add(-c.options.ListLag)
	for len(c.snapshots) > 1 && !c.snapshots[1].takenAt.After(cut) {
		c.snapshots = c.snapshots[1:]
	}
}

// Instances implements platform.InstanceList. It returns the list as it was ListLag ago.
func (c *Cloud) Instances(ctx context.Context) ([]platform.Instance, error) {
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	cut := time.Now().Add(-c.options.ListLag)
	out := c.snapshots[0].instances
	for _, s := range c.snapshots {
		if !s.takenAt.After(cut) {
			out = s.instances
		}
	}
	return slices.Clone(out), nil
}

// Close stops all instances.
func (c *Cloud) Close() {
	c.mu.Lock()
	var all []*instance
	for id, i := range c.instances {
		all = append(all, i)
		delete(c.instances, id)
	}
	c.mu.Unlock()
	for _, i := range all {
		shutDown(i)
	}
	c.cancel()
}
