package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
)

// minFreeze is the time by which a timer is late when this process has not run. Timers of a busy process are late
// by less.
const minFreeze = 100 * time.Millisecond

// eventTimeout returns the time without an event after which an engine counts as silent, if it cannot be reached
// or nothing explains the silence.
func (s *streamState) eventTimeout() time.Duration {
	if p := s.req.route.MaxPause; p > 0 {
		return min(maxEventSilence, time.Duration(float64(p)*maxEventSilenceShare))
	}
	return maxEventSilence
}

// slowEventTimeout returns the time without an event after which a run is given up at an engine that can be
// reached. The pause is too long by then, and the connection may have stopped carrying data for good.
func (s *streamState) slowEventTimeout() time.Duration {
	return max(s.eventTimeout(), time.Duration(float64(s.req.route.MaxPause)*slowEventShare))
}

// silenceWatch decides what becomes of a run whose engine has sent no event for some time.
type silenceWatch struct {
	s      *streamState
	ctx    context.Context
	abort  context.CancelFunc
	engine *placement.Server
	// mayRunAgain is set if the route allows another run after this one.
	mayRunAgain bool
	// events counts the events that have arrived. Bytes that are no whole event do not count.
	events atomic.Int64
	// engineSlow is set if the run is given up at an engine that can be reached.
	engineSlow atomic.Bool
	timer      *time.Timer
}

// newSilenceWatch returns a watch that begins with the first event.
func (s *streamState) newSilenceWatch(ctx context.Context, abort context.CancelFunc, engine *placement.Server) *silenceWatch {
	w := &silenceWatch{s: s, ctx: ctx, abort: abort, engine: engine, mayRunAgain: s.mayRunAgain()}
	w.timer = time.AfterFunc(time.Hour, w.handleSilence)
	return w
}

// firstDecision returns the time without an event at which the watch first decides.
func (w *silenceWatch) firstDecision() time.Duration {
	timeout := w.s.eventTimeout()
	return max(timeout/2, timeout-placement.ReachCheckLead)
}

// recordEvent records that an event has arrived.
func (w *silenceWatch) recordEvent() {
	w.events.Add(1)
	w.resume()
}

// pause suspends the watch while the gateway does not read from the engine.
func (w *silenceWatch) pause() { w.timer.Stop() }

// resume starts the watch as if an event had arrived now.
func (w *silenceWatch) resume() { w.timer.Reset(w.firstDecision()) }

// handleSilence decides until the next event, or until the run is aborted. At an engine that can be reached, a
// run that could not go on elsewhere stays until the deadline of the request.
func (w *silenceWatch) handleSilence() {
	if !w.mayRunAgain {
		return
	}
	seen := w.events.Load()
	lastEventAt := time.Now().Add(-w.firstDecision())
	d := placement.Silence{Timeout: w.s.eventTimeout(), SlowTimeout: w.s.slowEventTimeout()}
	var estimate placement.GapEstimate
	for w.events.Load() == seen && w.ctx.Err() == nil {
		d.Elapsed, d.HasCopy = time.Since(lastEventAt), w.s.hasUsableCopy()
		d.Plausible, estimate = w.s.plausibleGap(w.engine)
		action, wait := d.Decide()
		switch action {
		case placement.WaitOn:
			lastEventAt = lastEventAt.Add(w.sleep(wait))
		case placement.CheckEngine:
			d.CheckedAt = d.Elapsed
			d.Unreachable = w.s.isUnreachable(w.ctx, w.engine, lastEventAt)
		case placement.LeaveGone, placement.LeaveSlow:
			// A run at an engine that cannot be reached ends in any case, so that it needs no send reserved.
			if !d.Unreachable && !w.s.sends.reserve(placement.Resume) {
				if d.Elapsed >= d.SlowTimeout {
					return
				}
				d.Denied = true
				continue
			}
			if w.events.Load() != seen {
				return
			}
			w.engineSlow.Store(action == placement.LeaveSlow)
			w.s.logSilence(w.engine, d, estimate, action)
			w.abort()
			return
		}
	}
}

// sleep waits, and returns how much longer that took: while this process does not run, events wait to be read, and
// the time is no silence of the engine.
func (w *silenceWatch) sleep(wait time.Duration) (excess time.Duration) {
	begin := time.Now()
	sleepContext(w.ctx, wait)
	if excess = time.Since(begin) - wait; excess < minFreeze {
		return 0
	}
	return excess
}

// plausibleGap returns the longest time between two events that the engine can be expected to take.
func (s *streamState) plausibleGap(engine *placement.Server) (time.Duration, placement.GapEstimate) {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	return s.g.pool(s.req.service.Name).PlausibleGap(engine.Process(), time.Now())
}

// isUnreachable reports whether an engine accepts no connection. It does not connect if another stream has
// received something from the engine, or connected, since the last event of this one.
func (s *streamState) isUnreachable(ctx context.Context, engine *placement.Server, lastEventAt time.Time) bool {
	s.g.mu.Lock()
	alive := s.g.pool(s.req.service.Name).IsAlive(engine.Process(), lastEventAt.Add(s.eventTimeout()/2))
	s.g.mu.Unlock()
	if alive {
		return false
	}
	if s.g.client.Unresponsive(ctx, engine.Address) {
		return true
	}
	s.g.mu.Lock()
	s.g.pool(s.req.service.Name).RecordAlive(engine.Process(), time.Now())
	s.g.mu.Unlock()
	return false
}

// logSilence logs that a run leaves an engine because of its silence, with the estimate behind the decision.
func (s *streamState) logSilence(engine *placement.Server, d placement.Silence, e placement.GapEstimate, action placement.SilenceAction) {
	s.g.log.Info("engine is silent", "request", s.req.fields.ID, "engine", engine.ID, "silent_ms", d.Elapsed.Milliseconds(),
		"plausible_ms", d.Plausible.Milliseconds(), "unreachable", d.Unreachable, "slow", action == placement.LeaveSlow, "has_copy", d.HasCopy,
		"usual_gap_ms", e.Usual.Milliseconds(), "longest_gap_ms", e.Longest.Milliseconds(), "prefill", e.Prefill,
		"pace", e.Pace, "pace_source", string(e.Source), "pace_age_ms", e.Age.Milliseconds())
}
