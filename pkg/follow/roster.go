package follow

import (
	"math/rand/v2"
	"time"
)

const (
	// coordinatorTTL is how long a coordinator is followed that neither sends events nor is listed by the settings or
	// another coordinator, while others send events.
	coordinatorTTL = 20 * time.Second
	// silenceTimeout is the time without an event of any coordinator after which all are taken for silent.
	silenceTimeout = streamTimeout
	// minReconnectDelay and maxReconnectDelay bound the wait before a failed stream is opened again. The
	// longer one spreads the connections of all gateways to a coordinator that is back.
	minReconnectDelay = 60 * time.Millisecond
	maxReconnectDelay = time.Second
	// reconnectDelayShare is the share of the time since the last event of a coordinator that the next wait takes.
	reconnectDelayShare = 0.125
)

// roster decides which coordinators are followed, by their peer addresses. An address is forgotten because others are
// heard that do not list it, never because nothing is heard: there would be no source of addresses left.
// The time is passed in.
type roster struct {
	coordinators map[string]*coordinatorState
	// seeds are the addresses in the settings. They are followed again while all coordinators are silent.
	seeds []string
	// lastEventAt is when the last event of any coordinator arrived, and heardSince when the period began that it ends and
	// in which events arrived without a break of silenceTimeout.
	lastEventAt, heardSince time.Time
}

// coordinatorState is the state of one followed coordinator.
type coordinatorState struct {
	// renewedAt is when its last event arrived or when the settings or another coordinator
	// last listed its address, whichever is later. It is zero for a seed that was forgotten and added again.
	renewedAt time.Time
	// lastEventAt is when its last event arrived.
	lastEventAt time.Time
	// failingSince is when its stream first failed after the last event.
	failingSince time.Time
	connected    bool
}

// list records that the settings or a coordinator list an address. It returns the state of a coordinator that
// was not followed before, else nil.
func (r *roster) list(address string, now time.Time) (added *coordinatorState) {
	if s, ok := r.coordinators[address]; ok {
		s.renewedAt = now
		return nil
	}
	s := &coordinatorState{renewedAt: now}
	r.coordinators[address] = s
	return s
}

// recordEvent records an event of a coordinator.
func (r *roster) recordEvent(s *coordinatorState, now time.Time) {
	if r.isSilent(now) {
		r.heardSince = now
	}
	r.lastEventAt = now
	s.connected, s.renewedAt, s.lastEventAt, s.failingSince = true, now, now, time.Time{}
}

// recordFailure records the end of the stream of a coordinator, or a failed attempt to open one.
func (r *roster) recordFailure(s *coordinatorState, now time.Time) {
	s.connected = false
	if s.failingSince.IsZero() {
		s.failingSince = now
	}
}

// isSilent reports whether no coordinator has sent an event within silenceTimeout.
func (r *roster) isSilent(now time.Time) bool { return now.Sub(r.lastEventAt) > silenceTimeout }

// isExpired reports whether a coordinator is to be forgotten. The time in which all coordinators were silent does not
// count.
func (r *roster) isExpired(s *coordinatorState, now time.Time) bool {
	since := s.renewedAt
	if r.heardSince.After(since) {
		since = r.heardSince
	}
	return !r.isSilent(now) && now.Sub(since) > coordinatorTTL
}

// addForgottenSeeds adds the seeds that are not followed, if all coordinators are silent, and returns their states by
// address. They may be gone for good, so that they do not count as listed.
func (r *roster) addForgottenSeeds(now time.Time) map[string]*coordinatorState {
	added := map[string]*coordinatorState{}
	if !r.isSilent(now) {
		return added
	}
	for _, address := range r.seeds {
		if r.coordinators[address] == nil {
			added[address] = &coordinatorState{}
			r.coordinators[address] = added[address]
		}
	}
	return added
}

// count returns the number of coordinators that are expected to exist: those listed within coordinatorTTL or, if all
// have been silent for longer than that, all that are followed.
func (r *roster) count(now time.Time) (expected int) {
	for _, s := range r.coordinators {
		if now.Sub(s.renewedAt) <= coordinatorTTL {
			expected++
		}
	}
	if expected == 0 {
		return len(r.coordinators)
	}
	return expected
}

// reconnectDelay returns the wait before the stream of a coordinator is opened again. It grows with the time for which
// that has failed, and is random, so that gateways do not connect all at once to a coordinator that is back.
func (s *coordinatorState) reconnectDelay(now time.Time) time.Duration {
	limit := time.Duration(reconnectDelayShare * float64(now.Sub(s.failingSince)))
	limit = min(max(limit, minReconnectDelay), maxReconnectDelay)
	return limit/2 + rand.N(limit/2)
}
