package placement

import (
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
)

// removedTTL is how long the state of a process is kept after its server was removed. It exceeds the
// time by which a partition can delay an announcement.
const removedTTL = 2 * time.Minute

// Process identifies the process of a server, so that a late response of a process that has ended does
// not count for the next one.
type Process struct {
	// ID is the ID of the server.
	ID string
	// StartedMS is the start time of the process in Unix milliseconds.
	StartedMS int64
}

// Process returns the process that a server was announced with.
func (s *Server) Process() Process { return Process{ID: s.ID, StartedMS: s.StartedMS} }

// processState is what the process of a server said in its responses to this gateway. It outlives the
// announcements: a server that was cut off from the coordinators expires and is announced again.
type processState struct {
	// startedMS is the start time of the process in Unix milliseconds.
	startedMS int64
	// limit is nil if the process has named none.
	limit *serverLimit
	// leaving means that the process is about to end.
	leaving bool
	// pausedUntil is the time until which the process takes no requests from this gateway.
	pausedUntil time.Time
	// removedAt is the time at which the server was removed from the pool.
	removedAt time.Time
	processPace
}

// isEmpty reports whether there is nothing to remember of a process.
func (s *processState) isEmpty() bool {
	return s.limit == nil && !s.leaving && s.pausedUntil.IsZero() && s.engine == nil && s.calls == nil
}

// takeRemoved returns the state of the process of a server that is announced again, an empty one if
// nothing is known of it.
func (p *Pool) takeRemoved(s directory.Server) *processState {
	state := p.removed[s.ID]
	delete(p.removed, s.ID)
	if state == nil || state.startedMS != s.StartedMS {
		return &processState{startedMS: s.StartedMS}
	}
	return state
}

// serverOf returns the server whose present process is the given one, nil if there is none.
func (p *Pool) serverOf(process Process) *Server {
	if s := p.servers[process.ID]; s != nil && s.StartedMS == process.StartedMS {
		return s
	}
	return nil
}

// RecordLeaving records that a process said in a response that it is about to end. It reports whether
// that is new. Announcements may say so later or not reach this gateway.
func (p *Pool) RecordLeaving(process Process) bool {
	s := p.serverOf(process)
	if s == nil || s.leaving {
		return false
	}
	s.leaving, p.versions.readyKnown = true, false
	return true
}

// RecordPause records that a process takes no requests from this gateway until a time.
func (p *Pool) RecordPause(process Process, until time.Time) {
	s := p.serverOf(process)
	if s == nil {
		return
	}
	if until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
	if until.After(p.lastPauseEnd) {
		p.lastPauseEnd = until
	}
}

// isPaused reports whether a process takes no requests from this gateway for some time.
func (s *processState) isPaused(now time.Time) bool { return now.Before(s.pausedUntil) }
