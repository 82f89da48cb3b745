package placement

import "time"

// StopRequest is a request that arrives at a gateway during its planned stop.
type StopRequest struct {
	// Left is the time until the gateway ends the requests that it still has.
	Left time.Duration
	// Limit is the time within which the request gets its final response, whatever happens.
	Limit time.Duration
	// UsualDuration is how long requests like this one take, 0 if unknown.
	UsualDuration time.Duration
	// Resumable is set if the caller can continue at another gateway after the response broke off.
	Resumable bool
}

// FitsBeforeStop reports whether a gateway that stops takes a request. The load pattern is the time from
// the start of a planned stop until the balancer sends no more callers, and callers that use a
// connection which they opened before. A request that is not taken has not run, and the caller can send
// it to another gateway at once; one that is cut off may have run, and unless it is resumable, nobody
// may run it again.
func FitsBeforeStop(r StopRequest) bool {
	if r.Limit <= r.Left {
		return true
	}
	return r.Resumable && r.UsualDuration > 0 && r.UsualDuration <= r.Left
}
