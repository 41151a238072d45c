package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	ringPoints = 16 // points of a server on its group's ring
	homeCount  = 2  // home servers of a prefix at each depth
)

// homeDepths are the depths, in blocks, at which a prefix has home servers. Several depths are needed because
// requests that share a system prompt must not all have the same home.
var homeDepths = [...]int{4, 32, 128}

// homeRing places the servers of a group on a hash ring. Nodes do not tell each other what they dispatched, so the
// ring is how they agree on where a prefix is cached: a node that meets a prefix for the first time finds it on the
// home server if another node has sent it there.
type homeRing []ringPoint

// secondHome discounts the second home server of a prefix, which is used when the first is over its target.
const secondHome = 0.5

// initialHomeTrust is the assumed probability that a home server holds a prefix this node has never dispatched.
const initialHomeTrust = 0.7

type ringPoint struct {
	hash     uint64
	position int32
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

// homes appends the next distinct servers on the ring after a block's hash.
func (ring homeRing) homes(block uint64) (found [homeCount]int32) {
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
		p := ring[(low+k)%len(ring)].position
		if n == 1 && found[0] == p {
			continue
		}
		found[n] = p
		if n++; n == homeCount {
			break
		}
	}
	return found
}

const (
	subsetNodes = 4  // nodes that should have a server in their subset
	minSubset   = 32 // servers, so that each price and failure domain is represented
)

// subsetOf returns the servers of a group that this node prefers: those with the lowest hash with the node's seed.
func (r *Router) subsetOf(servers []Server, members []int32) []int32 {
	size := max(minSubset, int(float64(len(members)*subsetNodes)/loadFloat(&r.peers)))
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
