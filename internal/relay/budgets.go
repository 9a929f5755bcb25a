package relay

import (
	"sync"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/retry"
)

// RetryBudgets limits retries per service. All daemons together may retry a ratio of the requests
// plus a fixed allowance; each daemon spends the ratio of its own requests and its share of the
// allowance. It is safe for concurrent use.
type RetryBudgets struct {
	mutex   sync.Mutex
	limits  retry.Limits
	budgets map[identity.ServiceName]*retry.Budget
}

// NewRetryBudgets returns budgets whose Floor is this daemon's share of the fixed allowance.
func NewRetryBudgets(limits retry.Limits) *RetryBudgets {
	return &RetryBudgets{limits: limits, budgets: map[identity.ServiceName]*retry.Budget{}}
}

// SetFloor changes this daemon's share of the fixed allowance.
func (b *RetryBudgets) SetFloor(floor int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.limits.Floor = floor
	for _, budget := range b.budgets {
		budget.SetFloor(floor)
	}
}

// Request counts a caller's request to a service.
func (b *RetryBudgets) Request(service identity.ServiceName, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.of(service).Request(now)
}

// TryRetry takes one retry from the budget of a service and returns false if the budget is
// exhausted.
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
