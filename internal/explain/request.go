package explain

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pollenlug/pollenlug/internal/logline"
	"github.com/pollenlug/pollenlug/pkg/code"
	"github.com/pollenlug/pollenlug/pkg/strike"
)

const (
	// eventWindow is the maximum time between a request and events of its servers that are considered. It is long
	// because a crashed server misses several heartbeats before its row vanishes.
	eventWindow = 15 * time.Second
	// sameEventWindow is the maximum time between failures on one server that count as the same event.
	sameEventWindow = time.Second
	// orderLookback is how far back server orders are shown for a refusal because of load.
	orderLookback = 20 * time.Second
)

// Attempt is the outcome of one attempt of a request with its cause according to the logs.
type Attempt struct {
	Line
	StartedAt time.Time `json:"began"`
	Outcome   string    `json:"outcome"`
	// Cause states the cause in one sentence.
	Cause string `json:"cause"`
	// Evidence holds the lines that support the cause.
	Evidence []Line `json:"evidence,omitempty"`
}

// Request explains each attempt with the ID. The result is empty when no node has logged one.
func (l *Log) Request(id string) []Attempt {
	var out []Attempt
	for _, line := range l.Lines {
		if line.Message == logline.Request && fieldText(line.Fields[logline.Attempt]) == id {
			out = append(out, l.attempt(line))
		}
	}
	return out
}

func (l *Log) attempt(line Line) Attempt {
	duration := time.Duration(fieldNumber(line.Fields[logline.Duration])) * time.Millisecond
	a := Attempt{Line: line, StartedAt: line.Time.Add(-duration), Outcome: fieldText(line.Fields[logline.Outcome])}
	servers := fieldList(line.Fields[logline.Servers])
	switch {
	case a.Outcome == logline.Served:
		a.Cause = "the request was served"
	case a.Outcome == code.DeadlineUnreachable.String():
		l.explainOverload(&a)
	case a.Outcome == code.RequestQuarantined.String():
		l.explainQuarantine(&a)
	case a.Outcome == code.NodeLeaving.String():
		a.Cause = "the node was stopping and redirected the caller to another node"
		a.Evidence = l.between(a.StartedAt.Add(-eventWindow), line.Time, func(x Line) bool {
			return x.Node == line.Node && x.Message == logline.NodeDraining
		})
	case len(servers) == 0:
		a.Cause = "refused on arrival, no server was tried: " + a.reason()
		a.Evidence = l.nodeState(line.Node, line.Time)
	default:
		l.explainServerFailure(&a, servers[len(servers)-1])
	}
	return a
}

func (a *Attempt) reason() string {
	if reason := fieldText(a.Fields[logline.Reason]); reason != "" {
		return reason
	}
	return a.Outcome
}

// explainOverload explains a refusal because the first event was expected too late: either the caller left too little
// time, or the engines were overloaded.
func (l *Log) explainOverload(a *Attempt) {
	expected, left := fieldNumber(a.Fields[logline.Expected]), fieldNumber(a.Fields[logline.Left])
	if target := fieldNumber(a.Fields[logline.Target]); left > 0 && expected > left && expected <= target {
		a.Cause = fmt.Sprintf("the caller left %.0f ms and the first event was expected after %.0f ms, within the route's target; "+
			"too little time, not too much work; no server was tried", left, expected)
		return
	}
	a.Evidence = l.between(a.StartedAt.Add(-orderLookback), a.Time, func(x Line) bool {
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
		a.Cause += fmt.Sprintf("; %d orders for more servers were refused in the %v before", refused, orderLookback)
	}
}

// explainQuarantine explains a refusal because of crashes by the records and decisions about the request's content, on all
// nodes.
func (l *Log) explainQuarantine(a *Attempt) {
	if part := fieldText(a.Fields[logline.Part]); part != "" {
		l.explainPart(a, part)
		return
	}
	digest := fieldText(a.Fields[logline.Digest])
	a.Evidence = l.between(time.Time{}, a.Time, func(x Line) bool {
		return (x.Message == logline.CrashRecord || x.Message == logline.StrikeDecision) && fieldText(x.Fields[logline.Digest]) == digest
	})
	crashed := map[string]bool{}
	for _, x := range a.Evidence {
		for _, incident := range fieldList(x.Fields[logline.Servers]) {
			crashed[strike.ServerOf(incident)] = true
		}
	}
	a.Cause = fmt.Sprintf("%s: its content, digest %s, was running on %d servers that crashed: %s",
		a.reason(), digest, len(crashed), strings.Join(slices.Sorted(maps.Keys(crashed)), ", "))
}

// explainPart explains a refusal because of a quarantined part of the prompt by the decisions on the part, on all nodes.
func (l *Log) explainPart(a *Attempt, part string) {
	a.Evidence = l.between(time.Time{}, a.Time, func(x Line) bool {
		return x.Message == logline.PartDecision && fieldText(x.Fields[logline.Part]) == part
	})
	crashed := map[string]bool{}
	for _, x := range a.Evidence {
		for _, incident := range fieldList(x.Fields[logline.Related]) {
			crashed[strike.ServerOf(incident)] = true
		}
	}
	a.Cause = fmt.Sprintf("%s: %s, in requests on %d servers that crashed: %s",
		a.reason(), part, len(crashed), strings.Join(slices.Sorted(maps.Keys(crashed)), ", "))
}

// explainServerFailure explains a failure by what the logs say about the last server tried.
func (l *Log) explainServerFailure(a *Attempt, server string) {
	a.Evidence = l.between(a.StartedAt.Add(-eventWindow), a.Time.Add(eventWindow), func(x Line) bool {
		switch x.Message {
		case logline.ServerChanged, logline.ServerGone:
			return fieldText(x.Fields[logline.Server]) == server
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
	summary := fmt.Sprintf("server %s failed the request (%s)", server, a.reason())
	if lost := fieldText(a.Fields[logline.Lost]); lost != "" {
		summary = fmt.Sprintf("server %s failed the request (%s; %s)", server, a.reason(), lost)
	}
	switch {
	case a.Outcome == code.CallerGone.String():
		a.Cause = "the caller closed the connection while the request was on server " + server
	case l.crashed(a.Evidence, server):
		a.Cause = summary + "; it refused connections or restarted, so it had crashed"
	case l.rowVanished(a.Evidence):
		a.Cause = summary + "; its row vanished from the store, so it was lost or reclaimed"
	case len(nodes) > 1 || (len(nodes) == 1 && !nodes[a.Node]):
		a.Cause = fmt.Sprintf("%s; %d requests on %d nodes failed there within %v, so the server or its link broke, not this node",
			summary, len(others), len(nodes), sameEventWindow)
	case len(others) > 0:
		a.Cause = fmt.Sprintf("%s; %d more requests of this node failed there within %v", summary, len(others), sameEventWindow)
	default:
		a.Cause = summary + "; no other request failed there within " + sameEventWindow.String() + ", so only this connection or request was affected"
	}
}

// failuresOn returns other requests that failed on a server at nearly the same time.
func (l *Log) failuresOn(server string, a *Attempt) []Line {
	return l.between(a.Time.Add(-sameEventWindow), a.Time.Add(sameEventWindow), func(x Line) bool {
		if x.Message != logline.Request || fieldText(x.Fields[logline.Attempt]) == fieldText(a.Fields[logline.Attempt]) {
			return false
		}
		outcome, tried := fieldText(x.Fields[logline.Outcome]), fieldList(x.Fields[logline.Servers])
		if len(tried) == 0 || outcome == code.CallerGone.String() {
			return false
		}
		// A request that was retried on other servers failed on all but the last one.
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

// namesCrashOf reports whether a crash record names a crash of the server, including one whose strike was withdrawn
// from the request.
func namesCrashOf(x Line, server string) bool {
	return slices.ContainsFunc(fieldList(x.Fields[logline.Servers]), func(incident string) bool {
		return strike.ServerOf(incident) == server
	})
}

func (l *Log) rowVanished(evidence []Line) bool {
	return slices.ContainsFunc(evidence, func(x Line) bool { return x.Message == logline.ServerGone })
}

// nodeState returns the last line about the configuration in force on a node at a time and the lines about the
// dependencies that were lost then.
func (l *Log) nodeState(node string, at time.Time) []Line {
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
			lost[fieldText(x.Fields[logline.Dependency])] = x
		case logline.DependencyRegained:
			delete(lost, fieldText(x.Fields[logline.Dependency]))
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

// between returns the matching lines between two times, inclusive.
func (l *Log) between(from, to time.Time, match func(Line) bool) []Line {
	var out []Line
	for _, x := range l.Lines {
		if !x.Time.Before(from) && !x.Time.After(to) && match(x) {
			out = append(out, x)
		}
	}
	return out
}
