package strike

import (
	"fmt"
	"testing"
	"time"
)

// waveServers is a service whose servers several requests crash at nearly the same time.
var waveServers = simSize{nodes: 8, servers: 4, domains: 4, gossip: 300 * time.Millisecond}

// waveRequest counts the runs of one of these requests and the servers that crashed during them.
type waveRequest struct {
	digest  string
	runs    []time.Time
	crashes []time.Time
	lives   map[string]bool // ids of these servers
}

// late returns the number of runs later than 3 s after the third server crashed under the request.
func (r *waveRequest) late() int {
	n := 0
	for _, at := range r.runs {
		if len(r.crashes) >= 3 && at.Sub(r.crashes[2]) > 3*time.Second {
			n++
		}
	}
	return n
}

// Guards against a request that crashes all servers of a small service together with another one, and then again at each
// return of the servers: the crashes look correlated, and every node tries the request on its own.
func TestRequestsThatCrashAllServersTogetherAreRefused(t *testing.T) {
	for _, test := range []struct {
		requests int
		interval time.Duration // between two arrivals of each request
	}{{1, 100 * time.Millisecond}, {2, 50 * time.Millisecond}, {2, 200 * time.Millisecond}, {3, 100 * time.Millisecond}, {3, 500 * time.Millisecond}} {
		t.Run(fmt.Sprintf("%d every %v", test.requests, test.interval), func(t *testing.T) {
			t.Parallel()
			most, worst := 0, 0
			for seed := range uint64(waveServers.seeds()) {
				s := newSimulation(waveServers, seed)
				s.poisson(40, func() { s.sendWithin(200 * time.Millisecond) })
				var requests []*waveRequest
				for i := range test.requests {
					r := &waveRequest{digest: fmt.Sprint("crashing-", i), lives: map[string]bool{}}
					requests = append(requests, r)
					s.repeat(test.interval, func() {
						s.send(&simRequest{digest: r.digest, crashes: true, node: s.rng.IntN(s.size.nodes), wave: r})
					})
				}
				s.play()
				for _, r := range requests {
					most, worst = max(most, len(r.runs)), max(worst, r.late())
					if r.late() > lateRunsAllowed {
						t.Errorf("seed %d: %d of %d runs of %s later than 3 s after the third of %d crashes", seed, r.late(), len(r.runs), r.digest, len(r.crashes))
					}
				}
			}
			t.Logf("runs of one request: %d at most; late: %d at most", most, worst)
		})
	}
}
