package edge_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/platform/standin"
)

// Guards against requests that fail on a node that has just started because they take most of their time limit on any
// server: their first attempt is abandoned and the second one begins too late.
func TestColdNodeAnswersLongRequests(t *testing.T) {
	const limit, requests = 2500 * time.Millisecond, 20
	for _, share := range []float64{0.5, 0.8, 0.95} {
		for _, path := range []string{"/look/", "/quote/"} {
			t.Run(fmt.Sprint(path, share), func(t *testing.T) {
				t.Parallel()
				d := newDeployment(t)
				d.configure()
				service, events := "desk", 0
				if path == "/quote/" {
					service, events = "engine", 1
				}
				for i := range 3 {
					d.serve(fmt.Sprint(service, i), service, events).SetBehavior(always(standin.Behavior{Gap: time.Duration(share * float64(limit))}))
				}
				n := d.node()
				var callers sync.WaitGroup
				for i := range requests {
					callers.Go(func() {
						time.Sleep(time.Duration(i) * 50 * time.Millisecond)
						got := n.do(t, call{path: fmt.Sprint(path, i), header: map[string]string{"Pollenlug-Deadline-Ms": fmt.Sprint(limit.Milliseconds())}})
						assert.Check(t, got.err == nil && got.status == http.StatusOK, "%d %v", got.status, got.err)
					})
				}
				callers.Wait()
			})
		}
	}
}
