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

// reportRelayTTL is the age up to which a report is relayed.
const reportRelayTTL = 2 * time.Second

// limitCollectorKey is the rendezvous key of the instance that exchanges the reports of
// its data centre with those of others. Without it, reports between all pairs of brokers
// would be 2,640 messages a second in a data centre with 12 pools, one of 21 data centres.
const limitCollectorKey = "limits"

// siteReport is the latest report of a site.
type siteReport struct {
	receivedAt time.Time
	site       *wire.SiteDemand
}

// reportDemands reports the demand on the pools that this instance serves to the
// collector of this data centre. The collector itself exchanges the reports with other
// data centres.
func (s *Service) reportDemands(now time.Time) {
	for _, h := range s.pools {
		s.addDataCentres(h)
		h.shares.Prune(now)
	}
	for site, r := range s.siteReports {
		if now.Sub(r.receivedAt) > reportRelayTTL {
			delete(s.siteReports, site)
		}
	}
	if !s.hasLimits {
		return
	}
	localSites := s.localDemands(now)
	s.storeReports(now, localSites)
	switch collector := s.topRanked(limitCollectorKey); {
	case collector == s.view.Self().ID:
		s.exchangeReports()
	case len(localSites) > 0:
		if m, ok := s.view.Member(collector); ok {
			s.sendReport(m, &wire.LimitReport{Sites: localSites})
		}
	}
}

// localDemands returns the reports of the pools that this instance serves.
func (s *Service) localDemands(now time.Time) []*wire.SiteDemand {
	var localSites []*wire.SiteDemand
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
			localSites = append(localSites, site)
		}
	}
	return localSites
}

// exchangeReports sends the reports of this data centre to one instance of each other
// data centre, and all reports to the brokers of this data centre.
func (s *Service) exchangeReports() {
	self := s.view.Self()
	toDataCentres := &wire.LimitReport{Sites: []*wire.SiteDemand{{DataCentre: self.DataCentre}}, Relay: true}
	toBrokers := &wire.LimitReport{}
	for site, r := range s.siteReports {
		toBrokers.Sites = append(toBrokers.Sites, r.site)
		if site.DataCentre == self.DataCentre {
			toDataCentres.Sites = append(toDataCentres.Sites, r.site)
		}
	}
	sentTo, members := map[string]bool{self.DataCentre: true}, map[string]membership.Member{}
	for _, m := range s.view.Members() {
		members[m.ID] = m
		if sentTo[m.DataCentre] {
			continue
		}
		sentTo[m.DataCentre] = true
		if ranked := s.rankedInstances(limitCollectorKey, m.DataCentre); len(ranked) > 0 {
			s.sendReport(ranked[0], toDataCentres)
		}
	}
	sentToBroker := map[string]bool{self.ID: true}
	for pool := range s.config.Current().Services {
		if broker := s.brokerOf(pool); !sentToBroker[broker] && members[broker].ID != "" && len(toBrokers.Sites) > 0 {
			sentToBroker[broker] = true
			s.sendReport(members[broker], toBrokers)
		}
	}
}

// sendReport sends a report in the background. A failure is ignored, because the next
// report follows after reportInterval.
func (s *Service) sendReport(m membership.Member, r *wire.LimitReport) {
	s.spawn(func() {
		_, _ = rpc.Call(s.ctx, s.dialer, m.PeerAddress, peerCallTimeout,
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
	s.storeReports(time.Now(), r.Sites)
	if collector := s.topRanked(limitCollectorKey); r.Relay && collector != s.view.Self().ID {
		// The sender may see only a few instances of this data centre and not know the
		// collector.
		if m, ok := s.view.Member(collector); ok {
			s.sendReport(m, &wire.LimitReport{Sites: r.Sites})
		}
	}
	return &wire.LimitReportResponse{}, nil
}

func (s *Service) storeReports(now time.Time, sites []*wire.SiteDemand) {
	for _, site := range sites {
		from := sched.Site{DataCentre: site.DataCentre, Pool: site.Pool}
		s.siteReports[from] = siteReport{now, site}
		demands := make(map[string]sched.Demand, len(site.Demands))
		for _, d := range site.Demands {
			demands[d.Organisation] = sched.Demand{
				TokensPerSecond: float64(d.TokensPerSecond), InFlight: float64(d.InFlight), Running: int(d.Running),
			}
		}
		for _, h := range s.pools {
			h.shares.RecordReport(now, from, demands)
		}
	}
}
