package gateway

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/geraniumpitch/geraniumpitch/pkg/quarantine"
)

const (
	// beginWindow is the time of writing within which the end of an engine is put down to the run:
	// a harmful prompt ends its engine as it begins to answer, and the first events may arrive.
	beginWindow = 250 * time.Millisecond
	// soundAfter is the time of writing after which a run proves that its prompt is sound. If the engine ends between
	// beginWindow and soundAfter, the run may have been the cause.
	soundAfter = 500 * time.Millisecond
)

var errQuarantined = eris.New("engines ended under parts of the prompt")

// HandlePromptReport implements follow.Sink.
func (g *Gateway) HandlePromptReport(r quarantine.Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordPromptReport(r)
}

// recordPromptReport records a report and aborts the runs that wait for their engine's first event
// with a prompt that is suspected now; g.mu is held.
func (g *Gateway) recordPromptReport(r quarantine.Report) {
	began := g.logSuspicions(g.quarantine.Record(r, time.Now()))
	if !began {
		return
	}
	for s, abort := range g.unstarted {
		if g.quarantine.IsSuspected(s.req.fields.SuspectParts()) {
			s.quarantined.Store(true)
			abort()
		}
	}
}

// logSuspicions logs suspicions that began or ended, and reports whether one began.
func (g *Gateway) logSuspicions(changes []quarantine.Change) (began bool) {
	for _, c := range changes {
		if c.Began {
			began = true
			g.log.Warn("parts of prompts are suspected: engines end as they begin to answer them", "parts", c.Parts, "engines", c.Endings)
		} else {
			g.log.Info("parts of prompts are no longer suspected", "parts", c.Parts, "engines", c.Endings)
		}
	}
	return began
}

// admitPrompt returns errQuarantined if the prompt is suspected. Admitted runs are aborted if their
// prompt becomes suspected before their first event, see recordPromptReport.
func (s *streamState) admitPrompt(abort func()) error {
	g := s.g
	g.mu.Lock()
	defer g.mu.Unlock()
	admitted, retryAfter := g.admitPartsLocked(s.req.fields.SuspectParts())
	if !admitted {
		s.quarantineRetryAfter = retryAfter
		return errQuarantined
	}
	g.unstarted[s] = abort
	return nil
}

// admitParts reports whether a request with these prompt parts may be sent to a server and, if not, the time until one
// may.
func (g *Gateway) admitParts(parts []string) (admitted bool, retryAfter time.Duration) {
	if len(parts) == 0 {
		return true, 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admitPartsLocked(parts)
}

// admitPartsLocked implements admitParts; g.mu is held.
func (g *Gateway) admitPartsLocked(parts []string) (admitted bool, retryAfter time.Duration) {
	gateways := g.usage.Gateways()
	if gateways == 0 {
		gateways = assumedGateways
	}
	admitted, retryAfter = g.quarantine.Admit(parts, gateways, time.Now())
	if !admitted {
		g.metrics.countQuarantined()
	}
	return admitted, retryAfter
}

// recordStarted ends the watch for suspicions at the first event or the end of an attempt.
func (s *streamState) recordStarted() {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	delete(s.g.unstarted, s)
}

// recordWriting reports once that the prompt is sound, if engines ended under parts of it before.
func (s *streamState) recordWriting(complete bool) {
	if s.soundReported || s.firstEventAt.IsZero() || !complete && s.writingTime() < soundAfter {
		return
	}
	s.soundReported = true
	s.g.recordSound(s.req.fields.SuspectParts())
}

// recordSound records that the parts of a prompt are sound and, if engines ended under some of them, reports it.
func (g *Gateway) recordSound(parts []string) {
	if len(parts) == 0 {
		return
	}
	g.mu.Lock()
	now := time.Now()
	g.quarantine.RecordSound(parts, now)
	unproven := g.quarantine.Unproven(parts, now)
	if len(unproven) > 0 {
		g.recordPromptReport(quarantine.Report{Parts: unproven})
	}
	g.mu.Unlock()
	if len(unproven) > 0 {
		g.coordinators.ReportPrompt(quarantine.Report{Parts: unproven})
	}
}
