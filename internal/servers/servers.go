// Package servers keeps the router's list of backend servers current.
//
// # Design
//
// One node, chosen by rendezvous hashing, reads the platform's instance list and gossips what changed; two nodes read
// the reclaim notices, which are urgent. At the target size the list of a thousand instances is too large for every
// node to read often: 400 nodes that read it each second would cost 100 MB/s. A node reads the list itself when it
// starts and now and then afterwards, so that it needs no other node.
//
// The list lags by seconds. A notice is therefore remembered until some time after its deadline: from its first second
// the server takes no new work, even while the list shows it as live.
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
	// minListInterval is the least time between two reads of the list, listTimePerInstance stretches it with the size of
	// the list: at about 250 bytes an instance, the reader spends 5 KB/s.
	minListInterval     = time.Second
	listTimePerInstance = 50 * time.Millisecond
	// fallbackInterval is how often a node that is not the reader reads the list.
	fallbackInterval = time.Minute
	// roleInterval is how often a node asks whether it is a reader.
	roleInterval = 500 * time.Millisecond
	// noticeWait is how long one read of the notices waits for a new one.
	noticeWait = 10 * time.Second
	// retryInterval is the wait after a failed read.
	retryInterval = 500 * time.Millisecond
	// listTimeout bounds one read of the list.
	listTimeout = 2 * time.Second
	// noticeMemory is how long a notice is kept after its deadline; the list lags less.
	noticeMemory = time.Minute
	// applyInterval is how often the router's list is renewed when nothing changes, for notices that expire.
	applyInterval = 2 * time.Second
)

// Load is what is known of a server's load.
type Load struct {
	backend.Load
	At          time.Time
	Unreachable bool
}

// Gossip spreads items between nodes; *gossip.Runner implements it.
type Gossip interface {
	Set(key string, value []byte, ttl time.Duration, urgent bool)
	Watch(prefix string, fn func(item *pb.GossipItem))
}

// Options are the parts of a Tracker.
type Options struct {
	Instances platform.InstanceList
	Cloud     platform.Cloud
	Router    *route.Router
	Config    func() *config.Index
	// Load returns the last known load of a server.
	Load func(server string) (Load, bool)
	// Allow tells whether a server may get work although it has failed lately; it is asked at each renewal.
	Allow func(server string) bool
	// ReadsList and ReadsNotices tell whether this node reads the list and the notices for all.
	ReadsList, ReadsNotices func() bool
	Gossip                  Gossip
	// Leaving is called for each server that is to leave, again with each renewal of the list.
	Leaving func(server string, deadline time.Time)
	// Changed is called with the backend servers after each change; it may be nil.
	Changed func([]platform.Instance)
	// Self is the instance of this node; SelfLeaving is called once when it is to leave.
	Self        string
	SelfLeaving func(deadline time.Time)
	Log         *logrus.Entry
}

// Tracker follows the instances.
type Tracker struct {
	Options
	wake chan struct{}

	mu        sync.Mutex
	instances map[string]platform.Instance
	notices   map[string]time.Time // deadline by instance
	self      sync.Once
	// backends are the backend servers as of the last renewal, in the order of their names.
	backends atomic.Pointer[[]platform.Instance]
}

// New returns a Tracker that listens to gossip.
func New(opts Options) *Tracker {
	t := &Tracker{
		Options:   opts,
		wake:      make(chan struct{}, 1),
		instances: map[string]platform.Instance{},
		notices:   map[string]time.Time{},
	}
	opts.Gossip.Watch(instancePrefix, t.heardInstance)
	opts.Gossip.Watch(noticePrefix, t.heardNotice)
	return t
}

// Run follows the list and the notices until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { t.followNotices(ctx) })
	wg.Go(func() { t.followList(ctx) })
	wg.Go(func() { t.renew(ctx) })
	wg.Wait()
}

// renew applies changes as they come, and from time to time without one.
func (t *Tracker) renew(ctx context.Context) {
	ticker := time.NewTicker(applyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.wake:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		t.apply()
	}
}

// Renew gives the router the servers again soon, because something is known better.
func (t *Tracker) Renew() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// apply gives the router the servers and reports those that are to leave.
func (t *Tracker) apply() {
	list, notices := t.state(time.Now())
	servers := make([]route.Server, 0, len(list))
	leaving := map[string]time.Time{}
	for _, instance := range list {
		deadline, noticed := notices[instance.ID]
		if !noticed && instance.State == platform.Leaving {
			deadline, noticed = instance.Deadline, true
		}
		if instance.ID == t.Self && noticed {
			t.self.Do(func() { t.SelfLeaving(deadline) })
		}
		if instance.Kind == platform.EntryNode || instance.State == platform.Starting {
			continue
		}
		if noticed {
			leaving[instance.ID] = deadline
		}
		servers = append(servers, t.server(instance, noticed))
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

// state returns the instances in the order of their names and the notices, and forgets notices of long ago.
func (t *Tracker) state(now time.Time) ([]platform.Instance, map[string]time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.notices, func(_ string, deadline time.Time) bool { return now.Sub(deadline) > noticeMemory })
	list := slices.SortedFunc(maps.Values(t.instances), func(a, b platform.Instance) int { return strings.Compare(a.ID, b.ID) })
	return list, maps.Clone(t.notices)
}

func (t *Tracker) server(instance platform.Instance, leaving bool) route.Server {
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

// List returns the backend servers as of the last renewal. The slice is shared and must not be changed.
func (t *Tracker) List() []platform.Instance {
	if list := t.backends.Load(); list != nil {
		return *list
	}
	return nil
}

// Instance returns one instance.
func (t *Tracker) Instance(id string) (platform.Instance, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	instance, ok := t.instances[id]
	return instance, ok
}

// HasNotice reports whether an instance is to leave or has left after a notice.
func (t *Tracker) HasNotice(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, noticed := t.notices[id]
	return noticed || t.instances[id].State == platform.Leaving
}
