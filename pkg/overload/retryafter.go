package overload

import "time"

const (
	// retryShare and retrySpread bound the time after which the caller of a refused call should offer it again: from
	// retryShare-retrySpread to retryShare of the time that it has left. Callers wait for up to a third of it.
	retryShare  = 0.33
	retrySpread = 0.13
)

// RetryAfter returns the time after which the caller of a refused call should offer it again. A call that is
// refused here can be on time no more, and a later one may meet more room.
func (c *Calls) RetryAfter(left time.Duration, random float64) time.Duration {
	return max(0, time.Duration((retryShare-retrySpread*random)*float64(left)))
}
