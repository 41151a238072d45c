package entry

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// largeDeployment has 95 nodes of different size in six failure domains.
func largeDeployment() []Node {
	var nodes []Node
	for i := range 95 {
		nodes = append(nodes, Node{Name: fmt.Sprintf("edge-%c-%d", 'a'+i%6, i/6), Addr: fmt.Sprintf("10.0.0.%d", i),
			Capacity: []float64{0.192, 0.3, 0.4, 0.8}[i%4]})
	}
	return nodes
}

var domains = []string{"a", "b", "c", "d", "e", "f"}

// load returns the share of the callers of all domains that each node gets, in relation to the mean.
func load(nodes []Node, choose func(nodes []Node, domain string) []string) map[string]float64 {
	out := map[string]float64{}
	for _, domain := range domains {
		addrs := choose(nodes, domain)
		for _, addr := range addrs {
			out[addr] += float64(len(nodes)) / float64(len(domains)*len(addrs))
		}
	}
	return out
}

func idle(nodes []Node, load map[string]float64) (count int) {
	for _, n := range nodes {
		if load[n.Addr] == 0 {
			count++
		}
	}
	return count
}

// perCore returns the load of the nodes of one size, by the cores that they have together.
func perCore(nodes []Node, load map[string]float64, capacity float64) float64 {
	sum, cores := 0.0, 0.0
	for _, n := range nodes {
		if n.Capacity == capacity {
			sum, cores = sum+load[n.Addr], cores+n.Capacity
		}
	}
	return sum / cores
}

// Replays callers of six domains on 95 nodes, of which a response lists 64. Guards against nodes that no caller knows,
// and small nodes that get as many callers as large ones.
func TestAllNodesOfALargeDeploymentGetCallers(t *testing.T) {
	nodes := largeDeployment()
	first := load(nodes, func(nodes []Node, _ string) []string {
		var out []string
		for _, n := range nodes[:64] {
			out = append(out, n.Addr)
		}
		return out
	})
	ours := load(nodes, func(nodes []Node, domain string) []string { return Select(nodes, domain, 64) })
	assert.Equal(t, idle(nodes, first), 31)
	assert.Equal(t, idle(nodes, ours), 0)
	small, large := perCore(nodes, ours, 0.192)/perCore(nodes, ours, 0.8), perCore(nodes, first, 0.192)/perCore(nodes, first, 0.8)
	assert.Assert(t, small < 0.8*large, "load per core of small nodes: %.2f times that of large ones, %.2f with the first 64", small, large)
}

// Guards against callers that close their connections because another node gives them other addresses, or because one
// node has left.
func TestSelectionIsStable(t *testing.T) {
	nodes := largeDeployment()
	for _, domain := range domains {
		before := Select(nodes, domain, 64)
		reversed := slices.Clone(nodes)
		slices.Reverse(reversed)
		assert.DeepEqual(t, Select(reversed, domain, 64), before)
		for left := range nodes {
			after := Select(slices.Delete(slices.Clone(nodes), left, left+1), domain, 64)
			dropped := 0
			for _, addr := range before {
				if !slices.Contains(after, addr) && addr != nodes[left].Addr {
					dropped++
				}
			}
			assert.Equal(t, dropped, 0, "%s: without %s", domain, nodes[left].Name)
		}
	}
}

// Guards against a deployment that fits into a response and is not listed completely.
func TestSmallDeploymentIsListedWhole(t *testing.T) {
	nodes := largeDeployment()[:60]
	assert.Equal(t, len(Select(nodes, "a", 64)), 60)
	assert.Equal(t, len(Select(nil, "a", 64)), 0)
	assert.Assert(t, !math.IsInf(rank(nodes[0], "a"), 0))
}
