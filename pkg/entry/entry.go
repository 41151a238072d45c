// Package entry selects the nodes whose addresses callers are given.
package entry

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Node is a node that accepts callers.
type Node struct {
	Name, Addr string
	// Capacity is the part of the callers that the node can take in relation to others; 0 counts as 1.
	Capacity float64
}

// Select returns the addresses of up to limit nodes for the callers of a failure domain.
//
// Load pattern: callers pick one of the addresses at random, and a response holds fewer addresses than a large deployment
// has nodes. With the same addresses for all callers the other nodes would be idle while these carry all callers. Each
// failure domain of callers therefore has its own nodes, chosen by a hash that is weighted by capacity. The choice is the
// same on every node that is asked and changes only with the nodes that appear or leave: callers close their connections
// to nodes that are no longer listed.
func Select(nodes []Node, domain string, limit int) []string {
	type candidate struct {
		addr string
		rank float64
	}
	candidates := make([]candidate, 0, len(nodes))
	for _, n := range nodes {
		candidates = append(candidates, candidate{n.Addr, rank(n, domain)})
	}
	if len(candidates) > limit {
		slices.SortFunc(candidates, func(a, b candidate) int {
			if a.rank != b.rank {
				return cmp.Compare(a.rank, b.rank)
			}
			return strings.Compare(a.addr, b.addr)
		})
		candidates = candidates[:limit]
	}
	out := make([]string, 0, len(candidates))
	for _, c := range candidates {
		out = append(out, c.addr)
	}
	return out
}

// rank is an exponentially distributed number whose rate is the capacity: the probability that a node is among the
// lowest ones grows with it.
func rank(n Node, domain string) float64 {
	capacity := n.Capacity
	if capacity <= 0 {
		capacity = 1
	}
	uniform := (float64(xxhash.Sum64String(domain+"\x00"+n.Name)>>11) + 0.5) / (1 << 53)
	return -math.Log(uniform) / capacity
}
