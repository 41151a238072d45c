package admission

import (
	"math"
	"time"
)

const (
	// referenceWait is the wait that the capacity is adjusted to, as a fraction of the tightest slack.
	referenceWait = 0.4
	// pressureWait is the wait above which shares limit the workspaces. They do so until the demand is below calmDemand
	// of the capacity, or the wait has been below it for calmTime.
	pressureWait = 0.25
	calmDemand   = 0.95
	calmTime     = 5 * time.Second
	// busyWait is the wait above which all servers work all the time, so that the served cost is the capacity.
	busyWait = 0.15
	// memoryTime is how long the capacity is remembered when there is no pressure.
	memoryTime = time.Minute
	// capacityTime is the time constant with which the capacity follows the served cost under pressure; servers that do
	// not follow each other at once would otherwise be taken for lost.
	capacityTime = 2 * time.Second
	// trimGain is the change of the trim per second at a wait of zero or of twice the reference; maxTrim bounds it.
	trimGain = 0.15
	maxTrim  = 0.3
	// idleGain is the gain while servers wait for requests.
	idleGain = 0.5
	// maxDrift limits the predicted growth of the wait per second.
	maxDrift = 4.0
	// fallShare is the part of a predicted fall of the wait that is relied on: admitting too early delays all classes.
	fallShare = 0.6
	// pull lowers what is admitted at once while the wait is above the reference.
	pull = 1.5
)

// capacity estimates the cost per second that the servers can do. Under pressure it is what they have served; the trim
// corrects the error of the predicted costs so that the wait approaches the reference.
//
// Load pattern: many nodes know the wait as it was more than a second ago. Nodes that open and close by it alone admit
// all and nothing in turn. At the served rate, corrected slowly, the admitted cost is steady.
type capacity struct {
	perSecond float64
	trim      float64
	ratio     float64 // last predicted wait as a fraction of the slack
	pressed   bool
	calmSince time.Time
	surgeEnds time.Time // until then the pressure comes from a surge that the views do not show yet
	at        time.Time
}

func (c *capacity) observe(served, demand, ratio, predicted float64, now time.Time) {
	elapsed := min(now.Sub(c.at), time.Second).Seconds()
	c.at, c.ratio = now, predicted
	if ratio > pressureWait {
		c.calmSince = now
		if !c.pressed {
			c.pressed, c.trim = true, 0
		}
	}
	if !c.pressed {
		c.perSecond = max(served, c.perSecond*(1-min(elapsed/memoryTime.Seconds(), 1)))
		return
	}
	if now.After(c.surgeEnds) && demand < calmDemand*c.target() || now.Sub(c.calmSince) > calmTime {
		c.pressed = ratio > pressureWait
	}
	if served > c.perSecond || ratio > busyWait { // servers that wait for requests show less than they can do
		c.perSecond += (served - c.perSecond) * min(elapsed/capacityTime.Seconds(), 1)
	}
	if now.Before(c.surgeEnds) {
		return // the views do not show the surge yet
	}
	gain := trimGain
	if max(ratio, predicted) < busyWait/2 {
		gain = idleGain
	}
	c.trim += gain * elapsed * min(max((referenceWait-predicted)/referenceWait, -1), 1)
	c.trim = min(max(c.trim, -maxTrim), maxTrim)
}

// surge puts the capacity under pressure, until the views show it, if the estimated demand exceeds by far what the servers
// have done so far.
func (c *capacity) surge(demand float64, viewAge time.Duration, now time.Time) {
	if !c.pressed && c.perSecond > 0 && demand > surgeDemand*c.perSecond && now.After(c.surgeEnds) {
		c.pressed, c.trim, c.calmSince = true, 0, now
		c.surgeEnds = now.Add(viewAge + surgeTime)
		c.perSecond *= surgeMargin
	}
}

// target returns the cost per second to be admitted.
func (c *capacity) target() float64 {
	over := max(c.ratio-referenceWait, 0)
	return c.perSecond * (1 + c.trim) / (1 + pull*over)
}

// drift predicts how the wait has changed since the views of this node, in seconds: by what all nodes together have sent
// under the bounds in the meantime. All of them decide by the same rule and about the same views, so that each can compute
// it; a node's own requests are too few for an estimate.
type drift struct {
	samples [driftSamples]driftSample
	next    int
	sum     float64
	// mean is the moving average of the predicted change per second. What it predicts all the time is its own error, such
	// as requests that return, and is left out.
	mean float64
}

// driftSamples limits the age of views that is bridged to driftSamples x refreshInterval.
const driftSamples = 32

// driftTime is the time constant of the average change, several times the age of views.
const driftTime = 8 * time.Second

type driftSample struct {
	at     time.Time
	change float64
}

// add records the change of the wait in the time before now and drops what is older than age.
func (d *drift) add(change float64, age time.Duration, now time.Time) {
	d.samples[d.next] = driftSample{now, change}
	d.next = (d.next + 1) % driftSamples
	d.sum = 0
	for _, s := range d.samples {
		if now.Sub(s.at) < age {
			d.sum += s.change
		}
	}
}

// predict updates the predicted change of the wait. elapsed is the time since the last call.
func (g *Gate) predict(elapsed time.Duration, now time.Time) {
	if g.viewAge == 0 || g.capacity.perSecond <= 0 || !g.capacity.pressed {
		g.drift = drift{}
		return
	}
	wait := max(g.wait+g.drift.sum, 0)
	sent := 0.0
	for p := range Priorities {
		slack, rank := g.tightest(p, now)
		if math.IsInf(slack, 1) {
			continue
		}
		within, over := 0.0, 0.0
		for _, f := range g.ordered {
			within += f.demand[p] * f.within[p]
			over += f.demand[p] * (1 - f.within[p])
		}
		sent += within*g.part(wait/slack, bound(rank, true)) + over*g.lent()*g.part(wait/slack, bound(rank, false))
	}
	change := min(sent/g.capacity.perSecond-1, maxDrift) * min(elapsed, time.Second).Seconds()
	if wait+change < 0 { // servers without work do not get ahead
		change = -wait
	}
	if change < 0 {
		change *= fallShare
	}
	perSecond := change / max(elapsed.Seconds(), 1e-3)
	g.drift.mean += (perSecond - g.drift.mean) * min(elapsed.Seconds()/driftTime.Seconds(), 1)
	g.drift.add(change-g.drift.mean*elapsed.Seconds(), g.viewAge, now)
}

// waitNow returns the wait of now, given the one that this node knows.
func (g *Gate) waitNow(known time.Duration) time.Duration {
	return max(known+time.Duration(g.drift.sum*float64(time.Second)), 0)
}

// Served records that a server has answered a request of the given cost.
func (g *Gate) Served(cost float64, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if cost >= 0 && cost <= maxCost {
		g.served.add(cost, now)
	}
}

// SetViewAge sets how old the reports of other nodes are.
func (g *Gate) SetViewAge(age time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.viewAge = max(age, 0)
}
