package gateway

import (
	"context"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
)

// mayRunAgain reports whether the route allows another run of the stream.
func (s *streamState) mayRunAgain() bool {
	return s.req.route.Retryable() && s.possibleRuns < s.req.route.MaxPossibleRuns
}

// hasUsableCopy reports whether there is a copy from which the run can be resumed.
func (s *streamState) hasUsableCopy() bool {
	c := s.latestCopy.get()
	if c == nil {
		return false
	}
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	return s.g.copyAvailable(s.req.service.Name, c)
}

// logCompleted logs and records the delays of a complete stream.
func (s *streamState) logCompleted() {
	s.g.metrics.recordStream(s.pauseStats)
	if s.req.fields.LastEventID == "" {
		s.g.recordDuration(s.req.route.Name, time.Since(s.req.startedAt))
	}
	relative, source, age := s.engineEstimate()
	s.g.log.Info("stream served", "request", s.req.fields.ID, "route", s.req.route.Name, "engine", s.engineID, "tries", s.attempts,
		"first_event_ms", s.pauseStats.firstEvent.Milliseconds(), "longest_pause_ms", s.pauseStats.longest.Milliseconds(),
		"pause_cause", s.pauseStats.longestCause, "first_engine", s.firstEngineID, "resumed_by_caller", s.req.fields.LastEventID != "",
		"after_ms", time.Since(s.req.startedAt).Milliseconds(), "pace", relative, "pace_source", string(source), "pace_age_ms", age.Milliseconds())
}

// pauseStats measures the delays between the events of a stream.
type pauseStats struct {
	lastEventAt         time.Time
	firstEvent, longest time.Duration
	// nextCause is the cause of the pause before the next event: the error that ended the
	// last attempt, if any. longestCause is the cause of the longest pause.
	nextCause, longestCause string
}

// record measures the delay before an event that arrived now.
func (p *pauseStats) record(now, requestedAt time.Time) {
	if p.lastEventAt.IsZero() {
		p.firstEvent = now.Sub(requestedAt)
	} else if d := now.Sub(p.lastEventAt); d > p.longest {
		p.longest, p.longestCause = d, p.nextCause
	}
	p.lastEventAt, p.nextCause = now, ""
}

// firstEventWatch checks an engine that has not sent an event yet: it may still prefill the
// prompt, or its host may have failed without closing the connection. The watch also holds
// the reservation of the prefill until it is stopped.
type firstEventWatch struct {
	cancel           context.CancelFunc
	ctx              context.Context
	engineGone       bool
	s                *streamState
	reservedEngineID string
	// prefillDone means that the first event arrived; onFirstEvent, if set, is called then.
	prefillDone  bool
	onFirstEvent func()
}

// recordFirstEvent ends the checks at the first event, with which the prefill has ended.
func (w *firstEventWatch) recordFirstEvent() {
	w.stop()
	if !w.prefillDone {
		w.prefillDone = true
		if w.onFirstEvent != nil {
			w.onFirstEvent()
		}
	}
}

// watchFirstEvent checks an engine until its first event, and calls abort if the engine
// does not respond to connection attempts: at once if the run may be made again, otherwise after
// onceSilenceTimeout.
func (s *streamState) watchFirstEvent(ctx context.Context, abort context.CancelFunc, engine *placement.Server) *firstEventWatch {
	watchCtx, cancel := context.WithCancel(ctx)
	w := &firstEventWatch{cancel: cancel, ctx: watchCtx, s: s, reservedEngineID: engine.ID}
	mayRunAgain := s.mayRunAgain()
	go func() {
		respondedAt := time.Now()
		for sleepContext(watchCtx, firstEventCheckInterval) {
			switch {
			case !s.g.client.Unresponsive(watchCtx, engine.Address) || watchCtx.Err() != nil:
				respondedAt = time.Now()
			case mayRunAgain || time.Since(respondedAt) > onceSilenceTimeout:
				w.engineGone = true
				abort()
				return
			}
		}
	}()
	return w
}

// stop ends the checks and releases the reservation of the prefill. It may be called more than once.
func (w *firstEventWatch) stop() {
	if w.ctx.Err() != nil && w.reservedEngineID == "" {
		return
	}
	w.cancel()
	if w.reservedEngineID != "" {
		w.s.g.mu.Lock()
		w.s.g.pool(w.s.req.service.Name).Reserve(w.reservedEngineID, 0, 0, -1)
		w.s.g.mu.Unlock()
		w.reservedEngineID = ""
	}
}

// engineLost reports whether the watch found the engine gone and aborted the attempt.
func (w *firstEventWatch) engineLost() bool { return w.ctx.Err() != nil && w.engineGone }
