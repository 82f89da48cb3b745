package entry

import (
	"sync"

	"golang.org/x/time/rate"
)

const (
	// retryShare is the part of calls that may be repeated.
	retryShare = 0.2
	// minRetriesPerSecond keeps single failures hidden at low load.
	minRetriesPerSecond = 3
	// maxSavedRetries bounds the burst of repeats after a quiet time.
	maxSavedRetries = 100
)

// budget bounds the repeated calls of one service, so that repeats cannot
// multiply the load on a failing service.
type budget struct {
	mu    sync.Mutex
	saved float64
	floor *rate.Limiter
}

func (b *budget) called() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+retryShare, maxSavedRetries)
}

// retry takes one repeat from the budget.
func (b *budget) retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved >= 1 {
		b.saved--
		return true
	}
	return b.floor.Allow()
}

// budgets holds the budgets of the services of the configuration.
type budgets struct{ byService *sync.Map }

func newBudgets() budgets { return budgets{&sync.Map{}} }

func (b budgets) of(service string) *budget {
	if found, ok := b.byService.Load(service); ok {
		return found.(*budget)
	}
	found, _ := b.byService.LoadOrStore(service,
		&budget{floor: rate.NewLimiter(minRetriesPerSecond, minRetriesPerSecond)})
	return found.(*budget)
}
