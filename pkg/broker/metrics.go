package broker

import (
	"context"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/geraniumpitch/geraniumpitch/pkg/document"
	"github.com/geraniumpitch/geraniumpitch/pkg/sched"
)

// RegisterMetrics registers the counters of the service with a meter.
func (s *Service) RegisterMetrics(m metric.Meter) error {
	counters := []struct {
		name, description string
		value             func(Stats) uint64
	}{
		{"broker.decisions.local", "decisions made without a broker", func(s Stats) uint64 { return s.LocalDecisions }},
		{"broker.grants.remote", "grants of other data centres", func(s Stats) uint64 { return s.RemoteGrants }},
		{"broker.sessions.reopened", "sessions opened again after a fault", func(s Stats) uint64 { return s.ReopenedSessions }},
		{"broker.instances.reclaimed", "lost entry instances whose grants were taken back", func(s Stats) uint64 { return s.LostInstances }},
		{"broker.requests.moved", "waiting requests repeated at another broker", func(s Stats) uint64 { return s.MovedRequests }},
	}
	for _, c := range counters {
		_, err := m.Int64ObservableCounter(c.name, metric.WithDescription(c.description),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				o.Observe(int64(c.value(s.Stats())))
				return nil
			}))
		if err != nil {
			return eris.Wrapf(err, "register %s", c.name)
		}
	}
	return s.observePools(m)
}

// observePools registers gauges for the pools that this instance hosts.
func (s *Service) observePools(m metric.Meter) error {
	gauges := []struct {
		name  string
		value func(sched.Stats, sched.Rank) int64
	}{
		{"broker.pool.queued", func(s sched.Stats, r sched.Rank) int64 { return int64(s.Queued[r]) }},
		{"broker.pool.running", func(s sched.Stats, r sched.Rank) int64 { return int64(s.Running[r]) }},
		{"broker.pool.granted", func(s sched.Stats, r sched.Rank) int64 { return int64(s.Granted[r]) }},
		{"broker.pool.refused", func(s sched.Stats, r sched.Rank) int64 { return int64(s.Refused[r]) }},
		{"broker.pool.preempted", func(s sched.Stats, r sched.Rank) int64 { return int64(s.Preempted[r]) }},
	}
	for _, g := range gauges {
		_, err := m.Int64ObservableGauge(g.name, metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for pool, stats := range s.Stats().Pools {
				for rank, name := range map[sched.Rank]string{sched.Urgent: document.Urgent, sched.Patient: document.Patient} {
					o.Observe(g.value(stats, rank), metric.WithAttributes(attribute.String("pool", pool), attribute.String("rank", name)))
				}
			}
			return nil
		}))
		if err != nil {
			return eris.Wrapf(err, "register %s", g.name)
		}
	}
	return nil
}
