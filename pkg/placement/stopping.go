package placement

import (
	"slices"
	"time"
)

// StopRequest is a request that arrives at a gateway during its planned stop.
type StopRequest struct {
	// Left is the time until the gateway ends the requests that it still has.
	Left time.Duration
	// Limit is the time within which the request gets its final response, whatever happens.
	Limit time.Duration
	// LongestDuration is how long recent requests like this one took at most, 0 if unknown.
	LongestDuration time.Duration
	// Resumable is set if the caller can continue at another gateway after the response broke off.
	Resumable bool
	// OthersInUse is set once the balancer sends callers to other gateways only, so that a refused caller
	// reaches one of them with its next connection.
	OthersInUse bool
}

// FitsBeforeStop reports whether a gateway that stops takes a request. The load pattern is the time from
// the start of a planned stop until the balancer sends no more callers, and callers that use a
// connection which they opened before. A request that is not taken has not run, and the caller can send
// it to another gateway at once; one that is cut off may have run, and unless it is resumable, nobody
// may run it again. A resumable stream that is cut off costs its caller a pause, so it is taken only while
// the balancer may still choose this gateway, and only if streams like it have all been short enough.
func FitsBeforeStop(r StopRequest) bool {
	if r.Limit <= r.Left {
		return true
	}
	return r.Resumable && !r.OthersInUse && r.LongestDuration > 0 && r.LongestDuration <= r.Left
}

const (
	// recentDurations is the number of requests among which the longest one is found.
	recentDurations = 64
	// durationSmoothing is the weight of the latest request in the moving average.
	durationSmoothing = 0.2
)

// DurationHistory holds the durations of recent requests of one kind.
type DurationHistory struct {
	durations [recentDurations]time.Duration
	next      int
	average   time.Duration
}

// Record adds the duration of a request in place of the oldest one.
func (h *DurationHistory) Record(d time.Duration) {
	h.durations[h.next] = d
	h.next = (h.next + 1) % recentDurations
	if h.average == 0 {
		h.average = d
	}
	h.average += time.Duration(durationSmoothing * float64(d-h.average))
}

// Average returns the moving average of the durations, 0 if there is none.
func (h *DurationHistory) Average() time.Duration { return h.average }

// Shortest returns the shortest recent duration, 0 if there is none.
func (h *DurationHistory) Shortest() (shortest time.Duration) {
	for _, d := range h.durations {
		if d > 0 && (shortest == 0 || d < shortest) {
			shortest = d
		}
	}
	return shortest
}

// Longest returns the longest recent duration, 0 if there is none.
func (h *DurationHistory) Longest() time.Duration { return slices.Max(h.durations[:]) }
