package edge

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/pollenlug/pollenlug/internal/pb"
)

const (
	// directoryTTL is how long callers may cache addresses: short enough that they leave a stopping node while
	// it still serves, long enough to keep the number of directory queries small.
	directoryTTL = 2 * time.Second
	// maxDirectoryAddresses limits the addresses in one response.
	maxDirectoryAddresses = 64
)

// directoryResponse lists the node addresses that a caller may use.
type directoryResponse struct {
	Addresses []string `json:"addresses"`
	TTL       float64  `json:"ttl_s"`
}

// callerAddresses returns the addresses of the serving nodes: this node's own if it serves, and those of live peers
// that are ready and not leaving. A node without live peers lists only itself.
func callerAddresses(self string, selfServes bool, alive []*pb.PeerBeat) []string {
	var out []string
	if selfServes {
		out = append(out, self)
	}
	for _, b := range alive {
		if b.Ready && !b.Leaving && len(out) < maxDirectoryAddresses {
			out = append(out, b.CallerAddr)
		}
	}
	return out
}

func (n *Node) directoryHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != n.names.DirectoryPath {
			http.NotFound(w, r)
			return
		}
		addresses := callerAddresses(n.settings.CallerAddr, n.serves(), n.peers.alive(time.Now()))
		if len(addresses) == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		ttl := min(directoryTTL, n.settings.DirectoryTTL)
		if err := json.NewEncoder(w).Encode(directoryResponse{Addresses: addresses, TTL: ttl.Seconds()}); err != nil {
			n.log.WithError(err).Debug("writing addresses failed")
		}
	})
}

func (n *Node) readyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != n.names.ReadyPath {
			http.NotFound(w, r)
			return
		}
		if !n.serves() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}
