package relay

import (
	"sync"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/retry"
)

// RetryBudgets limits second sendings for each service. All daemons together may send
// a ratio of the requests and a slack again; each spends the ratio of its own
// requests and its part of the slack. It is safe for use by several goroutines.
type RetryBudgets struct {
	mutex   sync.Mutex
	limits  retry.Limits
	budgets map[identity.ServiceName]*retry.Budget
}

// NewRetryBudgets makes budgets whose Floor is this daemon's part of the slack.
func NewRetryBudgets(limits retry.Limits) *RetryBudgets {
	return &RetryBudgets{limits: limits, budgets: map[identity.ServiceName]*retry.Budget{}}
}

// SetFloor changes this daemon's part of the slack.
func (b *RetryBudgets) SetFloor(floor int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.limits.Floor = floor
	for _, budget := range b.budgets {
		budget.SetFloor(floor)
	}
}

// Request counts a caller's request for a service.
func (b *RetryBudgets) Request(service identity.ServiceName, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.of(service).Request(now)
}

// TryRetry takes one second sending from a service's budget, or returns false.
func (b *RetryBudgets) TryRetry(service identity.ServiceName, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.of(service).TryRetry(now)
}

func (b *RetryBudgets) of(service identity.ServiceName) *retry.Budget {
	budget := b.budgets[service]
	if budget == nil {
		budget = retry.NewBudget(b.limits)
		b.budgets[service] = budget
	}
	return budget
}
