package placement

import (
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
)

const (
	// usualComeBack is the time after which a refused caller comes back when nothing
	// is known of the servers: about the restart of one.
	usualComeBack = 500 * time.Millisecond
	// leastComeBack and longestComeBack bound the time that is told: sooner, callers
	// come before a place is free, and later they cannot use it any more.
	leastComeBack   = 50 * time.Millisecond
	longestComeBack = 2 * time.Second
	// drainLife is how long a reported load is used for it.
	drainLife = time.Second
)

// ComeBack returns the time after which a refused caller finds a free place: the
// work in front of it at the server that is free first, at the speed of that server.
// It answers a burst beyond all places, in which a fixed time would bring all callers
// back at once and too early, or let places stand empty.
func (p *Pool) ComeBack(now time.Time) time.Duration {
	best := time.Duration(0)
	for _, s := range p.sample() {
		if s.State != directory.Ready || s.latency == 0 || s.load.Slots == 0 || now.Sub(s.loadAt) > drainLife {
			continue
		}
		ahead := max(1, s.load.Running+s.load.Waiting+1-s.load.Slots)
		wait := time.Duration(s.latency * float64(ahead) / float64(s.load.Slots) * float64(time.Millisecond))
		if best == 0 || wait < best {
			best = wait
		}
	}
	if best == 0 {
		return usualComeBack
	}
	return min(longestComeBack, max(leastComeBack, best))
}
