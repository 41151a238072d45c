package edge

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/entry"
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

// callerAddresses returns the addresses of nodes for the callers of a failure domain, among this one if it serves and the
// live peers that are ready and not leaving. A node without live peers lists only itself.
func (n *Node) callerAddresses(domain string, alive []*pb.PeerBeat) []string {
	var nodes []entry.Node
	if n.serves() {
		nodes = append(nodes, entry.Node{Name: n.settings.Node, Addr: n.settings.CallerAddr, Capacity: n.settings.Cores})
	}
	for _, b := range alive {
		if b.Ready && !b.Leaving {
			nodes = append(nodes, entry.Node{Name: b.Node, Addr: b.CallerAddr, Capacity: float64(b.Cores)})
		}
	}
	return entry.Select(nodes, domain, maxDirectoryAddresses)
}

func (n *Node) directoryHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != n.names.DirectoryPath {
			http.NotFound(w, r)
			return
		}
		addresses := n.callerAddresses(r.URL.Query().Get(n.names.DomainParameter), n.peers.alive(time.Now()))
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
