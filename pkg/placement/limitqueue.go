package placement

import "slices"

// LimitQueue orders the requests of a gateway that wait for the limits of a service's servers: by rank,
// and by arrival within a rank. The zero value is an empty queue. It is not safe for concurrent use.
type LimitQueue struct{ waiting []*LimitWaiter }

// LimitWaiter is a request in a LimitQueue.
type LimitWaiter struct{ rank int }

// Join adds a request with a rank; lower ranks are more urgent.
func (q *LimitQueue) Join(rank int) *LimitWaiter {
	w := &LimitWaiter{rank}
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

// Leave removes a request.
func (q *LimitQueue) Leave(w *LimitWaiter) {
	q.waiting = slices.DeleteFunc(q.waiting, func(other *LimitWaiter) bool { return other == w })
}
