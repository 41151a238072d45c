package edge_test

import (
	"fmt"
	"maps"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/internal/logline"
	"github.com/pollenlug/pollenlug/platform/standin"
)

const (
	// returnBound is the time in which a change must be in force after the store answers again.
	returnBound = 2 * time.Second
	// storeAway is how long the store is away before it returns.
	storeAway = 200 * time.Millisecond
	// lostWrites is how many writes of others the store loses by a return.
	lostWrites = 200
)

// copyStore makes the copy to which returnFromCopy returns.
func (d *deployment) copyStore() { d.store.Copy() }

// returnFromCopy makes the store lose what was written since the copy, and more writes of others.
func (d *deployment) returnFromCopy() {
	for i := range lostWrites {
		d.store.PutRaw("other", fmt.Sprint(i), []byte("x"))
	}
	time.Sleep(700 * time.Millisecond) // until the nodes have seen these versions
	d.store.SetFault(standin.Refuse)
	time.Sleep(storeAway)
	d.store.ReturnFromCopy()
	d.store.SetFault(standin.NoFault)
}

func (n *runningNode) statuses(t *testing.T, count int, c call) map[int]int {
	out := map[int]int{}
	for range count {
		out[n.do(t, c).status]++
	}
	return out
}

// notServed reports whether a request was refused because a starting node does not listen yet or has no views.
func notServed(r reply) bool { return r.err != nil || r.status == http.StatusServiceUnavailable }

func withKey(key string) call {
	return call{path: "/book/1", header: map[string]string{"Pollenlug-Credential": key}}
}

// Guards against requests to a server whose draining, or whose end, the store has forgotten, and against a view that
// stands still because the store counts its versions anew.
func TestServersThatLeftStayGoneWhenTheStoreReturns(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.configure()
	draining, gone, stays := d.serve("desk-1", "desk", 0), d.serve("desk-2", "desk", 0), d.serve("desk-3", "desk", 0)
	one, two := d.node(), d.node()
	eventually(t, 2*time.Second, "the nodes do not know each other", func() bool { return len(directory(t, two)) == 2 })
	d.copyStore()
	d.store.Put("servers", "desk-1", draining.Row("desk", "domain-a", 8, "draining", 2))
	d.store.Delete("servers", "desk-2")
	time.Sleep(time.Second)
	d.returnFromCopy()
	for range 15 {
		for _, n := range []*runningNode{one, two} {
			assert.DeepEqual(t, n.statuses(t, 4, call{path: "/book/1"}), map[int]int{200: 4})
		}
		time.Sleep(100 * time.Millisecond)
	}
	assert.Equal(t, len(draining.Runs()), 0, "requests to a server that is draining")
	assert.Equal(t, len(gone.Runs()), 0, "requests to a server that left")
	// What happens after the return is seen although the versions are lower than before.
	d.store.Put("servers", "desk-3", stays.Row("desk", "domain-a", 8, "draining", 3))
	late := d.serve("desk-4", "desk", 0)
	time.Sleep(returnBound)
	before := len(stays.Runs())
	for _, n := range []*runningNode{one, two} {
		assert.DeepEqual(t, n.statuses(t, 10, call{path: "/book/1"}), map[int]int{200: 10})
	}
	assert.Equal(t, len(stays.Runs()), before)
	assert.Equal(t, len(late.Runs()), 20)
}

// Guards against the loss of servers that registered after the copy was made.
func TestServersThatTheStoreForgotAreKept(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.configure()
	n := d.node()
	d.copyStore()
	s := d.serve("desk-1", "desk", 0)
	time.Sleep(time.Second)
	d.returnFromCopy()
	const rewrittenAfter = 1500 * time.Millisecond // within the two seconds that servers have
	rewrite := time.AfterFunc(rewrittenAfter, func() { d.store.Put("servers", "desk-1", s.Row("desk", "domain-a", 8, "ready", 9)) })
	defer rewrite.Stop()
	for end := time.Now().Add(2 * rewrittenAfter); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		assert.DeepEqual(t, n.statuses(t, 4, call{path: "/book/1"}), map[int]int{200: 4})
	}
}

// Guards against a withdrawn key or a dropped route that is in force again, on nodes that run and on one that starts just
// then, and against a later configuration that is not seen.
func TestConfigurationDoesNotGoBackWhenTheStoreReturns(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.tenants = []map[string]any{{"name": "guild", "api_keys": []string{"key-1", "key-2"}}}
	d.routes = append(d.routes, route("/old/", "idempotent", "desk", 1))
	d.configure()
	d.serve("desk-1", "desk", 0)
	one, two := d.node(), d.node()
	eventually(t, 2*time.Second, "the nodes do not know each other", func() bool { return len(directory(t, two)) == 2 })
	d.copyStore()
	d.tenants = []map[string]any{{"name": "guild", "api_keys": []string{"key-2"}}}
	d.routes = d.routes[:len(d.routes)-1]
	newest := d.configure()
	eventually(t, 2*time.Second, "the key still works", func() bool {
		return one.do(t, withKey("key-1")).status == 401 && two.do(t, withKey("key-1")).status == 401
	})
	d.returnFromCopy()
	starting := d.startNode()
	dropped := call{path: "/old/1", header: map[string]string{"Pollenlug-Credential": "key-2"}}
	for range 30 {
		for _, n := range []*runningNode{one, two, starting} {
			got := n.do(t, withKey("key-1"))
			assert.Assert(t, got.status == 401 || n == starting && notServed(got), "withdrawn key: %d", got.status)
			got = n.do(t, dropped)
			assert.Assert(t, got.status == 404 || n == starting && notServed(got), "dropped route: %d", got.status)
		}
		time.Sleep(50 * time.Millisecond)
	}
	assert.DeepEqual(t, starting.statuses(t, 5, withKey("key-2")), map[int]int{200: 5})
	// The operator writes the newest version again, and a later one.
	d.version = newest - 1
	d.configure()
	d.routes = append(d.routes, route("/new/", "idempotent", "desk", 1))
	d.configure()
	eventually(t, returnBound, "the new route is not served", func() bool {
		for _, n := range []*runningNode{one, two, starting} {
			if n.do(t, call{path: "/new/1", header: map[string]string{"Pollenlug-Credential": "key-2"}}).status != 200 {
				return false
			}
		}
		return true
	})
}

// Guards against nodes that, all started anew right after the return, know only what the copy has: a key that was
// withdrawn and a server that left, of which no node remembers anything.
func TestAllNodesStartRightAfterTheStoreReturns(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.tenants = []map[string]any{{"name": "guild", "api_keys": []string{"key-1", "key-2"}}}
	d.configure()
	gone, stays := d.serve("desk-1", "desk", 0), d.serve("desk-2", "desk", 0)
	one, two := d.node(), d.node()
	d.copyStore()
	d.tenants = []map[string]any{{"name": "guild", "api_keys": []string{"key-2"}}}
	newest := d.configure()
	d.store.Delete("servers", "desk-1")
	time.Sleep(600 * time.Millisecond)
	one.stop()
	two.stop()
	<-one.done
	<-two.done
	d.returnFromCopy()
	nodes := []*runningNode{d.startNode(), d.startNode()}
	started := time.Now()
	served := map[*runningNode]bool{}
	const rewrittenAfter = time.Second // within the two seconds that the operator has, however long the requests below take
	rewrite := time.AfterFunc(rewrittenAfter, func() {
		d.version = newest - 1
		d.configure()
		t.Logf("configuration written again %v after the start of the nodes", time.Since(started))
	})
	defer rewrite.Stop()
	for sequence := 2; len(served) < 2; sequence++ {
		// A server writes its row several times in the time in which the nodes wait.
		d.store.Put("servers", "desk-2", stays.Row("desk", "domain-a", 8, "ready", sequence))
		for _, n := range nodes {
			got := n.do(t, withKey("key-1"))
			assert.Assert(t, got.status == 401 || notServed(got), "withdrawn key: %d", got.status)
			served[n] = n.do(t, withKey("key-2")).status == 200
			if !served[n] {
				delete(served, n)
			}
		}
		assert.Assert(t, time.Since(started) < 4*time.Second, "the nodes do not serve")
		time.Sleep(200 * time.Millisecond)
	}
	for _, n := range nodes {
		assert.DeepEqual(t, n.statuses(t, 10, withKey("key-2")), map[int]int{200: 10})
	}
	assert.Equal(t, len(gone.Runs()), 0, "requests to a server that left")
	for _, n := range nodes {
		n.stop()
		<-n.done
	}
	// A node that starts later does not wait.
	n := d.startNode()
	eventually(t, time.Second, "the node waits for rows that have settled", func() bool {
		return status(t, n.settings.ReadyAddr, "/pollenlug/readyz") == http.StatusOK
	})
}

// Guards against a fencing token that two holders use, one before and one after a return, and against an order of
// servers that is not repeated.
func TestFencingTokensRiseOverReturns(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.extraServices = []map[string]any{{"name": "writer", "health_path": "/h", "max_conns": 50,
		"engine_type": map[string]any{"slots": 8, "kv_capacity": 100000},
		"scaling":     map[string]any{"min": 1, "max": 4, "boot_s": 1, "spot_price": 0.15, "zone_prices": map[string]float64{"domain-a": 1}}}}
	d.configure()
	d.copyStore() // before any holder
	last, holder, calls := uint64(0), "", 0
	check := func() {
		for _, c := range d.duties.Calls()[calls:] {
			calls++
			assert.Assert(t, c.Fencing >= last, "token %d after %d", c.Fencing, last)
			assert.Assert(t, c.Fencing > last || c.Holder == holder, "%s and %s with token %d", holder, c.Holder, last)
			last, holder = c.Fencing, c.Holder
		}
	}
	n := d.node()
	for range 3 {
		ordered := calls
		eventually(t, 6*time.Second, "nothing is ordered", func() bool { check(); return calls > ordered })
		next := d.node()
		eventually(t, 2*time.Second, "the nodes do not know each other", func() bool { return len(directory(t, next)) == 2 })
		d.returnFromCopy()
		// The holder ends without a chance to hand anything over.
		n.stop()
		<-n.done
		check()
		ordered = calls
		eventually(t, 8*time.Second, "the successor orders nothing", func() bool { check(); return calls > ordered })
		n = next
	}
}

// Guards against usage counts of a window that are reported differently, or reported although it is not known how they
// were before, when the store has forgotten them.
func TestReportedUsageStaysTheSameWhenTheStoreReturns(t *testing.T) {
	t.Parallel()
	for _, survives := range []bool{true, false} {
		t.Run(fmt.Sprintf("holder survives: %v", survives), func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.tenants = []map[string]any{{"name": "guild", "api_keys": []string{"key-1"}}}
			d.configure()
			d.serve("desk-1", "desk", 0)
			one, two := d.node(), d.node()
			eventually(t, 2*time.Second, "the nodes do not know each other", func() bool { return len(directory(t, two)) == 2 })
			d.copyStore()
			send := func(n *runningNode) { assert.Equal(t, n.do(t, withKey("key-1")).status, 200) }
			for range 30 {
				send(one)
				send(two)
				time.Sleep(100 * time.Millisecond)
			}
			eventually(t, 8*time.Second, "nothing is reported", func() bool { return len(usageCalls(d)) >= 2 })
			rows := len(d.store.Keys("usage"))
			if !survives {
				// The holder and its part of the counts are lost with the rows.
				one.stop()
				<-one.done
			}
			d.returnFromCopy()
			if survives {
				eventually(t, 3*time.Second, "the counts are not written again", func() bool { return len(d.store.Keys("usage")) >= rows })
			}
			before := len(usageCalls(d))
			for range 40 {
				send(two)
				time.Sleep(100 * time.Millisecond)
			}
			eventually(t, 8*time.Second, "nothing is reported after the return", func() bool { return len(usageCalls(d)) > before })
			reported := map[int64]map[string]int64{}
			for _, c := range usageCalls(d) {
				if earlier, ok := reported[c.Window]; ok {
					assert.Assert(t, maps.Equal(earlier, c.Counts), "window %d: %v and %v", c.Window, earlier, c.Counts)
				}
				reported[c.Window] = c.Counts
			}
		})
	}
}

// Guards against a usage window that a new holder, which knows a part of its counts, reports again because the store returns
// from a copy without the row of the final counts right before the new holder writes it.
func TestReportedUsageStaysTheSameWhenTheStoreReturnsDuringAHandOver(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.usageWindow = 2 * time.Second
	d.tenants = []map[string]any{{"name": "guild", "api_keys": []string{"key-1"}}}
	d.configure()
	d.serve("desk-1", "desk", 0)
	holder, restarted := d.node(), d.node()
	eventually(t, 2*time.Second, "the nodes do not know each other", func() bool { return len(directory(t, restarted)) == 2 })
	d.copyStore()
	time.Sleep(time.Until(time.Now().Truncate(d.usageWindow).Add(d.usageWindow)))
	for range 5 {
		assert.DeepEqual(t, holder.statuses(t, 1, withKey("key-1")), map[int]int{200: 1})
		assert.DeepEqual(t, restarted.statuses(t, 1, withKey("key-1")), map[int]int{200: 1})
	}
	time.Sleep(600 * time.Millisecond) // until the heartbeats have taken the counts to the holder
	restarted.stop()
	<-restarted.done
	successor := d.node()
	eventually(t, 4*time.Second, "nothing is reported", func() bool { return len(usageCalls(d)) > 0 })
	d.store.BeforeWrite("usage", d.store.ReturnFromCopy)
	holder.stop()
	<-holder.done
	eventually(t, 4*time.Second, "the successor writes no counts", func() bool { return d.store.Era() == 1 })
	terms := func() (count int) {
		for _, line := range d.logs.read(t).Lines {
			if line.Node == successor.settings.Node && line.Message == logline.DutiesAcquired {
				count++
			}
		}
		return count
	}
	eventually(t, 6*time.Second, "the successor does not hold the duties in the new era", func() bool { return terms() == 2 })
	time.Sleep(time.Second)
	first := usageCalls(d)[0]
	assert.DeepEqual(t, first.Counts, map[string]int64{"guild": 10})
	for _, c := range usageCalls(d) {
		assert.Assert(t, c.Window != first.Window || maps.Equal(c.Counts, first.Counts), "%v and %v", first, c)
	}
}

// Guards against a return that the log does not explain, and nodes that a starting one cannot discover because the store
// has forgotten their rows.
func TestNodeRowsAreWrittenAgainAndLogged(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.configure()
	d.copyStore()
	one, two := d.node(), d.node()
	eventually(t, 2*time.Second, "the nodes do not know each other", func() bool { return len(directory(t, two)) == 2 })
	d.returnFromCopy()
	assert.Equal(t, len(d.store.Keys("nodes")), 0)
	eventually(t, 2500*time.Millisecond, "the rows are missing", func() bool { return len(d.store.Keys("nodes")) == 2 })
	eventually(t, 4*time.Second, "the return does not settle", func() bool { return len(d.store.Keys("era")) == 1 })
	// loggedBy returns how many nodes have logged a message.
	loggedBy := func(message string) int {
		nodes := map[string]bool{}
		for _, line := range d.logs.read(t).Lines {
			if line.Message == message {
				nodes[line.Node] = true
			}
		}
		return len(nodes)
	}
	for _, message := range []string{logline.StoreReturned, logline.RowsWrittenAgain} {
		assert.Equal(t, loggedBy(message), 2, message)
	}
	eventually(t, time.Second, "the log does not tell that the return has settled", func() bool { return loggedBy(logline.StoreSettled) == 1 })
	_ = one
}

// Guards against nodes that all call the store at once when it has returned: it serves 400 writes and 2000 reads a second
// for all of them.
func TestStoreCallsAfterAReturn(t *testing.T) {
	t.Parallel()
	const nodes, maxCallsPerSecond = 8, 400
	d := newDeployment(t)
	d.configure()
	d.serve("desk-1", "desk", 0)
	d.copyStore()
	for range nodes {
		d.startNode()
	}
	time.Sleep(4 * time.Second)
	d.returnFromCopy()
	var perSecond []int
	for range 10 {
		before := d.store.Calls()
		time.Sleep(time.Second)
		perSecond = append(perSecond, d.store.Calls()-before)
		assert.Assert(t, perSecond[len(perSecond)-1] <= maxCallsPerSecond, "%v", perSecond)
	}
	t.Logf("calls in each second after the return: %v", perSecond)
}
