// Package logline defines the messages and fields of a node's log lines that other programs read, in particular
// pollenlug explain. docs/OPERATIONS.md describes all lines.
package logline

// Messages.
const (
	Request             = "request"
	Dropped             = "log lines dropped"
	ServerChanged       = "server changed"
	ServerGone          = "server gone"
	CrashRecord         = "record of a request on crashed servers changed"
	ServerCrashed       = "crash of a server noticed"
	PartDecision        = "quarantine of a part of prompts decided"
	StrikeDecision      = "strikes of a request decided"
	ServerWithheld      = "server wants no more requests"
	DependencyLost      = "dependency lost"
	DependencyRegained  = "dependency regained"
	ConfigInForce       = "configuration in force"
	ServersOrdered      = "servers ordered"
	OrderRefused        = "order refused: no such servers now"
	NodeStarted         = "node started"
	NodeDraining        = "stop signal received; draining"
	NodeStopped         = "node stopped"
	DutiesAcquired      = "lease of the duties acquired"
	DutiesEnded         = "lease of the duties ended"
	ServerViewChanged   = "view of backend servers changed"
	ServerRowVanished   = "row of a server vanished around an outage of the store; kept for a while"
	UsageReported       = "usage reported"
	RequestsCutOff      = "requests cut off at the end of the grace"
	NodeDiscovered      = "node heard of"
	NodePaused          = "the process was paused; reading views again"
	StoreReturned       = "store returned from a copy; what it acknowledged last is lost"
	StoreSettled        = "return of the store settled"
	RowsWrittenAgain    = "rows lost by the store written again"
	ConnectionsRefused  = "connections of clients refused"
	ConfigRowUnreadable = "configuration row cannot be read; the one before stays in force"
)

// Messages of rollouts.
const (
	RolloutChanged       = "rollout changed"
	RolloutStatusWritten = "state of a rollout written"
	RolloutOrderInvalid  = "order of a rollout cannot be read; it has no effect"
)

// Fields.
const (
	Time    = "time"
	Node    = "node"
	Message = "msg"
	Level   = "level"
	Attempt = "attempt"
	Outcome = "outcome"
	Reason  = "why"
	// Lost is why the last response that was lost could not be used.
	Lost       = "lost"
	Servers    = "servers"
	Server     = "server"
	Duration   = "ms"
	Dependency = "dependency"
	Count      = "count"
	Digest     = "digest"
	Parts      = "parts"
	Part       = "part"
	Incident   = "incident"
	Verdict    = "verdict"
	Related    = "related"
	// Expected is the estimated time to the first event, Left the time until the caller's deadline and Target the
	// route's latency target, in ms.
	Expected = "expected_ms"
	Left     = "left_ms"
	Target   = "target_ms"
	// PredictedCost and MeasuredCost are the time of a whole server that a request was predicted to take and took, in ms.
	PredictedCost = "predicted_cost_ms"
	MeasuredCost  = "cost_ms"
)

// Outcomes of requests in addition to the result codes.
const (
	Served = "served"
	// CutOff is a stream that could not be completed.
	CutOff = "broken_off"
	// ServerFailed is an error response of a server that was passed to the caller.
	ServerFailed = "server_failed"
)
