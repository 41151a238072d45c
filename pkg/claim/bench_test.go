package claim

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/pollenlug/pollenlug/internal/standin/table"
)

// BenchmarkDo measures the cost of a call and its store traffic, with a parallelism of 64 over a table without latency.
func BenchmarkDo(b *testing.B) {
	tab := table.New(table.Options{})
	c := New(Options{Table: tab, Node: "node-1", MaxOpen: 1 << 20})
	var next atomic.Uint64
	b.SetParallelism(64)
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			_, err := c.Do(context.Background(), callOf(fmt.Sprint(next.Add(1)), 1),
				func(context.Context, string) (Outcome, Sent, error) { return Outcome{Status: 200}, MaybeSent, nil })
			if err != nil {
				b.Error(err)
			}
		}
	})
	if err := c.Drain(context.Background()); err != nil {
		b.Error(err)
	}
	counts := tab.Counts()
	b.ReportMetric(float64(counts.RowWrites)/float64(b.N), "rows/op")
	b.ReportMetric(float64(counts.Commits)/float64(b.N), "commits/op")
	b.ReportMetric(float64(counts.Reads)/float64(b.N), "reads/op")
}
