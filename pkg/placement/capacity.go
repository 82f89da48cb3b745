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

// capacityCache holds the last computed capacity of a pool.
type capacityCache struct {
	capacity   float64
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
func (p *Pool) CallCapacity(now time.Time) float64 {
	if age := now.Sub(p.callCapacity.computedAt); age >= 0 && age < callCapacityTTL {
		return p.callCapacity.capacity
	}
	slots, knownSlots, capacity := 0, 0, 0.0
	for _, s := range p.all.servers {
		if s.State != directory.Ready || s.leaving || s.isPaused(now) {
			continue
		}
		n := max(s.Slots, s.lastLoad.Slots)
		slots += n
		if duration := s.callDuration.shortest(); duration > 0 {
			knownSlots += n
			capacity += float64(n) / duration.Seconds()
		}
	}
	if knownSlots > 0 {
		capacity *= float64(slots) / float64(knownSlots)
	}
	p.callCapacity = capacityCache{capacity, now}
	return capacity
}

// CallDuration returns the time that a call takes when it does not wait, 0 if it is unknown.
func (p *Pool) CallDuration() (shortest time.Duration) {
	for _, s := range p.candidateSample() {
		if d := s.callDuration.shortest(); d > 0 && (shortest == 0 || d < shortest) {
			shortest = d
		}
	}
	return shortest
}

// HasRoomForCall reports whether a server that is not excluded may have room for a call: it has not reported
// lately that as many calls wait as it has slots.
func (p *Pool) HasRoomForCall(now time.Time, exclude []string) bool {
	for _, s := range p.candidateSample() {
		if !p.isSelectable(s, now, exclude) || p.isAvoided(s, now) {
			continue
		}
		if now.Sub(s.loadReportedAt) >= callLoadTTL || s.lastLoad.Waiting < max(1, s.lastLoad.Slots) {
			return true
		}
	}
	return false
}

// IsBusy reports whether a server reported lately that calls wait or that all its slots are in use.
func (p *Pool) IsBusy(id string, now time.Time) bool {
	s := p.servers[id]
	return s != nil && now.Sub(s.loadReportedAt) < callLoadTTL && s.lastLoad.Slots > 0 && s.lastLoad.Running+s.lastLoad.Waiting >= s.lastLoad.Slots
}

// PrefillTime returns the time in which an engine reads a prompt of some tokens.
func (p *Pool) PrefillTime(_ *Server, tokens int, _ time.Time) time.Duration {
	return time.Duration(float64(prefillDuration) * float64(tokens) / prefillTokens)
}

// prefillTokens is the number of tokens of a prompt that takes prefillDuration.
const prefillTokens = 8000
