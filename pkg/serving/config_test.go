package serving

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against matching a route with a shorter prefix or of another host, and against accepting an unknown key.
func TestLongestPrefixOfTheHostMatches(t *testing.T) {
	short, long := &Route{Name: "short", Host: "Shop.example", Prefix: "/a/"}, &Route{Name: "long", Host: "shop.example", Prefix: "/a/b/"}
	w := &Workspace{Name: "guild", Keys: []string{"k"}}
	c := NewConfig(1, []*Route{short, long}, nil, []*Workspace{w}, Limits{})
	assert.Equal(t, c.Match("shop.example:8080", "/a/b/c"), long)
	assert.Equal(t, c.Match("SHOP.example", "/a/bc"), short)
	assert.Assert(t, c.Match("other.example", "/a/b/c") == nil)
	assert.Assert(t, c.Match("shop.example", "/a") == nil)
	assert.Equal(t, c.WorkspaceOf("k"), w)
	assert.Assert(t, c.WorkspaceOf("") == nil)
	assert.Assert(t, c.NeedsKey(long) && !c.NeedsKey(&Route{Public: true}))
}

// Guards against treating a workspace's priority of 0 as unset.
func TestWorkspacePriorityOverridesThatOfTheRoute(t *testing.T) {
	r := &Route{Priority: 2}
	assert.Equal(t, EffectivePriority(r, nil), 2)
	assert.Equal(t, EffectivePriority(r, &Workspace{}), 2)
	assert.Equal(t, EffectivePriority(r, &Workspace{HasPriority: true}), 0)
}
