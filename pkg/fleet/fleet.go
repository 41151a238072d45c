// Package fleet plans how many backend servers run, in which failure domains and of which instance class, and which
// models they load.
//
// # Design
//
// Plan is a pure function: its result depends only on its input, so a successor that sees the same state makes the same
// decision. The state that must survive from step to step, the demand of the last minutes, is in Memory, which the
// caller keeps.
//
// A group needs enough capacity for its demand after the loss of the number of failure domains that the policy sets.
// Capacity in a domain beyond that of the others is lost with that domain, so the plan raises the capacity of a set of
// domains to one level. It evaluates each set and uses the cheapest. The price of a domain is that of its cheapest cell
// that was not refused recently. The price of a reclaimable instance includes the expected cost of its reclaims.
//
// Separate utilization thresholds keep noise from changing the fleet. Starts begin when the demand exceeds
// startUtilization of the capacity and continue until it is within targetUtilization; a drain requires that the peak of
// holdTime fits within drainUtilization of the remaining capacity. A server of the wrong kind (reclaimable or on demand)
// is replaced when the peak fits within replaceUtilization of the other servers and the replacement. Since this
// threshold lies between the first two, a replacement neither causes a start nor prevents the next replacement. A server
// is never drained while another of its group is starting.
package fleet

import (
	"time"

	"github.com/pollenlug/pollenlug/pkg/backend"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

// Thresholds of utilization, as fractions of the capacity at the latency target; see the package comment.
const (
	startUtilization   = 0.85
	replaceUtilization = 0.80
	targetUtilization  = 0.75
	drainUtilization   = 0.65
)

const (
	// holdTime is how long the demand must stay low before a drain. It is longer than the usual lows between two peaks.
	holdTime = 15 * time.Minute
	// replaceGain is the factor by which a replacement must be cheaper, so that price changes do not cause replacements.
	replaceGain = 1.2
	// refusalBackoff is the wait after the first refusal. It doubles with each further one, up to maxRefusalBackoff.
	refusalBackoff    = time.Minute
	maxRefusalBackoff = 16 * time.Minute
	// defaultMaxStarts bounds the starts of one step, so that a failure domain of the target size is replaced in four
	// steps.
	defaultMaxStarts = 32
	// defaultMaxOrders bounds the orders of one step.
	defaultMaxOrders = 64
	// drainShare bounds the servers of a group that may drain at a time to one in drainShare, and at least one.
	drainShare = 20
	// priorReclaims and priorHours are the prior of the reclaim rate, which applies before anything was observed: one
	// reclaim in 24 instance hours.
	priorReclaims = 1.0
	priorHours    = 24.0
	// modelHeadroom is the ratio of a model's share of the servers to its share of the demand.
	modelHeadroom = 1.25
)

// Model is a model of a group.
type Model struct {
	Name, Version string
	Adapters      []string
	WeightsMiB    uint32
	// MinPerDomain is the minimum number of servers with the model in each failure domain with servers of the group.
	MinPerDomain int
}

// Class is an instance class that a group may use.
type Class struct {
	Name string
	// TokensPerSecond is the rate at which one server generates tokens within the latency target; 0 means unknown.
	TokensPerSecond float64
	// ReclaimableMicros and OnDemandMicros are the prices per hour, in millionths of the currency unit, that apply while
	// the cloud's prices are unknown.
	ReclaimableMicros, OnDemandMicros uint64
}

// Group is a backend group with its classes, most preferred first.
type Group struct {
	Name    string
	Kind    platform.InstanceKind
	Classes []Class
	Models  []Model
	// ChecksFencing means that the servers check fencing tokens and so refuse late orders. Only such servers get orders
	// to unload a model, since a late one could do harm.
	ChecksFencing bool
	// Concurrency is the number of requests that a server runs at a time; 0 means unknown.
	Concurrency uint32
	// MinServers and MaxServers bound the number of servers; 0 for MaxServers means no limit.
	MinServers, MaxServers int
}

// Policy holds the policy settings that concern the fleet.
type Policy struct {
	SpareFailureDomains   int
	MaxReclaimablePercent int
	// RecomputeWeight is the weight of recomputed tokens relative to the cost of instances, from 0 to 100.
	RecomputeWeight int
	// BetweenTokens is the latency target for the time between two tokens.
	BetweenTokens time.Duration
}

// Server is an instance that is starting, live or leaving.
type Server struct {
	ID, Group, Class, Domain string
	Reclaimable              bool
	State                    platform.InstanceState
	PriceMicros              uint64
	// Running is the number of requests that run on the server.
	Running uint32
	// Known means that the server has reported its loaded models and adapters.
	Known bool
	// Models maps each loaded model to its version.
	Models map[string]string
	// Adapters lists the loaded adapters as "model:adapter".
	Adapters []string
	// Ordered holds the orders that were sent but are not in the server's report yet: the version under the model's name,
	// "yes" under "model:adapter" and the role under "role".
	Ordered map[string]string
	// Draining means that the server is leaving because of an earlier plan.
	Draining bool
}

// Domain is a failure domain in which instances can run.
type Domain struct{ Name, Region string }

// Demand is the load that callers request.
type Demand struct{ TokensPerSecond, RequestsPerSecond float64 }

// Cell is a combination of instance class, failure domain and kind (reclaimable or on demand). Starts request an
// instance of a cell, and refusals are recorded per cell.
type Cell struct {
	Class       string `json:"instance_class"`
	Domain      string `json:"failure_domain"`
	Reclaimable bool   `json:"reclaimable"`
}

// Refusal records the refused starts of a cell.
type Refusal struct {
	// Count is the number of consecutive refusals, Last the time of the last one.
	Count int
	Last  time.Time
}

// RetryAt returns the time from which another start in the cell may be requested.
func (r Refusal) RetryAt() time.Time {
	wait := refusalBackoff
	for i := 1; i < r.Count && wait < maxRefusalBackoff; i++ {
		wait *= 2
	}
	return r.Last.Add(min(wait, maxRefusalBackoff))
}

// ReclaimHistory is the observed history of the reclaimable instances of a class in a failure domain.
type ReclaimHistory struct {
	Reclaims, InstanceHours float64
}

// PlaceKey identifies an instance class in a failure domain.
type PlaceKey struct{ Class, Domain string }

// Input is everything that a plan depends on.
type Input struct {
	Now     time.Time
	Policy  Policy
	Groups  []Group
	Domains []Domain
	Servers []Server
	// Demand is the demand per model, with the forecast of Memory.Observe applied.
	Demand map[string]Demand
	// Reclaims holds the history per class and domain, Refusals the refused cells.
	Reclaims map[PlaceKey]ReclaimHistory
	Refusals map[Cell]Refusal
	// Prices are the current prices. No instance is started in a cell without a price. If empty, the prices are unknown
	// and those of Class apply.
	Prices []platform.Price
	// StartTime is how long a server takes to start, LoadRate the rate of the weight store in MiB/s; 0 means unknown.
	StartTime time.Duration
	LoadRate  float64
	// Memory is the state after the last step. Plan does not change it.
	Memory *Memory
	// MaxStarts and MaxOrders bound the starts and orders of a step; 0 means the defaults.
	MaxStarts, MaxOrders int
}

// Start is a request for one more instance.
type Start struct {
	Group  string
	Kind   platform.InstanceKind
	Region string
	Cell
	Reason string
}

// Drain is a request to take a server out of service and then to stop it.
type Drain struct {
	Server, Reason string
}

// Order is an order to a server: to load or unload a model, load an adapter or take a role.
type Order struct {
	Server string
	backend.Order
	// WeightsMiB is the amount of data that the order loads from the weight store.
	WeightsMiB uint32
	Reason     string
}

// Count is the number of instances of a group that should run in a cell.
type Count struct {
	Group string `json:"backend_group"`
	Cell
	Servers int `json:"servers"`
}

// Result is the plan of one step.
type Result struct {
	// Target holds the counts after the starts and drains.
	Target []Count
	Starts []Start
	Drains []Drain
	// Orders are sorted by priority, most urgent first.
	Orders []Order
	// Short maps each group that cannot get the capacity it needs to the reason.
	Short  map[string]string
	Memory *Memory
}
