package config

import (
	"time"

	"github.com/pollenlug/pollenlug/internal/pb"
)

// Defaults of unset fields. Only this package fills them in; the comments in proto/folder.proto state the same values.
const (
	// DefaultFirstToken and DefaultBetweenTokens are the latency targets at the target deployment size.
	DefaultFirstToken    = 420 * time.Millisecond
	DefaultBetweenTokens = 37 * time.Millisecond

	DefaultRecomputeWeight       = 50
	DefaultRetryPercent          = 10
	DefaultResponseRetention     = 600 * time.Second
	DefaultOutcomeRetention      = 86_400 * time.Second
	DefaultMaxBodyBytes          = 1024 * bytesPerKiB
	DefaultSpareFailureDomains   = 1
	DefaultMaxReclaimablePercent = 100

	DefaultWorkspaceShare = 1
	DefaultServiceTimeout = 10 * time.Second

	bytesPerKiB = 1024
)

// Policy is the policy of a snapshot with defaults applied to unset fields.
type Policy struct {
	// FirstToken and BetweenTokens are 95th-percentile latency targets.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// RecomputeWeight is the weight of recomputed tokens relative to cost, from 0 to 100.
	RecomputeWeight uint32
	// RetryPercent limits retries and hedges, as a percentage of requests.
	RetryPercent          uint32
	ResponseRetention     time.Duration
	OutcomeRetention      time.Duration
	MaxBodyBytes          int64
	ProgressFirst         bool // replicate tokens before they are delivered
	SpareFailureDomains   uint32
	MaxReclaimablePercent uint32
}

// withDefaults returns p, which may be nil, with defaults applied to unset fields.
func withDefaults(p *pb.Policy) Policy {
	out := Policy{
		FirstToken:            millisOr(p.GetFirstTokenMs(), DefaultFirstToken),
		BetweenTokens:         millisOr(p.GetBetweenTokensMs(), DefaultBetweenTokens),
		RecomputeWeight:       DefaultRecomputeWeight,
		RetryPercent:          DefaultRetryPercent,
		ResponseRetention:     secondsOr(p.GetResponseRetentionSeconds(), DefaultResponseRetention),
		OutcomeRetention:      secondsOr(p.GetOutcomeRetentionSeconds(), DefaultOutcomeRetention),
		MaxBodyBytes:          DefaultMaxBodyBytes,
		ProgressFirst:         p.GetProgressBeforeDelivery(),
		SpareFailureDomains:   DefaultSpareFailureDomains,
		MaxReclaimablePercent: DefaultMaxReclaimablePercent,
	}
	if p == nil {
		return out
	}
	if p.RecomputeWeight != nil {
		out.RecomputeWeight = *p.RecomputeWeight
	}
	if p.RetryPercent != nil {
		out.RetryPercent = *p.RetryPercent
	}
	if p.MaxBodyKib != 0 {
		out.MaxBodyBytes = int64(p.MaxBodyKib) * bytesPerKiB
	}
	if p.SpareFailureDomains != nil {
		out.SpareFailureDomains = *p.SpareFailureDomains
	}
	if p.MaxReclaimablePercent != nil {
		out.MaxReclaimablePercent = *p.MaxReclaimablePercent
	}
	return out
}

func millisOr(n uint32, fallback time.Duration) time.Duration {
	if n == 0 {
		return fallback
	}
	return time.Duration(n) * time.Millisecond
}

func secondsOr(n uint32, fallback time.Duration) time.Duration {
	if n == 0 {
		return fallback
	}
	return time.Duration(n) * time.Second
}
