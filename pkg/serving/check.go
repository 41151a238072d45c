package serving

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Fault is an error in a configuration that a node can apply but that does not have the intended effect.
type Fault struct {
	// Field is the path of the faulty part of the configuration, such as routes.checkout.prefix.
	Field, Reason string
}

func (f Fault) String() string { return f.Field + ": " + f.Reason }

// Faults returns all faults of the configuration. Nodes serve the valid parts of a faulty configuration; operators check
// a configuration before it is stored.
func (c *Config) Faults() []Fault {
	var faults []Fault
	for _, host := range slices.Sorted(maps.Keys(c.routes)) {
		seen := map[string]string{}
		for _, r := range c.routes[host] {
			faults = append(faults, c.routeFaults(r)...)
			if other, ok := seen[r.Prefix]; ok {
				faults = append(faults, Fault{"routes." + r.Name + ".prefix", fmt.Sprintf("%s%s is also that of %s", host, r.Prefix, other)})
			}
			seen[r.Prefix] = r.Name
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		faults = append(faults, c.Services[name].faults()...)
	}
	return append(faults, c.workspaceFaults()...)
}

func (c *Config) routeFaults(r *Route) (faults []Fault) {
	add := func(field, reason string, args ...any) {
		faults = append(faults, Fault{"routes." + r.Name + "." + field, fmt.Sprintf(reason, args...)})
	}
	if r.Host == "" {
		add("host", "is missing")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		add("prefix", "%q does not begin and end with a slash", r.Prefix)
	}
	if len(r.Targets) == 0 {
		add("service", "is missing")
	}
	for _, t := range r.Targets {
		if c.Services[t.Service] == nil {
			add("service", "%q is not configured", t.Service)
		}
		if t.Weight < 0 {
			add("weight", "%v is negative", t.Weight)
		}
	}
	if r.Timeout < 0 || r.LatencyTarget < 0 || r.PauseTarget < 0 {
		add("timeout", "a time is negative")
	}
	if r.Timeout > 0 && r.LatencyTarget > r.Timeout {
		add("latency_target", "%v is longer than the timeout of %v", r.LatencyTarget, r.Timeout)
	}
	return faults
}

func (s *Service) faults() (faults []Fault) {
	add := func(field, reason string, args ...any) {
		faults = append(faults, Fault{"services." + s.Name + "." + field, fmt.Sprintf(reason, args...)})
	}
	if s.Engine != nil && s.Engine.Slots <= 0 {
		add("slots", "%d is not positive", s.Engine.Slots)
	}
	if s.Scaling == nil {
		return faults
	}
	if s.Scaling.Min < 0 || s.Scaling.Max < s.Scaling.Min {
		add("scaling", "%d to %d servers is not a range", s.Scaling.Min, s.Scaling.Max)
	}
	if len(s.Scaling.DomainPrices) == 0 {
		add("scaling", "no failure domain has a price, so no server can be ordered")
	}
	return faults
}

func (c *Config) workspaceFaults() (faults []Fault) {
	owner := map[string]string{}
	for _, w := range c.Workspaces {
		if len(w.Keys) == 0 {
			faults = append(faults, Fault{"workspaces." + w.Name + ".keys", "are missing, so nobody can use the workspace"})
		}
		if w.Rate < 0 || w.Burst < 0 {
			faults = append(faults, Fault{"workspaces." + w.Name + ".rate", "is negative"})
		}
		for _, key := range w.Keys {
			if other, ok := owner[key]; ok {
				// The key is a secret and must not appear in the message.
				faults = append(faults, Fault{"workspaces." + w.Name + ".keys", "a key is also one of " + other})
			}
			owner[key] = w.Name
		}
	}
	return faults
}
