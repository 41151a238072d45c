package node

import (
	"context"
	"net/http"
	"net/http/pprof"
)

// serveProfiles serves pprof profiles at the settings' debug_addr, a loopback address, until ctx ends.
func (n *Node) serveProfiles(ctx context.Context) {
	addr := n.opts.Settings.DebugAddr
	if addr == "" {
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	server := &http.Server{Addr: addr, Handler: mux, ReadHeaderTimeout: defaultHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.ListenAndServe(); err != nil && ctx.Err() == nil {
		n.log.WithError(err).Warn("could not serve pprof profiles")
	}
}
