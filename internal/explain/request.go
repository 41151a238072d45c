package explain

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pollenlug/pollenlug/internal/logline"
	"github.com/pollenlug/pollenlug/pkg/code"
	"github.com/pollenlug/pollenlug/pkg/strike"
)

const (
	// around is how far from a request events of its servers are looked for; servers that crash miss several heartbeats
	// before their rows vanish.
	around = 15 * time.Second
	// together is how close to each other failures on one server count as the same event.
	together = time.Second
	// ordersBefore is how far back orders of servers are shown for a refusal because of load.
	ordersBefore = 20 * time.Second
)

// Attempt is what became of one attempt of a request, and what the logs say about the cause.
type Attempt struct {
	Line
	Began   time.Time `json:"began"`
	Outcome string    `json:"outcome"`
	// Cause is the conclusion in one sentence.
	Cause string `json:"cause"`
	// Evidence are the lines that the conclusion rests on.
	Evidence []Line `json:"evidence,omitempty"`
}

// Request explains each attempt with the id. The result is empty when no node has logged one.
func (l *Log) Request(id string) []Attempt {
	var out []Attempt
	for _, line := range l.Lines {
		if line.Message == logline.Request && word(line.Fields[logline.Attempt]) == id {
			out = append(out, l.attempt(line))
		}
	}
	return out
}

func (l *Log) attempt(line Line) Attempt {
	took := time.Duration(number(line.Fields[logline.Took])) * time.Millisecond
	a := Attempt{Line: line, Began: line.Time.Add(-took), Outcome: word(line.Fields[logline.Outcome])}
	servers := words(line.Fields[logline.Servers])
	switch {
	case a.Outcome == logline.Served:
		a.Cause = "the request was served"
	case a.Outcome == code.DeadlineUnreachable.String():
		l.busy(&a)
	case a.Outcome == code.NodeLeaving.String():
		a.Cause = "the node was stopping and sent the caller to another one"
		a.Evidence = l.between(a.Began.Add(-around), line.Time, func(x Line) bool {
			return x.Node == line.Node && x.Message == logline.NodeDraining
		})
	case len(servers) == 0:
		a.Cause = "refused on arrival, no server was tried: " + a.why()
		a.Evidence = l.beliefs(line.Node, line.Time)
	default:
		l.lastServer(&a, servers[len(servers)-1])
	}
	return a
}

func (a *Attempt) why() string {
	if why := word(a.Fields[logline.Why]); why != "" {
		return why
	}
	return a.Outcome
}

// busy explains a refusal because the first event was expected too late: too little time was left, or there was too much
// work.
func (l *Log) busy(a *Attempt) {
	expected, left := number(a.Fields[logline.Expected]), number(a.Fields[logline.Left])
	if target := number(a.Fields[logline.Target]); left > 0 && expected > left && expected <= target {
		a.Cause = fmt.Sprintf("the caller left %.0f ms and the first event was expected after %.0f ms, within the route's target; "+
			"too little time, not too much work; no server was tried", left, expected)
		return
	}
	a.Evidence = l.between(a.Began.Add(-ordersBefore), a.Time, func(x Line) bool {
		return x.Message == logline.ServersOrdered || x.Message == logline.OrderRefused
	})
	refused := 0
	for _, x := range a.Evidence {
		if x.Message == logline.OrderRefused {
			refused++
		}
	}
	a.Cause = "the engines had more work than they could finish in time; no server was tried"
	if refused > 0 {
		a.Cause += fmt.Sprintf("; %d orders of more servers were refused in the %v before", refused, ordersBefore)
	}
}

// lastServer explains a failure by what is known of the server that was tried last.
func (l *Log) lastServer(a *Attempt, server string) {
	a.Evidence = l.between(a.Began.Add(-around), a.Time.Add(around), func(x Line) bool {
		switch x.Message {
		case logline.ServerChanged, logline.ServerGone:
			return word(x.Fields[logline.Server]) == server
		case logline.CrashRecord:
			return namesCrashOf(x, server)
		}
		return false
	})
	others := l.failuresOn(server, a)
	a.Evidence = append(a.Evidence, others...)
	nodes := map[string]bool{}
	for _, x := range others {
		nodes[x.Node] = true
	}
	what := fmt.Sprintf("server %s failed the request (%s)", server, a.why())
	switch {
	case a.Outcome == code.CallerGone.String():
		a.Cause = "the caller closed the connection while the request was on server " + server
	case l.crashed(a.Evidence, server):
		a.Cause = what + "; it refused connections or started anew, so it had crashed"
	case l.gone(a.Evidence):
		a.Cause = what + "; its row vanished from the store, so it was lost or reclaimed"
	case len(nodes) > 1 || (len(nodes) == 1 && !nodes[a.Node]):
		a.Cause = fmt.Sprintf("%s; %d requests on %d nodes failed there within %v, so the server or its link broke, not this node",
			what, len(others), len(nodes), together)
	case len(others) > 0:
		a.Cause = fmt.Sprintf("%s; %d more requests of this node failed there within %v", what, len(others), together)
	default:
		a.Cause = what + "; no other request failed there within " + together.String() + ", so this connection or request alone was hit"
	}
}

// failuresOn returns other requests that failed on a server at nearly the same time.
func (l *Log) failuresOn(server string, a *Attempt) []Line {
	return l.between(a.Time.Add(-together), a.Time.Add(together), func(x Line) bool {
		if x.Message != logline.Request || word(x.Fields[logline.Attempt]) == word(a.Fields[logline.Attempt]) {
			return false
		}
		outcome, tried := word(x.Fields[logline.Outcome]), words(x.Fields[logline.Servers])
		if len(tried) == 0 || outcome == code.CallerGone.String() {
			return false
		}
		// A request that went on to another server has failed on those before.
		failed := tried
		if outcome == logline.Served {
			failed = tried[:len(tried)-1]
		}
		return slices.Contains(failed, server)
	})
}

func (l *Log) crashed(evidence []Line, server string) bool {
	return slices.ContainsFunc(evidence, func(x Line) bool {
		return x.Message == logline.CrashRecord && namesCrashOf(x, server)
	})
}

// namesCrashOf reports whether a record names a crash of the server, also one that the request was cleared of.
func namesCrashOf(x Line, server string) bool {
	return slices.ContainsFunc(words(x.Fields[logline.Servers]), func(incident string) bool {
		return strike.ServerOf(incident) == server
	})
}

func (l *Log) gone(evidence []Line) bool {
	return slices.ContainsFunc(evidence, func(x Line) bool { return x.Message == logline.ServerGone })
}

// beliefs returns the last configuration that a node had put into force and the dependencies it lacked.
func (l *Log) beliefs(node string, at time.Time) []Line {
	var config *Line
	lost := map[string]Line{}
	for i, x := range l.Lines {
		if x.Time.After(at) {
			break
		}
		if x.Node != node {
			continue
		}
		switch x.Message {
		case logline.ConfigInForce:
			config = &l.Lines[i]
		case logline.DependencyLost:
			lost[word(x.Fields[logline.Dependency])] = x
		case logline.DependencyBack:
			delete(lost, word(x.Fields[logline.Dependency]))
		}
	}
	var out []Line
	if config != nil {
		out = append(out, *config)
	}
	for _, dependency := range slices.Sorted(maps.Keys(lost)) {
		out = append(out, lost[dependency])
	}
	return out
}

// between returns the lines between two times that match.
func (l *Log) between(from, to time.Time, match func(Line) bool) []Line {
	var out []Line
	for _, x := range l.Lines {
		if !x.Time.Before(from) && !x.Time.After(to) && match(x) {
			out = append(out, x)
		}
	}
	return out
}
