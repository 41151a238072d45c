package membership

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Rendezvous returns the n members with the highest hash of key and node name, highest first (rendezvous hashing). All
// nodes with the same view agree, and a change of the view moves only the keys of the nodes that changed.
func Rendezvous(key string, members []Member, n int) []Member {
	return rendezvous(key, members, n, func(Member) bool { return true })
}

// RendezvousOutside is Rendezvous restricted to the members outside the failure domain.
func RendezvousOutside(key string, members []Member, n int, failureDomain string) []Member {
	return rendezvous(key, members, n, func(m Member) bool { return m.FailureDomain != failureDomain })
}

// RendezvousInside is Rendezvous restricted to the members in the failure domain.
func RendezvousInside(key string, members []Member, n int, failureDomain string) []Member {
	return rendezvous(key, members, n, func(m Member) bool { return m.FailureDomain == failureDomain })
}

type candidate struct {
	score uint64
	index int
}

func rendezvous(key string, members []Member, n int, keep func(Member) bool) []Member {
	best := make([]candidate, 0, n+1)
	var digest xxhash.Digest
	for i, m := range members {
		if !keep(m) {
			continue
		}
		digest.Reset()
		_, _ = digest.WriteString(key)
		_, _ = digest.Write([]byte{0})
		_, _ = digest.WriteString(m.Node)
		score := digest.Sum64()
		if len(best) == n && (n == 0 || score < best[n-1].score) {
			continue
		}
		best = append(best, candidate{score, i})
		slices.SortFunc(best, func(a, b candidate) int {
			if a.score != b.score {
				if a.score > b.score {
					return -1
				}
				return 1
			}
			return strings.Compare(members[a.index].Node, members[b.index].Node)
		})
		best = best[:min(len(best), n)]
	}
	out := make([]Member, len(best))
	for i, s := range best {
		out[i] = members[s.index]
	}
	return out
}
