package config

import (
	"time"

	"github.com/pollenlug/pollenlug/internal/pb"
)

// Defaults of fields that are unset. This is the only place where they are applied; the comments in
// proto/folder.proto name the same values.
const (
	// DefaultFirstToken and DefaultBetweenTokens are the latency targets of the target size.
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

// Policy is the policy of a snapshot with the defaults filled in.
type Policy struct {
	// FirstToken and BetweenTokens are the latency targets for 95 in 100.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// RecomputeWeight is the weight of recomputed tokens against cost, 0 to 100.
	RecomputeWeight uint32
	// RetryPercent limits retries and hedges, in percent of requests.
	RetryPercent          uint32
	ResponseRetention     time.Duration
	OutcomeRetention      time.Duration
	MaxBodyBytes          int64
	ProgressFirst         bool // tokens are replicated before they are delivered
	SpareFailureDomains   uint32
	MaxReclaimablePercent uint32
}

// policyOf fills in the defaults of p, which may be nil.
func policyOf(p *pb.Policy) Policy {
	out := Policy{
		FirstToken:            millis(p.GetFirstTokenMs(), DefaultFirstToken),
		BetweenTokens:         millis(p.GetBetweenTokensMs(), DefaultBetweenTokens),
		RecomputeWeight:       DefaultRecomputeWeight,
		RetryPercent:          DefaultRetryPercent,
		ResponseRetention:     seconds(p.GetResponseRetentionSeconds(), DefaultResponseRetention),
		OutcomeRetention:      seconds(p.GetOutcomeRetentionSeconds(), DefaultOutcomeRetention),
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

func millis(n uint32, unset time.Duration) time.Duration {
	if n == 0 {
		return unset
	}
	return time.Duration(n) * time.Millisecond
}

func seconds(n uint32, unset time.Duration) time.Duration {
	if n == 0 {
		return unset
	}
	return time.Duration(n) * time.Second
}
