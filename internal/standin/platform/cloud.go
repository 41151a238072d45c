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
	// Stop ends it at once, as when the machine is switched off.
	Stop func()
}

// LaunchFunc starts the server of an instance. The context ends when the instance stops.
type LaunchFunc func(ctx context.Context, instance platform.Instance) (Server, error)

// CloudOptions configure a Cloud.
type CloudOptions struct {
	// Launch starts the server of an instance; nil means that Start is refused.
	Launch LaunchFunc
	// StartDelay is the time until a started instance is live.
	StartDelay time.Duration
	// ListLag is how old the instance list is.
	ListLag time.Duration
	// Prices are the prices; a class without a price in a failure domain cannot be started there.
	Prices []platform.Price
}

// Cloud is the cloud API and the instance list.
type Cloud struct {
	o      CloudOptions
	ctx    context.Context
	cancel context.CancelFunc

	mu        sync.Mutex
	instances map[string]*instance
	byToken   map[string]*instance
	notices   []platform.Notice
	// changed is closed and replaced with each notice.
	changed chan struct{}
	prices  []platform.Price
	refused map[refusal]bool
	lists   []list
	number  int
}

type instance struct {
	platform.Instance
	stop   func()
	cancel context.CancelFunc
	// launched is closed when Start has its answer.
	launched chan struct{}
}

// refusal names the starts that are refused; an empty field matches every value.
type refusal struct{ domain, class string }

// list is the instance list from a time on.
type list struct {
	from      time.Time
	instances []platform.Instance
}

var (
	_ platform.Cloud        = (*Cloud)(nil)
	_ platform.InstanceList = (*Cloud)(nil)
)

// NewCloud returns a cloud without instances.
func NewCloud(o CloudOptions) *Cloud {
	ctx, cancel := context.WithCancel(context.Background())
	return &Cloud{
		o:         o,
		ctx:       ctx,
		cancel:    cancel,
		instances: map[string]*instance{},
		byToken:   map[string]*instance{},
		changed:   make(chan struct{}),
		prices:    slices.Clone(o.Prices),
		refused:   map[refusal]bool{},
		lists:     []list{{from: time.Now()}},
	}
}

// Add puts an instance that runs already into the list. stop may be nil.
func (c *Cloud) Add(i platform.Instance, stop func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i.State == "" {
		i.State = platform.Live
	}
	c.instances[i.ID] = &instance{Instance: i, stop: stop, cancel: func() {}}
	c.record()
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
		return c.repeated(ctx, i)
	}
	i, err := c.reserve(req)
	if err != nil {
		c.mu.Unlock()
		return platform.Instance{}, err
	}
	starting := i.Instance
	c.mu.Unlock()
	defer close(i.launched)
	return c.launch(i, starting)
}

// repeated answers a start whose token was used before. It waits for the launch, so that the answer has the
// address.
func (c *Cloud) repeated(ctx context.Context, i *instance) (platform.Instance, error) {
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

// reserve enters a starting instance; the caller holds the lock.
func (c *Cloud) reserve(req platform.StartRequest) (*instance, error) {
	price, ok := c.price(req)
	if !ok || c.o.Launch == nil || c.isRefused(req) {
		return nil, platform.ErrStartRefused
	}
	c.number++
	i := &instance{launched: make(chan struct{}), Instance: platform.Instance{
		ID:                 fmt.Sprintf("i-%04d", c.number),
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
	c.record()
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
	for r := range c.refused {
		domain := r.domain == "" || r.domain == req.FailureDomain
		class := r.class == "" || r.class == req.InstanceClass
		if domain && class {
			return true
		}
	}
	return false
}

// launch starts the server. The instance becomes live after the start delay.
func (c *Cloud) launch(i *instance, starting platform.Instance) (platform.Instance, error) {
	ctx, cancel := context.WithCancel(c.ctx)
	server, err := c.o.Launch(ctx, starting)
	c.mu.Lock()
	if err != nil {
		delete(c.instances, i.ID)
		c.record()
		c.mu.Unlock()
		cancel()
		return platform.Instance{}, fmt.Errorf("%w: %w", platform.ErrStartRefused, err)
	}
	i.Addr = server.Addr
	i.stop = server.Stop
	i.cancel = cancel
	_, wanted := c.instances[i.ID]
	c.record()
	out := i.Instance
	c.mu.Unlock()
	if !wanted { // it was stopped while it was launched
		end(i)
		return out, nil
	}
	time.AfterFunc(c.o.StartDelay, func() { c.live(i.ID) })
	return out, nil
}

func (c *Cloud) live(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i, ok := c.instances[id]; ok && i.State == platform.Starting {
		i.State = platform.Live
		c.record()
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

// Crash ends an instance at once, without notice.
func (c *Cloud) Crash(id string) {
	c.mu.Lock()
	i, ok := c.instances[id]
	delete(c.instances, id)
	if ok {
		c.record()
	}
	c.mu.Unlock()
	if ok {
		end(i)
	}
}

func end(i *instance) {
	if i.stop != nil {
		i.stop()
	}
	if i.cancel != nil {
		i.cancel()
	}
}

// Reclaim gives notice to instances and ends them after the notice period. Instances that are unknown or have
// notice already are left out. It returns those that got notice.
func (c *Cloud) Reclaim(notice time.Duration, ids ...string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline := time.Now().Add(notice)
	var told []string
	for _, id := range ids {
		i, ok := c.instances[id]
		if !ok || i.State == platform.Leaving {
			continue
		}
		i.State = platform.Leaving
		i.Deadline = deadline
		number := uint64(len(c.notices) + 1)
		c.notices = append(c.notices, platform.Notice{Number: number, Instance: id, Deadline: deadline})
		told = append(told, id)
		time.AfterFunc(notice, func() { c.Crash(id) })
	}
	if len(told) > 0 {
		c.record()
		close(c.changed)
		c.changed = make(chan struct{})
	}
	return told
}

// ReclaimDomain gives notice to the instances of a failure domain: all, or only the reclaimable ones.
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

// RefuseStarts refuses starts of a class in a failure domain, or allows them again; "" stands for all.
func (c *Cloud) RefuseStarts(domain, class string, refuse bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if refuse {
		c.refused[refusal{domain, class}] = true
		return
	}
	delete(c.refused, refusal{domain, class})
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

// Notices implements platform.Cloud. It returns no notices and no error when the context ends first.
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

// record appends the current state to the lagging list; the caller holds the lock.
func (c *Cloud) record() {
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
	c.lists = append(c.lists, list{now, all})
	cut := now.Add(-c.o.ListLag)
	for len(c.lists) > 1 && !c.lists[1].from.After(cut) {
		c.lists = c.lists[1:]
	}
}

// Instances implements platform.InstanceList: the list as it was a lag ago.
func (c *Cloud) Instances(ctx context.Context) ([]platform.Instance, error) {
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	cut := time.Now().Add(-c.o.ListLag)
	out := c.lists[0].instances
	for _, l := range c.lists {
		if !l.from.After(cut) {
			out = l.instances
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
		end(i)
	}
	c.cancel()
}
