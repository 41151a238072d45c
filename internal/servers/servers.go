// Package servers keeps the router's list of backend servers current.
//
// The instance list lags by seconds, so reclaim notices are read besides: from the first second of a notice the
// server takes no new work. Notices are remembered until the instance has left the list, because a list that lags
// would show the server as live again.
package servers

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenlug/pollenlug/pkg/backend"
	"github.com/pollenlug/pollenlug/pkg/config"
	"github.com/pollenlug/pollenlug/pkg/platform"
	"github.com/pollenlug/pollenlug/pkg/route"
)

const (
	// listInterval is how often the instance list is read.
	listInterval = time.Second
	// noticeWait is how long one read of the notices waits for a new one.
	noticeWait = 10 * time.Second
	// retryInterval is the wait after a failed read.
	retryInterval = 500 * time.Millisecond
	// callTimeout bounds one read of the list.
	callTimeout = 2 * time.Second
	// noticeMemory is how long a notice is kept after its deadline.
	noticeMemory = time.Minute
)

// LoadFunc returns the last known load of a server and when it was measured.
type LoadFunc func(server string) (load backend.Load, at time.Time, ok bool)

// Options are the parts of a Tracker.
type Options struct {
	Instances platform.InstanceList
	Cloud     platform.Cloud
	Router    *route.Router
	Config    func() *config.Index
	Load      LoadFunc
	// Leaving is called for each server that is to leave, again with each read of the list.
	Leaving func(server string, deadline time.Time)
	// Self is the instance of this node; SelfLeaving is called once when it is to leave.
	Self        string
	SelfLeaving func(deadline time.Time)
	Log         *logrus.Entry
}

// Tracker follows the backend servers.
type Tracker struct {
	Options

	mu      sync.Mutex
	list    []platform.Instance
	notices map[string]time.Time // deadline by instance
	self    sync.Once
}

// New returns a Tracker.
func New(opts Options) *Tracker {
	return &Tracker{Options: opts, notices: map[string]time.Time{}}
}

// Run follows the list and the notices until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { t.followNotices(ctx) })
	wg.Go(func() { t.followList(ctx) })
	wg.Wait()
}

func (t *Tracker) followList(ctx context.Context) {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		t.readList(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// readList replaces the list; a failed read leaves the last one in force.
func (t *Tracker) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := t.Instances.Instances(ctx)
	if err != nil {
		t.Log.WithError(err).Debug("instance list is unavailable; the last one stays in force")
	} else {
		t.mu.Lock()
		t.list = list
		t.forgetNotices(time.Now())
		t.mu.Unlock()
	}
	t.apply()
}

// forgetNotices drops notices that ended long ago; t.mu is held.
func (t *Tracker) forgetNotices(now time.Time) {
	maps.DeleteFunc(t.notices, func(_ string, deadline time.Time) bool { return now.Sub(deadline) > noticeMemory })
}

func (t *Tracker) followNotices(ctx context.Context) {
	var last uint64
	for ctx.Err() == nil {
		waitCtx, cancel := context.WithTimeout(ctx, noticeWait)
		notices, err := t.Cloud.Notices(waitCtx, last)
		timedOut := waitCtx.Err() != nil
		cancel()
		if err != nil && !timedOut {
			pause(ctx, retryInterval)
			continue
		}
		if len(notices) == 0 {
			pause(ctx, time.Millisecond) // a platform that answers at once without notices must not be asked in a busy loop
			continue
		}
		t.mu.Lock()
		for _, notice := range notices {
			t.notices[notice.Instance] = notice.Deadline
			last = max(last, notice.Number)
		}
		t.mu.Unlock()
		t.apply()
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// apply gives the router the servers and reports those that are to leave.
func (t *Tracker) apply() {
	t.mu.Lock()
	list := slices.Clone(t.list)
	notices := maps.Clone(t.notices)
	t.mu.Unlock()
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
	slices.SortFunc(servers, func(a, b route.Server) int { return strings.Compare(a.ID, b.ID) })
	t.Router.SetServers(servers)
	for server, deadline := range leaving {
		t.Leaving(server, deadline)
	}
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
	if load, at, ok := t.Load(instance.ID); ok {
		out.Load, out.LoadAt = load, at
		out.Models, out.Adapters = load.Models, load.Adapters
	}
	if index := t.Config(); index != nil {
		if group, ok := index.Group(instance.BackendGroup); ok {
			out.Concurrency = group.Concurrency
		}
	}
	return out
}

// List returns the backend servers as last read.
func (t *Tracker) List() []platform.Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(t.list), func(i platform.Instance) bool { return i.Kind == platform.EntryNode })
}
