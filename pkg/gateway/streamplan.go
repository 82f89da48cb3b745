package gateway

import (
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
)

// notePlacement remembers, here and at the other gateways, which engine reads the
// prompt. It comes before the run is sent, so that the others avoid the engine
// while it reads.
func (s *streaming) notePlacement(engine, backup *placement.Server, copied bool) {
	subject := s.j.fields.Subject
	if subject == "" || !s.j.route.Resumable {
		return
	}
	now := time.Now()
	s.g.mu.Lock()
	s.g.memory.Note(subject, engine.ID, copied, now)
	if !copied {
		s.g.pool(s.j.service.Name).Reads(engine.ID, now)
	}
	s.g.mu.Unlock()
	s.announcePlacement(engine, backup, copied)
}

// announcePlacement tells the other gateways where the run and its copy are.
func (s *streaming) announcePlacement(engine, backup *placement.Server, copied bool) {
	if s.j.fields.Subject == "" {
		return
	}
	placed := placement.Placement{Subject: s.j.fields.Subject, Server: engine.ID, Copied: copied}
	if backup != nil {
		placed.Backup = backup.ID
	}
	s.g.follow.Place(placed)
}

// choose returns the engine for the next attempt, and the copy of the run's memory
// that it may have.
func (s *streaming) choose() (*placement.Server, *runCopy) {
	now := time.Now()
	g := s.g
	g.mu.Lock()
	defer g.mu.Unlock()
	pool := g.pool(s.j.service.Name)
	if s.tries == 0 {
		g.budget(s.j.service.Name).Request(now)
	}
	if c := s.copies.take(); c != nil && g.holderLives(s.j.service.Name, c) {
		return &c.holder, c
	}
	run := s.demand()
	if s.again != "" {
		run.Prefer, s.again = []string{s.again}, ""
	}
	if s.j.fields.Subject != "" {
		run.Prefer = append(run.Prefer, g.memory.Engines(s.j.fields.Subject, now)...)
	}
	chosen := pool.Engine(now, run)
	if chosen == nil && len(s.excluded) > 0 {
		// All engines failed this run once; the one that failed first may be back.
		s.excluded = s.excluded[1:]
		chosen = pool.Engine(now, s.demand())
	}
	if chosen == nil {
		return nil, nil
	}
	engine := *chosen
	return &engine, nil
}

// copyAt returns the identifier of the engine that may have a copy, for logs.
func (s *streaming) copyAt() string {
	if c := s.copies.get(); c != nil {
		return c.holder.ID
	}
	return ""
}

// urgency returns the place of the run in the queues of engines: ranks are spread,
// so that a run that goes on is ahead of new ones of its rank. Its caller has a part
// of the answer, and most of the work is done.
func (s *streaming) urgency() *int {
	urgency := 2*s.j.rank + 1
	if s.last != "" {
		urgency--
	}
	return &urgency
}

// demand describes what the run needs.
func (s *streaming) demand() placement.Run {
	run := placement.Run{Tokens: s.j.fields.PromptTokens + s.j.fields.OutputTokens, Exclude: s.excluded}
	if e := s.j.service.Engine; e != nil {
		run.Memory = e.MemoryTokens
	}
	return run
}

// movesOn tells whether the run is to go on at another engine once this one has
// read its prompt.
func (s *streaming) movesOn(engine *placement.Server, run placement.Run) bool {
	e := s.j.service.Engine
	if e == nil || !e.Moves || !s.j.route.Resumable {
		return false
	}
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	return s.g.pool(s.j.service.Name).Relocate(time.Now(), run, engine.ID) != nil
}

// chooseBackup returns the engine that keeps a copy of the run, nil if there is none.
func (s *streaming) chooseBackup(engine *placement.Server, run placement.Run) *placement.Server {
	if e := s.j.service.Engine; e == nil || !e.Backups || !s.j.route.Resumable {
		return nil
	}
	run.Exclude = append([]string{engine.ID}, run.Exclude...)
	run.AwayFrom = engine.DataCentre
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	chosen := s.g.pool(s.j.service.Name).Backup(time.Now(), run)
	if chosen == nil {
		return nil
	}
	backup := *chosen
	return &backup
}

// reserve notes or gives back what an attempt uses.
func (s *streaming) reserve(engine, backup *placement.Server, tokens, reading int) {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	pool := s.g.pool(s.j.service.Name)
	if reading > 0 {
		pool.Began(engine.ID)
		pool.Reserve(engine.ID, tokens, 0, reading)
	} else {
		pool.Ended(engine.ID)
		pool.Reserve(engine.ID, tokens, 0, 0)
	}
	if backup != nil {
		pool.Reserve(backup.ID, 0, tokens, 0)
	}
}

// pauseForEngine waits until an engine may have appeared.
func (s *streaming) pauseForEngine() error {
	s.g.mu.Lock()
	changed := s.g.changed
	s.g.mu.Unlock()
	s.tries++
	select {
	case <-changed:
	case <-time.After(noServerWait):
	case <-s.ctx.Done():
	}
	return nil
}

// exclude passes an engine over for this run, and for all if it seems to be down.
func (s *streaming) exclude(engine *placement.Server, down bool) {
	s.excluded = append(s.excluded, engine.ID)
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	pool := s.g.pool(s.j.service.Name)
	if down {
		pool.Unreachable(engine.ID, time.Now())
	}
}
