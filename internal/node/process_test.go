package node_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/pollenlug/pollenlug/internal/node"
	"github.com/pollenlug/pollenlug/internal/standin/netfault"
	standin "github.com/pollenlug/pollenlug/internal/standin/platform"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

var errDead = errors.New("test: the process is dead")

// process simulates a node's process at its connections to everything outside. A paused process neither sends nor
// receives until it resumes; a dead one never does again, although its goroutines still run in the test.
type process struct {
	mu      sync.Mutex
	resumed chan struct{} // closed by resume; nil while the process runs
	dead    chan struct{}
	conns   map[*gatedConn]struct{}
}

func newProcess() *process {
	return &process{dead: make(chan struct{}), conns: map[*gatedConn]struct{}{}}
}

func (p *process) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed == nil {
		p.resumed = make(chan struct{})
	}
}

func (p *process) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed != nil {
		close(p.resumed)
		p.resumed = nil
	}
}

func (p *process) isDead() bool {
	select {
	case <-p.dead:
		return true
	default:
		return false
	}
}

// kill marks the process as dead and closes its connections.
func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isDead() {
		return
	}
	close(p.dead)
	for c := range p.conns {
		_ = c.Conn.Close()
	}
}

// awaitRunning waits until the process is not paused, and returns errDead if it is dead. It takes no context, because a
// paused process would not notice the end of one.
func (p *process) awaitRunning() error {
	for {
		p.mu.Lock()
		resumed := p.resumed
		p.mu.Unlock()
		if p.isDead() {
			return errDead
		}
		if resumed == nil {
			return nil
		}
		select {
		case <-resumed:
		case <-p.dead:
		}
	}
}

// gatedConn is a connection of a process, which blocks while the process is paused.
type gatedConn struct {
	net.Conn
	process *process
}

func (p *process) wrap(c net.Conn) net.Conn {
	out := &gatedConn{c, p}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[out] = struct{}{}
	if p.isDead() {
		_ = c.Close()
	}
	return out
}

// Read implements net.Conn.
func (c *gatedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if processErr := c.process.awaitRunning(); processErr != nil {
		return 0, processErr
	}
	return n, err
}

// Write implements net.Conn. It waits before the write, which simulates the worst case: a pause between the node's last
// check and the first byte that it sends.
func (c *gatedConn) Write(b []byte) (int, error) {
	if err := c.process.awaitRunning(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *gatedConn) Close() error {
	c.process.mu.Lock()
	delete(c.process.conns, c)
	c.process.mu.Unlock()
	return c.Conn.Close()
}

// dialer returns a dial function for connections of the process.
func (p *process) dialer(network *netfault.PipeNetwork) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, kind, addr string) (net.Conn, error) {
		if err := p.awaitRunning(); err != nil {
			return nil, err
		}
		c, err := network.Dial(ctx, kind, addr)
		if err != nil {
			return nil, err
		}
		return p.wrap(c), nil
	}
}

// listener returns a listen function for connections to the process.
func (p *process) listener(network *netfault.PipeNetwork) func(string) (net.Listener, error) {
	return func(addr string) (net.Listener, error) {
		l, err := network.Listen(addr)
		return gatedListener{l, p}, err
	}
}

type gatedListener struct {
	net.Listener
	process *process
}

// Accept implements net.Listener.
func (l gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.process.wrap(c), nil
}

// platform returns the stand-in platform with every call made through the process.
func (p *process) platform(s *standin.Platform) node.Platform {
	g := gatedPlatform{p, s}
	return node.Platform{Table: gatedTable{g}, Objects: gatedObjects{g}, Folder: g, Cloud: g, Instances: g, Weights: g}
}

type gatedPlatform struct {
	process *process
	standin *standin.Platform
}

// gatedCall makes a call when the process runs, and returns its result when the process runs again. If the process is
// dead, it returns platform.ErrOutcomeUnknown.
func gatedCall[T any](p *process, call func() (T, error)) (T, error) {
	var zero T
	if p.awaitRunning() != nil {
		return zero, platform.ErrOutcomeUnknown
	}
	out, err := call()
	if p.awaitRunning() != nil {
		return zero, platform.ErrOutcomeUnknown
	}
	return out, err
}

type gatedTable struct{ gatedPlatform }

// Get implements platform.Table.
func (g gatedTable) Get(ctx context.Context, table, key string) (platform.Row, error) {
	return gatedCall(g.process, func() (platform.Row, error) { return g.standin.Table.Get(ctx, table, key) })
}

// List implements platform.Table.
func (g gatedTable) List(ctx context.Context, table, prefix, after string, limit int) ([]platform.Row, error) {
	return gatedCall(g.process, func() ([]platform.Row, error) { return g.standin.Table.List(ctx, table, prefix, after, limit) })
}

// Era implements platform.Table.
func (g gatedTable) Era() (uint64, <-chan struct{}) { return g.standin.Table.Era() }

// Commit implements platform.Table.
func (g gatedTable) Commit(ctx context.Context, m []platform.Mutation) ([]uint64, error) {
	return gatedCall(g.process, func() ([]uint64, error) { return g.standin.Table.Commit(ctx, m) })
}

type gatedObjects struct{ gatedPlatform }

// Put implements platform.Objects.
func (g gatedObjects) Put(ctx context.Context, name string, data []byte) error {
	_, err := gatedCall(g.process, func() (int, error) { return 0, g.standin.Objects.Put(ctx, name, data) })
	return err
}

// Get implements platform.Objects.
func (g gatedObjects) Get(ctx context.Context, name string) ([]byte, error) {
	return gatedCall(g.process, func() ([]byte, error) { return g.standin.Objects.Get(ctx, name) })
}

// Read implements platform.Folder.
func (g gatedPlatform) Read(ctx context.Context) (platform.FolderState, error) {
	return gatedCall(g.process, func() (platform.FolderState, error) { return g.standin.Folder.Read(ctx) })
}

// Instances implements platform.InstanceList.
func (g gatedPlatform) Instances(ctx context.Context) ([]platform.Instance, error) {
	return gatedCall(g.process, func() ([]platform.Instance, error) { return g.standin.Cloud.Instances(ctx) })
}

// Start implements platform.Cloud.
func (g gatedPlatform) Start(ctx context.Context, req platform.StartRequest) (platform.Instance, error) {
	return gatedCall(g.process, func() (platform.Instance, error) { return g.standin.Cloud.Start(ctx, req) })
}

// Stop implements platform.Cloud.
func (g gatedPlatform) Stop(ctx context.Context, id string) error {
	_, err := gatedCall(g.process, func() (int, error) { return 0, g.standin.Cloud.Stop(ctx, id) })
	return err
}

// Prices implements platform.Cloud.
func (g gatedPlatform) Prices(ctx context.Context) ([]platform.Price, error) {
	return gatedCall(g.process, func() ([]platform.Price, error) { return g.standin.Cloud.Prices(ctx) })
}

// Notices implements platform.Cloud.
func (g gatedPlatform) Notices(ctx context.Context, after uint64) ([]platform.Notice, error) {
	return gatedCall(g.process, func() ([]platform.Notice, error) { return g.standin.Cloud.Notices(ctx, after) })
}

// Reserve implements platform.Weights.
func (g gatedPlatform) Reserve(ctx context.Context, model string, size uint32) (time.Duration, error) {
	return gatedCall(g.process, func() (time.Duration, error) { return g.standin.Weights.Reserve(ctx, model, size) })
}
