package gateway

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
)

// admissionInterval is the interval at which a waiting stream looks for a place again. Places that other
// gateways' streams leave become free without a notice; it is well below the duration of a prefill.
const admissionInterval = 50 * time.Millisecond

var errNoTimeLeft = eris.New("no engine has a place, and a stream would no longer end before the deadline")

// admissionQueue returns the queue of a service; g.mu is held.
func (g *Gateway) admissionQueue(service string) *placement.AdmissionQueue {
	q := g.admissionQueues[service]
	if q == nil {
		q = &placement.AdmissionQueue{}
		g.admissionQueues[service] = q
	}
	return q
}

// waitingStreams returns the number of streams that wait for a place at an engine.
func (g *Gateway) waitingStreams() (count int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, q := range g.admissionQueues {
		count += q.Len()
	}
	return count
}

// selectPlace selects the engine for a run that needs a prefill. While the engines have no place for it, or
// another stream is next, it returns nil, and waitsForPlace is set; g.mu is held.
func (s *streamState) selectPlace(pool *placement.Pool, run placement.Run, now time.Time) *placement.Server {
	queue := s.g.admissionQueue(s.req.service.Name)
	s.waitsForPlace = false
	if pool.SelectCachingEngine(now, run) == nil && pool.CanWait(now, run) {
		s.pending.Resumes = s.lastEventID != ""
		s.updateExcess()
		var selected *placement.Server
		switch {
		case !queue.IsNext(&s.pending, now):
		case queue.Len() == 0 && !s.pending.Excess:
			selected = pool.SelectFreeEngine(now, run)
		default:
			selected = pool.ClaimFreeEngine(now, run, s.claimShare(now))
		}
		if selected == nil {
			queue.Join(&s.pending)
			s.g.streamControl(s.req.service.Name).waitedAt = now
			s.waitsForPlace = true
			return nil
		}
		queue.Leave(&s.pending)
		return selected
	}
	queue.Leave(&s.pending)
	return pool.SelectEngine(now, run)
}

// demandShare returns the share of this gateway in the demand for a service; g.mu is held.
func (g *Gateway) demandShare(service string, now time.Time) float64 {
	if share := g.usage.Share(service, g.budget(service).Usage(now).Demand, now); share > 0 {
		return share
	}
	return 1.0 / assumedGateways
}

// claimShare returns the share of the places that this gateway claims for the stream; g.mu is held.
func (s *streamState) claimShare(now time.Time) float64 {
	share := s.g.demandShare(s.req.service.Name, now)
	if s.pending.Excess {
		share *= placement.ExcessClaimShare
	}
	return share
}

// leaveAdmissionQueue ends the wait for a place.
func (s *streamState) leaveAdmissionQueue() {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	s.g.admissionQueue(s.req.service.Name).Leave(&s.pending)
}

// waitForPlace waits until the stream is next and an engine has a place for it, and returns that engine. It
// returns an error if a stream that has not run cannot end in time any more.
func (s *streamState) waitForPlace() (*placement.Server, *runCopy, error) {
	startedAt, estimatedAt := time.Now(), time.Time{}
	for {
		if s.possibleRuns == 0 && time.Since(estimatedAt) >= estimateInterval {
			if s.cannotEnd() {
				s.g.metrics.countShed("stream_deadline")
				return nil, nil, errCannotEnd
			}
			estimatedAt = time.Now()
		}
		usual, _ := s.g.streamDurations(s.req.route.Name)
		if s.possibleRuns == 0 && time.Until(s.req.deadline) < usual {
			return nil, nil, errNoTimeLeft
		}
		s.g.mu.Lock()
		changed := s.g.serversChanged
		s.g.mu.Unlock()
		if !waitFor(s.ctx, admissionInterval, changed) {
			return nil, nil, s.ctx.Err()
		}
		engine, resumeCopy := s.selectEngine()
		if s.waitsForPlace {
			continue
		}
		waited, engineID := time.Since(startedAt), ""
		if engine != nil {
			engineID = engine.ID
		}
		s.g.metrics.recordAdmissionWait(waited)
		s.g.log.Info("stream waited for a place", "request", s.req.fields.ID, "rank", s.req.rank, "waited_ms", waited.Milliseconds(),
			"begun", s.lastEventID != "", "engine", engineID)
		return engine, resumeCopy, nil
	}
}
