package node

import (
	"context"
	"time"

	"github.com/pollenlug/pollenlug/internal/metrics"
	"github.com/pollenlug/pollenlug/pkg/config"
	"github.com/pollenlug/pollenlug/pkg/limit"
)

const (
	// budgetPoll is how often an accepted response asks again for a retry.
	budgetPoll = 20 * time.Millisecond
	// budgetPatience is how long the retry of an accepted response waits for budget. It then goes ahead: the
	// response was accepted, and the wait has spread the retries of a wave.
	budgetPatience = 500 * time.Millisecond
)

// guard keeps failures from spreading: it holds the retry budget.
type guard struct {
	budget  *limit.Budget
	metrics *metrics.Set
}

func newGuard(m *metrics.Set) *guard {
	return &guard{budget: limit.NewBudget(config.DefaultRetryPercent), metrics: m}
}

func (g *guard) setPolicy(p config.Policy) { g.budget.SetPercent(p.RetryPercent) }

// Take implements dispatch.Budget.
func (g *guard) Take() bool { return g.budget.Withdraw() }

// Wait implements generate.Budget.
func (g *guard) Wait(ctx context.Context) error {
	patience, cancel := context.WithTimeout(ctx, budgetPatience)
	defer cancel()
	for !g.budget.Withdraw() {
		sleep(patience, budgetPoll)
		if patience.Err() != nil {
			g.metrics.Retry("over_budget")
			break
		}
	}
	return ctx.Err()
}

// Began, Ended, Failed and Check implement generate.Strikes.
func (g *guard) Began(string, uint64) {}

// Ended tells that an attempt is over.
func (g *guard) Ended(string, uint64) {}

// Failed tells that a server broke off an attempt.
func (g *guard) Failed(string, string, uint64) {}

// Check tells whether a request must run alone.
func (g *guard) Check(uint64) (bool, error) { return false, nil }

func (g *guard) expectLoss(string) {}

func (g *guard) status() any { return []string{} }
