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

// report tells the other sites what organisations with limits ask of the pools
// that this instance serves. Another data centre gets one copy and spreads it.
func (s *Service) report(now time.Time) {
	for _, h := range s.pools {
		s.addDataCentres(h)
		h.shares.Prune(now)
	}
	if !s.limited {
		return
	}
	for _, h := range s.pools {
		if !h.serving {
			continue
		}
		r := &wire.LimitReport{DataCentre: s.view.Self().DataCentre, Pool: h.name}
		for name, d := range h.pool.Demands(now) {
			r.Demands = append(r.Demands, &wire.OrganisationDemand{
				Organisation: name, TokensPerSecond: float32(d.TokensPerSecond), InFlight: uint32(d.InFlight), Running: uint32(d.Running),
			})
		}
		s.takeReport(now, r)
		s.spread(r)
		s.sendReport(r)
	}
}

// sendReport sends a report to one instance of each other data centre.
func (s *Service) sendReport(r *wire.LimitReport) {
	relayed := &wire.LimitReport{DataCentre: r.DataCentre, Pool: r.Pool, Demands: r.Demands, Relay: true}
	sent := map[string]bool{s.view.Self().DataCentre: true}
	for _, m := range s.view.Members() {
		if sent[m.DataCentre] {
			continue
		}
		sent[m.DataCentre] = true
		if list := s.candidates(r.Pool, m.DataCentre); len(list) > 0 {
			s.tell(list[0], relayed)
		}
	}
}

// spread sends a report to the brokers of the own data centre.
func (s *Service) spread(r *wire.LimitReport) {
	told := map[string]bool{s.view.Self().ID: true}
	members := map[string]membership.Member{}
	for _, m := range s.view.Members() {
		members[m.ID] = m
	}
	for pool := range s.config.Current().Services {
		if b := s.broker(pool); !told[b] && members[b].ID != "" {
			told[b] = true
			s.tell(members[b], r)
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
	s.takeReport(time.Now(), r)
	if r.Relay {
		r.Relay = false
		s.spread(r)
	}
	return &wire.LimitReportResponse{}, nil
}

func (s *Service) takeReport(now time.Time, r *wire.LimitReport) {
	demands := make(map[string]sched.Demand, len(r.Demands))
	for _, d := range r.Demands {
		demands[d.Organisation] = sched.Demand{TokensPerSecond: float64(d.TokensPerSecond), InFlight: float64(d.InFlight), Running: int(d.Running)}
	}
	for _, h := range s.pools {
		h.shares.Report(now, sched.Site{DataCentre: r.DataCentre, Pool: r.Pool}, demands)
	}
}
