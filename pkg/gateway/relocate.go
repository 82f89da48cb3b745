package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
	"github.com/geraniumpitch/geraniumpitch/pkg/upstream"
)

// errRelocated ends an attempt whose run is resumed from its copy at the target.
var errRelocated = eris.New("run relocated to another engine")

// relocation is the relocation of one run to another engine, the target.
type relocation struct {
	// done is closed when the relocation has ended. copy is then nil if there is no copy to resume
	// from, and mayHaveStopped tells whether the engine may have ended the run all the same.
	done           chan struct{}
	copy           *runCopy
	mayHaveStopped bool
}

// relocate moves a run to a better engine after its prefill. If there is none or the
// relocation fails, it maintains a copy of the run instead.
func (s *streamState) relocate(ctx context.Context, engine *placement.Server, run placement.Run, r *relocation) {
	if target := s.selectRelocationTarget(engine, run); target != nil {
		if r.copy, r.mayHaveStopped = s.stopAndCopy(ctx, engine, target); r.copy == nil {
			s.sends.release()
		}
	}
	close(r.done)
	if r.copy == nil {
		s.maintainCopy(ctx, engine, run)
	}
}

// selectRelocationTarget returns the engine to which the run is relocated, nil if it stays.
func (s *streamState) selectRelocationTarget(engine *placement.Server, run placement.Run) *placement.Server {
	if s.possibleRuns+1 >= s.req.route.MaxPossibleRuns {
		return nil
	}
	s.g.mu.Lock()
	now := time.Now()
	target := s.g.copyPool(s.req, engine, now).SelectRelocationTarget(now, run, engine.ID)
	if target == nil || s.g.isClosed(s.req.service.Name, engine.Version) {
		s.g.mu.Unlock()
		return nil
	}
	selected := *target
	s.g.mu.Unlock()
	if !s.sends.reserve(placement.Optional) {
		return nil
	}
	return &selected
}

// stopAndCopy ends the run at its engine and returns the copy from which to resume it, nil if there is
// none. mayHaveStopped is false if the engine certainly continues the run. If the target refuses the
// copy, the engine keeps the memory and the run is resumed there.
func (s *streamState) stopAndCopy(ctx context.Context, engine, target *placement.Server) (c *runCopy, mayHaveStopped bool) {
	handle, status, err := s.sendCopyRequest(ctx, engine, target, true)
	s.logCopyRequest(engine, target, handle, status, err)
	var notSent *upstream.NotSentError
	switch {
	case errors.As(err, &notSent), status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return nil, false
	case err != nil || handle == "":
		return nil, true
	case status == http.StatusOK:
		return &runCopy{holder: *target, sourceAddress: engine.Address, handle: handle}, true
	case status == http.StatusServiceUnavailable:
		s.recordCopyRefusal(target)
		return &runCopy{holder: *engine, sourceAddress: engine.Address, handle: handle}, true
	}
	return nil, true
}

// endedRun reports whether the relocation may have ended the run, after which the engine closes the
// stream without its last events. It waits for the end of the relocation.
func (r *relocation) endedRun(ctx context.Context) bool {
	select {
	case <-r.done:
		return r.mayHaveStopped
	case <-ctx.Done():
		return true
	}
}

// awaitRelocation waits for the end of a relocation and reports whether it succeeded; if
// so, its copy becomes the one to resume from.
func (s *streamState) awaitRelocation(r *relocation) bool {
	if r == nil {
		return false
	}
	select {
	case <-r.done:
	case <-s.ctx.Done():
		return false
	}
	if r.copy == nil {
		return false
	}
	s.latestCopy.set(r.copy)
	return true
}
