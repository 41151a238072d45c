package edge

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/pollenlug/pollenlug/internal/adapter/httpclient"
	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/netdial"
	"github.com/pollenlug/pollenlug/internal/pb"
)

const (
	// fetchTimeout limits one fetch. A fetch ends earlier if nothing arrives for stalledFetch: its time depends on the
	// size of the view and on links that others use as well, so only a lack of progress shows that it is in vain.
	fetchTimeout = 5 * time.Second
	stalledFetch = 500 * time.Millisecond
	// fetchRetryDelay is the delay after a failed fetch before the same view is fetched from the same source again.
	fetchRetryDelay = 100 * time.Millisecond
	// maxFetches limits the concurrent fetches of the same view. One that has received nothing for slowFetch does not
	// count: connections to several peers may have stopped responding at the same time.
	maxFetches = 2
	slowFetch  = 200 * time.Millisecond
	// fetchIdleTimeout is how long an unused connection to a peer is kept. It is short because fetches are rare and a
	// kept connection may have stopped responding.
	fetchIdleTimeout = time.Second
	// maxViewBytes limits the size of a fetched view, also uncompressed.
	maxViewBytes = 4 << 20
	// maxPeerConfigBytes is the size up to which a configuration is fetched from peers rather than from the store, whose
	// link is hundreds of times faster than those of nodes.
	maxPeerConfigBytes = 32 << 10
	// storeFetchTimeout limits a read of the configuration from the store. storeRetryDelay is how long after a failed one
	// configurations are fetched from peers.
	storeFetchTimeout = 1500 * time.Millisecond
	storeRetryDelay   = 2 * time.Second
	// sourceStore names the store as the source of a fetch.
	sourceStore = "store"
)

// errPeerBusy means that a peer sends its views to as many nodes as it may.
var errPeerBusy = errors.New("the peer sends its view to others")

// fetcher fetches newer views, from peers or, if they are large, from the store.
//
// Load pattern: all nodes learn of a new view at the same moment, from the few that have read it, and their links are
// slow. If all fetched it from these at once, every transfer would take longer than its time limit, and the repeated ones
// would saturate the links for good. Large configurations are therefore read from the store while it is reachable.
// Otherwise a node sends its view to maxTransfers others at a time, compressed, and the number of nodes that have it
// doubles with each round.
type fetcher struct {
	config  *configView
	servers *serverView
	client  *httpclient.Client
	log     *logrus.Entry

	mu       sync.Mutex
	inFlight map[string]time.Time // time of the last progress of each running fetch, by view and source
	// storeFailedAt is when a read of the store last failed here.
	storeFailedAt time.Time
}

func newFetcher(config *configView, servers *serverView, log *logrus.Entry) *fetcher {
	return &fetcher{config: config, servers: servers, log: log, inFlight: map[string]time.Time{},
		client: httpclient.New(httpclient.Options{DialTimeout: stalledFetch, IdleTimeout: fetchIdleTimeout,
			Dial: netdial.Dial(stalledFetch)})}
}

// handleHeartbeat applies the server changes in a heartbeat and fetches the views of which the peer has a newer
// version.
func (f *fetcher) handleHeartbeat(heartbeat *pb.PeerBeat, now time.Time) {
	if heartbeat.ConfigVersion > f.config.Version() {
		f.fetchConfig(heartbeat, now)
	}
	if heartbeat.Changes != nil {
		if err := f.servers.merge(heartbeat.Changes, now); err != nil {
			f.log.WithError(err).WithField("peer", heartbeat.Node).Debug("applying server changes failed; the whole view is needed")
		}
	}
	if f.servers.observePeer(heartbeat.Servers, now) {
		f.fetchServers(heartbeat.ControlAddr)
	}
}

// fetchConfig fetches a configuration that a peer has.
func (f *fetcher) fetchConfig(heartbeat *pb.PeerBeat, now time.Time) {
	if heartbeat.ConfigBytes > maxPeerConfigBytes && f.storeResponds(now) {
		f.start(pathConfig, sourceStore, storeFetchTimeout, func(ctx context.Context, _ func()) error {
			return f.config.readStore(ctx, heartbeat.ConfigVersion)
		})
		return
	}
	f.fetch(heartbeat.ControlAddr, pathConfig, func(data []byte) error { return f.config.accept(data, heartbeat.Node) })
}

// storeResponds reports whether a read of the store is likely to succeed soon.
func (f *fetcher) storeResponds(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	startedAt, inFlight := f.inFlight[pathConfig+" "+sourceStore]
	slow := inFlight && now.Sub(startedAt) >= slowFetch
	return f.config.readers.lost.Load() == 0 && now.Sub(f.storeFailedAt) >= storeRetryDelay && !slow
}

// fetchServers queries a peer for the changes since this node's view, or for the whole view if changes are not enough.
func (f *fetcher) fetchServers(addr string) {
	path := pathServers + "?since=" + strconv.FormatUint(f.servers.sinceVersion(), 10)
	f.fetch(addr, path, func(data []byte) error {
		view := &pb.ServerView{}
		if err := proto.Unmarshal(data, view); err != nil {
			return err
		}
		return f.servers.merge(view, time.Now())
	})
}

// fetch reads a view from a peer in the background.
func (f *fetcher) fetch(addr, path string, apply func([]byte) error) {
	view, _, _ := strings.Cut(path, "?")
	f.start(view, addr, stalledFetch, func(ctx context.Context, progress func()) error {
		data, err := f.get(ctx, addr, path, progress)
		if err != nil {
			return err
		}
		return apply(data)
	})
}

// start runs a fetch in the background unless one of the same view from the same source, or maxFetches from others, are
// in progress. It ends after fetchTimeout, or if run has not called its argument progress for the time stalled.
func (f *fetcher) start(view, source string, stalled time.Duration, run func(ctx context.Context, progress func()) error) {
	key := view + " " + source
	if !f.tryStart(view, key, time.Now()) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
		defer cancel()
		stall := time.AfterFunc(stalled, cancel)
		defer stall.Stop()
		err := run(ctx, func() {
			stall.Reset(stalled)
			f.mu.Lock()
			f.inFlight[key] = time.Now()
			f.mu.Unlock()
		})
		if err != nil && source == sourceStore {
			f.mu.Lock()
			f.storeFailedAt = time.Now()
			f.mu.Unlock()
		}
		if err != nil {
			level := logrus.WarnLevel
			if errors.Is(err, errPeerBusy) {
				level = logrus.DebugLevel
			}
			f.log.WithError(err).WithFields(logrus.Fields{"source": source, "view": view}).Log(level, "fetching view failed")
			clock.Sleep(context.Background(), fetchRetryDelay)
		}
		f.mu.Lock()
		delete(f.inFlight, key)
		f.mu.Unlock()
	}()
}

// tryStart registers a fetch and returns true unless one from the same source, or maxFetches from others, are running.
func (f *fetcher) tryStart(view, key string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.inFlight[key]; ok {
		return false
	}
	running := 0
	for other, progressAt := range f.inFlight {
		if strings.HasPrefix(other, view+" ") && now.Sub(progressAt) < slowFetch {
			running++
		}
	}
	if running >= maxFetches {
		return false
	}
	f.inFlight[key] = now
	return true
}

func (f *fetcher) get(ctx context.Context, addr, path string, progress func()) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return nil, err
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable:
		return nil, errPeerBusy
	default:
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(&progressReader{resp.Body, progress}, maxViewBytes))
	if err != nil {
		return nil, err
	}
	if resp.Header.Get("Content-Encoding") == "gzip" {
		return decompress(data)
	}
	return data, nil
}

// progressReader calls progress after each read that returned something.
type progressReader struct {
	io.Reader
	progress func()
}

// Read implements io.Reader.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.progress()
	}
	return n, err
}

func compress(data []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func decompress(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	out, err := io.ReadAll(io.LimitReader(r, maxViewBytes))
	if err != nil {
		return nil, err
	}
	return out, r.Close()
}
