package admission

import (
	"fmt"
	"os"
	"testing"
	"time"
)

func TestTrace(t *testing.T) {
	x := 2.0
	fmt.Sscan(os.Getenv("X"), &x)
	r := &replay{load: overload(x), aggressive: 0.3, from: burstFrom, to: burstTo, delay: 1200 * time.Millisecond}
	r.trace = func() {
		if r.elapsed() < 15500*time.Millisecond || r.elapsed() > 28*time.Second || r.elapsed()%(500*time.Millisecond) != 0 {
			return
		}
		g := r.nodes[0].gate
		pressed := 0
		cap := 0.0
		w := 0.0
		for _, n := range r.nodes {
			if n.gate.capacity.pressed {
				pressed++
			}
			cap += n.gate.capacity.target()
			w += r.wait(n).Seconds()
		}
		n := float64(len(r.nodes))
		f := g.flow("3")
		fmt.Printf("%5.1f true %.2f view %.2f pressed %d cap %.2f trim %.2f demand %.1f served %.1f within %.2f %.2f %.2f | sent %.2f %.2f %.2f rejected %v\n", r.elapsed().Seconds(), max(r.busyUntil.Sub(r.now).Seconds(), 0), w/n, pressed, cap/n, g.capacity.trim, g.demand,
			g.peersServed, f.within[0], f.within[1], f.within[2], r.sentCost[0]*2, r.sentCost[1]*2, r.sentCost[2]*2, r.reasons)
		r.sentCost = [Priorities]float64{}
		r.reasons = map[string]int{}
	}
	r.reasons = map[string]int{}
	got := r.run(70, 32*time.Second)
	fmt.Println(got.onTime[0]/got.offered[0], got.onTime[1]/got.offered[1], got.onTime[2]/got.offered[2])
}
