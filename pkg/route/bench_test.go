package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/pollenlug/pollenlug/pkg/backend"
)

// newServers returns n servers of one group in four failure domains, with two prices.
func newServers(n int, now time.Time) []Server {
	servers := make([]Server, n)
	for i := range servers {
		servers[i] = Server{
			ID: fmt.Sprintf("worker-%03d", i), Group: "engines", Region: "west",
			FailureDomain: fmt.Sprintf("west-%d", i%4), Models: []string{"base"}, Adapters: []string{"orders"},
			PricePerHourMicros: uint64(1_000_000 * (1 + i%2)), Reclaimable: i%3 > 0, Concurrency: 32,
			Load: backend.Load{Running: uint32(i % 20), StepMicros: 15000}, LoadAt: now,
		}
	}
	return servers
}

func newBlocks(seed uint64, n int) []uint64 {
	blocks := make([]uint64, n)
	for i := range blocks {
		seed = seed*6364136223846793005 + 1442695040888963407
		blocks[i] = seed ^ seed>>29
	}
	return blocks
}

// BenchmarkPick measures one choice among 640 servers; the limits are 20 us and no allocation.
func BenchmarkPick(b *testing.B) {
	for _, blocks := range []int{0, 48, 512} {
		for name, sample := range map[string]int{"scan": -1, "sample16": 16} {
			b.Run(fmt.Sprintf("%s/blocks=%d", name, blocks), func(b *testing.B) {
				r := New(Options{Sample: sample, Region: "west", FailureDomain: "west-0"})
				r.SetServers(newServers(640, time.Now()))
				req := Request{Model: "base", Adapter: "orders", Group: "engines", PromptTokens: 3000,
					Blocks: newBlocks(7, blocks)}
				b.ReportAllocs()
				for b.Loop() {
					p, err := r.Pick(&req)
					if err != nil {
						b.Fatal(err)
					}
					p.Done(Result{FirstToken: 50 * time.Millisecond})
				}
			})
		}
	}
}
