package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	ringPoints    = 16 // points of a server on its group's ring
	homesPerDepth = 2  // home servers of a prefix at each depth, the preferred one first
)

// homeDepths are the depths, in blocks, at which a prefix has home servers. A single depth would give all requests
// that share a system prompt the same home server.
var homeDepths = [...]int{4, 32, 128}

// homeRing is a consistent-hash ring of the servers of a group. Nodes do not exchange which prefixes they dispatched
// where; the ring lets them agree on it. A node that sees a prefix for the first time expects it in the cache of the
// home server, where any other node would have sent it.
type homeRing []ringPoint

// secondHomeFactor is the factor on the tokens expected in the cache of a prefix's second home server, which gets the
// prefix only when the first one would miss its latency target.
const secondHomeFactor = 0.5

// initialHomeAccuracy is the assumed probability that a home server caches a prefix that this node has never
// dispatched.
const initialHomeAccuracy = 0.7

type ringPoint struct {
	hash        uint64
	serverIndex int32
}

func newHomeRing(servers []Server, members []int32) homeRing {
	ring := make(homeRing, 0, len(members)*ringPoints)
	for _, i := range members {
		hash := xxhash.Sum64String(servers[i].ID)
		for range ringPoints {
			hash = mix(hash + 0x9e3779b97f4a7c15)
			ring = append(ring, ringPoint{hash, i})
		}
	}
	slices.SortFunc(ring, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
	return ring
}

// homes returns the first distinct servers on the ring from a block's hash on, as indexes into the snapshot's
// servers; -1 stands for a missing one.
func (ring homeRing) homes(block uint64) (found [homesPerDepth]int32) {
	for k := range found {
		found[k] = -1
	}
	if len(ring) == 0 {
		return found
	}
	block = mix(block)
	low, high := 0, len(ring)
	for low < high {
		middle := (low + high) / 2
		if ring[middle].hash < block {
			low = middle + 1
		} else {
			high = middle
		}
	}
	n := 0
	for k := range len(ring) {
		p := ring[(low+k)%len(ring)].serverIndex
		if n == 1 && found[0] == p {
			continue
		}
		found[n] = p
		if n++; n == homesPerDepth {
			break
		}
	}
	return found
}

const (
	subsetNodes = 4  // average number of nodes that have a given server in their subset
	minSubset   = 32 // least size of a subset, in servers, so that it has servers of each price and failure domain
)

// subsetOf returns the servers of a group that this node samples from: those that rank lowest when hashed with the
// node's seed.
func (r *Router) subsetOf(servers []Server, members []int32) []int32 {
	size := max(minSubset, int(float64(len(members)*subsetNodes)/loadFloat(&r.nodeCount)))
	if size >= len(members) {
		return members
	}
	seed := mix(r.opts.Seed + 1)
	rank := func(i int32) uint64 { return mix(seed ^ xxhash.Sum64String(servers[i].ID)) }
	subset := slices.Clone(members)
	slices.SortFunc(subset, func(a, b int32) int { return cmp.Compare(rank(a), rank(b)) })
	return subset[:size]
}

// mix is the finalizer of splitmix64.
func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
