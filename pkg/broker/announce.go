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
	// peerCallTimeout bounds one call that forwards announcements or sends a report.
	peerCallTimeout = 500 * time.Millisecond
	// maxLeaveAttempts bounds the calls to one instance. A leave must be in force on all
	// instances within 2 s, in which three calls can time out.
	maxLeaveAttempts = 3
	// announcementReceivers is the number of instances that get the announcements for a
	// pool: the broker and the instance that replaces it if it is lost.
	announcementReceivers = 2
)

// inAnyNetwork reports whether the IP of an address (IP and port) is in one of the
// networks, or there are no networks.
func inAnyNetwork(networks []string, address string) bool {
	if len(networks) == 0 {
		return true
	}
	addrPort, err := netip.ParseAddrPort(address)
	if err != nil {
		return false
	}
	for _, n := range networks {
		if prefix, err := netip.ParsePrefix(n); err == nil && prefix.Contains(addrPort.Addr().Unmap()) {
			return true
		}
	}
	return false
}

// Announce forwards announcements to the broker of each pool and to the instance ranked
// second. Failed forwards are not retried, because the next announcement follows 1 s
// later.
func (s *Service) Announce(ctx context.Context, announcements []*wire.BackendAnnouncement) error {
	self := s.view.Self()
	batches := map[string][]*wire.BackendAnnouncement{}
	addresses := map[string]string{}
	for _, a := range announcements {
		dataCentre := a.DataCentre
		if dataCentre == "" {
			dataCentre = self.DataCentre
		}
		if dataCentre == self.DataCentre {
			a.DataCentre = "" // the receivers fill in their data centre
		}
		if a.Leaving {
			if err := s.Leave(ctx, a.Id, a.Incarnation); err != nil {
				return err
			}
			continue
		}
		receivers := map[string]bool{}
		for _, key := range rankingKeys(a.Pools) {
			candidates := s.rankedInstances(key, dataCentre)
			for _, m := range candidates[:min(announcementReceivers, len(candidates))] {
				receivers[m.ID], addresses[m.ID] = true, m.PeerAddress
			}
		}
		for receiver := range receivers {
			batches[receiver] = append(batches[receiver], a)
		}
	}
	s.mu.Lock()
	for _, a := range announcements {
		if !a.Leaving && a.DataCentre == "" {
			s.cacheServer(a.Id, a.Address, int(a.Slots), a.Pools...)
		}
	}
	defer s.mu.Unlock()
	for receiver, batch := range batches {
		if receiver == self.ID {
			s.applyAnnouncements(batch)
			continue
		}
		// A message in an open session has half the bytes of a separate call.
		if l := s.links[receiver]; l != nil && l.outbox != nil {
			l.send(&wire.BrokerRequest{Announcements: batch})
			continue
		}
		s.spawn(func() { _ = s.forwardAnnouncements(addresses[receiver], batch) })
	}
	return nil
}

// Leave notifies all instances of the data centre that a backend server leaves. It
// returns once each of them has confirmed the leave or could not be reached.
func (s *Service) Leave(_ context.Context, id string, incarnation uint64) error {
	batch := []*wire.BackendAnnouncement{{Id: id, Incarnation: incarnation, Leaving: true}}
	var calls sync.WaitGroup
	self := s.view.Self()
	s.mu.Lock()
	s.applyAnnouncements(batch)
	s.mu.Unlock()
	for _, m := range membership.InDataCentre(self.DataCentre, s.view.Members()) {
		if m.ID == self.ID {
			continue
		}
		calls.Go(func() {
			for attempt := 0; attempt < maxLeaveAttempts && s.ctx.Err() == nil; attempt++ {
				if s.forwardAnnouncements(m.PeerAddress, batch) == nil {
					break
				}
			}
		})
	}
	calls.Wait()
	return nil
}

func (s *Service) forwardAnnouncements(address string, batch []*wire.BackendAnnouncement) error {
	_, err := rpc.Call(s.ctx, s.dialer, address, peerCallTimeout,
		func(ctx context.Context, conn drpc.Conn) (*wire.AnnounceResponse, error) {
			return wire.NewDRPCBrokerClient(conn).Announce(ctx, &wire.AnnounceRequest{Announcements: batch})
		})
	return err
}

// Announce implements wire.DRPCBrokerServer.
func (e endpoint) Announce(_ context.Context, r *wire.AnnounceRequest) (*wire.AnnounceResponse, error) {
	e.service.mu.Lock()
	defer e.service.mu.Unlock()
	e.service.applyAnnouncements(r.Announcements)
	return &wire.AnnounceResponse{}, nil
}

// applyAnnouncements applies announcements and leaves to the pools that this instance
// hosts.
func (s *Service) applyAnnouncements(list []*wire.BackendAnnouncement) {
	now := time.Now()
	for _, a := range list {
		if a.Leaving {
			s.applyLeave(now, a)
			continue
		}
		s.storeAnnouncement(now, a)
		for _, pool := range a.Pools {
			s.applyAnnouncement(now, pool, a)
		}
	}
}

func (s *Service) applyLeave(now time.Time, a *wire.BackendAnnouncement) {
	if leave, ok := s.leaves[a.Id]; !ok || a.Incarnation >= leave.incarnation {
		s.leaves[a.Id] = storedLeave{incarnation: a.Incarnation, leftAt: now}
	}
	delete(s.serverCache, a.Id)
	if stored, ok := s.announcements[a.Id]; ok && stored.announcement.Incarnation <= a.Incarnation {
		delete(s.announcements, a.Id)
	}
	for _, h := range s.pools {
		s.sendDecisions(h.pool.Leave(now, a.Id, a.Incarnation, a.Sequence))
	}
}

func (s *Service) applyAnnouncement(now time.Time, pool string, a *wire.BackendAnnouncement) {
	doc := s.config.Current()
	if _, ok := doc.Services[pool]; !ok {
		return
	}
	h := s.getOrCreatePool(now, pool)
	dataCentre := a.DataCentre
	if dataCentre == "" {
		dataCentre = s.view.Self().DataCentre
	}
	if !placementAllows(doc, pool, dataCentre, a.Address) {
		s.sendDecisions(h.pool.RemoveServer(now, a.Id))
		return
	}
	s.sendDecisions(h.pool.Announce(now, sched.Announcement{
		ID: a.Id, Address: a.Address, Slots: int(a.Slots), Running: int(a.Running), Queued: int(a.Queued),
		Incarnation: a.Incarnation, Sequence: a.Sequence,
	}))
}
