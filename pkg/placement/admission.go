package placement

import (
	"slices"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
)

const (
	// maxPrefillsPerEngine is the number of prompts that gateways send to one engine of the usual pace before
	// the first event of the earliest: one in prefill, and one that follows it while the gateways learn of
	// its end.
	maxPrefillsPerEngine = 2
	// placementLag is the time until the other gateways know of a placement: the interval at which
	// placements are sent, and the way through a coordinator.
	placementLag = 150 * time.Millisecond
	// claimInterval is the interval at which a gateway may claim a place at one engine.
	claimInterval = 50 * time.Millisecond
	// ExcessClaimShare is how much less often a gateway claims places for a stream in excess. The streams of other
	// gateways that are not then get most of them.
	ExcessClaimShare = 0.25
)

// PendingStream is a stream that has no engine yet.
type PendingStream struct {
	// Rank is the rank of the request; lower ranks are more urgent.
	Rank int
	// Resumes is set if the caller has received a part of the response.
	Resumes bool
	// OnTimeUntil is the latest time of a placement with which the first event is on time.
	OnTimeUntil time.Time
	// Excess is set if the organisation offers much more than its usual load, and this stream is not part of that.
	Excess bool
	// Tokens is the size of the prompt.
	Tokens int

	joined  bool
	arrival uint64
}

// AdmissionQueue orders the streams that wait at a gateway for an engine of a service. The load pattern is
// more prompts than the engines prefill in time: a burst, or engines that end under their queues. A
// stream that waits here instead of in the queue of an engine is placed where room appears first, for
// example at an engine that has just started, and more urgent ones go before it. The zero value is an
// empty queue. It is not safe for concurrent use.
type AdmissionQueue struct {
	waiting  []*PendingStream
	arrivals uint64
}

// Join adds a stream, unless it waits already.
func (q *AdmissionQueue) Join(s *PendingStream) {
	if s.joined {
		return
	}
	q.arrivals++
	s.joined, s.arrival = true, q.arrivals
	q.waiting = append(q.waiting, s)
}

// Leave removes a stream, if it waits.
func (q *AdmissionQueue) Leave(s *PendingStream) {
	if !s.joined {
		return
	}
	s.joined = false
	q.waiting = slices.DeleteFunc(q.waiting, func(other *PendingStream) bool { return other == s })
}

// AheadOf returns the tokens of the prompts that go before a stream, which need not wait itself.
func (q *AdmissionQueue) AheadOf(s *PendingStream, now time.Time) (tokens int) {
	for _, other := range q.waiting {
		if other != s && q.goesBefore(other, s, now) {
			tokens += other.Tokens
		}
	}
	return tokens
}

// Len returns the number of waiting streams.
func (q *AdmissionQueue) Len() int { return len(q.waiting) }

// IsNext reports whether no waiting stream goes before s, which need not wait itself.
func (q *AdmissionQueue) IsNext(s *PendingStream, now time.Time) bool {
	return !slices.ContainsFunc(q.waiting, func(other *PendingStream) bool { return other != s && q.goesBefore(other, s, now) })
}

// goesBefore reports whether s is placed before other. Streams that have begun come first, as their callers
// wait in the middle of a response. Streams that can no longer be on time come last: they would make
// others late without being on time themselves. Within a rank, streams beyond the usual load of their
// organisation come after the others.
func (q *AdmissionQueue) goesBefore(s, other *PendingStream, now time.Time) bool {
	if onTime, otherOnTime := s.canBeOnTime(now), other.canBeOnTime(now); onTime != otherOnTime {
		return onTime
	}
	if s.Resumes != other.Resumes {
		return s.Resumes
	}
	if s.Rank != other.Rank {
		return s.Rank < other.Rank
	}
	if s.Excess != other.Excess {
		return other.Excess
	}
	if !s.OnTimeUntil.Equal(other.OnTimeUntil) {
		return s.OnTimeUntil.Before(other.OnTimeUntil)
	}
	return s.joined && (!other.joined || s.arrival < other.arrival)
}

// canBeOnTime reports whether a placement now can make the stream on time. A stream that has begun and
// needs a prefill cannot: the pause before its next event is too long.
func (s *PendingStream) canBeOnTime(now time.Time) bool {
	return !s.Resumes && !now.After(s.OnTimeUntil)
}

// LatestPlacement returns the latest time of a placement with which the first event of a stream with a usual
// prompt is on time.
func LatestPlacement(arrivedAt time.Time, objective time.Duration) time.Time {
	return arrivedAt.Add(objective - prefillDuration)
}

// SelectCachingEngine returns the most likely engine that has the prompt of a run cached and room for it, nil
// if there is none. The run needs no prefill there, so it waits for no other stream.
func (p *Pool) SelectCachingEngine(now time.Time, r Run) *Server {
	for _, id := range r.Prefer {
		if s := p.servers[id]; s != nil && p.isSelectable(s, now, r.Exclude) && !p.isAvoided(s, now) && hasLocalRoom(s, r) {
			return s
		}
	}
	return nil
}

// CanWait reports whether it makes sense for a run to wait for a place: an engine is healthy, and the run
// fits into its memory.
func (p *Pool) CanWait(now time.Time, r Run) bool {
	if r.EngineMemoryTokens == 0 || float64(r.Tokens) > float64(r.EngineMemoryTokens)*(1-memoryReserveShare) {
		return false
	}
	for _, s := range p.candidateSample() {
		if s.State == directory.Ready && p.isSelectable(s, now, r.Exclude) && !p.isAvoided(s, now) {
			return true
		}
	}
	return false
}

// SelectFreeEngine selects the engine with the lowest cost among those that can begin the prefill of a run
// soon, or returns nil if none can.
func (p *Pool) SelectFreeEngine(now time.Time, r Run) *Server {
	return p.selectCheapest(p.freeEngines(now, r), func(s *Server) float64 { return p.placementCost(s, now, r) })
}

func (p *Pool) freeEngines(now time.Time, r Run) []*Server {
	return slices.DeleteFunc(slices.Clone(p.candidates(now, r.Exclude)), func(s *Server) bool { return p.isAvoided(s, now) || !hasPlace(s, now, r) })
}

// ClaimFreeEngine is SelectFreeEngine for a gateway whose streams wait. An engine that becomes free, or has
// just started, is free to all gateways, whose streams would all go there before any of them knows of the
// others'. Each gateway therefore claims a place only with a probability that follows its share of the
// demand, from 0 to 1, so that all of them together claim about as many as there are.
func (p *Pool) ClaimFreeEngine(now time.Time, r Run, share float64) *Server {
	probability := maxPrefillsPerEngine * share * float64(claimInterval) / float64(placementLag)
	claimable := slices.DeleteFunc(p.freeEngines(now, r), func(s *Server) bool {
		if now.Sub(s.claimDrawnAt) >= claimInterval {
			s.claimDrawnAt, s.claimable = now, p.rand.Float64() < probability
		}
		return !s.claimable
	})
	selected := p.selectCheapest(claimable, func(s *Server) float64 { return p.placementCost(s, now, r) })
	if selected != nil {
		selected.claimable = false
	}
	return selected
}

// hasPlace reports whether an engine can begin the prefill of a run soon: it has a slot and memory, and few
// prompts are ahead.
func hasPlace(s *Server, now time.Time, r Run) bool {
	_, peerPrefills, _ := s.peerRunCounts(now)
	if float64(s.Prefilling+peerPrefills)*s.relativePace(now) >= maxPrefillsPerEngine || s.Slots > 0 && s.streams(now) >= s.Slots {
		return false
	}
	return hasRoom(s, now, r)
}
