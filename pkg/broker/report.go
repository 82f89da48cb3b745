package broker

import (
	"context"
	"time"

	"storj.io/drpc"

	"github.com/geraniumpitch/geraniumpitch/pkg/membership"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/sched"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// reportAge is the age up to which a report is passed on.
const reportAge = 2 * time.Second

// collector is the rendezvous key of the instance that exchanges the reports of
// its data centre with those of others. Reports between all pairs of brokers
// would be 2,640 messages a second in a data centre of 12 pools among 21.
const collector = "limits"

// siteReport is the newest report of a site.
type siteReport struct {
	at   time.Time
	site *wire.SiteDemand
}

// report tells other sites what organisations with limits ask of the pools that
// this instance serves.
func (s *Service) report(now time.Time) {
	for _, h := range s.pools {
		s.addDataCentres(h)
		h.shares.Prune(now)
	}
	for site, r := range s.sites {
		if now.Sub(r.at) > reportAge {
			delete(s.sites, site)
		}
	}
	if !s.limited {
		return
	}
	own := s.demands(now)
	s.takeSites(now, own)
	switch c := s.first(collector); {
	case c == s.view.Self().ID:
		s.exchange()
	case len(own) > 0:
		if m, ok := s.view.Member(c); ok {
			s.tell(m, &wire.LimitReport{Sites: own})
		}
	}
}

// demands returns the reports of the pools that this instance serves.
func (s *Service) demands(now time.Time) []*wire.SiteDemand {
	var own []*wire.SiteDemand
	for _, h := range s.pools {
		if !h.serving {
			continue
		}
		site := &wire.SiteDemand{DataCentre: s.view.Self().DataCentre, Pool: h.name}
		for name, d := range h.pool.Demands(now) {
			site.Demands = append(site.Demands, &wire.OrganisationDemand{
				Organisation: name, TokensPerSecond: float32(d.TokensPerSecond), InFlight: uint32(d.InFlight), Running: uint32(d.Running),
			})
		}
		if len(site.Demands) > 0 {
			own = append(own, site)
		}
	}
	return own
}

// exchange sends the reports of the own data centre to one instance of each
// other one, and all reports to the brokers of the own one.
func (s *Service) exchange() {
	self := s.view.Self()
	outward := &wire.LimitReport{Sites: []*wire.SiteDemand{{DataCentre: self.DataCentre}}, Relay: true}
	inward := &wire.LimitReport{}
	for site, r := range s.sites {
		inward.Sites = append(inward.Sites, r.site)
		if site.DataCentre == self.DataCentre {
			outward.Sites = append(outward.Sites, r.site)
		}
	}
	sent, members := map[string]bool{self.DataCentre: true}, map[string]membership.Member{}
	for _, m := range s.view.Members() {
		members[m.ID] = m
		if sent[m.DataCentre] {
			continue
		}
		sent[m.DataCentre] = true
		if list := s.candidates(collector, m.DataCentre); len(list) > 0 {
			s.tell(list[0], outward)
		}
	}
	told := map[string]bool{self.ID: true}
	for pool := range s.config.Current().Services {
		if b := s.broker(pool); !told[b] && members[b].ID != "" && len(inward.Sites) > 0 {
			told[b] = true
			s.tell(members[b], inward)
		}
	}
}

func (s *Service) tell(m membership.Member, r *wire.LimitReport) {
	s.spawn(func() {
		_, _ = rpc.Call(s.ctx, s.dialer, m.PeerAddress, forwardTimeout,
			func(ctx context.Context, conn drpc.Conn) (*wire.LimitReportResponse, error) {
				return wire.NewDRPCBrokerClient(conn).Report(ctx, r)
			})
	})
}

// Report implements wire.DRPCBrokerServer.
func (e endpoint) Report(_ context.Context, r *wire.LimitReport) (*wire.LimitReportResponse, error) {
	s := e.service
	s.mu.Lock()
	defer s.mu.Unlock()
	s.takeSites(time.Now(), r.Sites)
	if c := s.first(collector); r.Relay && c != s.view.Self().ID {
		// The sender knows a few instances of this data centre only.
		if m, ok := s.view.Member(c); ok {
			s.tell(m, &wire.LimitReport{Sites: r.Sites})
		}
	}
	return &wire.LimitReportResponse{}, nil
}

func (s *Service) takeSites(now time.Time, sites []*wire.SiteDemand) {
	for _, site := range sites {
		key := sched.Site{DataCentre: site.DataCentre, Pool: site.Pool}
		s.sites[key] = siteReport{now, site}
		demands := make(map[string]sched.Demand, len(site.Demands))
		for _, d := range site.Demands {
			demands[d.Organisation] = sched.Demand{
				TokensPerSecond: float64(d.TokensPerSecond), InFlight: float64(d.InFlight), Running: int(d.Running),
			}
		}
		for _, h := range s.pools {
			h.shares.Report(now, key, demands)
		}
	}
}
