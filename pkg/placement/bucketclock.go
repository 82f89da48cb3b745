package placement

import "time"

// bucketClock numbers the buckets of a sliding window by the time since its first use, so that a step of
// the time of day neither empties the window nor fills it. The zero value is ready for use.
type bucketClock struct{ startedAt time.Time }

// position returns the number of the bucket at a time and the time since that bucket began.
func (c *bucketClock) position(now time.Time, length time.Duration) (index int64, sinceStart time.Duration) {
	if c.startedAt.IsZero() {
		c.startedAt = now
	}
	elapsed := max(0, now.Sub(c.startedAt))
	return int64(elapsed / length), elapsed % length
}
