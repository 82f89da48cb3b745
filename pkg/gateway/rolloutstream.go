package gateway

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
	"github.com/geraniumpitch/geraniumpitch/pkg/rollout"
	"github.com/geraniumpitch/geraniumpitch/pkg/upstream"
)

const (
	// moveCheckInterval is the interval at which streams at old engines are looked for.
	moveCheckInterval = 100 * time.Millisecond
	// moveLead is the time before the time limit of a rollout at which the first streams are moved off the
	// old engines, and moveSpread the time over which the moves are spread, as each may need a prefill. The
	// rest covers the order for a copy (2 s at most), a report, a decision and its replication.
	moveLead   = 4500 * time.Millisecond
	moveSpread = 1500 * time.Millisecond
	// maxNewFailures is the number of attempts of one stream that may fail at engines of the new version before
	// the stream leaves it. After the first failure, a copy at another new engine saves a prefill.
	maxNewFailures = 2
)

// errVersionMoved ends an attempt at an engine of the old version, which is about to end. The run is resumed
// at the new version.
var errVersionMoved = eris.New("run moved off the old version")

// versionRun is a run of a stream at an engine.
type versionRun struct {
	ctx    context.Context
	abort  context.CancelFunc
	engine placement.Server
	run    placement.Run
	// mayRunAgain is set if the route allows another run after this one.
	mayRunAgain bool
	// moveOffset is the part of moveSpread after which the run is moved.
	moveOffset time.Duration
	// prefilled is set at the first event.
	prefilled atomic.Bool
	// moving is set while the run is being moved; Gateway.mu guards it.
	moving bool
	// move is set before the engine may end the run because it is moved.
	move atomic.Pointer[relocation]
}

// activeMove returns the move of the present run off an old version, nil if there is none.
func (s *streamState) activeMove() *relocation {
	if s.versionRun == nil {
		return nil
	}
	return s.versionRun.move.Load()
}

// selectNewEngine selects an engine of the new version for a stream that was drawn for it. It reports false
// if the stream goes to the established version: the new one has no place, or failed the stream. Streams do
// not wait for the few engines of a new version; they would hold up the others. The pool is restricted to
// the new version before, and to the established one if the result is false; g.mu is held.
func (s *streamState) selectNewEngine(pool *placement.Pool, choice rollout.Choice, now time.Time) (*placement.Server, *runCopy, bool) {
	c := s.latestCopy.get()
	if c != nil && s.newFailures < maxNewFailures && s.g.copyAvailable(s.req.service.Name, c) && pool.AllowsResume(c.holder.ID, now) {
		s.latestCopy.take()
		return &c.holder, c, true
	}
	if s.newFailures == 0 {
		run := s.requirements()
		if s.req.fields.SessionPart != "" {
			run.Prefer = s.g.promptLocations.CandidateEngines(s.req.fields.SessionPart, now)
		}
		selected := pool.SelectCachingEngine(now, run)
		if selected == nil {
			selected = pool.SelectFreeEngine(now, run)
		}
		if selected != nil {
			engine := *selected
			s.g.admissionQueue(s.req.service.Name).Leave(&s.pending)
			return &engine, nil, true
		}
	}
	pool.Restrict(choice.Fallback)
	return nil, nil, false
}

// startVersionRun registers the run that was started at an engine.
func (s *streamState) startVersionRun(ctx context.Context, abort context.CancelFunc, engine *placement.Server, run placement.Run) {
	if s.send == nil {
		return
	}
	r := &versionRun{ctx: ctx, abort: abort, engine: *engine, run: run, mayRunAgain: s.mayRunAgain()}
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	r.moveOffset = time.Duration(s.g.rand.Float64() * float64(moveSpread))
	s.versionRun = r
	s.g.rollouts.runs[s] = r
}

// recordVersionLatency counts the time to the first event of a run, at once: a slow version shows long
// before its streams end.
func (s *streamState) recordVersionLatency() {
	if s.send == nil {
		return
	}
	if s.versionRun != nil {
		s.versionRun.prefilled.Store(true)
	}
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	if counts := s.g.rollouts.counted(s.send); counts != nil {
		counts.Latencies.Add(time.Since(s.send.startedAt))
	}
}

// endStreamSend records the end of an attempt, if a server was selected for it.
func (s *streamState) endStreamSend(err error) {
	send := s.send
	if send == nil {
		return
	}
	outcome := s.streamOutcome(err)
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	delete(s.g.rollouts.runs, s)
	if record := s.g.rollouts.record(send.service); outcome != sendSucceeded && record != nil && send.version == record.Version {
		s.newFailures++
	}
	// The latency was counted at the first event.
	s.g.endSend(send, outcome, -1)
	s.send, s.versionRun = nil, nil
}

// streamOutcome classifies the end of an attempt. A run that this gateway moved elsewhere did not fail.
func (s *streamState) streamOutcome(err error) sendOutcome {
	var notSent *upstream.NotSentError
	switch {
	case err == nil || errors.Is(err, errRelocated):
		return sendSucceeded
	case errors.Is(err, errVersionMoved) && !s.firstEventAt.IsZero():
		return sendSucceeded
	case errors.As(err, &notSent), errors.Is(err, errVersionMoved), errors.Is(err, errCallerLeft), errors.Is(err, errRefused), errors.Is(err, errQuarantined):
		return sendVoid
	case s.ctx.Err() != nil && !errors.Is(s.ctx.Err(), context.DeadlineExceeded):
		return sendVoid
	}
	return sendFailed
}

// runMoves moves streams off engines of old versions until ctx ends.
func (g *Gateway) runMoves(ctx context.Context) {
	for sleepContext(ctx, moveCheckInterval) {
		for s, r := range g.dueMoves(time.Now()) {
			// The run that follows is charged now: a run that could not go on elsewhere stays.
			if !s.sends.reserve(placement.Resume) {
				g.mu.Lock()
				r.moving = false
				g.mu.Unlock()
				continue
			}
			go s.moveRun(r)
		}
	}
}

// dueMoves returns the runs to be moved now, and marks them.
func (g *Gateway) dueMoves(now time.Time) map[*streamState]*versionRun {
	g.mu.Lock()
	defer g.mu.Unlock()
	var due map[*streamState]*versionRun
	for s, r := range g.rollouts.runs {
		service := g.rollouts.services[s.req.service.Name]
		if service == nil || r.moving || !r.mayRunAgain || r.engine.Version == service.record.Version {
			continue
		}
		isLastStep := service.record.State == rollout.InProgress && service.record.Share >= 1
		isDue := isLastStep && service.timeLeft(now) <= moveLead-r.moveOffset
		if !isDue && service.record.State != rollout.Complete {
			continue
		}
		pool := g.pool(s.req.service.Name)
		pool.Restrict(service.record.Version)
		if pool.SelectEngine(now, r.run) == nil {
			// A run that cannot go on elsewhere stays.
			continue
		}
		r.moving = true
		if due == nil {
			due = map[*streamState]*versionRun{}
		}
		due[s] = r
	}
	return due
}

// moveRun aborts a run at an engine of an old version, after which its stream is resumed at the new one:
// from a copy if the engine makes one.
func (s *streamState) moveRun(r *versionRun) {
	move := &relocation{done: make(chan struct{})}
	r.move.Store(move)
	if e := s.req.service.Engine; e != nil && e.CopiesOnRequest && r.prefilled.Load() {
		if target := s.selectMoveTarget(r); target != nil {
			move.copy, move.mayHaveStopped = s.stopAndCopy(r.ctx, &r.engine, target)
		}
	}
	close(move.done)
	s.g.log.Info("stream moved off an old version", "request", s.req.fields.ID, "engine", r.engine.ID, "version", r.engine.Version,
		"has_copy", move.copy != nil)
	r.abort()
}

// selectMoveTarget returns the engine that receives the copy of a run that is moved, nil if there is none or
// the old engine must not get any request any more.
func (s *streamState) selectMoveTarget(r *versionRun) *placement.Server {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	if s.g.isClosed(s.req.service.Name, r.engine.Version) {
		return nil
	}
	pool, _ := s.g.requestPool(s.req, time.Now())
	target := pool.SelectEngine(time.Now(), r.run)
	if target == nil {
		return nil
	}
	selected := *target
	return &selected
}

// settleMove returns the error that ends an attempt whose run was moved off an old version, err if it was
// not, and makes the copy of the move the one to resume from.
func (s *streamState) settleMove(response *upstream.Response, err error) error {
	move := s.activeMove()
	if move == nil || errors.Is(err, errCallerLeft) || errors.Is(err, errQuarantined) {
		return err
	}
	if err == nil && response.EndsWithConnection() && move.endedRun(s.ctx) {
		// Without a length, a run that the engine stopped on order ends like one that is complete.
		err = io.ErrUnexpectedEOF
	}
	if err == nil || s.ctx.Err() != nil {
		return err
	}
	s.awaitRelocation(move)
	return errVersionMoved
}
