package placement

import (
	"slices"
	"time"
)

// LimitQueue orders the requests of a gateway that wait for the limits of a service's servers: by rank,
// and by arrival within a rank. The zero value is an empty queue. It is not safe for concurrent use.
type LimitQueue struct{ waiting []*LimitWaiter }

// LimitWaiter is a request in a LimitQueue.
type LimitWaiter struct {
	rank int
	// BlockedUntil is the time until which the servers that the request may still use have no room,
	// though others may. Until then it does not hold up the requests behind it.
	BlockedUntil time.Time
}

// Join adds a request with a rank; lower ranks are more urgent.
func (q *LimitQueue) Join(rank int) *LimitWaiter {
	w := &LimitWaiter{rank: rank}
	q.waiting = slices.Insert(q.waiting, q.AheadOf(rank), w)
	return w
}

// AheadOf returns the number of waiting requests that go before a new one with a rank.
func (q *LimitQueue) AheadOf(rank int) int {
	for i, w := range q.waiting {
		if w.rank > rank {
			return i
		}
	}
	return len(q.waiting)
}

// Ahead returns the number of requests that go before a waiting one.
func (q *LimitQueue) Ahead(w *LimitWaiter) int { return slices.Index(q.waiting, w) }

// IsNext reports whether no other waiting request holds up a waiting one, or a new one with a rank if w
// is nil.
func (q *LimitQueue) IsNext(w *LimitWaiter, rank int, now time.Time) bool {
	ahead := q.AheadOf(rank)
	if w != nil {
		ahead = q.Ahead(w)
	}
	for _, other := range q.waiting[:ahead] {
		if !now.Before(other.BlockedUntil) {
			return false
		}
	}
	return true
}

// Leave removes a request.
func (q *LimitQueue) Leave(w *LimitWaiter) {
	q.waiting = slices.DeleteFunc(q.waiting, func(other *LimitWaiter) bool { return other == w })
}
