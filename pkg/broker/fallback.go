package broker

import (
	"context"
	"slices"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/document"
	"github.com/geraniumpitch/geraniumpitch/pkg/membership"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// serverCacheTTL is how long a cached backend server is used for local decisions, and how
// long the latest announcement of a backend server is stored.
const serverCacheTTL = 30 * time.Second

// cachedServer is a backend server of this data centre that was seen in an announcement
// or a grant. Local decisions select from the cached servers.
type cachedServer struct {
	id, address string
	pools       []string
	slots       int
	lastSeenAt  time.Time
}

// cacheGrantedServer caches the backend server of a grant.
func (s *Service) cacheGrantedServer(r *wire.BrokerReply) {
	p := s.requests[r.Id]
	if p.remote {
		return
	}
	s.cacheServer(r.Backend, r.Address, int(r.Slots), p.request.Pool)
}

func (s *Service) cacheServer(id, address string, slots int, pools ...string) {
	if _, hasLeft := s.leaves[id]; hasLeft {
		return
	}
	server := s.serverCache[id]
	if server == nil {
		server = &cachedServer{id: id}
		s.serverCache[id] = server
	}
	server.address, server.slots, server.lastSeenAt = address, slots, time.Now()
	for _, pool := range pools {
		if !slices.Contains(server.pools, pool) {
			server.pools = append(server.pools, pool)
		}
	}
}

func (s *Service) expireServers(now time.Time) {
	s.expireAnnouncements(now)
	for id, server := range s.serverCache {
		if now.Sub(server.lastSeenAt) > serverCacheTTL {
			delete(s.serverCache, id)
		}
	}
}

// decideLocally grants a slot without a broker. It selects the less loaded of two random
// backend servers, within this instance's share of their slots. If none has a free slot,
// the request stays pending.
func (s *Service) decideLocally(p *pendingRequest) {
	instanceCount := len(membership.InDataCentre(s.view.Self().DataCentre, s.view.Members()))
	var free []*cachedServer
	doc := s.config.Current()
	for _, server := range s.serverCache {
		slotShare := max(server.slots/max(instanceCount, 1), 1)
		if slices.Contains(server.pools, p.request.Pool) && !slices.Contains(p.request.Exclude, server.id) &&
			s.leasesByServer[server.id] < slotShare && server.slots > 0 && placementAllows(doc, p.request.Pool, s.view.Self().DataCentre, server.address) {
			free = append(free, server)
		}
	}
	if len(free) == 0 {
		return
	}
	chosen, alternative := free[s.rng.Intn(len(free))], free[s.rng.Intn(len(free))]
	if s.leasesByServer[alternative.id] < s.leasesByServer[chosen.id] {
		chosen = alternative
	}
	s.stats.LocalDecisions++
	s.finishRequest(p)
	s.sendToBroker(p.brokerID, &wire.BrokerRequest{Id: p.id, Cancel: true})
	// The lease gets a new identifier, so that the cancellation does not end it.
	s.lastID++
	p.lease = s.newLease(s.lastID, p, chosen.id, chosen.address)
}

// acquireRemote asks the brokers of other data centres for a free slot, starting with
// those in the same region.
func (s *Service) acquireRemote(ctx context.Context, r Request) Lease {
	for _, dataCentre := range s.otherDataCentres() {
		ranked := s.rankedInstances(r.Pool, dataCentre)
		if len(ranked) == 0 {
			continue
		}
		if lease := s.acquireFrom(ctx, r, ranked[0]); lease != nil {
			return lease
		}
	}
	return nil
}

func (s *Service) otherDataCentres() []string {
	self := s.view.Self()
	var sameRegion, otherRegions []string
	for _, m := range s.view.Members() {
		switch {
		case m.DataCentre == self.DataCentre || slices.Contains(sameRegion, m.DataCentre) || slices.Contains(otherRegions, m.DataCentre):
		case m.Region == self.Region:
			sameRegion = append(sameRegion, m.DataCentre)
		default:
			otherRegions = append(otherRegions, m.DataCentre)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, list := range [][]string{sameRegion, otherRegions} {
		s.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	return append(sameRegion, otherRegions...)
}

// acquireFrom asks one broker of another data centre for a slot and waits for its response.
func (s *Service) acquireFrom(ctx context.Context, r Request, m membership.Member) Lease {
	s.mu.Lock()
	s.lastID++
	p := &pendingRequest{id: s.lastID, request: r, remote: true, brokerID: m.ID, wake: make(chan struct{}, 1)}
	s.requests[p.id] = p
	s.sendToBroker(m.ID, p.message())
	s.mu.Unlock()
	timeout := time.NewTimer(responseTimeout)
	defer timeout.Stop()
	select {
	case <-ctx.Done():
	case <-timeout.C:
	case <-p.wake:
	}
	s.mu.Lock()
	lease := p.lease
	if lease != nil {
		s.stats.RemoteGrants++
	}
	s.mu.Unlock()
	if lease == nil {
		s.abandon(p)
		return nil
	}
	return lease
}

// placementAllows reports whether the placement rules allow a backend server to serve a
// service. A service without a rule may be served by any backend server.
func placementAllows(d *document.Document, service, dataCentre, address string) bool {
	restricted := false
	for _, placement := range d.Placements {
		if !slices.Contains(placement.Services, service) {
			continue
		}
		restricted = true
		if (len(placement.DataCentres) == 0 || slices.Contains(placement.DataCentres, dataCentre)) && inAnyNetwork(placement.Networks, address) {
			return true
		}
	}
	return !restricted
}
