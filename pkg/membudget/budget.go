// Package membudget accounts the bytes that a process holds for its callers against one budget: bodies that are
// read or kept, large headers, and responses that callers are slow to read. Bytes count once they have arrived,
// whatever length was announced. When the budget is short, the holder that is slowest and holds most is closed.
package membudget

import (
	"context"
	"errors"
	"sync"
	"time"
)

// ErrShort means that the budget has no room, and closing slow holders did not make enough of it in time.
var ErrShort = errors.New("the memory for callers is in use")

// ErrEvicted means that the account was closed to make room.
var ErrEvicted = errors.New("closed because the memory for callers is in use")

const (
	// smallBytes is the size up to which an account may use the whole budget, and smallShare the part of the
	// budget that is kept for such accounts, so that large bodies do not keep out ordinary ones.
	smallBytes = 64 << 10
	smallShare = 1. / 8
	// freshTime is added to the time without progress when holders are compared, so that the size decides among
	// those that have just made some.
	freshTime = 20 * time.Millisecond
	// firstRetry is the time after which an account that waits for room looks again for holders that have become
	// slow meanwhile. Each further pause is twice as long.
	firstRetry = 2 * freshTime
)

// Budget is a number of bytes that accounts share. A nil Budget has no limit.
type Budget struct {
	limit int64

	mu sync.Mutex
	// used counts the bytes of all accounts, closing those of accounts that were evicted and not closed yet.
	used, closing, peak int64
	accounts            map[*Account]struct{}
	// freed is closed and replaced when bytes are returned or accounts evicted, if waiting is not 0.
	freed            chan struct{}
	waiting          int
	evicted, refused int64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit, accounts: map[*Account]struct{}{}, freed: make(chan struct{})}
}

// Stats describes the use of a budget. Evicted and Refused count accounts and requests for bytes since the start.
type Stats struct {
	Limit, Used, Peak, Evicted, Refused int64
}

// Stats returns the present use.
func (b *Budget) Stats() Stats {
	if b == nil {
		return Stats{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{Limit: b.limit, Used: b.used, Peak: b.peak, Evicted: b.evicted, Refused: b.refused}
}

// Account holds a part of a budget. The zero Account has no limit. An account is known to its budget only while it
// holds bytes.
type Account struct {
	budget *Budget
	// evict ends the work that the account holds bytes for, without waiting; nil if that is not possible. It is
	// called at most once, without locks of the budget.
	evict func()

	// The budget's mutex guards the rest.
	held       int64
	progressAt time.Time
	isEvicted  bool
	// pinned means that the account is not evicted, as its work makes progress of another kind.
	pinned, closed bool
}

// NewAccount returns an account without bytes. evict may be nil.
func (b *Budget) NewAccount(evict func()) *Account {
	return &Account{budget: b, evict: evict}
}

// Init prepares an account that is part of another value and holds nothing, as NewAccount does.
func (a *Account) Init(b *Budget, evict func()) { a.budget, a.evict = b, evict }

// Grow takes n bytes. If the budget is short, it evicts slower accounts and waits for their bytes for up to wait;
// then it returns ErrShort. Without wait it fails at once. It returns ErrEvicted if the account itself was evicted.
func (a *Account) Grow(ctx context.Context, n int64, wait time.Duration) error {
	b := a.budget
	if b == nil {
		return nil
	}
	freed, err := a.tryGrow(n, wait > 0)
	if !errors.Is(err, ErrShort) || wait <= 0 {
		return err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	pause := firstRetry
	retry := time.NewTimer(pause)
	defer retry.Stop()
	defer func() {
		b.mu.Lock()
		b.waiting--
		if errors.Is(err, ErrShort) {
			b.refused++
		}
		b.mu.Unlock()
	}()
	for errors.Is(err, ErrShort) {
		select {
		case <-freed:
			freed, err = a.tryGrow(n, false)
		case <-retry.C:
			freed, err = a.tryGrow(n, false)
			pause *= 2
			retry.Reset(pause)
		case <-timer.C:
			return err
		case <-ctx.Done():
			err = ctx.Err()
		}
	}
	return err
}

// tryGrow takes n bytes, or evicts slower accounts and returns ErrShort and a channel that is closed when bytes
// are returned. With addWaiter it counts a waiter then.
func (a *Account) tryGrow(n int64, addWaiter bool) (<-chan struct{}, error) {
	b := a.budget
	now := time.Now()
	b.mu.Lock()
	switch {
	case a.isEvicted || a.closed:
		b.mu.Unlock()
		return nil, ErrEvicted
	case b.used+n <= b.limitFor(a.held+n):
		a.take(n, now)
		b.mu.Unlock()
		return nil, nil
	}
	victims := b.selectVictims(a, n, now)
	if len(victims) > 0 {
		// A victim may be waiting for room itself.
		b.wakeWaiters()
	}
	freed := b.freed
	if addWaiter {
		b.waiting++
	}
	b.mu.Unlock()
	for _, v := range victims {
		v.evict()
	}
	return freed, ErrShort
}

// take adds n bytes; the budget's mutex is held.
func (a *Account) take(n int64, now time.Time) {
	b := a.budget
	if a.held == 0 && n > 0 {
		b.accounts[a] = struct{}{}
	}
	a.held += n
	a.progressAt = now
	b.used += n
	b.peak = max(b.peak, b.used)
}

// limitFor returns the part of the budget that an account with held bytes may use.
func (b *Budget) limitFor(held int64) int64 {
	if held <= smallBytes {
		return b.limit
	}
	return b.limit - int64(float64(b.limit)*smallShare)
}

// selectVictims marks the accounts whose bytes make room for n more bytes of an account as evicted and returns
// them. Only accounts that are slower and hold more, taken together, are selected. The mutex is held.
func (b *Budget) selectVictims(a *Account, n int64, now time.Time) []*Account {
	var victims []*Account
	limit := b.limitFor(a.held + n)
	own := b.badness(a.held+n, now, now)
	for b.used-b.closing+n > limit {
		var worst *Account
		worstBadness := own
		for other := range b.accounts {
			if other == a || other.isEvicted || other.pinned || other.evict == nil {
				continue
			}
			if badness := b.badness(other.held, other.progressAt, now); badness > worstBadness {
				worst, worstBadness = other, badness
			}
		}
		if worst == nil {
			break
		}
		worst.isEvicted = true
		b.closing += worst.held
		b.evicted++
		victims = append(victims, worst)
	}
	return victims
}

// badness is the product of the bytes that an account holds and the time since its last progress.
func (b *Budget) badness(held int64, progressAt, now time.Time) float64 {
	return float64(held) * (now.Sub(progressAt) + freshTime).Seconds()
}

// Shrink returns n bytes.
func (a *Account) Shrink(n int64) {
	if a.budget == nil || n == 0 {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.release(min(n, a.held))
}

// release returns n bytes; the budget's mutex is held.
func (a *Account) release(n int64) {
	b := a.budget
	a.held -= n
	b.used -= n
	if a.isEvicted {
		b.closing -= n
	}
	if a.held == 0 {
		delete(b.accounts, a)
	}
	if n > 0 {
		b.wakeWaiters()
	}
}

// wakeWaiters lets all waiting accounts try again; the mutex is held.
func (b *Budget) wakeWaiters() {
	if b.waiting > 0 {
		close(b.freed)
		b.freed = make(chan struct{})
	}
}

// Touch records progress of the other side: bytes arrived or were read.
func (a *Account) Touch() {
	if a.budget == nil {
		return
	}
	a.budget.mu.Lock()
	a.progressAt = time.Now()
	a.budget.mu.Unlock()
}

// Pin keeps the account from being evicted. It returns ErrEvicted if that has happened already.
func (a *Account) Pin() error {
	if a.budget == nil {
		return nil
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.isEvicted {
		return ErrEvicted
	}
	a.pinned = true
	return nil
}

// Evicted reports whether the account was evicted.
func (a *Account) Evicted() bool {
	if a.budget == nil {
		return false
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.isEvicted
}

// Close returns all bytes. A closed account takes no more.
func (a *Account) Close() {
	if a.budget == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.closed = true
	if a.held > 0 {
		a.release(a.held)
	}
}
