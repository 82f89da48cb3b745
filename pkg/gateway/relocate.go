package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
)

// errMoved ends an attempt whose run goes on from its copy at another engine.
var errMoved = eris.New("the run was moved")

// relocation is the move of one run to another engine.
type relocation struct {
	// done is closed when copy is set; a nil copy means that the run was not moved.
	done chan struct{}
	copy *runCopy
}

// relocate moves a run whose prompt was read, if it is better off elsewhere, and
// protects it otherwise.
func (s *streaming) relocate(ctx context.Context, engine *placement.Server, run placement.Run, r *relocation) {
	if target := s.chooseRelocation(engine, run); target != nil {
		r.copy = s.move(ctx, engine, target)
	}
	close(r.done)
	if r.copy == nil {
		s.protect(ctx, engine, run)
	}
}

// chooseRelocation returns the engine to which the run moves, nil if it stays.
func (s *streaming) chooseRelocation(engine *placement.Server, run placement.Run) *placement.Server {
	if s.ran+1 >= s.j.route.MaxServers {
		return nil
	}
	now := time.Now()
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	target := s.g.pool(s.j.service.Name).Relocate(now, run, engine.ID)
	if target == nil || !s.g.budget(s.j.service.Name).Repeat(now) {
		return nil
	}
	chosen := *target
	return &chosen
}

// move ends the run on its engine and returns the copy from which it goes on, nil
// if the run may still be there. An engine that cannot copy keeps the memory.
func (s *streaming) move(ctx context.Context, engine, target *placement.Server) *runCopy {
	handle, status, err := s.sendCopyOrder(ctx, engine, target, true)
	s.logCopy(engine, target, status, err)
	switch {
	case err != nil || handle == "":
		return nil
	case status == http.StatusOK:
		return &runCopy{holder: *target, source: engine.Address, handle: handle}
	case status == http.StatusServiceUnavailable:
		s.copyRefused(target)
		return &runCopy{holder: *engine, source: engine.Address, handle: handle}
	}
	return nil
}

// moved waits for a move that has begun and reports whether the run goes on
// elsewhere.
func (s *streaming) moved(r *relocation) bool {
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
	s.copies.set(r.copy)
	return true
}
