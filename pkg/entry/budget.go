package entry

import (
	"sync"

	"golang.org/x/time/rate"
)

const (
	// retryRatio is the number of retries that each call adds to the budget.
	retryRatio = 0.2
	// minRetriesPerSecond is allowed at any call rate, so that isolated failures
	// are still retried at low load.
	minRetriesPerSecond = 3
	// maxAccruedRetries limits the burst of retries after a period without failures.
	maxAccruedRetries = 100
)

// retryBudget limits the retries of calls to one service, so that they cannot
// multiply the load on a failing service.
type retryBudget struct {
	mu      sync.Mutex
	accrued float64
	minRate *rate.Limiter
}

// recordCall adds the retries allowed by one call to the budget.
func (b *retryBudget) recordCall() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accrued = min(b.accrued+retryRatio, maxAccruedRetries)
}

// allowRetry reports whether a retry is allowed, and if so deducts it from the
// budget.
func (b *retryBudget) allowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.accrued >= 1 {
		b.accrued--
		return true
	}
	return b.minRate.Allow()
}

// retryBudgets holds one retry budget per service.
type retryBudgets struct{ byService *sync.Map }

func newRetryBudgets() retryBudgets { return retryBudgets{&sync.Map{}} }

// forService returns the retry budget of a service, created on first use.
func (b retryBudgets) forService(service string) *retryBudget {
	if value, ok := b.byService.Load(service); ok {
		return value.(*retryBudget)
	}
	value, _ := b.byService.LoadOrStore(service,
		&retryBudget{minRate: rate.NewLimiter(minRetriesPerSecond, minRetriesPerSecond)})
	return value.(*retryBudget)
}
