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

// Paths by which nodes fetch each other's views.
const (
	pathConfig  = "/peer/config"
	pathServers = "/peer/servers"
)

const (
	// fetchTimeout bounds a fetch from a peer, fetchPause the time until the same view is fetched again.
	fetchTimeout = time.Second
	fetchPause   = 100 * time.Millisecond
	// mostFetches is from how many peers the same view is fetched at once. A fetch that takes longer than slowFetch does
	// not count any more: connections to several peers may have gone silent at the same time.
	mostFetches = 2
	slowFetch   = 200 * time.Millisecond
	// fetchIdle is how long a connection to a peer is kept; fetches are rare, and a kept one may have gone silent.
	fetchIdle = time.Second
	// maxView bounds the size of a view.
	maxView = 4 << 20
)

// fetcher takes over newer views from peers.
type fetcher struct {
	config  *configView
	servers *serverView
	client  *httpclient.Client
	log     *logrus.Entry

	mu   sync.Mutex
	busy map[string]time.Time // when the fetch under way began, by view and peer
}

func newFetcher(config *configView, servers *serverView, log *logrus.Entry) *fetcher {
	return &fetcher{config: config, servers: servers, log: log, busy: map[string]time.Time{},
		client: httpclient.New(httpclient.Options{DialTimeout: fetchTimeout, IdleTimeout: fetchIdle, Dial: netdial.Dial(fetchTimeout)})}
}

// heard fetches what a peer has that is newer.
func (f *fetcher) heard(beat *pb.PeerBeat, now time.Time) {
	if beat.ConfigVersion > f.config.Version() {
		f.fetch(beat.ControlAddr, pathConfig, func(data []byte) error { return f.config.accept(data, beat.Node) })
	}
	if beat.Changes != nil {
		if err := f.servers.adopt(beat.Changes, now); err != nil {
			f.log.WithError(err).WithField("peer", beat.Node).Debug("changes of servers not enough")
		}
	}
	if f.servers.heard(beat.Servers, now) {
		f.fetchServers(beat.ControlAddr)
	}
}

// fetchServers asks a peer for what has changed since this node's view, or for all when that is not enough.
func (f *fetcher) fetchServers(addr string) {
	path := pathServers + "?since=" + strconv.FormatUint(f.servers.since(), 10)
	f.fetch(addr, path, func(data []byte) error {
		view := &pb.ServerView{}
		if err := proto.Unmarshal(data, view); err != nil {
			return err
		}
		return f.servers.adopt(view, time.Now())
	})
}

// fetch reads a view in the background, from few peers at a time: all of them hear of a change at nearly the same time,
// and a whole view is a large part of a second on a slow link.
func (f *fetcher) fetch(addr, path string, take func([]byte) error) {
	view, _, _ := strings.Cut(path, "?")
	key := view + " " + addr
	if !f.begin(view, key, time.Now()) {
		return
	}
	go func() {
		data, err := f.get(addr, path)
		if err == nil {
			err = take(data)
		}
		if err != nil {
			f.log.WithError(err).WithFields(logrus.Fields{"peer": addr, "path": path}).Warning("view not fetched from a node")
			clock.Sleep(context.Background(), fetchPause)
		}
		f.mu.Lock()
		delete(f.busy, key)
		f.mu.Unlock()
	}()
}

// begin counts a fetch unless one from the same peer, or enough from others, are under way.
func (f *fetcher) begin(view, key string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.busy[key]; ok {
		return false
	}
	running := 0
	for other, began := range f.busy {
		if strings.HasPrefix(other, view+" ") && now.Sub(began) < slowFetch {
			running++
		}
	}
	if running >= mostFetches {
		return false
	}
	f.busy[key] = now
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
	return io.ReadAll(io.LimitReader(resp.Body, maxView))
}

// controlHandler serves the views to other nodes.
func (n *Node) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathConfig, func(w http.ResponseWriter, _ *http.Request) {
		n.writeView(w, n.config.Raw())
	})
	mux.HandleFunc("GET "+pathServers, func(w http.ResponseWriter, r *http.Request) {
		since, err := strconv.ParseUint(r.FormValue("since"), 10, 64)
		if err != nil {
			since = 0 // the whole view
		}
		data, err := proto.Marshal(n.servers.export(since, time.Now()))
		if err != nil {
			n.log.WithError(err).Error("view of servers cannot be encoded")
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
		n.log.WithError(err).Debug("view not written to a node")
	}
}
