// Package fleet plans how many backend servers run, where and of which kind, and which models they hold.
//
// # Design
//
// Plan is a pure function: its result depends on its input alone, so that a successor which sees the same state makes
// the same decision. What must outlast a step, the demand of the last minutes, is in Memory, which the caller keeps.
//
// A group needs capacity for its demand after the loss of the policy's number of failure domains. Capacity in a domain
// above the level of the others is lost with that domain, so the plan raises a set of domains to one level. It tries
// each set and takes the cheapest; the price of a domain is that of its cheapest class and kind that was not refused
// lately. The price of a reclaimable instance includes its expected loss.
//
// Several utilizations keep noise from changing the fleet: starts begin when the demand exceeds startUtilization of the
// capacity and fill up to targetUtilization; a drain needs the peak of holdTime to fit within drainUtilization of what
// remains. A server of the wrong kind is replaced when the peak fits within swapUtilization of the rest and its
// replacement; since this lies between the first two, a swap neither causes a start nor keeps the next swap away. A
// server is never drained while another of its group starts.
package fleet

import (
	"time"

	"github.com/pollenlug/pollenlug/pkg/backend"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

// Utilization of the capacity at the latency target, see the package comment.
const (
	startUtilization  = 0.85
	swapUtilization   = 0.80
	targetUtilization = 0.75
	drainUtilization  = 0.65
)

const (
	// holdTime is how long the demand must stay low before a drain; it covers the usual valleys between two peaks.
	holdTime = 15 * time.Minute
	// swapGain is how much cheaper a replacement must be, so that changes of the price do not move servers.
	swapGain = 1.2
	// refusalBackoff is the wait after the first refusal; it doubles with each further one up to maxRefusalBackoff.
	refusalBackoff    = time.Minute
	maxRefusalBackoff = 16 * time.Minute
	// defaultMaxStarts bounds the starts of one step: a failure domain of the target size is replaced in four steps.
	defaultMaxStarts = 32
	// defaultMaxOrders bounds the orders of one step.
	defaultMaxOrders = 64
	// drainShare is the part of a group that may drain at a time, and at least one server.
	drainShare = 20
	// priorReclaims and priorHours are the reclaim rate before anything was observed: one in 24 hours.
	priorReclaims = 1.0
	priorHours    = 24.0
	// modelHeadroom is the share of servers a model gets beyond its share of the demand.
	modelHeadroom = 1.25
)

// Model is a model of a group.
type Model struct {
	Name, Version string
	Adapters      []string
	WeightsMiB    uint32
	// MinPerDomain is the fewest servers that hold the model in each failure domain with servers of the group.
	MinPerDomain int
}

// Class is an instance class that a group may use.
type Class struct {
	Name string
	// TokensPerSecond is what one server generates within the latency target; 0 means unknown.
	TokensPerSecond float64
	// ReclaimableMicros and OnDemandMicros are prices per hour for when the cloud's prices are unknown.
	ReclaimableMicros, OnDemandMicros uint64
}

// Group is a backend group with its classes, most preferred first.
type Group struct {
	Name    string
	Kind    platform.InstanceKind
	Classes []Class
	Models  []Model
	// ChecksFencing means that the servers refuse late orders. Only they get orders to unload, which could harm late.
	ChecksFencing bool
	// Concurrency is how many requests a server runs at a time; 0 means unknown.
	Concurrency uint32
	// MinServers and MaxServers bound the servers; 0 for MaxServers means no limit.
	MinServers, MaxServers int
}

// Policy has the settings that concern the fleet.
type Policy struct {
	SpareFailureDomains   int
	MaxReclaimablePercent int
	// RecomputeWeight is the weight of recomputed tokens against cost, 0 to 100.
	RecomputeWeight int
	BetweenTokens   time.Duration
}

// Server is an instance that runs or starts.
type Server struct {
	ID, Group, Class, Domain string
	Reclaimable              bool
	State                    platform.InstanceState
	PriceMicros              uint64
	// Running counts the requests on the server.
	Running uint32
	// Known means that the server has reported what it has loaded.
	Known bool
	// Models maps each loaded model to its version.
	Models map[string]string
	// Adapters has the loaded adapters as "model:adapter".
	Adapters []string
	// Ordered has the orders that were given but are not in the report yet: versions by model, "yes" by "model:adapter" and
	// the role by "role".
	Ordered map[string]string
	// Draining means that the fleet itself drains the server.
	Draining bool
}

// Domain is a failure domain in which instances can run.
type Domain struct{ Name, Region string }

// Demand is what callers ask for.
type Demand struct{ TokensPerSecond, RequestsPerSecond float64 }

// Cell names what a start asks for and what a refusal concerns.
type Cell struct {
	Class       string `json:"instance_class"`
	Domain      string `json:"failure_domain"`
	Reclaimable bool   `json:"reclaimable"`
}

// Refusal is the state of a cell whose start was refused.
type Refusal struct {
	// Count is the number of refusals in a row.
	Count int
	Last  time.Time
}

// RetryAt is when the cell may be asked again.
func (r Refusal) RetryAt() time.Time {
	wait := refusalBackoff
	for i := 1; i < r.Count && wait < maxRefusalBackoff; i++ {
		wait *= 2
	}
	return r.Last.Add(min(wait, maxRefusalBackoff))
}

// ReclaimHistory is what was observed of the reclaimable instances of a class in a failure domain.
type ReclaimHistory struct {
	Reclaims, InstanceHours float64
}

// PlaceKey names a class in a failure domain.
type PlaceKey struct{ Class, Domain string }

// Input is everything a plan depends on.
type Input struct {
	Now     time.Time
	Policy  Policy
	Groups  []Group
	Domains []Domain
	Servers []Server
	// Demand is the demand per model, with the forecast of Memory.Observe applied.
	Demand map[string]Demand
	// Reclaims has the history per class and domain, Refusals the refused cells.
	Reclaims map[PlaceKey]ReclaimHistory
	Refusals map[Cell]Refusal
	// Prices are the current prices; a cell without one cannot be started. Empty means that they are unknown.
	Prices []platform.Price
	// StartTime is how long a server takes to start, LoadRate the rate of the weight store in MiB/s; 0 means unknown.
	StartTime time.Duration
	LoadRate  float64
	// Memory is the state of the last step; it is not changed.
	Memory *Memory
	// MaxStarts and MaxOrders bound a step; 0 means the defaults.
	MaxStarts, MaxOrders int
}

// Start asks for one more instance.
type Start struct {
	Group  string
	Kind   platform.InstanceKind
	Region string
	Cell
	Reason string
}

// Drain asks to take a server out of service and then to stop it.
type Drain struct {
	Server, Reason string
}

// Order asks a server for a state.
type Order struct {
	Server string
	backend.Order
	// WeightsMiB is what the order loads from the weight store.
	WeightsMiB uint32
	Reason     string
}

// Count is how many instances of a group should run in a cell.
type Count struct {
	Group string `json:"backend_group"`
	Cell
	Servers int `json:"servers"`
}

// Result is the plan of one step.
type Result struct {
	// Target has the counts after the starts and drains.
	Target []Count
	Starts []Start
	Drains []Drain
	// Orders are sorted by need, most needed first.
	Orders []Order
	// Short tells for each group that cannot get its capacity now why not.
	Short  map[string]string
	Memory *Memory
}
