// Package serving defines the domain types that HTTP front ends, decision logic and protocol adapters share: requests,
// routes, workspaces, services and backend servers.
//
// Adapters decode wire formats into these types. The decision logic takes them as plain inputs, so that it can be tested
// without I/O.
package serving

import (
	"time"
)

// RetryRule determines how often a request may run.
type RetryRule uint8

const (
	// AtMostOnce requests run at most once; a request that was sent and got no response is not sent again.
	AtMostOnce RetryRule = iota
	// Idempotent requests may run any number of times.
	Idempotent
	// Resumable streams may be continued on another server after the last event delivered to the caller.
	Resumable
)

// MayRetry reports whether a request that may have run can be sent again.
func (r RetryRule) MayRetry() bool { return r != AtMostOnce }

// Target is one service of a route with its weight in the distribution of requests.
type Target struct {
	Service string
	Weight  float64
}

// Route determines how requests for a host and path prefix are routed and handled.
type Route struct {
	Name, Host, Prefix string
	// Stream is set when the response is a sequence of numbered events.
	Stream  bool
	Repeat  RetryRule
	Targets []Target
	// MaxAttempts is the maximum number of servers that one request may be sent to.
	MaxAttempts int
	// Timeout is the maximum time a caller waits for the response; 0 means that the route sets no limit.
	Timeout time.Duration
	// LatencyTarget is the target for the time to the complete response, or to the first event of a stream.
	LatencyTarget time.Duration
	// PauseTarget is the target for the time between two events of a stream.
	PauseTarget time.Duration
	// Priority is the priority of the route's requests; 0 is the most urgent.
	Priority int
	// Public routes require no API key.
	Public bool
}

// Scaling configures the automatic scaling of a service.
type Scaling struct {
	// Min and Max bound the number of servers in each failure domain, reclaimable ones included.
	Min, Max int
	// Boot is the time from the order of a server until it serves.
	Boot time.Duration
	// ReclaimablePrice is the price of a reclaimable server as a fraction of that of another one.
	ReclaimablePrice float64
	// DomainPrices is the price of a server-second by failure domain.
	DomainPrices map[string]float64
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the maximum number of requests in a batch; CacheTokens is the size of the KV cache in tokens, shared by
	// running requests and cached prompts.
	Slots       int
	CacheTokens int
}

// Service is a group of backend servers.
type Service struct {
	Name string
	// MaxConnections is the maximum number of connections that one server accepts from all nodes together.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
	// Scaling is nil when the number of servers is fixed.
	Scaling *Scaling
}

// Workspace is one customer with its API keys and its limit, which applies to all nodes together.
type Workspace struct {
	Name string
	Keys []string
	// Priority overrides that of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate is the limit in units per second and Burst the number of units available at once; a Rate of 0 means no limit.
	Rate, Burst float64
	// CountsTokens is set if the unit is a token; otherwise it is a request.
	CountsTokens bool
	// DefaultTokens is the cost of a request that does not state its number of tokens.
	DefaultTokens float64
}

// Limits bounds the requests and connections of callers.
type Limits struct {
	HeaderBytes, BodyBytes int
	HeaderTimeout          time.Duration
	IdleTimeout            time.Duration
}

// ServerState is the state that a server reports about itself.
type ServerState uint8

const (
	// Ready servers accept requests.
	Ready ServerState = iota
	// Draining servers finish their running requests and accept no new ones.
	Draining
)

// Server is one backend server.
type Server struct {
	ID, Address, Service, Domain string
	Slots                        int
	State                        ServerState
	// Born is the start time of the server's current process in Unix milliseconds; 0 if it is unknown.
	Born int64
	// Sequence numbers the records that the server has written about itself since Born; a lower one is older.
	Sequence int64
	// Reclaimable servers may be taken away by the platform at short notice.
	Reclaimable bool
	// Version is that of the server's software; empty if it is unknown.
	Version string
	// ColdLeft is how long the server is slower than usual after it has registered.
	ColdLeft time.Duration
}

// PromptPart is one part of a prompt. Requests with the same leading parts can share their cached prefill.
type PromptPart struct {
	ID     string
	Tokens int
}

// Envelope is the information about a request in its caller's headers.
type Envelope struct {
	// AttemptID identifies this attempt of the caller; empty if it sent none.
	AttemptID string
	// Budget is how long the caller will wait; 0 if it is not stated.
	Budget time.Duration
	Key    string
	Model  string
	// PromptTokens and OutputTokens are the sizes stated by the caller; HasTokens is false if it states none.
	PromptTokens, OutputTokens int
	HasTokens                  bool
	Prompt                     []PromptPart
	// ExpectedOutput is the caller's estimate of the output in tokens; 0 if unknown.
	ExpectedOutput int
	// ResumeAfter is the id of the last event that the caller has received.
	ResumeAfter string
}

// SharedParts returns the ids of the parts of the prompt that other requests may have too, which are all but the last.
func (e *Envelope) SharedParts() []string {
	var ids []string
	for i := range len(e.Prompt) - 1 {
		ids = append(ids, e.Prompt[i].ID)
	}
	return ids
}

// Cost returns the number of units that the request takes from its workspace's limit.
func (e *Envelope) Cost(w *Workspace) float64 {
	switch {
	case !w.CountsTokens:
		return 1
	case e.HasTokens:
		return float64(e.PromptTokens + e.OutputTokens)
	default:
		return w.DefaultTokens
	}
}

// Dispatch is the information about a request that is sent to a backend server in its headers.
type Dispatch struct {
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration
	// Server is the id of the server that must run the request.
	Server    string
	Workspace string
	// Priority is the priority of the request on an engine, 0 to 9; a negative value leaves it unset.
	Priority int
	// ResumeAfter is the id of the last event that was delivered to the caller.
	ResumeAfter string
}

// Reply is the information about a response in the backend server's headers.
type Reply struct {
	// NotRun is set if the server states that it did not start the request.
	NotRun bool
	// OtherServer is set if another server now has the address.
	OtherServer bool
	// Signed is set if the response carries the server's signature.
	Signed    bool
	AttemptID string
	// Running, Waiting and Slots are the server's load; HasLoad is false if it reports none.
	Running, Waiting, Slots int
	HasLoad                 bool
	// WorkTime is how long work takes on the server's machine now, relative to its usual time: 2 means twice as long. It
	// is 0 if the server does not report it.
	WorkTime float64
	// Leaving is set if the server is about to end and wants no new requests.
	Leaving bool
	// Pause is how long the server, which refused the request, wants no requests of this node; 0 if it does not say so.
	Pause time.Duration
}
