package broker

import (
	"context"
	"slices"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/document"
	"github.com/geraniumpitch/geraniumpitch/pkg/membership"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// knownLife is how long a backend server that this instance heard of is used
// for decisions without a broker.
const knownLife = 30 * time.Second

// knownServer is a backend server of the own data centre that this instance
// heard of through announcements or grants.
type knownServer struct {
	id, address string
	pools       []string
	slots       int
	heard       time.Time
}

// learn remembers the backend server of a grant.
func (s *Service) learn(r *wire.BrokerReply) {
	c := s.calls[r.Id]
	if c.remote {
		return
	}
	s.remember(r.Backend, r.Address, int(r.Slots), c.request.Pool)
}

func (s *Service) remember(id, address string, slots int, pools ...string) {
	if _, gone := s.left[id]; gone {
		return
	}
	k := s.known[id]
	if k == nil {
		k = &knownServer{id: id}
		s.known[id] = k
	}
	k.address, k.slots, k.heard = address, slots, time.Now()
	for _, pool := range pools {
		if !slices.Contains(k.pools, pool) {
			k.pools = append(k.pools, pool)
		}
	}
}

func (s *Service) forgetServers(now time.Time) {
	s.forgetAnnounced(now)
	for id, k := range s.known {
		if now.Sub(k.heard) > knownLife {
			delete(s.known, id)
		}
	}
}

// decide chooses a backend server without a broker: the less used of two random
// ones, within this instance's share of their slots.
func (s *Service) decide(c *call) {
	instances := len(membership.InDataCentre(s.view.Self().DataCentre, s.view.Members()))
	var free []*knownServer
	d := s.config.Current()
	for _, k := range s.known {
		share := max(k.slots/max(instances, 1), 1)
		if slices.Contains(k.pools, c.request.Pool) && !slices.Contains(c.request.Exclude, k.id) &&
			s.holding[k.id] < share && k.slots > 0 && allowed(d, c.request.Pool, s.view.Self().DataCentre, k.address) {
			free = append(free, k)
		}
	}
	if len(free) == 0 {
		return
	}
	a, b := free[s.rng.Intn(len(free))], free[s.rng.Intn(len(free))]
	if s.holding[b.id] < s.holding[a.id] {
		a = b
	}
	s.stats.Local++
	s.finish(c)
	s.ask(c.broker, &wire.BrokerRequest{Id: c.id, Cancel: true})
	// The lease has a number of its own, which the cancel does not end.
	s.number++
	c.lease = s.newLease(s.number, c, a.id, a.address)
}

// elsewhere asks the brokers of other data centres for a free slot, those of
// the own region first.
func (s *Service) elsewhere(ctx context.Context, r Request) Lease {
	for _, dataCentre := range s.others() {
		list := s.candidates(r.Pool, dataCentre)
		if len(list) == 0 {
			continue
		}
		if e := s.askRemote(ctx, r, list[0]); e != nil {
			return e
		}
	}
	return nil
}

func (s *Service) others() []string {
	self := s.view.Self()
	var near, far []string
	for _, m := range s.view.Members() {
		switch {
		case m.DataCentre == self.DataCentre || slices.Contains(near, m.DataCentre) || slices.Contains(far, m.DataCentre):
		case m.Region == self.Region:
			near = append(near, m.DataCentre)
		default:
			far = append(far, m.DataCentre)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, list := range [][]string{near, far} {
		s.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	return append(near, far...)
}

// askRemote asks one broker of another data centre and waits for its answer.
func (s *Service) askRemote(ctx context.Context, r Request, m membership.Member) Lease {
	s.mu.Lock()
	s.number++
	c := &call{id: s.number, request: r, remote: true, broker: m.ID, signal: make(chan struct{}, 1)}
	s.calls[c.id] = c
	s.ask(m.ID, c.message())
	s.mu.Unlock()
	limit := time.NewTimer(answerLimit)
	defer limit.Stop()
	select {
	case <-ctx.Done():
	case <-limit.C:
	case <-c.signal:
	}
	s.mu.Lock()
	e := c.lease
	if e != nil {
		s.stats.Remote++
	}
	s.mu.Unlock()
	if e == nil {
		s.abandon(c)
		return nil
	}
	return e
}

// allowed reports whether the placement rules let a backend server carry a
// service. A service that no rule names may be carried by every one.
func allowed(d *document.Document, service, dataCentre, address string) bool {
	named := false
	for _, p := range d.Placements {
		if !slices.Contains(p.Services, service) {
			continue
		}
		named = true
		if (len(p.DataCentres) == 0 || slices.Contains(p.DataCentres, dataCentre)) && inNetworks(p.Networks, address) {
			return true
		}
	}
	return !named
}
