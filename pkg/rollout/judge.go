package rollout

import (
	"fmt"
	"math"
	"time"
)

// The test is a sequential probability ratio test of each route: the hypothesis that the new version fails as often as
// the old one plus a margin, against the one that a further part of its responses fails; the same for slow responses. It
// is repeated from several starting points because a version may turn bad late. A response is slow if it takes longer
// than about 1.5 to 2 times what nine of ten responses of the old version take on the same route in the same seconds.
const (
	// rejectAt is the log of the probability ratio at which the version is bad: a good one would reach it with a
	// probability of 0.00005 from one starting point. acceptAt is the one at which it is clean: a bad one would reach it
	// with a probability of 0.01.
	rejectAt = 10.0
	acceptAt = -4.6
	// acceptTogetherAt is the one for all routes together late in the canary phase; the ramp follows it.
	acceptTogetherAt = -3.0
	// contradictAt is the one at which a single route speaks against the version.
	contradictAt = 1.5
	// uncertainty is the number of standard deviations of the old version's rate that are added to it.
	uncertainty = 1.5
	// otherDomainsAt must be reached without the failure domain that contributes most, so that the loss of one failure
	// domain reverts no version.
	otherDomainsAt = 2.3
	// margin is added to the old version's rate of failures and of slow responses: new servers start with empty caches.
	margin = 0.03
	// priorFailures of priorResponses are added to the counts of the old version, for routes with few requests.
	priorFailures, priorResponses = 0.5, 30
	// badFailures and badSlow are the parts of the responses that a bad version fails or slows beyond the old one's.
	badFailures, badSlow = 0.4, 0.3
	// usualPart of the old version's responses are not slow. slowSteps is the number of time classes above them from
	// which a response is slow, slowSamples the number of responses that are needed to know.
	usualPart   = 0.9
	slowSteps   = 2
	slowSamples = 10
	// domainSamples is the number of the old version's responses from which on its rate in a failure domain counts.
	domainSamples = 20
	// minorRoute is the part of all requests below which a route needs no evidence of its own.
	minorRoute = 0.02
	// snapshotInterval is the time between two starting points of the test, and maxSnapshots their number.
	snapshotInterval = 500 * time.Millisecond
	maxSnapshots     = 16
	// maxNodes limits the nodes, with their earlier incarnations, whose counts are kept.
	maxNodes = 2048
)

// Verdict is a judgement of the evidence.
type Verdict struct {
	// Bad is set if the new version is worse than the old one, for Reason.
	Bad    bool
	Reason string
	// Clean is set if each route has shown that the version is not bad since its servers are old enough; CleanTogether if
	// all routes together have and none contradicts. Calm is set if nothing has spoken against the version lately.
	Clean, CleanTogether, Calm bool
	// Responses and Failed are those of the new version, Evidence the highest log of a probability ratio.
	Responses, Failed uint32
	Evidence          float64
}

type snapshot struct {
	at    time.Time
	total Evidence
}

// Judge sums the counts of all nodes and compares the versions.
type Judge struct {
	nodes   map[string]Evidence
	total   Evidence
	history []snapshot
	// proven is the total at the first judgement after provenSince.
	proven      Evidence
	provenSince time.Time
}

// NewJudge returns a Judge without evidence.
func NewJudge() *Judge { return &Judge{nodes: map[string]Evidence{}, total: Evidence{}} }

// Set replaces the counts of one incarnation of a node. Counts of earlier incarnations stay.
func (j *Judge) Set(incarnation string, e Evidence) {
	if _, ok := j.nodes[incarnation]; ok || len(j.nodes) < maxNodes {
		j.nodes[incarnation] = e
	}
}

func (j *Judge) snapshot(now time.Time) {
	j.total = Evidence{}
	for _, e := range j.nodes {
		j.total.add(e)
	}
	if n := len(j.history); n > 0 && now.Sub(j.history[n-1].at) < snapshotInterval {
		return
	}
	if len(j.history) == maxSnapshots {
		j.history = append(j.history[:0], j.history[1:]...)
	}
	j.history = append(j.history, snapshot{now, j.total})
}

// routeRate returns the number of requests per second of a route.
func (j *Judge) routeRate(route uint32, elapsed time.Duration) float64 {
	sum := uint32(0)
	for k, pair := range j.total {
		if k.Route == route {
			sum += pair[Old].Answered() + pair[Old].Failed + pair[New].Answered() + pair[New].Failed
		}
	}
	return float64(sum) / max(elapsed.Seconds(), 1)
}

// judge compares the versions. provenSince is when the new servers were old enough to be trusted; zero if there are none.
// allNew is set once all requests go to the new version: then only its failures are compared, with the old version's up
// to then, because a higher load of the same seconds would look like a slow version.
func (j *Judge) judge(now, provenSince time.Time, allNew bool) Verdict {
	v := Verdict{Calm: true, Evidence: math.Inf(-1)}
	for _, pair := range j.total {
		v.Responses += pair[New].Answered() + pair[New].Failed
		v.Failed += pair[New].Failed
	}
	starts := []Evidence{nil}
	for i, s := range j.history {
		if age := now.Sub(s.at); i%2 == len(j.history)%2 && age > snapshotInterval && age < maxSnapshots*snapshotInterval/2 {
			starts = append(starts, s.total)
		}
	}
	for i, start := range starts {
		c := newComparison(j.total, start, allNew)
		if reason, ratio := c.worst(); ratio > v.Evidence {
			v.Evidence = ratio
			if ratio >= rejectAt {
				v.Bad, v.Reason = true, reason
			}
		}
		if i > 0 && c.ratios.fail+c.ratios.slow > 0 {
			v.Calm = false
		}
	}
	if proven := j.provenStart(now, provenSince); proven != nil && !v.Bad {
		c := newComparison(j.total, proven, allNew)
		v.Clean, v.CleanTogether = c.clean(), c.cleanTogether()
	}
	return v
}

// provenStart returns the total when the new servers were old enough, or nil before that.
func (j *Judge) provenStart(now, since time.Time) Evidence {
	if since.IsZero() || since.After(now) {
		return nil
	}
	if !since.Equal(j.provenSince) {
		j.proven, j.provenSince = j.total, since
	}
	return j.proven
}

// ratios are logs of probability ratios.
type ratios struct{ fail, slow float64 }

func (r *ratios) add(o ratios) {
	r.fail += o.fail
	r.slow += o.slow
}

// comparison compares the responses of both versions since a starting point.
type comparison struct {
	ratios  // of all routes
	domains map[uint32]*ratios
	routes  map[uint32]*routeComparison
	old     float64
}

type routeComparison struct {
	ratios
	domains  map[uint32]*ratios
	new, old float64
	// pooled has the old version's responses of all failure domains; slowFrom is the first class of slow responses.
	pooled   Counts
	slowFrom int
}

func newComparison(total, start Evidence, allNew bool) *comparison {
	c := &comparison{domains: map[uint32]*ratios{}, routes: map[uint32]*routeComparison{}}
	since := make(map[Key]*[2]Counts, len(total))
	for k, pair := range total {
		delta := *pair
		if before := start[k]; before != nil {
			delta[New] = pair[New].minus(&before[New])
			if !allNew {
				delta[Old] = pair[Old].minus(&before[Old])
			}
		}
		since[k] = &delta
		route := c.routes[k.Route]
		if route == nil {
			route = &routeComparison{domains: map[uint32]*ratios{}}
			c.routes[k.Route] = route
		}
		route.pooled.add(&delta[Old])
	}
	for _, route := range c.routes {
		route.slowFrom = slowClass(&route.pooled, allNew)
		route.old = float64(route.pooled.Answered() + route.pooled.Failed)
		c.old += route.old
	}
	for k, pair := range since {
		route := c.routes[k.Route]
		route.new += float64(pair[New].Answered() + pair[New].Failed)
		r := route.compare(pair)
		route.add(r)
		c.add(r)
		addDomain(route.domains, k.Domain, r)
		addDomain(c.domains, k.Domain, r)
	}
	return c
}

func addDomain(domains map[uint32]*ratios, domain uint32, r ratios) {
	if domains[domain] == nil {
		domains[domain] = &ratios{}
	}
	domains[domain].add(r)
}

// slowClass returns the first time class of slow responses; Buckets if none is slow.
func slowClass(old *Counts, allNew bool) int {
	answered := float64(old.Answered())
	if allNew || answered < slowSamples {
		return Buckets
	}
	class := 0
	for class < Buckets && old.tail(class) > (1-usualPart)*answered {
		class++
	}
	return min(class+slowSteps-1, Buckets)
}

// compare returns the evidence of the responses in one failure domain.
func (c *routeComparison) compare(pair *[2]Counts) ratios {
	fresh, old := &pair[New], &pair[Old]
	answered, failed := float64(fresh.Answered()), float64(fresh.Failed)
	pooledAnswered, oldAnswered := float64(c.pooled.Answered()), float64(old.Answered())
	expected := rate(float64(c.pooled.Failed), pooledAnswered)
	if oldAnswered+float64(old.Failed) >= domainSamples {
		expected = max(expected, rate(float64(old.Failed), oldAnswered))
	}
	out := ratios{fail: logRatio(failed, answered, expected, badFailures)}
	if c.slowFrom < Buckets {
		expected := rate(c.pooled.tail(c.slowFrom), pooledAnswered-c.pooled.tail(c.slowFrom))
		if oldAnswered >= domainSamples {
			expected = max(expected, rate(old.tail(c.slowFrom), oldAnswered-old.tail(c.slowFrom)))
		}
		slow := fresh.tail(c.slowFrom)
		out.slow = logRatio(slow, answered-slow, expected, badSlow)
	}
	return out
}

// rate returns the rate of events that the new version is allowed.
func rate(events, others float64) float64 {
	n := events + others + priorResponses
	r := (events + priorFailures) / n
	return min(r+max(margin, uncertainty*math.Sqrt(r*(1-r)/n)), 1-margin)
}

// logRatio returns the log of the ratio of the probabilities of the counts if a further part of the responses is bad, and
// if the rate of bad ones is as expected.
func logRatio(bad, good, expected, part float64) float64 {
	worse := expected + part*(1-expected)
	return bad*math.Log(worse/expected) + good*math.Log((1-worse)/(1-expected))
}

// worst returns the strongest evidence against the new version. Evidence that comes from one of several failure domains
// counts as less than rejectAt.
func (c *comparison) worst() (reason string, ratio float64) {
	reason, ratio = strongest("all routes", c.ratios, c.domains)
	for hash, route := range c.routes {
		if r, value := strongest(fmt.Sprintf("route %08x", hash), route.ratios, route.domains); value > ratio {
			reason, ratio = r, value
		}
	}
	return reason, ratio
}

func strongest(name string, sum ratios, domains map[uint32]*ratios) (reason string, ratio float64) {
	without := func(part func(*ratios) float64) float64 {
		total, largest := part(&sum), 0.0
		for _, d := range domains {
			largest = max(largest, part(d))
		}
		evident := 0
		for _, d := range domains {
			if part(d) != 0 {
				evident++
			}
		}
		if evident > 1 && total-largest < otherDomainsAt {
			return min(total, rejectAt/2)
		}
		return total
	}
	fail, slow := without(func(r *ratios) float64 { return r.fail }), without(func(r *ratios) float64 { return r.slow })
	if fail >= slow {
		return "failed responses, " + name, fail
	}
	return "slow responses, " + name, slow
}

// clean reports whether each route with a relevant part of the requests is not bad.
func (c *comparison) clean() bool {
	if !c.cleanTogether() {
		return false
	}
	for _, route := range c.routes {
		if route.old+route.new < minorRoute*c.old {
			continue
		}
		if route.fail > acceptAt || route.slowFrom < Buckets && route.slow > acceptAt {
			return false
		}
	}
	return true
}

// cleanTogether reports whether the responses of all routes together are not bad, and no route contradicts.
func (c *comparison) cleanTogether() bool {
	for _, route := range c.routes {
		if route.fail > contradictAt || route.slow > contradictAt {
			return false
		}
	}
	return c.fail <= acceptTogetherAt && c.slow <= acceptTogetherAt
}
