package example

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/config"
)

func newIndex(t *testing.T, files map[string][]byte) *config.Index {
	t.Helper()
	merged, faults := config.Merge(files)
	assert.Equal(t, len(faults), 0, "%v", faults)
	return config.NewIndex(&pb.Snapshot{Merged: merged, FolderRevision: 1})
}

// Guards against a default configuration that `pollenlug dev` cannot use, or whose documented tokens do not work.
func TestDefaultFolder(t *testing.T) {
	x := newIndex(t, Files())
	for _, name := range []string{"council", "shop", "archive"} {
		workspace, ok := x.Workspace(name + "-token")
		assert.Assert(t, ok)
		assert.Equal(t, workspace.Name, name)
	}
	for _, name := range []string{"quote-small", "brief-large", "quote-small:harbour", "brief-large:harbour"} {
		model, ok := x.Model(name)
		assert.Assert(t, ok, name)
		assert.Equal(t, model.Group.Kind, pb.BackendGroup_MODEL_ENGINE)
	}
	service, ok := x.Service("booking")
	assert.Assert(t, ok)
	assert.Assert(t, service.Route("POST", "/bookings").NonRepeatable)
	assert.Assert(t, service.Route("POST", "/deposits").NonRepeatable)
	assert.Assert(t, service.Route("GET", "/anything").Idempotent)
}

// Guards against example configurations that do not merge or that lack a setting the two example users need.
func TestExamples(t *testing.T) {
	for _, c := range []struct {
		user, service, token string
		weight               uint32
	}{
		{"windwijzer", "commission-desk", "windwijzer-commissions-example", 80},
		{"oleaje", "booking", "oleaje-beach-shop-example", 20},
	} {
		t.Run(c.user, func(t *testing.T) {
			files, err := config.LoadDir("../../examples/" + c.user)
			assert.NilError(t, err)
			x := newIndex(t, files)
			assert.Equal(t, x.Policy().RecomputeWeight, c.weight)
			assert.Equal(t, x.Policy().FirstToken.Milliseconds(), int64(420))
			assert.Equal(t, x.Policy().BetweenTokens.Milliseconds(), int64(37))
			assert.Equal(t, len(x.Folder().Workspaces), 5)
			_, ok := x.Workspace(c.token)
			assert.Assert(t, ok)
			engines, _ := x.Group("assistant")
			assert.Equal(t, engines.MinServers, uint32(20))
			service, ok := x.Service(c.service)
			assert.Assert(t, ok)
			assert.Equal(t, service.Group.MinServers, uint32(4))
			assert.Assert(t, service.Route("POST", "/bookings").NonRepeatable)
			assert.Assert(t, service.Route("POST", "/deposits").NonRepeatable)
		})
	}
}
