package placement

import (
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/pace"
)

const (
	// recentGapWindow is the period over which the longest time between events at an engine counts. It is
	// several times as long as the prefill of a prompt, during which all events are late.
	recentGapWindow = 4 * time.Second
	// slowdownRatio and slowdownLength are how much longer an engine may take without a fault, and for how
	// long at a time, because of other work on its machine. They count where servers report how long work
	// takes at the moment, in the last slowdownReportTTL.
	slowdownRatio     = 2.5
	slowdownLength    = 600 * time.Millisecond
	slowdownReportTTL = time.Minute
	// assumedPrefillGap is the time between events of an engine of the usual pace that reads a prompt, before
	// it has been learned.
	assumedPrefillGap = 230 * time.Millisecond
	// gapMargin is the ratio to the usual and to the longest recent time between events up to which a time is
	// no surprise. Steps of equal engines differ by their numbers of streams.
	gapMargin = 1.5
)

// machines is what is known of the machines on which the servers of a service run.
type machines struct {
	// slowdownReportedAt is the latest time at which a server reported how long work takes at the moment.
	slowdownReportedAt time.Time
}

// vary reports whether servers say that the speed of their machines varies.
func (m *machines) vary(now time.Time) bool {
	return m != nil && !m.slowdownReportedAt.IsZero() && now.Sub(m.slowdownReportedAt) < slowdownReportTTL
}

// processPace is what this gateway learned of the speed of a process. The parts are nil until there is a
// sample.
type processPace struct {
	engine *pace.Engine
	calls  *pace.Calls
	// longestGaps are the longest times between events in the present and the previous window, and
	// gapWindowAt the start of the present one.
	longestGaps [2]time.Duration
	gapWindowAt time.Time
	// heardAt is the last time that an event was received or a connection accepted. It does not end an outage,
	// as the other servers of a data centre that fails may follow.
	heardAt time.Time
	// machines is what is known of the machines of the service; nil if that is nothing.
	machines *machines
	// pace is the pace of the engine as of paceAt.
	pace   float64
	paceAt time.Time
}

// enginePace returns the estimate of a server's process, which is created if there is none.
func (s *processPace) enginePace() *pace.Engine {
	if s.engine == nil {
		s.engine = &pace.Engine{}
	}
	return s.engine
}

// callPace returns the estimate of a server's process, which is created if there is none.
func (s *processPace) callPace() *pace.Calls {
	if s.calls == nil {
		s.calls = &pace.Calls{}
	}
	return s.calls
}

// PromptsAhead returns the number of prompts that an engine has to read before one that is sent now, as far as
// this gateway knows.
func (p *Pool) PromptsAhead(id string, now time.Time) int {
	s := p.servers[id]
	if s == nil {
		return 0
	}
	_, peerPrefills, _ := s.peerRunCounts(now)
	unread := 0
	if busy := p.busyUntil(s, now).Sub(now); busy > 0 {
		unread = 1 + int(busy/s.assumedPrefill(now))
	}
	return max(s.Prefilling+peerPrefills, unread)
}

// RecordFirstEvent records the time from the start of an attempt to the first event of its prompt.
func (p *Pool) RecordFirstEvent(process Process, prompt pace.Prompt, elapsed time.Duration, now time.Time) {
	if s := p.serverOf(process); s != nil {
		log, weight := p.engines.RecordFirstEvent(s.enginePace(), prompt, elapsed, now)
		p.addPaceSample(process, log, weight, now)
	}
}

func (p *Pool) addPaceSample(process Process, log, weight float64, now time.Time) {
	p.paceSamples.Add(pace.Sample{Process: pace.Process(process), Log: log, Weight: weight, At: now})
}

// TakePaceSamples returns the samples of the pace of engines since the last call, for the other gateways.
func (p *Pool) TakePaceSamples() []pace.Sample { return p.paceSamples.Take() }

// RecordSharedPace records the estimate of an engine's pace from the samples of all gateways. Those of a process
// that has ended are ignored.
func (p *Pool) RecordSharedPace(e pace.Entry, now time.Time) {
	if s := p.serverOf(Process(e.Process)); s != nil {
		s.enginePace().RecordShared(pace.Shared{Log: e.Log, Weight: e.Weight, Gateways: e.Gateways, ReceivedAt: now})
	}
}

// RecordGaps records the mean and the longest of the times between the events of a stream in a period that
// ends now.
func (p *Pool) RecordGaps(process Process, mean, longest, period time.Duration, now time.Time) {
	s := p.serverOf(process)
	if s == nil {
		return
	}
	s.heardAt = now
	s.recordLongestGap(longest, now)
	from := now.Add(-period)
	// Whether a prompt was read is compared at the start and the end: a sample of both kinds says little.
	if prefill := p.readsPrompt(s, now); prefill == p.readsPrompt(s, from) {
		log, weight := p.engines.RecordGaps(s.enginePace(), pace.Gaps{Mean: mean, Streams: s.streams(now), Prefill: prefill}, now)
		p.addPaceSample(process, log, weight, now)
	}
}

func (s *processPace) recordLongestGap(gap time.Duration, now time.Time) {
	if age := now.Sub(s.gapWindowAt); age >= recentGapWindow {
		previous := s.longestGaps[0]
		if age >= 2*recentGapWindow {
			previous = 0
		}
		s.longestGaps, s.gapWindowAt = [2]time.Duration{0, previous}, now
	}
	s.longestGaps[0] = max(s.longestGaps[0], gap)
}

// longestGap returns the longest time between events in the last recentGapWindow or somewhat more.
func (s *processPace) longestGap(now time.Time) time.Duration {
	switch age := now.Sub(s.gapWindowAt); {
	case age >= 2*recentGapWindow:
		return 0
	case age >= recentGapWindow:
		return s.longestGaps[0]
	}
	return max(s.longestGaps[0], s.longestGaps[1])
}

// readsPrompt reports whether an engine reads a prompt at a time, as far as this gateway knows: prompts that
// were sent to it are read one after the other.
func (p *Pool) readsPrompt(s *Server, at time.Time) bool {
	return at.Before(p.busyUntil(s, at))
}

// busyUntil returns the time until which an engine reads the prompts that were sent to it before a time.
func (p *Pool) busyUntil(s *Server, at time.Time) (busyUntil time.Time) {
	duration := s.assumedPrefill(at)
	for _, startedAt := range s.prefillStarts {
		if startedAt.After(at) {
			continue
		}
		if busyUntil.Before(startedAt) {
			busyUntil = startedAt
		}
		busyUntil = busyUntil.Add(duration)
	}
	return busyUntil
}

// minSlowGap is the time between events from which an engine whose machine has a constant speed counts as slow. An engine
// of the usual speed that reads a prompt sends an event every 260 ms; its silence is an end more often than not.
const minSlowGap = 300 * time.Millisecond

// PlausibleGap returns the longest time between two events that the engine of a run can be expected to take
// without a fault, 0 if nothing is known of it, and the estimate that it follows from.
func (p *Pool) PlausibleGap(process Process, now time.Time) (time.Duration, GapEstimate) {
	s := p.serverOf(process)
	if s == nil {
		return 0, GapEstimate{}
	}
	e := GapEstimate{Pace: s.engine.Pace(now), Prefill: p.readsPrompt(s, now), Longest: s.longestGap(now)}
	e.Source, e.Age = s.engine.Explain(now)
	e.Usual = p.engines.Gap(s.engine, s.streams(now), e.Prefill, now)
	longest := max(e.Usual, e.Longest)
	plausible := scaled(longest, gapMargin)
	reportsSlowdown := p.machines.vary(now)
	if !reportsSlowdown && longest < minSlowGap {
		return 0, e
	}
	if reportsSlowdown {
		if e.Prefill && e.Usual == 0 {
			e.Usual = scaled(assumedPrefillGap, e.Pace)
		}
		plausible = max(plausible, min(scaled(e.Usual, slowdownRatio), e.Usual+scaled(slowdownLength, 1-1/slowdownRatio)))
	}
	return plausible, e
}

// GapEstimate is the estimate of the time between two events of an engine, for logs.
type GapEstimate struct {
	// Pace is the pace of the engine, Source where it comes from, and Age that of its last sample.
	Pace   float64
	Source pace.Source
	Age    time.Duration
	// Usual is the expected time, Longest the longest recent one, and Prefill tells whether the engine reads a
	// prompt.
	Usual, Longest time.Duration
	Prefill        bool
}

// PaceEstimate returns the learned pace of an engine, which placements may not use, its source and the age of its last
// sample.
func (p *Pool) PaceEstimate(id string, now time.Time) (float64, pace.Source, time.Duration) {
	s := p.servers[id]
	if s == nil {
		return 1, pace.SourceNone, 0
	}
	source, age := s.engine.Explain(now)
	return s.engine.Pace(now), source, age
}

// IsAlive reports whether something was received from a process after a time.
func (p *Pool) IsAlive(process Process, since time.Time) bool {
	s := p.serverOf(process)
	return s != nil && (s.lastAliveAt.After(since) || s.heardAt.After(since))
}

// RecordAlive records that a connection to a process was accepted.
func (p *Pool) RecordAlive(process Process, now time.Time) {
	if s := p.serverOf(process); s != nil {
		s.heardAt = now
	}
}

// PaceClass is a class of speed, for metrics.
type PaceClass string

// The classes of speed. Their bounds lie between the speeds of 0.6, 1.0 and 1.6 times the usual, and above them.
const (
	PaceUnknown PaceClass = "unknown"
	PaceFast    PaceClass = "fast"
	PaceUsual   PaceClass = "usual"
	PaceSlow    PaceClass = "slow"
	PaceStalled PaceClass = "very_slow"
)

// PaceClasses lists all classes.
var PaceClasses = []PaceClass{PaceUnknown, PaceFast, PaceUsual, PaceSlow, PaceStalled}

// CountPaceClasses adds the number of engines of each class to counts.
func (p *Pool) CountPaceClasses(now time.Time, counts map[PaceClass]int64) {
	const fastBelow, slowFrom, verySlowFrom = 0.8, 1.25, 2.5
	for _, s := range p.all.servers {
		if s.engine == nil {
			continue
		}
		class, relative := PaceUsual, s.engine.Pace(now)
		switch source, _ := s.engine.Explain(now); {
		case source == pace.SourceNone:
			class = PaceUnknown
		case relative < fastBelow:
			class = PaceFast
		case relative >= verySlowFrom:
			class = PaceStalled
		case relative >= slowFrom:
			class = PaceSlow
		}
		counts[class]++
	}
}
