package serving

import (
	"net"
	"sort"
	"strings"
)

// Config is one version of the operator's configuration. It is immutable.
type Config struct {
	Version    uint64
	Services   map[string]*Service
	Workspaces []*Workspace
	Limits     Limits

	routes map[string][]*Route // by lower-case host, longest prefix first
	keys   map[string]*Workspace
}

// NewConfig returns a Config with an index of its routes by host and of its workspaces by key.
func NewConfig(version uint64, routes []*Route, services []*Service, workspaces []*Workspace, limits Limits) *Config {
	c := &Config{Version: version, Services: make(map[string]*Service, len(services)), Workspaces: workspaces,
		Limits: limits, routes: make(map[string][]*Route), keys: make(map[string]*Workspace)}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.routes[host] = append(c.routes[host], r)
	}
	for _, list := range c.routes {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	for _, w := range workspaces {
		for _, key := range w.Keys {
			c.keys[key] = w
		}
	}
	return c
}

// Match returns the route of a host with the longest matching path prefix, or nil. The host is case-insensitive and may
// include a port.
func (c *Config) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// NeedsKey reports whether requests on the route must carry an API key.
func (c *Config) NeedsKey(r *Route) bool { return len(c.Workspaces) > 0 && !r.Public }

// WorkspaceOf returns the workspace with the given API key, or nil.
func (c *Config) WorkspaceOf(key string) *Workspace { return c.keys[key] }

// EffectivePriority returns the priority of a request: that of the workspace if it has one, otherwise that of the route.
// The workspace may be nil.
func EffectivePriority(r *Route, w *Workspace) int {
	if w != nil && w.HasPriority {
		return w.Priority
	}
	return r.Priority
}
