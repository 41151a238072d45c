package edge

import (
	"net/http"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"
)

// Paths from which nodes fetch each other's views.
const (
	pathConfig  = "/peer/config"
	pathServers = "/peer/servers"
)

// maxTransfers limits the concurrent transfers of a node's views to others. With more of them none would complete on a
// slow link before its receiver gives up; a node that is refused asks another one, and each transfer adds one that has
// the view.
const maxTransfers = 2

// controlHandler serves this node's views to other nodes.
func (n *Node) controlHandler() http.Handler {
	transfers := make(chan struct{}, maxTransfers)
	// limited serves a view unless maxTransfers are in progress.
	limited := func(serve http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			select {
			case transfers <- struct{}{}:
				defer func() { <-transfers }()
				serve(w, r)
			default:
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathConfig, limited(func(w http.ResponseWriter, _ *http.Request) {
		data, err := n.config.export()
		if err != nil {
			n.log.WithError(err).Error("compressing configuration failed")
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Encoding", "gzip")
		n.writeView(w, data)
	}))
	mux.HandleFunc("GET "+pathServers, limited(func(w http.ResponseWriter, r *http.Request) {
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
	}))
	return mux
}

func (n *Node) writeView(w http.ResponseWriter, data []byte) {
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if _, err := w.Write(data); err != nil {
		n.log.WithError(err).Debug("writing view to peer failed")
	}
}
