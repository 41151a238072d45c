package platform

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/internal/standin/object"
	"github.com/pollenlug/pollenlug/internal/standin/table"
	"github.com/pollenlug/pollenlug/pkg/platform"
	"github.com/pollenlug/pollenlug/pkg/platform/platformtest"
)

var price = platform.Price{InstanceClass: "gpu", FailureDomain: "a", Reclaimable: true, PricePerHourMicros: 5}

func request(token string) platform.StartRequest {
	return platform.StartRequest{
		Token: token, Kind: platform.ModelEngine, BackendGroup: "assistant",
		InstanceClass: "gpu", FailureDomain: "a", Reclaimable: true,
	}
}

func newCloud(running *atomic.Int64, o CloudOptions) *Cloud {
	o.Prices = []platform.Price{price}
	o.Launch = func(context.Context, platform.Instance) (Server, error) {
		running.Add(1)
		return Server{Addr: "127.0.0.1:1", Stop: func() { running.Add(-1) }}, nil
	}
	return NewCloud(o)
}

// Guards against stand-ins that violate the contract of the platform interfaces.
func TestContract(t *testing.T) {
	t.Run("table", func(t *testing.T) {
		platformtest.Table(t, func(*testing.T) platform.Table { return table.New(table.Options{Seed: 1}) })
	})
	t.Run("objects", func(t *testing.T) {
		platformtest.Objects(t, func(*testing.T) platform.Objects { return object.New() })
	})
	t.Run("folder in memory", func(t *testing.T) {
		platformtest.Folder(t, func(*testing.T) (platform.Folder, func(map[string][]byte)) {
			folder := NewMemFolder(nil)
			return folder, func(files map[string][]byte) { folder.Edit(files) }
		})
	})
	t.Run("folder on disk", func(t *testing.T) {
		platformtest.Folder(t, func(t *testing.T) (platform.Folder, func(map[string][]byte)) {
			dir := t.TempDir()
			folder, err := NewDirFolder(dir)
			assert.NilError(t, err)
			return folder, func(files map[string][]byte) { writeFiles(t, dir, files) }
		})
	})
	t.Run("cloud", func(t *testing.T) {
		platformtest.Cloud(t, func(t *testing.T) platformtest.CloudSetup {
			c := newCloud(new(atomic.Int64), CloudOptions{StartDelay: 20 * time.Millisecond, ListLag: 30 * time.Millisecond})
			t.Cleanup(c.Close)
			return platformtest.CloudSetup{
				Cloud: c, List: c, Request: request(""),
				Reclaim:      func(id string, notice time.Duration) { c.Reclaim(notice, id) },
				RefuseStarts: func() { c.RefuseStarts("", "", true) },
			}
		})
	})
	t.Run("weights", func(t *testing.T) {
		platformtest.Weights(t, func(*testing.T) platform.Weights { return NewWeights(1000) })
	})
}

// writeFiles writes each file under a temporary name and renames it, as editors do.
func writeFiles(t *testing.T, dir string, files map[string][]byte) {
	for name, data := range files {
		temporary := filepath.Join(dir, ".new")
		assert.NilError(t, os.WriteFile(temporary, data, 0o600))
		assert.NilError(t, os.Rename(temporary, filepath.Join(dir, name)))
	}
}

// Guards against a reclaim that affects other instances, leaves servers running or ignores the notice period.
func TestReclaimDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var running atomic.Int64
		c := newCloud(&running, CloudOptions{StartDelay: time.Second, ListLag: 3 * time.Second})
		for _, token := range []string{"1", "2"} {
			_, err := c.Start(t.Context(), request(token))
			assert.NilError(t, err)
		}
		c.Add(platform.Instance{ID: "fixed", FailureDomain: "a"}, nil)
		c.Add(platform.Instance{ID: "far", FailureDomain: "b", Reclaimable: true}, nil)
		time.Sleep(10 * time.Second)
		assert.DeepEqual(t, c.ReclaimDomain("a", 5*time.Second, true), []string{"i-0001", "i-0002"})
		assert.Equal(t, len(c.Reclaim(time.Second, "i-0001")), 0, "an instance was given notice twice")
		assert.DeepEqual(t, states(t, c), []platform.InstanceState{"live", "live", "live", "live"})
		time.Sleep(3 * time.Second)
		assert.DeepEqual(t, states(t, c), []platform.InstanceState{"live", "live", "leaving", "leaving"})
		assert.Equal(t, running.Load(), int64(2))
		time.Sleep(2 * time.Second)
		synctest.Wait()
		assert.Equal(t, running.Load(), int64(0))
		time.Sleep(3 * time.Second)
		assert.Equal(t, len(states(t, c)), 2)
		c.Close()
	})
}

func states(t *testing.T, c *Cloud) []platform.InstanceState {
	list, err := c.Instances(t.Context())
	assert.NilError(t, err)
	var out []platform.InstanceState
	for _, i := range list {
		out = append(out, i.State)
	}
	slices.SortFunc(out, func(a, b platform.InstanceState) int { return len(a) - len(b) })
	return out
}

// Guards against folder faults that mix revisions, or stale reads that return old files under a newer revision.
func TestStaleFolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		folder := NewMemFolder(map[string][]byte{"a": []byte("1")})
		time.Sleep(time.Second)
		assert.Equal(t, folder.EditFile("a", []byte("2")), uint64(2))
		folder.SetFaults(FolderFaults{Stale: 500 * time.Millisecond})
		state, err := folder.Read(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, state.Revision, uint64(1))
		assert.Equal(t, string(state.Files["a"]), "1")
		time.Sleep(500 * time.Millisecond)
		state, err = folder.Read(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, state.Revision, uint64(2))
		folder.SetFaults(FolderFaults{Down: true})
		_, err = folder.Read(t.Context())
		assert.ErrorIs(t, err, platform.ErrUnavailable)
	})
}
