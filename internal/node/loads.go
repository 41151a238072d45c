package node

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/pollenlug/pollenlug/pkg/backend"
	"github.com/pollenlug/pollenlug/pkg/platform"
	"github.com/pollenlug/pollenlug/pkg/route"
)

const (
	// loadInterval is how often a server is asked for its load.
	loadInterval = 500 * time.Millisecond
	loadTimeout  = time.Second
	// loadParallel bounds the questions that are open at a time.
	loadParallel = 16
)

// loadPoller asks servers for their load and cache events.
type loadPoller struct {
	engine  backend.Engine
	service backend.Service
	router  *route.Router

	mu     sync.Mutex
	loads  map[string]measured
	events map[string]uint64 // last cache event by server
}

type measured struct {
	load backend.Load
	at   time.Time
}

func newLoadPoller(engine backend.Engine, service backend.Service, router *route.Router) *loadPoller {
	return &loadPoller{engine: engine, service: service, router: router, loads: map[string]measured{}, events: map[string]uint64{}}
}

// get implements servers.LoadFunc.
func (p *loadPoller) get(server string) (backend.Load, time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.loads[server]
	return m.load, m.at, ok
}

func (p *loadPoller) run(ctx context.Context, list func() []platform.Instance) {
	for ctx.Err() == nil {
		var group errgroup.Group
		group.SetLimit(loadParallel)
		for _, instance := range list() {
			group.Go(func() error {
				p.poll(ctx, instance)
				return nil
			})
		}
		_ = group.Wait()
		sleep(ctx, loadInterval)
	}
}

func (p *loadPoller) poll(ctx context.Context, instance platform.Instance) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	ask := p.service.Load
	if instance.Kind == platform.ModelEngine {
		ask = p.engine.Load
	}
	load, err := ask(ctx, instance.Addr)
	if err != nil {
		return
	}
	now := time.Now()
	p.mu.Lock()
	p.loads[instance.ID] = measured{load, now}
	after := p.events[instance.ID]
	p.mu.Unlock()
	p.router.SetLoad(instance.ID, load, now)
	if instance.Kind == platform.ModelEngine {
		p.pollCache(ctx, instance, after)
	}
}

func (p *loadPoller) pollCache(ctx context.Context, instance platform.Instance, after uint64) {
	events, err := p.engine.CacheEvents(ctx, instance.Addr, after)
	if err != nil || len(events) == 0 {
		return
	}
	p.mu.Lock()
	p.events[instance.ID] = events[len(events)-1].Sequence
	p.mu.Unlock()
	p.router.ObserveCache(instance.ID, events)
}
