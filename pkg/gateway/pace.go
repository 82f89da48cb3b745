package gateway

import (
	"slices"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/pace"
	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
)

const (
	// gapPeriod is the time over which the gaps between the events of a stream are averaged before they are
	// recorded, which takes the lock of the gateway.
	gapPeriod = 300 * time.Millisecond
	// maxForwardTime is the time to forward an event to the caller above which the next gap does not count:
	// the engine's events waited at the gateway.
	maxForwardTime = 20 * time.Millisecond
)

// gapMeter measures the gaps between the events of one attempt.
type gapMeter struct {
	startedAt, lastAt time.Time
	longest           time.Duration
	gaps              int
}

// add adds an event that arrived now. It reports whether the period has ended; the gaps are then to be
// recorded and the meter reset.
func (m *gapMeter) add(now time.Time) bool {
	if m.lastAt.IsZero() {
		m.startedAt, m.lastAt = now, now
		return false
	}
	m.gaps++
	m.longest = max(m.longest, now.Sub(m.lastAt))
	m.lastAt = now
	return now.Sub(m.startedAt) >= gapPeriod
}

func (m *gapMeter) mean() time.Duration { return m.lastAt.Sub(m.startedAt) / time.Duration(m.gaps) }

// recordGap measures the gap before an event that arrived now.
func (s *streamState) recordGap(m *gapMeter, engine *placement.Server, now time.Time) {
	if !m.add(now) {
		return
	}
	s.g.mu.Lock()
	s.g.pool(s.req.service.Name).RecordGaps(engine.Process(), m.mean(), m.longest, now.Sub(m.startedAt), now)
	s.g.mu.Unlock()
	*m = gapMeter{startedAt: now, lastAt: now}
}

// promptToRead returns the prompt that an engine has to read for an attempt. Its size is 0 if it is unknown: the
// engine may have the prompt cached, or a copy of the run, or reads what has been generated too. It is
// called before the placement is recorded.
func (s *streamState) promptToRead(engine *placement.Server, resumeCopy *runCopy) pace.Prompt {
	if resumeCopy != nil || s.lastEventID != "" {
		return pace.Prompt{}
	}
	now := time.Now()
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	if s.req.fields.SessionPart != "" && slices.Contains(s.g.promptLocations.CandidateEngines(s.req.fields.SessionPart, now), engine.ID) {
		return pace.Prompt{}
	}
	return pace.Prompt{Tokens: s.req.fields.PromptTokens, Ahead: s.g.pool(s.req.service.Name).PromptsAhead(engine.ID, now)}
}

// recordFirstEvent records how long the engine took until the first event of a prompt.
func (s *streamState) recordFirstEvent(engine *placement.Server, prompt pace.Prompt) {
	if prompt.Tokens == 0 {
		return
	}
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	s.g.pool(s.req.service.Name).RecordFirstEvent(engine.Process(), prompt, s.firstEventAt.Sub(s.sentAt), s.firstEventAt)
}

// latestPlacement returns the latest time of a placement with which the first event of a stream is on time.
func (g *Gateway) latestPlacement(req *callerRequest) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool(req.service.Name).LatestPlacement(req.startedAt, req.route.Objective, req.fields.PromptTokens)
}

// TakePaceSamples implements follow.PaceReporter.
func (g *Gateway) TakePaceSamples() (samples []pace.Sample) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.pools {
		samples = append(samples, p.TakePaceSamples()...)
	}
	return samples
}

// HandlePaceEntries implements follow.PaceReporter.
func (g *Gateway) HandlePaceEntries(entries []pace.Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for _, e := range entries {
		if s, ok := g.servers.Lookup(e.Process.ID); ok {
			g.pool(s.Service).RecordSharedPace(e, now)
		}
	}
}

// paceClasses returns the number of servers by class of speed.
func (g *Gateway) paceClasses(now time.Time) map[placement.PaceClass]int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	counts := map[placement.PaceClass]int64{}
	for _, p := range g.pools {
		p.CountPaceClasses(now, counts)
	}
	return counts
}

// engineEstimate returns the pace of the last engine of a stream, its source and its age, for logs.
func (s *streamState) engineEstimate() (float64, pace.Source, time.Duration) {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	return s.g.pool(s.req.service.Name).PaceEstimate(s.engineID, time.Now())
}
