package overload

import "time"

// Load pattern: callers wait for the time in a refusal, but no longer than a third of the time that they have left,
// and then offer the request once more. Refused at the same moment with the same time, they come back together
// and meet a full queue again; with a time that is too short, they come back before there is room.

const (
	// maxRetryShare is the share of its remaining time for which a caller waits. Callers wait for up to a third.
	maxRetryShare = 0.33
	// retrySpread is the part of the longest time over which callers are spread for which there will be no room
	// here, and roomSpread that over which the others are spread, relative to the time until there is room.
	retrySpread = 0.4
	roomSpread  = 0.5
	// minRetryAfter is the shortest time. A caller that comes back sooner finds the same queue.
	minRetryAfter = 50 * time.Millisecond
)

// RetryAfter returns the time after which the caller of a refused request should offer it again. room is the time
// until there is room, 0 if that is unknown or will not be: another gateway may have room then, at the end
// of the time for which the caller waits. left is the time that the caller has left, and random a random
// number from 0 to 1.
func RetryAfter(room, left time.Duration, random float64) time.Duration {
	longest := LongestRetryAfter(left)
	if room <= 0 || room > longest {
		return time.Duration((1 - retrySpread*random) * float64(longest))
	}
	return min(longest, max(minRetryAfter, time.Duration((1+roomSpread*random)*float64(room))))
}

// LongestRetryAfter returns the longest time for which a caller waits that has some time left.
func LongestRetryAfter(left time.Duration) time.Duration {
	return time.Duration(maxRetryShare * float64(max(0, left)))
}

// Room returns the time until the servers have room for a call, 0 if that is unknown or more calls are offered than the
// servers serve. duration is the time that a call takes; ready is as for HandleTotals.
func (c *Calls) Room(ready float64, duration time.Duration, now time.Time) time.Duration {
	if onTime, _ := c.Shares(ready, now); onTime < 1 || now.Sub(c.reportedAt) > evidenceTTL {
		return 0
	}
	return time.Duration((1 + c.lastQueue) * float64(duration))
}
