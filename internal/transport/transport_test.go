package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/code"
)

func quiet() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

func authority(t testing.TB) *DevAuthority {
	t.Helper()
	a, err := NewDevAuthority()
	assert.NilError(t, err)
	return a
}

// start runs a transport on loopback whose certificate has the node's name.
func start(t testing.TB, a *DevAuthority, node string) *Transport {
	t.Helper()
	credentials, err := a.Credentials(node)
	assert.NilError(t, err)
	return startWith(t, node, credentials)
}

func startWith(t testing.TB, node string, c *Credentials) *Transport {
	t.Helper()
	tr, err := New(Options{Node: node, Region: "r", Addr: "127.0.0.1:0", Credentials: c, Log: quiet(), MaxMessage: 1 << 20})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = tr.Close() })
	tr.SetHandler(func(_ context.Context, _ string, env *pb.Envelope) (*pb.Envelope, error) { return echo(env) })
	return tr
}

func probe(n uint64) *pb.Envelope {
	return &pb.Envelope{Body: &pb.Envelope_Probe{Probe: &pb.Probe{Number: n}}}
}

func echo(env *pb.Envelope) (*pb.Envelope, error) {
	if env.GetProbe() == nil {
		return nil, code.New(code.UnknownResponse, "no such response")
	}
	return &pb.Envelope{Body: &pb.Envelope_ProbeAck{ProbeAck: &pb.ProbeAck{Number: env.GetProbe().Number, Reached: true}}}, nil
}

func within(t testing.TB, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// Guards against answers that reach another request, lost result codes and unbounded messages.
func TestRequests(t *testing.T) {
	a := authority(t)
	client, server := start(t, a, "a"), start(t, a, "b")
	var wg sync.WaitGroup
	for i := range uint64(50) {
		wg.Go(func() {
			reply, err := client.Request(within(t, 5*time.Second), server.Addr(), probe(i))
			if err != nil || reply.GetProbeAck().GetNumber() != i || reply.From != "b" {
				t.Errorf("request %d: %v, %v", i, reply, err)
			}
		})
	}
	wg.Wait()
	assert.Equal(t, client.Stats().Dials, uint64(1), "one connection must serve all requests")

	_, err := client.Request(within(t, time.Second), server.Addr(), &pb.Envelope{Body: &pb.Envelope_StreamFetch{}})
	var e *code.Error
	assert.Assert(t, errors.As(err, &e))
	assert.Equal(t, e.Code, code.UnknownResponse)

	_, err = client.Request(within(t, time.Second), server.Addr(), &pb.Envelope{Protocol: 2})
	assert.Assert(t, errors.As(err, &e))
	assert.Equal(t, e.Code, code.NotFound, "an unknown kind must be answered")

	large := &pb.Envelope{Body: &pb.Envelope_ConfigState{ConfigState: &pb.ConfigState{Snapshot: make([]byte, 2<<20)}}}
	_, err = client.Request(within(t, time.Second), server.Addr(), large)
	assert.ErrorIs(t, err, ErrTooLarge)
	assert.Equal(t, client.Stats().Sent["probe"].Messages, uint64(50))
	assert.Equal(t, server.Stats().Received["probe"].Messages, uint64(50))
}

// Guards against messages of Send that are lost while the connection is dialled, and against a blocked caller.
func TestSendBeforeTheConnectionExists(t *testing.T) {
	a := authority(t)
	client, server := start(t, a, "a"), start(t, a, "b")
	got := make(chan uint64, 10)
	server.SetHandler(func(_ context.Context, from string, env *pb.Envelope) (*pb.Envelope, error) {
		got <- env.GetProbe().Number
		return nil, nil
	})
	begun := time.Now()
	for i := range uint64(10) {
		client.Send(server.Addr(), probe(i))
	}
	client.Send("127.0.0.1:1", probe(0)) // nobody listens there
	assert.Assert(t, time.Since(begun) < time.Second)
	seen := map[uint64]bool{}
	for range 10 {
		select {
		case n := <-got:
			seen[n] = true
		case <-time.After(5 * time.Second):
			t.Fatal("message lost")
		}
	}
	assert.Equal(t, len(seen), 10)
}

// Guards against a node that uses another node's name, and against a peer of a foreign authority.
func TestPeersAreVerified(t *testing.T) {
	a := authority(t)
	server := start(t, a, "b")
	c, err := a.Credentials("mallory")
	assert.NilError(t, err)
	_, err = startWith(t, "a", c).Request(within(t, time.Second), server.Addr(), probe(1))
	assert.Assert(t, err != nil, "the server must refuse an envelope from \"a\" with the certificate of \"mallory\"")

	_, err = start(t, a, "a").Request(within(t, time.Second), startWith(t, "b", c).Addr(), probe(1))
	assert.ErrorIs(t, err, ErrPeerRefused)

	_, err = start(t, authority(t), "a").Request(within(t, time.Second), server.Addr(), probe(1))
	assert.Assert(t, err != nil, "a foreign authority must be refused")
	assert.Equal(t, server.Stats().Received["probe"].Messages, uint64(0))
}

// writeTLS writes a node's files; authorities are those of the given ones.
func writeTLS(t *testing.T, dir, node string, issuer *DevAuthority, trusted ...*DevAuthority) *pb.TLSFiles {
	t.Helper()
	files := &pb.TLSFiles{Certificate: filepath.Join(dir, node+".crt"), Key: filepath.Join(dir, node+".key"),
		Authorities: filepath.Join(dir, node+".ca")}
	certificate, key, _, err := issuer.PEM(node)
	assert.NilError(t, err)
	var bundle []byte
	for _, a := range trusted {
		_, _, ca, err := a.PEM(node)
		assert.NilError(t, err)
		bundle = append(bundle, ca...)
	}
	assert.NilError(t, os.WriteFile(files.Certificate, certificate, 0o600))
	assert.NilError(t, os.WriteFile(files.Key, key, 0o600))
	assert.NilError(t, os.WriteFile(files.Authorities, bundle, 0o600))
	return files
}

// expire makes the next handshake look at the files again.
func expire(credentials ...*Credentials) {
	for _, c := range credentials {
		c.mu.Lock()
		c.checked = time.Time{}
		c.mu.Unlock()
	}
}

// Guards against a rotation that needs a restart, cuts off nodes that still use the old keys, or never ends the
// trust in the old authority.
func TestRotatedKeys(t *testing.T) {
	older, newer := authority(t), authority(t)
	dir := t.TempDir()
	load := func(files *pb.TLSFiles) *Credentials {
		c, err := LoadCredentials(files, quiet())
		assert.NilError(t, err)
		return c
	}
	ca, cb := load(writeTLS(t, dir, "a", older, older)), load(writeTLS(t, dir, "b", older, older))
	client, server := startWith(t, "a", ca), startWith(t, "b", cb)
	// ask uses a fresh connection, because an open one keeps the keys of its handshake.
	ask := func() error {
		for _, c := range client.openConnections() {
			client.forget(server.Addr(), c)
			c.close(closeNormal, "test")
		}
		expire(ca, cb)
		_, err := client.Request(within(t, 2*time.Second), server.Addr(), probe(1))
		return err
	}
	assert.NilError(t, ask())
	writeTLS(t, dir, "a", newer, older, newer)
	assert.Assert(t, ask() != nil, "b does not trust the newer authority yet")
	writeTLS(t, dir, "b", older, older, newer)
	assert.NilError(t, ask(), "both authorities are valid during the rotation")
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "b.key"), []byte("half a fi"), 0o600))
	assert.NilError(t, ask(), "a file that does not parse must leave the old keys in use")
	writeTLS(t, dir, "b", newer, newer)
	assert.NilError(t, ask())
	writeTLS(t, dir, "a", older, older, newer)
	assert.Assert(t, ask() != nil, "the old authority must be refused after the rotation")
}

// relay forwards UDP between clients and one server and can drop everything for the source ports seen so far.
type relay struct {
	front  *net.UDPConn
	server *net.UDPAddr

	mu      sync.Mutex
	paths   map[string]*net.UDPConn // by client address
	dropped map[string]bool
}

func startRelay(t *testing.T, server string) *relay {
	t.Helper()
	addr, err := net.ResolveUDPAddr("udp", server)
	assert.NilError(t, err)
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	r := &relay{front: front, server: addr, paths: map[string]*net.UDPConn{}, dropped: map[string]bool{}}
	t.Cleanup(r.close)
	go r.forward()
	return r
}

func (r *relay) close() {
	_ = r.front.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, path := range r.paths {
		_ = path.Close()
	}
}

func (r *relay) forward() {
	buffer := make([]byte, 2048)
	for {
		n, from, err := r.front.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		if path := r.path(from); path != nil {
			_, _ = path.Write(buffer[:n])
		}
	}
}

func (r *relay) path(from *net.UDPAddr) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dropped[from.String()] {
		return nil
	}
	if path := r.paths[from.String()]; path != nil {
		return path
	}
	path, err := net.DialUDP("udp", nil, r.server)
	if err != nil {
		return nil
	}
	r.paths[from.String()] = path
	go r.back(path, from)
	return path
}

func (r *relay) back(path *net.UDPConn, to *net.UDPAddr) {
	buffer := make([]byte, 2048)
	for {
		n, err := path.Read(buffer)
		if err != nil {
			return
		}
		r.mu.Lock()
		drop := r.dropped[to.String()]
		r.mu.Unlock()
		if !drop {
			_, _ = r.front.WriteToUDP(buffer[:n], to)
		}
	}
}

// dropKnown silences every source port seen so far, in both directions.
func (r *relay) dropKnown() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for from := range r.paths {
		r.dropped[from] = true
	}
}

// Guards against requests that keep using a path that has gone silent: the request that meets the silence fails
// once, and the next one works from a new source port.
func TestSilentConnectionIsReplaced(t *testing.T) {
	a := authority(t)
	client, server := start(t, a, "a"), start(t, a, "b")
	r := startRelay(t, server.Addr())
	addr := r.front.LocalAddr().String()
	_, err := client.Request(within(t, 2*time.Second), addr, probe(1))
	assert.NilError(t, err)
	r.dropKnown()
	_, err = client.Request(within(t, 300*time.Millisecond), addr, probe(2))
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	assert.Equal(t, server.Stats().Received["probe"].Messages, uint64(1), "the request must not be repeated")
	_, err = client.Request(within(t, 2*time.Second), addr, probe(3))
	assert.NilError(t, err)
	assert.Equal(t, client.Stats().Replaced, uint64(1))

	// Messages of Send have no answer; missing acknowledgements of QUIC show the silence.
	r.dropKnown()
	got := make(chan uint64, 100)
	server.SetHandler(func(_ context.Context, _ string, env *pb.Envelope) (*pb.Envelope, error) {
		got <- env.GetProbe().Number
		return nil, nil
	})
	deadline := time.After(10 * time.Second)
	for i := uint64(0); ; i++ {
		client.Send(addr, probe(i))
		select {
		case <-got:
			assert.Equal(t, client.Stats().Replaced, uint64(2))
			return
		case <-time.After(100 * time.Millisecond):
		case <-deadline:
			t.Fatal("the silent connection was not replaced")
		}
	}
}

// Guards against a slow handler whose timeout ends other requests on the same connection.
func TestTimeoutOfOneRequestSparesOthers(t *testing.T) {
	a := authority(t)
	client, server := start(t, a, "a"), start(t, a, "b")
	release := make(chan struct{})
	server.SetHandler(func(_ context.Context, _ string, env *pb.Envelope) (*pb.Envelope, error) {
		if env.GetProbe().Number != 3 {
			<-release
		}
		return echo(env)
	})
	_, err := client.Request(within(t, 2*time.Second), server.Addr(), probe(3))
	assert.NilError(t, err)
	done := make(chan error, 1)
	go func() {
		_, err := client.Request(within(t, 5*time.Second), server.Addr(), probe(1))
		done <- err
	}()
	_, err = client.Request(within(t, 200*time.Millisecond), server.Addr(), probe(2))
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	close(release)
	assert.NilError(t, <-done)
}
