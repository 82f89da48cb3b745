package placement

import (
	"slices"
	"time"
)

const (
	// prefillWindow is the period over which the prefills of an engine are counted. It is about
	// the length of a stream, whose events they delay.
	prefillWindow = 5 * time.Second
	// maxPrefillStarts is the maximum number of prefills that are recorded per engine.
	maxPrefillStarts = 16
	// maxPrefillShare is the upper bound of the estimated share of time spent on prefill.
	maxPrefillShare = 0.9
	// slowdownPerStream is the share by which each additional stream lengthens an engine's step.
	slowdownPerStream = 0.03
	// idleTargetCost and remoteTargetCost are the additional costs of a target without streams,
	// which is kept free for prompts, and of one in another data centre. The unit is the duration
	// of a stream that has an engine to itself.
	idleTargetCost   = 0.1
	remoteTargetCost = 0.1
	// minRelocateGain is the minimum ratio between the expected durations of a stream on its
	// current and on the new engine. It exceeds 1 because a relocation costs a copy of the run's
	// memory. Ratios of 1.0 to 1.1 give the shortest streams in the simulations of package
	// loadmodel.
	minRelocateGain = 1.05
	// slowEnginePace is the pace above which streams leave an engine because of it. Weighing every difference
	// moves the streams to the fast engines, which then have no room for prompts: in simulations with speeds of
	// 0.6, 1.0 and 1.6 and 95 gateways, 95% of the streams are in time instead of 97%.
	slowEnginePace = 2.0
	// maxRatioToMean bounds the expected prefill share of an engine to this multiple of the mean
	// over all engines: while few prompts arrive, an engine's past prefills do not predict future
	// ones.
	maxRatioToMean = 2.0
)

func (s *Server) recordPrefill(startedAt time.Time) {
	s.prefillStarts = append(s.prefillStarts, startedAt)
	s.prefillStarts = slices.Delete(s.prefillStarts, 0, max(0, len(s.prefillStarts)-maxPrefillStarts))
}

// RecordPrefill records that an engine starts the prefill of a prompt.
func (p *Pool) RecordPrefill(id string, now time.Time) {
	if s := p.servers[id]; s != nil {
		s.recordPrefill(now)
	}
}

// prefillShare estimates the share of time that the engine spent on prefill during prefillWindow.
func (s *Server) prefillShare(now time.Time) float64 {
	n := 0
	for _, startedAt := range s.prefillStarts {
		if now.Sub(startedAt) < prefillWindow {
			n++
		}
	}
	return min(maxPrefillShare, float64(n)*float64(s.assumedPrefill(now))/float64(prefillWindow))
}

// streamSlowdown returns the duration of a stream on an engine with the given number of streams
// and prefill share, relative to a stream that has an engine to itself.
func streamSlowdown(streams int, prefillShare float64) float64 {
	return (1 + slowdownPerStream*float64(streams)) / (1 - prefillShare)
}

// relocationFactor returns the factor by which the pace of an engine counts when streams are relocated: they
// leave only engines that are much slower than usual.
func relocationFactor(pace float64) float64 { return max(1, pace/slowEnginePace) }

// SelectRelocationTarget selects the engine on which a run continues after its prefill, or returns
// nil if the run should stay. One prefill stalls all streams of an engine for about a second. During
// a burst of prompts, some of the engines do the prefills while streams continue undisturbed on the
// others.
func (p *Pool) SelectRelocationTarget(now time.Time, r Run, from string) *Server {
	current := p.servers[from]
	if current == nil {
		return nil
	}
	var candidates []*Server
	shareSum, n := current.prefillShare(now), 1.0
	for _, s := range p.candidates(now, append([]string{from}, r.Exclude...)) {
		shareSum, n = shareSum+s.prefillShare(now), n+1
		if !p.isAvoided(s, now) && !p.hasRecentUnreachable(s.DataCentre, now) && !now.Before(s.copyBackoffUntil) && hasRoom(s, now, r) {
			candidates = append(candidates, s)
		}
	}
	currentCost := streamSlowdown(current.streams(now), min(current.prefillShare(now), maxRatioToMean*shareSum/n)) * relocationFactor(current.relativePace(now))
	cost := func(s *Server) float64 {
		streams := s.streams(now)
		slowdown := streamSlowdown(streams+1, s.prefillShare(now)) * relocationFactor(s.relativePace(now))
		if streams == 0 {
			slowdown += idleTargetCost
		}
		if s.DataCentre != p.dataCentre {
			slowdown += remoteTargetCost
		}
		return slowdown
	}
	best := p.selectCheapest(candidates, cost)
	if best == nil || cost(best)*minRelocateGain > currentCost {
		return nil
	}
	return best
}

// streams returns the number of runs on an engine as far as this gateway can tell.
func (s *Server) streams(now time.Time) int {
	peerRunning, _, _ := s.peerRunCounts(now)
	n := s.Inflight + peerRunning
	if now.Sub(s.loadReportedAt) < engineLoadTTL {
		n = max(n, s.lastLoad.Running+s.lastLoad.Waiting)
	}
	return n
}
