package gateway

import (
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
	"github.com/geraniumpitch/geraniumpitch/pkg/quarantine"
)

const (
	// beginWindow is the time of writing within which the end of an engine is put down to the run:
	// a harmful prompt ends its engine as it begins to answer, and the first events may arrive.
	beginWindow = 250 * time.Millisecond
	// soundAfter is the time of writing after which a run proves that its prompt is sound.
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
		if g.quarantine.IsSuspected(s.req.fields.SharedParts) {
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
	admitted, retryAfter := g.quarantine.Admit(s.req.fields.SharedParts, time.Now())
	if !admitted {
		s.quarantineRetryAfter = retryAfter
		g.metrics.countQuarantined()
		return errQuarantined
	}
	g.unstarted[s] = abort
	return nil
}

// recordStarted ends the watch for suspicions at the first event or the end of an attempt.
func (s *streamState) recordStarted() {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	delete(s.g.unstarted, s)
}

// recordEngineEnd reports an engine that ended as it began to answer this run. An engine that only
// closed the connection still accepts new ones.
func (s *streamState) recordEngineEnd(engine *placement.Server, err error) {
	broken := errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
	if !broken || s.ctx.Err() != nil || !s.headReceived || s.writingTime() >= beginWindow || !s.g.client.Refuses(s.ctx, engine.Address) {
		return
	}
	s.enginesEnded++
	report := quarantine.Report{Parts: s.req.fields.SharedParts, Engine: engine.ID, StartedMS: engine.StartedMS}
	s.g.log.Warn("engine ended as it began to answer", "request", s.req.fields.ID, "engine", engine.ID, "started_ms", engine.StartedMS,
		"shared_parts", report.Parts, "engines_ended", s.enginesEnded)
	if len(report.Parts) == 0 {
		return
	}
	s.g.mu.Lock()
	s.g.recordPromptReport(report)
	s.g.mu.Unlock()
	s.g.coordinators.ReportPrompt(report)
}

// recordWriting reports once that the prompt is sound, if engines ended under parts of it before.
func (s *streamState) recordWriting(complete bool) {
	if s.soundReported || s.firstEventAt.IsZero() || !complete && s.writingTime() < soundAfter {
		return
	}
	s.soundReported = true
	s.g.mu.Lock()
	parts := s.g.quarantine.Unproven(s.req.fields.SharedParts, time.Now())
	if len(parts) > 0 {
		s.g.recordPromptReport(quarantine.Report{Parts: parts})
	}
	s.g.mu.Unlock()
	if len(parts) > 0 {
		s.g.coordinators.ReportPrompt(quarantine.Report{Parts: parts})
	}
}
