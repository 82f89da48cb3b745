package broker

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"storj.io/drpc"

	"github.com/geraniumpitch/geraniumpitch/pkg/membership"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/sched"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

const (
	forwardTimeout = 500 * time.Millisecond
	// leaveTries within the 2 s in which a leave must be in force everywhere.
	leaveTries = 3
	// holders is the number of instances that get the announcements of a pool:
	// the broker and the one that takes over when it is lost.
	holders = 2
)

func inNetworks(networks []string, address string) bool {
	if len(networks) == 0 {
		return true
	}
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return false
	}
	for _, n := range networks {
		if prefix, err := netip.ParsePrefix(n); err == nil && prefix.Contains(ap.Addr().Unmap()) {
			return true
		}
	}
	return false
}

// Announce forwards announcements to the broker of each pool and to the next by
// rank. A failed forward is made up for by the next announcement, 1 s later.
func (s *Service) Announce(ctx context.Context, list []*wire.BackendAnnouncement) error {
	self := s.view.Self()
	batches := map[string][]*wire.BackendAnnouncement{}
	addresses := map[string]string{}
	for _, a := range list {
		dataCentre := a.DataCentre
		if dataCentre == "" {
			dataCentre = self.DataCentre
		}
		if dataCentre == self.DataCentre {
			a.DataCentre = "" // the receivers' own
		}
		if a.Leaving {
			if err := s.Leave(ctx, a.Id, a.Incarnation); err != nil {
				return err
			}
			continue
		}
		targets := map[string]bool{}
		for _, pool := range ranked(a.Pools) {
			candidates := s.candidates(pool, dataCentre)
			for _, m := range candidates[:min(holders, len(candidates))] {
				targets[m.ID], addresses[m.ID] = true, m.PeerAddress
			}
		}
		for id := range targets {
			batches[id] = append(batches[id], a)
		}
	}
	s.mu.Lock()
	for _, a := range list {
		if !a.Leaving && a.DataCentre == "" {
			s.remember(a.Id, a.Address, int(a.Slots), a.Pools...)
		}
	}
	defer s.mu.Unlock()
	for id, batch := range batches {
		if id == self.ID {
			s.takeIn(batch)
			continue
		}
		// An open session takes half the bytes of a call.
		if l := s.links[id]; l != nil && l.out != nil {
			l.send(&wire.BrokerRequest{Announcements: batch})
			continue
		}
		s.spawn(func() { _ = s.forward(addresses[id], batch) })
	}
	return nil
}

// Leave tells all instances of the data centre that a backend server leaves.
// It returns once all of them know or could not be reached.
func (s *Service) Leave(_ context.Context, id string, incarnation uint64) error {
	batch := []*wire.BackendAnnouncement{{Id: id, Incarnation: incarnation, Leaving: true}}
	var told sync.WaitGroup
	self := s.view.Self()
	s.mu.Lock()
	s.takeIn(batch)
	s.mu.Unlock()
	for _, m := range membership.InDataCentre(self.DataCentre, s.view.Members()) {
		if m.ID == self.ID {
			continue
		}
		told.Go(func() {
			for try := 0; try < leaveTries && s.ctx.Err() == nil; try++ {
				if s.forward(m.PeerAddress, batch) == nil {
					break
				}
			}
		})
	}
	told.Wait()
	return nil
}

func (s *Service) forward(address string, batch []*wire.BackendAnnouncement) error {
	_, err := rpc.Call(s.ctx, s.dialer, address, forwardTimeout,
		func(ctx context.Context, conn drpc.Conn) (*wire.AnnounceResponse, error) {
			return wire.NewDRPCBrokerClient(conn).Announce(ctx, &wire.AnnounceRequest{Announcements: batch})
		})
	return err
}

// Announce implements wire.DRPCBrokerServer.
func (e endpoint) Announce(_ context.Context, r *wire.AnnounceRequest) (*wire.AnnounceResponse, error) {
	e.service.mu.Lock()
	defer e.service.mu.Unlock()
	e.service.takeIn(r.Announcements)
	return &wire.AnnounceResponse{}, nil
}

// takeIn applies announcements and leaves to the pools of this instance.
func (s *Service) takeIn(list []*wire.BackendAnnouncement) {
	now := time.Now()
	for _, a := range list {
		if a.Leaving {
			s.takeLeave(now, a)
			continue
		}
		s.hold(now, a)
		for _, pool := range a.Pools {
			s.takeAnnouncement(now, pool, a)
		}
	}
}

func (s *Service) takeLeave(now time.Time, a *wire.BackendAnnouncement) {
	if old, ok := s.left[a.Id]; !ok || a.Incarnation >= old.incarnation {
		s.left[a.Id] = departure{incarnation: a.Incarnation, at: now}
	}
	delete(s.known, a.Id)
	if held, ok := s.announced[a.Id]; ok && held.announcement.Incarnation <= a.Incarnation {
		delete(s.announced, a.Id)
	}
	for _, h := range s.pools {
		s.deliver(h.pool.Leave(now, a.Id, a.Incarnation, a.Sequence))
	}
}

func (s *Service) takeAnnouncement(now time.Time, pool string, a *wire.BackendAnnouncement) {
	d := s.config.Current()
	if _, ok := d.Services[pool]; !ok {
		return
	}
	h := s.host(now, pool)
	dataCentre := a.DataCentre
	if dataCentre == "" {
		dataCentre = s.view.Self().DataCentre
	}
	if !allowed(d, pool, dataCentre, a.Address) {
		s.deliver(h.pool.RemoveServer(now, a.Id))
		return
	}
	s.deliver(h.pool.Announce(now, sched.Announcement{
		ID: a.Id, Address: a.Address, Slots: int(a.Slots), Running: int(a.Running), Queued: int(a.Queued),
		Incarnation: a.Incarnation, Sequence: a.Sequence,
	}))
}
