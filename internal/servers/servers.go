// Package servers keeps the router's list of backend servers up to date.
//
// # Design
//
// One node, chosen by rendezvous hashing, reads the platform's instance list and gossips the changes; two nodes read
// the reclaim notices, which are urgent. At the target size of a thousand instances, the list is too large for every
// node to read often: 400 nodes that read it each second would transfer 100 MB/s. Every node also reads the list when
// it starts and every fallbackInterval afterwards, so that it does not depend on other nodes.
//
// The list lags by seconds. A notice is therefore kept until noticeRetention after its deadline: as soon as it is
// known, the server gets no new work, even while the list still shows it as live.
package servers

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/backend"
	"github.com/pollenlug/pollenlug/pkg/config"
	"github.com/pollenlug/pollenlug/pkg/platform"
	"github.com/pollenlug/pollenlug/pkg/route"
)

const (
	// minListInterval is the minimum time between two reads of the list, and listTimePerInstance extends it in proportion
	// to the size of the list: at about 250 bytes per instance, the reader transfers 5 KB/s.
	minListInterval     = time.Second
	listTimePerInstance = 50 * time.Millisecond
	// fallbackInterval is the time between two reads of the list by a node that is not its reader.
	fallbackInterval = time.Minute
	// roleCheckInterval is the time between two checks whether this node is a reader.
	roleCheckInterval = 500 * time.Millisecond
	// noticePollTimeout bounds how long one poll waits for a new notice.
	noticePollTimeout = 10 * time.Second
	// retryInterval is the delay after a failed read.
	retryInterval = 500 * time.Millisecond
	// listTimeout bounds one read of the list.
	listTimeout = 2 * time.Second
	// noticeRetention is how long a notice or drain is kept after its deadline. It is longer than the lag of the list.
	noticeRetention = time.Minute
	// drainMoveLead is how long before the deadline of a drain the responses that still run are moved. Until then they
	// may finish, which needs no recomputed tokens.
	drainMoveLead = time.Minute
	// updateInterval is the time between two updates of the router's list without a change; they apply the deadlines of
	// drains and the expiry of notices.
	updateInterval = 2 * time.Second
)

// Load is the last known load of a server, as of At.
type Load struct {
	backend.Load
	At          time.Time
	Unreachable bool
}

// Gossip replicates items between nodes; *gossip.Runner implements it.
type Gossip interface {
	Set(key string, value []byte, ttl time.Duration, urgent bool)
	Watch(prefix string, fn func(item *pb.GossipItem))
}

// Options configure a Tracker.
type Options struct {
	Instances platform.InstanceList
	Cloud     platform.Cloud
	Router    *route.Router
	Config    func() *config.Index
	// Load returns the last known load of a server.
	Load func(server string) (Load, bool)
	// Allow reports whether a server may get work, given its recent failures. It is called at each update.
	Allow func(server string) bool
	// ReadsList and ReadsNotices report whether this node reads the list and the notices for all nodes.
	ReadsList, ReadsNotices func() bool
	Gossip                  Gossip
	// Leaving is called at each update for each server whose responses are to be moved before the deadline.
	Leaving func(server string, deadline time.Time)
	// Changed is called with the backend servers at each update; it may be nil.
	Changed func([]platform.Instance)
	// Self is the instance of this node. SelfLeaving is called once, when that instance has a reclaim notice or is listed
	// as leaving.
	Self        string
	SelfLeaving func(deadline time.Time)
	Log         *logrus.Entry
}

// Tracker tracks the instances, their reclaim notices and their drains.
type Tracker struct {
	Options
	wake chan struct{}

	mu              sync.Mutex
	instances       map[string]platform.Instance
	notices         map[string]time.Time // deadline by instance
	drains          map[string]time.Time // deadline by instance, of servers that the fleet plan removes
	selfLeavingOnce sync.Once
	// backends are the backend servers as of the last update, sorted by instance ID.
	backends atomic.Pointer[[]platform.Instance]
}

// New returns a Tracker that receives items through opts.Gossip.
func New(opts Options) *Tracker {
	t := &Tracker{
		Options:   opts,
		wake:      make(chan struct{}, 1),
		instances: map[string]platform.Instance{},
		notices:   map[string]time.Time{},
		drains:    map[string]time.Time{},
	}
	opts.Gossip.Watch(instancePrefix, t.handleInstance)
	opts.Gossip.Watch(noticePrefix, t.handleNotice)
	opts.Gossip.Watch(drainPrefix, t.handleDrain)
	return t
}

// Run reads the list and the notices and updates the router until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { t.watchNotices(ctx) })
	wg.Go(func() { t.watchList(ctx) })
	wg.Go(func() { t.runUpdates(ctx) })
	wg.Wait()
}

// runUpdates updates the router's list on request and every updateInterval.
func (t *Tracker) runUpdates(ctx context.Context) {
	ticker := time.NewTicker(updateInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.wake:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		t.update()
	}
}

// RequestUpdate requests an update of the router's list because the state of a server has changed. It does not wait for
// the update.
func (t *Tracker) RequestUpdate() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// update passes the current servers to the router and calls Leaving, Changed and SelfLeaving.
func (t *Tracker) update() {
	list, notices := t.snapshot(time.Now())
	servers := make([]route.Server, 0, len(list))
	leaving := map[string]time.Time{}
	for _, instance := range list {
		deadline, noticed := notices[instance.ID]
		if !noticed && instance.State == platform.Leaving {
			deadline, noticed = instance.Deadline, true
		}
		if instance.ID == t.Self && noticed {
			t.selfLeavingOnce.Do(func() { t.SelfLeaving(deadline) })
		}
		if instance.Kind == platform.EntryNode || instance.State == platform.Starting {
			continue
		}
		if noticed {
			leaving[instance.ID] = deadline
		}
		if until, draining := t.drainOf(instance.ID); draining {
			if !noticed && time.Until(until) < drainMoveLead {
				leaving[instance.ID] = until
			}
			noticed = true
		}
		servers = append(servers, t.toRouteServer(instance, noticed))
	}
	t.Router.SetServers(servers)
	backends := slices.DeleteFunc(list, func(i platform.Instance) bool { return i.Kind == platform.EntryNode })
	t.backends.Store(&backends)
	if t.Changed != nil {
		t.Changed(t.List())
	}
	for server, deadline := range leaving {
		t.Leaving(server, deadline)
	}
}

// snapshot deletes expired notices and drains and returns the instances, sorted by ID, and the notices.
func (t *Tracker) snapshot(now time.Time) ([]platform.Instance, map[string]time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.drains, func(_ string, deadline time.Time) bool { return now.Sub(deadline) > noticeRetention })
	maps.DeleteFunc(t.notices, func(_ string, deadline time.Time) bool { return now.Sub(deadline) > noticeRetention })
	list := slices.SortedFunc(maps.Values(t.instances), func(a, b platform.Instance) int { return strings.Compare(a.ID, b.ID) })
	return list, maps.Clone(t.notices)
}

func (t *Tracker) toRouteServer(instance platform.Instance, leaving bool) route.Server {
	out := route.Server{
		ID:                 instance.ID,
		Addr:               instance.Addr,
		Group:              instance.BackendGroup,
		Region:             instance.Region,
		FailureDomain:      instance.FailureDomain,
		PricePerHourMicros: instance.PricePerHourMicros,
		Reclaimable:        instance.Reclaimable,
		Leaving:            leaving,
	}
	if load, ok := t.Load(instance.ID); ok {
		out.Load, out.LoadAt = load.Load, load.At
		out.Models, out.Adapters = load.Models, load.Adapters
		out.Suspect = load.Unreachable
	}
	if !t.Allow(instance.ID) {
		out.Suspect = true
	}
	if index := t.Config(); index != nil {
		if group, ok := index.Group(instance.BackendGroup); ok {
			out.Concurrency = group.Concurrency
		}
	}
	return out
}

// List returns the backend servers as of the last update. The slice is shared and must not be modified.
func (t *Tracker) List() []platform.Instance {
	if list := t.backends.Load(); list != nil {
		return *list
	}
	return nil
}

// Instance returns the instance with the ID.
func (t *Tracker) Instance(id string) (platform.Instance, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	instance, ok := t.instances[id]
	return instance, ok
}

// Reclaimed reports whether the cloud reclaims an instance; drains by the fleet plan are not included.
func (t *Tracker) Reclaimed(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, noticed := t.notices[id]
	return noticed || t.instances[id].State == platform.Leaving
}

// HasNotice reports whether an instance has a reclaim notice or a drain, or is listed as leaving.
func (t *Tracker) HasNotice(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, noticed := t.notices[id]
	if _, draining := t.drains[id]; draining {
		return true
	}
	return noticed || t.instances[id].State == platform.Leaving
}
