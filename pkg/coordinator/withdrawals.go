package coordinator

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
	"github.com/geraniumpitch/geraniumpitch/pkg/follow"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// ErrNotRecorded is returned when an announcement is not on enough disks in time. It is in effect all the same, until the
// processes that know of it end.
var ErrNotRecorded = eris.New("the announcement is not on enough disks")

// withdrawal is the state in which a process of a backend server was recorded.
type withdrawal struct {
	startedMS int64
	state     directory.State
}

// Withdraw applies the announcement of a backend server that takes no more work. It returns nil once the announcement is on
// as many disks as it takes for one of them to outlive all faults that the deployment tolerates, or if a later
// announcement has made it superfluous.
func (s *Service) Withdraw(ctx context.Context, a directory.Server) error {
	s.Announce(a)
	current, ok := s.hub.lookup(a.ID)
	if !ok || current.State == directory.Ready || s.hub.isRecorded(current) {
		return nil
	}
	startedAt := time.Now()
	err := s.record(ctx, current)
	s.metrics.recordWithdrawal(err, time.Since(startedAt))
	if err != nil {
		s.log.Warn("backend server is not acknowledged as leaving", "server", a.ID, "state", current.State.String(),
			"after_ms", time.Since(startedAt).Milliseconds(), "error", err)
		return err
	}
	s.hub.setRecorded(current)
	return nil
}

// record puts the announcement of a backend server on the disks of this and other coordinators and returns nil once
// enough of them have it. The others go on when it returns.
func (s *Service) record(ctx context.Context, server directory.Server) error {
	others := s.group.recorders()
	results := make(chan error, len(others)+1)
	recordCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
	time.AfterFunc(requestTimeout, cancel)
	go func() { results <- s.hub.awaitStored(recordCtx) }()
	announcement := follow.EncodeAnnouncement(server)
	for _, address := range others {
		go func() {
			_, err := rpc.Call(recordCtx, s.dialer, address, requestTimeout,
				func(ctx context.Context, conn drpc.Conn) (*wire.RecordWithdrawalResponse, error) {
					return wire.NewDRPCCoordinatorClient(conn).RecordWithdrawal(ctx, announcement)
				})
			results <- err
		}()
	}
	missing := s.group.copiesNeeded()
	var lastErr error
	for pending := len(others) + 1; pending >= missing; pending-- {
		select {
		case err := <-results:
			if err != nil {
				lastErr = err
			} else if missing--; missing == 0 {
				return nil
			}
		case <-ctx.Done():
			return ErrNotRecorded
		}
	}
	return errors.Join(ErrNotRecorded, lastErr)
}

// RecordWithdrawal implements wire.DRPCCoordinatorServer.
func (r *rpcServer) RecordWithdrawal(ctx context.Context, a *wire.Announcement) (*wire.RecordWithdrawalResponse, error) {
	server, err := follow.DecodeAnnouncement(a, time.Now())
	if err != nil {
		return nil, eris.Wrap(err, "record a withdrawal")
	}
	r.service.hub.applyFromPeer([]directory.Server{server})
	if err := r.service.hub.awaitStored(ctx); err != nil {
		return nil, err
	}
	return &wire.RecordWithdrawalResponse{}, nil
}

// copiesNeeded returns the number of disks of which at least one outlives the loss of ToleratedDisks disks, or of as many
// as the control group has, if it has fewer members.
func (g *group) copiesNeeded() int {
	needed := g.settings.ToleratedDisks + 1
	if members := g.memberCount(); members > 0 {
		needed = min(needed, members)
	}
	return needed
}

// recorders returns the peer addresses of the other coordinators that record a withdrawal, those of group members first.
func (g *group) recorders() []string {
	others := g.otherCoordinators()
	return others[:min(len(others), g.settings.GroupSize())]
}

// lookup returns the newest announcement of a server.
func (h *hub) lookup(id string) (directory.Server, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.servers.Lookup(id)
}

// isRecorded reports whether this state of a server is known to be on enough disks.
func (h *hub) isRecorded(s directory.Server) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.recorded[s.ID] == withdrawal{s.StartedMS, s.State}
}

func (h *hub) setRecorded(s directory.Server) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recorded[s.ID] = withdrawal{s.StartedMS, s.State}
}

// forgetRecorded forgets the recorded states of servers that are no longer known; h.mu is held.
func (h *hub) forgetRecorded() {
	for id := range h.recorded {
		if _, known := h.servers.Lookup(id); !known {
			delete(h.recorded, id)
		}
	}
}
