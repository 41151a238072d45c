package serving

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against configuration faults that an operator would notice only by failing requests.
func TestFaultsNameTheField(t *testing.T) {
	routes := []*Route{
		{Name: "good", Host: "a.example", Prefix: "/x/", Targets: []Target{{Service: "s", Weight: 1}}},
		{Name: "twin", Host: "A.example", Prefix: "/x/", Targets: []Target{{Service: "s", Weight: 1}}},
		{Name: "bad", Prefix: "/y", Targets: []Target{{Service: "none", Weight: -1}}, Timeout: 1, LatencyTarget: 2},
		{Name: "empty", Host: "b.example", Prefix: "/"},
	}
	services := []*Service{{Name: "s"}, {Name: "engine", Engine: &Engine{}, Scaling: &Scaling{Min: 3, Max: 2}}}
	workspaces := []*Workspace{{Name: "one", Keys: []string{"k"}}, {Name: "two", Keys: []string{"k"}, Rate: -1}, {Name: "three"}}
	var got []string
	for _, f := range NewConfig(1, routes, services, workspaces, Limits{}).Faults() {
		got = append(got, f.String())
	}
	assert.DeepEqual(t, got, []string{
		"routes.bad.host: is missing",
		`routes.bad.prefix: "/y" does not begin and end with a slash`,
		`routes.bad.service: "none" is not configured`,
		"routes.bad.weight: -1 is negative",
		"routes.bad.latency_target: 2ns is longer than the timeout of 1ns",
		"routes.twin.prefix: a.example/x/ is also that of good",
		"routes.empty.service: is missing",
		"services.engine.slots: 0 is not positive",
		"services.engine.scaling: 3 to 2 servers is not a range",
		"services.engine.scaling: no failure domain has a price, so no server can be ordered",
		"workspaces.two.rate: is negative",
		"workspaces.two.keys: a key is also one of one",
		"workspaces.three.keys: are missing, so nobody can use the workspace",
	})
	assert.Equal(t, len(NewConfig(1, routes[:1], services[:1], workspaces[:1], Limits{}).Faults()), 0)
}
