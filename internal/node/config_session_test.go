package node_test

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/internal/standin/table"
)

func sortedKeys(set map[string]bool) []string { return slices.Sorted(maps.Keys(set)) }

// nodeStatus is the part of /v1/status that the tests read.
type nodeStatus struct {
	Config struct {
		Version        uint64
		FolderRevision uint64
	}
	FolderFaults *struct {
		Revision uint64
		Faults   []struct{ File, Field, Reason string }
	} `json:"folder_faults"`
}

// status returns the status of a node at this instant, read directly instead of over the network.
func (n *testNode) status() nodeStatus {
	var out nodeStatus
	body, err := json.Marshal(n.Status())
	if err != nil || json.Unmarshal(body, &out) != nil {
		panic("test: node status cannot be converted to JSON and back")
	}
	return out
}

// awaitRevision waits until the nodes have a folder revision, or a later one, in force. It returns how long that took,
// or the limit and false if it took longer.
func (c *cluster) awaitRevision(revision uint64, limit time.Duration, nodes ...*testNode) (time.Duration, bool) {
	start := time.Now()
	for time.Since(start) <= limit {
		behind := slices.ContainsFunc(nodes, func(n *testNode) bool { return n.status().Config.FolderRevision < revision })
		if !behind {
			return time.Since(start), true
		}
		time.Sleep(25 * time.Millisecond)
	}
	return limit, false
}

// watchVersions watches the configuration versions of all nodes until stop, which returns the nodes where one
// decreased.
func (c *cluster) watchVersions() (stop func() []string) {
	stopping, done := make(chan struct{}), make(chan []string)
	go func() {
		highest, decreased := map[*testNode]uint64{}, map[string]bool{}
		for {
			c.nodesMu.Lock()
			nodes := slices.Clone(c.nodes)
			c.nodesMu.Unlock()
			for _, n := range nodes {
				version := n.status().Config.Version
				if version < highest[n] {
					decreased[n.settings.Node] = true
				}
				highest[n] = max(highest[n], version)
			}
			select {
			case <-stopping:
				done <- sortedKeys(decreased)
				return
			case <-time.After(200 * time.Millisecond):
			}
		}
	}()
	return func() []string {
		close(stopping)
		return <-done
	}
}

// workspaceFile returns a configuration file with one workspace. Each name has a token of its own.
func workspaceFile(name string) []byte {
	return fmt.Appendf(nil, `{"workspaces":[{"name":%q,"token_sha256":["%x"]}]}`, name, sha256.Sum256([]byte(name)))
}

// Guards against edits that are not in force on all 8 nodes within 2 s: single edits, concurrent edits by two
// operators, and the repair of a folder that did not validate.
func TestEditsAreInForceEverywhereIn2Seconds(t *testing.T) {
	runWithCluster(t, clusterOptions{Nodes: 8}, func(t *testing.T, c *cluster) {
		for i := range 50 {
			time.Sleep(777 * time.Millisecond)
			if i%5 == 0 {
				c.folder.EditFile("91-bad.json", []byte(`{"workspaces":"none"}`))
				time.Sleep(3 * time.Second)
				c.folder.EditFile("91-bad.json", nil)
			}
			if i%3 == 0 {
				c.folder.EditFile("90-new.json", workspaceFile("operator"))
			}
			revision := c.folder.EditFile("90-new.json", workspaceFile(fmt.Sprintf("new-%d", i)))
			if _, ok := c.awaitRevision(revision, 2*time.Second, c.nodes...); !ok {
				elapsed, _ := c.awaitRevision(revision, time.Minute, c.nodes...)
				t.Errorf("edit %d: in force everywhere only after %v", i, 2*time.Second+elapsed)
			}
		}
	})
}

// Guards against a configuration that takes effect too late, reverts, or comes from a folder that does not validate,
// with 8 nodes, a store outage, a node restart and two operators.
func TestConfigurationScenario(t *testing.T) {
	runWithCluster(t, clusterOptions{Nodes: 8}, func(t *testing.T, c *cluster) {
		s := &transcript{t: t}
		stopWatching := c.watchVersions()
		s.step("two operators edit at the same time")
		first := c.folder.EditFile("91-operator.json", workspaceFile("operator-a"))
		second := c.folder.EditFile("91-operator.json", workspaceFile("operator-bb"))
		_, ok := c.awaitRevision(second, 17*time.Second, c.nodes...)
		s.observe("the later edit is in force everywhere: %v", ok && second > first)

		s.step("an edit that does not validate")
		before := c.nodes[0].status().Config.Version
		c.folder.EditFile("92-bad.json", []byte(`{"workspaces":[{"name":"shop","share":"many"}]}`))
		time.Sleep(5 * time.Second)
		unchanged, reported := true, true
		for _, n := range c.nodes {
			status := n.status()
			unchanged = unchanged && status.Config.Version == before
			reported = reported && status.FolderFaults != nil && status.FolderFaults.Faults[0].File == "92-bad.json"
		}
		s.observe("the version stays on all nodes: %v, all nodes tell the file: %v", unchanged, reported)
		repaired := c.folder.EditFile("92-bad.json", nil)
		_, ok = c.awaitRevision(repaired, 17*time.Second, c.nodes...)
		s.observe("the repaired folder is in force everywhere: %v", ok)

		s.step("an edit is accepted, and the store goes down when the first node has it in force")
		revision := c.folder.EditFile("93-outage.json", workspaceFile("outage"))
		for i := 0; !slices.ContainsFunc(c.nodes, func(n *testNode) bool { return n.status().Config.FolderRevision >= revision }); i++ {
			assert.Assert(t, i < 3000)
			time.Sleep(time.Millisecond)
		}
		c.platform.StoreOutage(table.Hanging)
		_, ok = c.awaitRevision(revision, 17*time.Second, c.nodes...)
		s.observe("in force everywhere within 17 s: %v", ok)

		s.step("entry-3 restarts during the outage")
		inForce := c.nodes[0].status().Config.Version
		c.nodes[2].kill()
		<-c.nodes[2].done
		assert.NilError(t, c.addNode(2))
		_, ok = c.awaitRevision(revision, 17*time.Second, c.nodes[2])
		s.observe("it has the version of the others within 17 s: %v", ok && c.nodes[2].status().Config.Version == inForce)

		s.step("an edit during the outage, then the store recovers")
		during := c.folder.EditFile("94-during.json", workspaceFile("during"))
		time.Sleep(5 * time.Second)
		s.observe("not in force before it is accepted: %v", c.nodes[0].status().Config.FolderRevision < during)
		c.platform.ClearStoreFaults()
		_, ok = c.awaitRevision(during, 10*time.Second, c.nodes...)
		s.observe("in force everywhere within 10 s: %v", ok)
		s.observe("nodes whose version has decreased: %v", stopWatching())
		s.assert("configuration")
	})
}
