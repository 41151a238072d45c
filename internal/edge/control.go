package edge

import (
	"context"
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

// Paths from which nodes fetch each other's views.
const (
	pathConfig  = "/peer/config"
	pathServers = "/peer/servers"
)

const (
	// fetchTimeout limits one fetch from a peer. fetchRetryDelay is the delay after a failed fetch before the same view
	// is fetched from the same peer again.
	fetchTimeout    = time.Second
	fetchRetryDelay = 100 * time.Millisecond
	// maxFetches limits the concurrent fetches of the same view. A fetch that takes longer than slowFetch no longer
	// counts: connections to several peers may have stopped responding at the same time.
	maxFetches = 2
	slowFetch  = 200 * time.Millisecond
	// fetchIdleTimeout is how long an unused connection to a peer is kept. It is short because fetches are rare and a
	// kept connection may have stopped responding.
	fetchIdleTimeout = time.Second
	// maxViewBytes limits the size of a fetched view.
	maxViewBytes = 4 << 20
)

// fetcher fetches newer views from peers.
type fetcher struct {
	config  *configView
	servers *serverView
	client  *httpclient.Client
	log     *logrus.Entry

	mu       sync.Mutex
	inFlight map[string]time.Time // start time of each running fetch, by view and peer
}

func newFetcher(config *configView, servers *serverView, log *logrus.Entry) *fetcher {
	return &fetcher{config: config, servers: servers, log: log, inFlight: map[string]time.Time{},
		client: httpclient.New(httpclient.Options{DialTimeout: fetchTimeout, IdleTimeout: fetchIdleTimeout,
			Dial: netdial.Dial(fetchTimeout)})}
}

// handleHeartbeat applies the server changes in a heartbeat and fetches the views of which the peer has a newer
// version.
func (f *fetcher) handleHeartbeat(heartbeat *pb.PeerBeat, now time.Time) {
	if heartbeat.ConfigVersion > f.config.Version() {
		f.fetch(heartbeat.ControlAddr, pathConfig, func(data []byte) error { return f.config.accept(data, heartbeat.Node) })
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

// fetch reads a view in the background. The number of concurrent fetches is limited because all peers report a change
// at nearly the same time, and on a slow link transferring a whole view takes a large fraction of a second.
func (f *fetcher) fetch(addr, path string, apply func([]byte) error) {
	view, _, _ := strings.Cut(path, "?")
	key := view + " " + addr
	if !f.tryStart(view, key, time.Now()) {
		return
	}
	go func() {
		data, err := f.get(addr, path)
		if err == nil {
			err = apply(data)
		}
		if err != nil {
			f.log.WithError(err).WithFields(logrus.Fields{"peer": addr, "path": path}).
				Warning("fetching view from peer failed")
			clock.Sleep(context.Background(), fetchRetryDelay)
		}
		f.mu.Lock()
		delete(f.inFlight, key)
		f.mu.Unlock()
	}()
}

// tryStart registers a fetch and returns true unless one from the same peer, or maxFetches from others, are running.
func (f *fetcher) tryStart(view, key string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.inFlight[key]; ok {
		return false
	}
	running := 0
	for other, startedAt := range f.inFlight {
		if strings.HasPrefix(other, view+" ") && now.Sub(startedAt) < slowFetch {
			running++
		}
	}
	if running >= maxFetches {
		return false
	}
	f.inFlight[key] = now
	return true
}

func (f *fetcher) get(addr, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return nil, err
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	return io.ReadAll(io.LimitReader(resp.Body, maxViewBytes))
}

// controlHandler serves this node's views to other nodes.
func (n *Node) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathConfig, func(w http.ResponseWriter, _ *http.Request) {
		n.writeView(w, n.config.Raw())
	})
	mux.HandleFunc("GET "+pathServers, func(w http.ResponseWriter, r *http.Request) {
		since, err := strconv.ParseUint(r.FormValue("since"), 10, 64)
		if err != nil {
			since = 0 // return the whole view
		}
		data, err := proto.Marshal(n.servers.export(since, time.Now()))
		if err != nil {
			n.log.WithError(err).Error("encoding view of servers failed")
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		n.writeView(w, data)
	})
	return mux
}

func (n *Node) writeView(w http.ResponseWriter, data []byte) {
	w.Header().Set("Content-Type", "application/octet-stream")
	if _, err := w.Write(data); err != nil {
		n.log.WithError(err).Debug("writing view to peer failed")
	}
}
