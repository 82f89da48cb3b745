package placement

import (
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
)

const (
	// callDurationWindow is the period of which the shortest duration of a call counts. It is long enough for a
	// gateway with two requests per second to see a few calls that did not wait.
	callDurationWindow = 10 * time.Second
	// callCapacityTTL is how long a computed capacity is used again.
	callCapacityTTL = 200 * time.Millisecond
	// capacitySample is about half of the servers at most from which the capacity is computed. Of 256 servers, the share that is ready is
	// known to about two in a hundred.
	capacitySample = 256
)

// callDuration is the shortest duration of a call without its wait, in two windows of which the older one counts
// until it is callDurationWindow old.
type callDuration struct {
	current, previous time.Duration
	startedAt         time.Time
}

func (d *callDuration) record(duration time.Duration, now time.Time) {
	if now.Sub(d.startedAt) >= callDurationWindow {
		d.previous, d.current, d.startedAt = d.current, 0, now
	}
	if d.current == 0 || duration < d.current {
		d.current = duration
	}
}

func (d *callDuration) shortest() time.Duration {
	if d.previous > 0 && (d.current == 0 || d.previous < d.current) {
		return d.previous
	}
	return d.current
}

// capacityCache holds the last computed capacity of a pool, and the shortest duration of a call.
type capacityCache struct {
	capacity   float64
	duration   time.Duration
	computedAt time.Time
}

// recordCallDuration records the duration of a call, of which a part was spent in the queue that the server
// reported with the response.
func (s *Server) recordCallDuration(duration time.Duration, now time.Time) {
	if now.Sub(s.loadReportedAt) < callLoadTTL {
		duration = time.Duration(float64(duration) / (1 + float64(s.lastLoad.Waiting)/float64(max(1, s.lastLoad.Slots))))
	}
	s.callDuration.record(duration, now)
}

// CallCapacity returns the number of calls per second that the ready servers serve in time, 0 if it is unknown.
// Servers without a response of their own count as the mean of the others.
func (p *Pool) CallCapacity(now time.Time) float64 { return p.currentCapacity(now).capacity }

// CallDuration returns the time that a call takes when it does not wait, 0 if it is unknown.
func (p *Pool) CallDuration(now time.Time) time.Duration { return p.currentCapacity(now).duration }

// currentCapacity returns the capacity, computed at most callCapacityTTL ago.
func (p *Pool) currentCapacity(now time.Time) capacityCache {
	if age := now.Sub(p.callCapacity.computedAt); age >= 0 && age < callCapacityTTL {
		return p.callCapacity
	}
	total, considered, slots, knownSlots := len(p.all.servers), 0, 0, 0
	first, step := p.stride(capacitySample)
	current := capacityCache{computedAt: now}
	for i := first; i < total; i += step {
		s := p.all.servers[i]
		considered++
		if s.State != directory.Ready || s.leaving || s.isPaused(now) {
			continue
		}
		n := max(s.Slots, s.lastLoad.Slots)
		slots += n
		if duration := s.callDuration.shortest(); duration > 0 {
			knownSlots += n
			current.capacity += float64(n) / duration.Seconds()
			if current.duration == 0 || duration < current.duration {
				current.duration = duration
			}
		}
	}
	if knownSlots > 0 {
		current.capacity *= float64(slots) / float64(knownSlots) * float64(total) / float64(considered)
	}
	p.callCapacity = current
	return current
}
