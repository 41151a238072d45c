package rollout

import (
	"fmt"
	"math"
	"time"
)

// The test is a sequential probability ratio test of each route: the hypothesis that the new version fails as often as
// the old one plus a margin, against the one that a further part of its responses fails; the same for slow responses. The
// log of the ratio is summed over short intervals, each compared with the old version's responses of the same seconds: a
// sum over a longer time would compare requests under different loads as soon as the new version's share changes. The
// sum that rejects a version never falls below 0, because a version may turn bad late. A response is slow if it takes
// longer than about 1.5 to 2 times what nine of ten responses of the old version take on its route.
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
	// calmBelow is the sum below which nothing speaks against the version.
	calmBelow = 3.0
	// uncertainty is the number of standard deviations of the old version's rate that are added to it.
	uncertainty = 1.5
	// otherDomainsAt must be reached without the failure domain that contributes most, so that the loss of one failure
	// domain reverts no version.
	otherDomainsAt = 4.0
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
	// minInterval is the shortest interval between two judgements, and recentIntervals the number of intervals, two
	// seconds, whose responses of the old version are the same seconds.
	minInterval     = 240 * time.Millisecond
	recentIntervals = 8
	// latestIntervals are the ones at the beginning of an overload or the loss of a failure domain, when the responses of
	// recentIntervals are mostly older; latestSamples responses of the old version are enough then.
	latestIntervals = 2
	latestSamples   = 8
	// maxNodes limits the nodes, with their earlier incarnations, whose counts are kept.
	maxNodes = 2048
)

// Verdict is a judgement of the evidence.
type Verdict struct {
	// Bad is set if the new version is worse than the old one, for Reason.
	Bad    bool
	Reason string
	// Clean is set if each route has shown that the version is not bad since its servers are old enough; CleanTogether if
	// all routes together have and none contradicts. Calm is set if nothing speaks against the version now.
	Clean, CleanTogether, Calm bool
	// Responses and Failed are those of the new version, Evidence the highest sum.
	Responses, Failed uint32
	Evidence          float64
	// cleanRoutes are the routes that are clean by themselves.
	cleanRoutes map[uint32]bool
}

// Judge sums the counts of all nodes and compares the versions.
type Judge struct {
	nodes    map[string]Evidence
	total    Evidence
	judgedAt time.Time
	recent   []Evidence // what came in the last intervals
	together tally
	routes   map[uint32]*tally
	// provenSince is when the sums for acceptance began.
	provenSince time.Time
}

// NewJudge returns a Judge without evidence.
func NewJudge() *Judge {
	return &Judge{nodes: map[string]Evidence{}, total: Evidence{}, routes: map[uint32]*tally{}}
}

// Set replaces the counts of one incarnation of a node. Counts of earlier incarnations stay.
func (j *Judge) Set(incarnation string, e Evidence) {
	if _, ok := j.nodes[incarnation]; ok || len(j.nodes) < maxNodes {
		j.nodes[incarnation] = e
	}
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

// judge compares what has come since the last call. provenSince is when the new servers are old enough to be trusted; zero
// if there are none. allNew is set once all requests go to the new version: then only its failures are compared, with the
// old version's up to then, because a higher load of the same seconds would look like a slow version.
func (j *Judge) judge(now, provenSince time.Time, allNew bool) (Verdict, bool) {
	if now.Sub(j.judgedAt) < minInterval {
		return Verdict{}, false
	}
	j.judgedAt = now
	if proven := !provenSince.IsZero() && !provenSince.After(now); proven && !provenSince.Equal(j.provenSince) {
		j.provenSince = provenSince
		j.together.accept = ratios{}
		for _, t := range j.routes {
			t.accept = ratios{}
		}
	} else if !proven {
		j.provenSince = time.Time{}
	}
	j.advance()
	if n := len(j.recent); n > 1 {
		// The interval before the last one is judged: the old version's responses from before and after it are known.
		j.add(j.recent[n-2], allNew)
	}
	return j.verdict(), true
}

// advance sums the counts and records what has come since the last call.
func (j *Judge) advance() {
	before := j.total
	j.total = Evidence{}
	for _, e := range j.nodes {
		j.total.add(e)
	}
	delta := make(Evidence, len(j.total))
	for k, pair := range j.total {
		d := *pair
		if b := before[k]; b != nil {
			d = [2]Counts{pair[Old].minus(&b[Old]), pair[New].minus(&b[New])}
		}
		delta[k] = &d
	}
	if len(j.recent) == recentIntervals {
		j.recent = append(j.recent[:0], j.recent[1:]...)
	}
	j.recent = append(j.recent, delta)
}

// add adds the ratios of an interval.
func (j *Judge) add(delta Evidence, allNew bool) {
	recent := Evidence{}
	for _, e := range j.recent {
		recent.add(e)
	}
	latest := Evidence{}
	for _, e := range j.recent[max(0, len(j.recent)-latestIntervals):] {
		latest.add(e)
	}
	always, lately, now := poolRoutes(j.total), poolRoutes(recent), poolRoutes(latest)
	together := map[uint32]ratios{}
	slowFrom := make(map[uint32]int, len(always))
	slowNow, answeredNow := 0.0, 0.0
	for hash, reference := range always {
		slowFrom[hash] = slowClass(lately[hash], reference, allNew)
		if counts := now[hash]; counts != nil {
			slowNow += counts.tail(slowFrom[hash])
			answeredNow += float64(counts.Answered())
		}
	}
	for hash, reference := range always {
		c := comparison{always: reference, lately: lately[hash], now: now[hash], slowFrom: slowFrom[hash]}
		if answeredNow >= latestSamples {
			c.slowNow = slowNow / answeredNow
		}
		domains := map[uint32]ratios{}
		for k, pair := range delta {
			if k.Route != hash {
				continue
			}
			r := c.compare(pair, recent[k], latest[k])
			domains[k.Domain] = domains[k.Domain].plus(r)
			together[k.Domain] = together[k.Domain].plus(r)
		}
		t := j.routes[hash]
		if t == nil {
			t = &tally{}
			j.routes[hash] = t
		}
		t.add(domains, c.slowFrom < Buckets)
	}
	j.together.add(together, !allNew)
}

func (j *Judge) verdict() Verdict {
	v := Verdict{Calm: true, cleanRoutes: map[uint32]bool{}}
	v.Reason, v.Evidence = j.together.strongest("all routes")
	total, requests := uint32(0), map[uint32]uint32{}
	for k, pair := range j.total {
		v.Responses += pair[New].Answered() + pair[New].Failed
		v.Failed += pair[New].Failed
		n := pair[Old].Answered() + pair[Old].Failed + pair[New].Answered() + pair[New].Failed
		total += n
		requests[k.Route] += n
	}
	proven := !j.provenSince.IsZero()
	v.Clean, v.CleanTogether = proven, proven && j.together.accept.max() <= acceptTogetherAt
	for hash, t := range j.routes {
		if reason, sum := t.strongest(RouteLabel(hash)); sum > v.Evidence {
			v.Reason, v.Evidence = reason, sum
		}
		v.cleanRoutes[hash] = proven && t.clean()
		if float64(requests[hash]) >= minorRoute*float64(total) && !t.clean() {
			v.Clean = false
		}
		if t.accept.max() > contradictAt {
			v.CleanTogether = false
		}
	}
	v.Clean = v.Clean && v.CleanTogether
	v.Calm = v.Evidence < calmBelow
	if v.Bad = v.Evidence >= rejectAt; !v.Bad {
		v.Reason = ""
	}
	return v
}

// RouteLabel is the name of a route in reasons, which callers may replace.
func RouteLabel(hash uint32) string { return fmt.Sprintf("route %08x", hash) }

// ratios are logs of probability ratios.
type ratios struct{ fail, slow float64 }

func (r ratios) plus(o ratios) ratios { return ratios{r.fail + o.fail, r.slow + o.slow} }

func (r ratios) max() float64 { return max(r.fail, r.slow) }

// tally holds the sums of a route, or of all routes.
type tally struct {
	// accept are the sums since the new servers were old enough.
	accept ratios
	// slowKnown is set once the old version's responses have shown what is slow.
	slowKnown bool
	// failures and slowness are the sums that reject the version.
	failures, slowness rejection
}

func (t *tally) add(domains map[uint32]ratios, slowKnown bool) {
	t.slowKnown = t.slowKnown || slowKnown
	for domain, r := range domains {
		t.accept = t.accept.plus(r)
		t.failures.add(domain, r.fail)
		t.slowness.add(domain, r.slow)
	}
	t.failures.restart()
	t.slowness.restart()
}

// clean reports whether the route's responses alone show that the version is not bad.
func (t *tally) clean() bool {
	return t.accept.fail <= acceptAt && (t.accept.slow <= acceptAt || !t.slowKnown)
}

func (t *tally) strongest(name string) (reason string, sum float64) {
	if fail, slow := t.failures.value(), t.slowness.value(); fail < slow {
		return "slow responses, " + name, slow
	}
	return "failed responses, " + name, t.failures.value()
}

// rejection is a sum that never falls below 0, with the parts of the failure domains.
type rejection struct {
	sum     float64
	domains map[uint32]float64
}

func (r *rejection) add(domain uint32, ratio float64) {
	if ratio == 0 {
		return
	}
	if r.domains == nil {
		r.domains = map[uint32]float64{}
	}
	r.sum += ratio
	r.domains[domain] += ratio
}

func (r *rejection) restart() {
	if r.sum < 0 {
		r.sum, r.domains = 0, nil
	}
}

// value returns the sum, or less than rejectAt if it comes from one of several failure domains.
func (r *rejection) value() float64 {
	largest := 0.0
	for _, part := range r.domains {
		largest = max(largest, part)
	}
	if len(r.domains) > 1 && r.sum-largest < otherDomainsAt {
		return min(r.sum, rejectAt/2)
	}
	return r.sum
}

// poolRoutes sums the old version's counts of all failure domains by route.
func poolRoutes(e Evidence) map[uint32]*Counts {
	routes := map[uint32]*Counts{}
	for k, pair := range e {
		if routes[k.Route] == nil {
			routes[k.Route] = &Counts{}
		}
		routes[k.Route].add(&pair[Old])
	}
	return routes
}

// slowClass returns the first time class of slow responses; Buckets if none is slow.
func slowClass(lately, always *Counts, allNew bool) int {
	old := lately
	if old == nil || old.Answered() < slowSamples {
		old = always
	}
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

// comparison compares the responses of one route in one interval. always, lately and now are the old version's responses
// in all failure domains: since the order, in the recent intervals and in the latest. slowNow is the part of the old
// version's latest responses on all routes that are slow.
type comparison struct {
	always, lately, now *Counts
	slowFrom            int
	slowNow             float64
}

// compare returns the ratios of the responses in one failure domain; recent and latest are those there.
func (c *comparison) compare(pair, recent, latest *[2]Counts) ratios {
	fresh := &pair[New]
	answered, failed := float64(fresh.Answered()), float64(fresh.Failed)
	if answered+failed == 0 {
		return ratios{}
	}
	out := ratios{fail: logRatio(failed, answered, c.expected(recent, latest, func(o *Counts) (float64, float64) {
		return float64(o.Failed), float64(o.Answered())
	}), badFailures)}
	if c.slowFrom < Buckets {
		slow := fresh.tail(c.slowFrom)
		expected := c.expected(recent, latest, func(o *Counts) (float64, float64) {
			tail := o.tail(c.slowFrom)
			return tail, float64(o.Answered()) - tail
		})
		out.slow = logRatio(slow, answered-slow, min(max(expected, c.slowNow+margin), 1-margin), badSlow)
	}
	return out
}

// expected returns the rate that the new version is allowed: the highest of the old one's rates over the whole rollout, in
// the same seconds and there in the same failure domain.
func (c *comparison) expected(recent, latest *[2]Counts, count func(*Counts) (events, others float64)) float64 {
	events, others := count(c.always)
	n := events + others + priorResponses
	r := (events + priorFailures) / n
	highest := r + max(margin, uncertainty*math.Sqrt(r*(1-r)/n))
	for _, same := range []struct {
		counts  *Counts
		samples float64
	}{{c.lately, domainSamples}, {c.now, latestSamples}, {&recent[Old], domainSamples}, {&latest[Old], latestSamples}} {
		if same.counts == nil {
			continue
		}
		if events, others := count(same.counts); events+others >= same.samples {
			highest = max(highest, events/(events+others)+margin)
		}
	}
	return min(highest, 1-margin)
}

// logRatio returns the log of the ratio of the probabilities of the counts if a further part of the responses is bad, and
// if the rate of bad ones is as expected.
func logRatio(bad, good, expected, part float64) float64 {
	worse := expected + part*(1-expected)
	return bad*math.Log(worse/expected) + good*math.Log((1-worse)/(1-expected))
}
