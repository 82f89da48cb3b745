package gateway

import (
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
)

// recordPlacement records the engine of an attempt and announces it to the other gateways.
// It is called before the request is sent, so that the other gateways avoid the engine
// during the prefill.
func (s *streamState) recordPlacement(engine, backup *placement.Server, copied bool) {
	sessionPart := s.req.fields.SessionPart
	if sessionPart == "" || !s.req.route.Resumable {
		return
	}
	now := time.Now()
	s.g.mu.Lock()
	s.g.promptLocations.Record(sessionPart, engine.ID, copied, now)
	if !copied {
		s.g.pool(s.req.service.Name).RecordPrefill(engine.ID, now)
	}
	s.g.mu.Unlock()
	s.announcePlacement(engine, backup, copied)
}

// announcePlacement announces the engines of the run and its copy to the other gateways.
func (s *streamState) announcePlacement(engine, backup *placement.Server, copied bool) {
	if s.req.fields.SessionPart == "" {
		return
	}
	location := placement.Placement{Subject: s.req.fields.SessionPart, Server: engine.ID, PromptCopied: copied}
	if backup != nil {
		location.Backup = backup.ID
	}
	s.g.coordinators.AnnouncePlacement(location)
}

// selectEngine returns the engine for the next attempt, nil if there is none, and the
// copy from which it resumes the run, nil if the engine has to prefill the prompt. If waitsForPlace is set
// afterwards, there are engines, but the stream has to wait for a place at one.
func (s *streamState) selectEngine() (engine *placement.Server, resumeCopy *runCopy) {
	now := time.Now()
	g := s.g
	g.mu.Lock()
	defer g.mu.Unlock()
	defer func() {
		if engine != nil {
			s.send = g.beginSend(s.req, engine, now)
		}
	}()
	pool, choice := g.requestPool(s.req, now)
	g.updateDemand(s.req.service.Name, now)
	s.waitsForPlace = false
	if choice.HasFallback {
		if engine, resumeCopy, ok := s.selectNewEngine(pool, choice, now); ok {
			return engine, resumeCopy
		}
	}
	if !s.limit.isNext() {
		return nil, nil
	}
	if resumeCopy := s.latestCopy.take(); resumeCopy != nil && g.copyAvailable(s.req.service.Name, resumeCopy) &&
		pool.AllowsResume(resumeCopy.holder.ID, now) {
		return &resumeCopy.holder, resumeCopy
	}
	run := s.requirements()
	if s.retryEngineID != "" {
		run.Prefer, s.retryEngineID = []string{s.retryEngineID}, ""
	}
	if s.req.fields.SessionPart != "" {
		run.Prefer = append(run.Prefer, g.promptLocations.CandidateEngines(s.req.fields.SessionPart, now)...)
	}
	selected := s.selectPlace(pool, run, now)
	if s.waitsForPlace {
		return nil, nil
	}
	if selected == nil && len(s.excludedIDs) > 0 {
		// All engines have failed this run; the one excluded first may have recovered.
		s.excludedIDs = s.excludedIDs[1:]
		selected = pool.SelectEngine(now, s.requirements())
	}
	if selected == nil && choice.HasFallback {
		pool.Restrict(choice.Version)
		selected = pool.SelectEngine(now, s.requirements())
	}
	if selected == nil {
		return nil, nil
	}
	chosen := *selected
	return &chosen, nil
}

// describeCopy returns the identifier of the engine that may hold a copy and the handle of the copy, for logs. Both are empty
// if there is no copy.
func (s *streamState) describeCopy() (holderID, handle string) {
	if c := s.latestCopy.get(); c != nil {
		return c.holder.ID, c.handle
	}
	return "", ""
}

// queuePriority returns the priority of the run in the queues of engines, lower first.
// Each rank has two priorities: resumed runs precede new ones of their rank, because the
// caller has received a part of the response and most of the work is done.
func (s *streamState) queuePriority() *int {
	priority := 2*s.req.rank + 1
	if s.lastEventID != "" {
		priority--
	}
	return &priority
}

// requirements returns the requirements of the run for selecting an engine.
func (s *streamState) requirements() placement.Run {
	run := placement.Run{Tokens: s.req.fields.PromptTokens + s.req.fields.OutputTokens, Exclude: s.excludedIDs}
	if e := s.req.service.Engine; e != nil {
		run.EngineMemoryTokens = e.MemoryTokens
	}
	return run
}

// mayRelocate reports whether the run is expected to be relocated after its prefill at this
// engine.
func (s *streamState) mayRelocate(engine *placement.Server, run placement.Run) bool {
	e := s.req.service.Engine
	if e == nil || !e.CopiesOnRequest || !s.req.route.Resumable {
		return false
	}
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	now := time.Now()
	return s.g.copyPool(s.req, engine, now).SelectRelocationTarget(now, run, engine.ID) != nil
}

// selectBackup returns the engine that is to hold a copy of the run, nil if there is none.
func (s *streamState) selectBackup(engine *placement.Server, run placement.Run) *placement.Server {
	if e := s.req.service.Engine; e == nil || !e.ContinuousCopies || !s.req.route.Resumable {
		return nil
	}
	run.Exclude = append([]string{engine.ID}, run.Exclude...)
	run.EngineDataCentre = engine.DataCentre
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	now := time.Now()
	selected := s.g.copyPool(s.req, engine, now).SelectBackup(now, run)
	if selected == nil {
		return nil
	}
	backup := *selected
	return &backup
}

// adjustReservation records the start of an attempt if prompts is positive and its end
// otherwise, and adds tokens, negative at the end, to the memory reserved at the engine and
// its backup. The start also reserves the prefill; firstEventWatch.stop releases that.
func (s *streamState) adjustReservation(engine, backup *placement.Server, tokens, prompts int) {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	pool := s.g.pool(s.req.service.Name)
	if prompts > 0 {
		pool.RecordRequestStart(engine.ID)
		pool.RecordSend(engine.ID, s.sentAt)
		pool.Reserve(engine.ID, tokens, 0, prompts)
	} else {
		pool.RecordRequestEnd(engine.ID, time.Now())
		pool.Reserve(engine.ID, tokens, 0, 0)
	}
	if backup != nil {
		pool.Reserve(backup.ID, 0, tokens, 0)
	}
}

// waitForEngine waits until servers change, at most maxServerWait, which counts as an attempt, or for
// the limits of the engines. It returns an error if these do not let the run start in time.
func (s *streamState) waitForEngine() error {
	s.g.mu.Lock()
	now := time.Now()
	changed := s.g.serversChanged
	if s.headSent && !s.limit.isWaiting() {
		s.limit = s.g.newLimitWait(s.req, resumeLimitPatience)
	}
	wait, limited := s.limit.next(now, s.excludedIDs)
	_, _, isLimited := s.g.waitingPool(s.req, now).LimitWait(now, s.excludedIDs)
	s.g.mu.Unlock()
	switch {
	case limited:
	case isLimited:
		return errServerLimits
	default:
		wait = maxServerWait
		s.attempts++
	}
	waitFor(s.ctx, wait, changed)
	return nil
}

// exclude excludes an engine from this run; if unreachable, it also marks the engine as
// unreachable for all requests.
func (s *streamState) exclude(engine *placement.Server, unreachable bool) {
	s.excludedIDs = append(s.excludedIDs, engine.ID)
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	pool := s.g.pool(s.req.service.Name)
	if unreachable {
		pool.RecordUnreachable(engine.ID, time.Now())
	}
}
