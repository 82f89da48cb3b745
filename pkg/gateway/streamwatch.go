package gateway

import (
	"context"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
)

// silence returns the time without an event after which the engine is given up.
func (s *streaming) silence() time.Duration {
	if p := s.j.route.MaxPause; p > 0 {
		return min(eventSilence, time.Duration(float64(p)*silenceShare))
	}
	return eventSilence
}

// logServed tells how a complete stream went.
func (s *streaming) logServed() {
	s.g.metrics.stream(s.pauses)
	s.g.log.Info("stream served", "request", s.j.fields.ID, "route", s.j.route.Name, "engine", s.engine, "tries", s.tries,
		"first_event_ms", s.pauses.first.Milliseconds(), "longest_pause_ms", s.pauses.longest.Milliseconds(),
		"pause_cause", s.pauses.longestCause, "first_engine", s.first, "resumed_by_caller", s.j.fields.LastEvent != "",
		"after_ms", time.Since(s.j.started).Milliseconds())
}

// pauses measures the time between the events of a stream.
type pauses struct {
	last           time.Time
	first, longest time.Duration
	// cause is why the last attempt ended, longestCause that of the longest pause.
	cause, longestCause string
}

func (p *pauses) note(now, started time.Time) {
	if p.last.IsZero() {
		p.first = now.Sub(started)
	} else if d := now.Sub(p.last); d > p.longest {
		p.longest, p.longestCause = d, p.cause
	}
	p.last, p.cause = now, ""
}

// firstEventWatch checks an engine that has sent no event yet: it may be reading
// the prompt, or be gone without a sign.
type firstEventWatch struct {
	cancel context.CancelFunc
	done   context.Context
	gone   bool
	s      *streaming
	id     string
	// read tells that the first event came; onFirstEvent, if set, is called then.
	read         bool
	onFirstEvent func()
}

// firstEvent notes the first event: the prompt was read.
func (w *firstEventWatch) firstEvent() {
	w.stop()
	if !w.read {
		w.read = true
		if w.onFirstEvent != nil {
			w.onFirstEvent()
		}
	}
}

// watchFirstEvent checks an engine until its first event and calls abort when it
// is gone.
func (s *streaming) watchFirstEvent(ctx context.Context, abort context.CancelFunc, engine *placement.Server) *firstEventWatch {
	done, cancel := context.WithCancel(ctx)
	w := &firstEventWatch{cancel: cancel, done: done, s: s, id: engine.ID}
	go func() {
		for pause(done, firstEventCheck) {
			if s.g.client.Silent(done, engine.Address) && done.Err() == nil {
				w.gone = true
				abort()
				return
			}
		}
	}()
	return w
}

// stop ends the checks: the prompt was read.
func (w *firstEventWatch) stop() {
	if w.done.Err() != nil && w.id == "" {
		return
	}
	w.cancel()
	if w.id != "" {
		w.s.g.mu.Lock()
		w.s.g.pool(w.s.j.service.Name).Reserve(w.id, 0, 0, -1)
		w.s.g.mu.Unlock()
		w.id = ""
	}
}

// fired tells whether the engine was found to be gone.
func (w *firstEventWatch) fired() bool { return w.done.Err() != nil && w.gone }
