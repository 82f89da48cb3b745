package loadmodel

import (
	"fmt"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
)

// gapPeriod is the time over which gateways average the gaps between the events of a stream.
const gapPeriod = 300 * time.Millisecond

// process returns the process that an engine was announced with.
func (e *engine) process() placement.Process {
	return placement.Process{ID: e.id, StartedMS: int64(1 + e.incarnation)}
}

// learn records what the gateway of a stream learns from an event that arrives now.
func (m *model) learn(s *streamState, first bool) {
	if !m.policy.Learn {
		return
	}
	pool := s.gateway.pool
	if first && s.prompted.Tokens > 0 {
		pool.RecordFirstEvent(s.engine.process(), s.prompted, m.now-s.placedAt, m.wallTime())
	}
	if first && m.load.Noise.Share > 0 {
		e := s.engine
		report := placement.LoadReport{Running: len(e.running), Waiting: len(e.waiting), Slots: e.spec.Runs, Slowdown: 1}
		if e.noisy {
			report.Slowdown = m.load.Noise.Times
		}
		pool.RecordLoad(e.id, report, m.wallTime())
	}
	if s.gapsFrom == 0 {
		s.gapsFrom = m.now
		return
	}
	s.gaps++
	s.longestGap = max(s.longestGap, m.now-s.lastEventAt)
	if period := m.now - s.gapsFrom; period >= gapPeriod {
		pool.RecordGaps(s.engine.process(), period/time.Duration(s.gaps), s.longestGap, period, m.wallTime())
		s.gaps, s.longestGap, s.gapsFrom = 0, 0, m.now
	}
}

// exchangePaces sends the samples of a gateway to the table of all gateways and receives its changes.
func (m *model) exchangePaces(i int, g *gateway) {
	now := m.wallTime()
	m.paces.Record(fmt.Sprint("g", i), g.pool.TakePaceSamples(), now)
	changes, upTo := m.paces.Changes(g.paceVersion, maxPaceEntries, now)
	g.paceVersion = upTo
	for _, c := range changes {
		g.pool.RecordSharedPace(c, now)
	}
	if m.now < time.Duration(m.load.Seconds*float64(time.Second)) {
		m.schedule(paceInterval, func() { m.exchangePaces(i, g) })
	}
}

// watchSilence decides after an event of a stream what becomes of it if no other one follows.
func (m *model) watchSilence(s *streamState) {
	event, lastEventAt, engine := s.event, m.now, s.engine
	d := placement.Silence{Timeout: silenceTimeout, SlowTimeout: slowTimeout}
	var decide func()
	decide = func() {
		if s.event != event || s.engine != engine || s.task == nil {
			return
		}
		d.Elapsed, d.HasCopy = m.now-lastEventAt, m.hasUsableBackup(s)
		if m.policy.Learn {
			d.Plausible, _ = s.gateway.pool.PlausibleGap(engine.process(), m.wallTime())
		}
		action, wait := d.Decide()
		switch action {
		case placement.WaitOn:
			m.schedule(wait, decide)
		case placement.CheckEngine:
			// Engines that have failed are detected at once.
			d.CheckedAt = d.Elapsed
			m.schedule(0, decide)
		case placement.LeaveGone, placement.LeaveSlow:
			if d.HasCopy {
				m.leaveSilent(s)
			}
		}
	}
	m.schedule(silenceTimeout-placement.ReachCheckLead, decide)
}

// leaveSilent resumes a stream from its backup.
func (m *model) leaveSilent(s *streamState) {
	engine, backup := s.engine, s.backup
	engine.remove(s.task)
	m.release(s)
	m.dropBackup(s)
	s.result.SilentMoves++
	incarnation := backup.incarnation
	m.schedule(resumeDelay, func() {
		if backup.failed || backup.incarnation != incarnation {
			m.dispatch(s)
			return
		}
		m.continueFromCopy(s, backup)
	})
}

// hasUsableBackup reports whether a stream can be resumed from its backup.
func (m *model) hasUsableBackup(s *streamState) bool {
	return s.backup != nil && !s.backup.failed && s.backup.incarnation == s.backupIncarnation && m.now-s.placedAt > backupDelay && s.generated > 0
}
