package coordinator

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/geraniumpitch/geraniumpitch/pkg/consensus"
	"github.com/geraniumpitch/geraniumpitch/pkg/control"
	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
	"github.com/geraniumpitch/geraniumpitch/pkg/rollout"
)

// metrics are the instruments of a coordinator.
type metrics struct {
	publications, announcements, withdrawals, rolloutOrders, rolloutSteps metric.Int64Counter
	publishDuration, withdrawalDuration                                   metric.Float64Histogram
}

// RegisterMetrics registers the metrics of the coordinator. It is called before Start.
func (s *Service) RegisterMetrics(meter metric.Meter) error {
	m := &metrics{}
	var errs []error
	counter := func(name, description string) metric.Int64Counter {
		c, err := meter.Int64Counter(name, metric.WithDescription(description))
		errs = append(errs, err)
		return c
	}
	m.publications = counter("gp_coordinator_publications", "Publications by outcome.")
	m.announcements = counter("gp_coordinator_announcements", "Announcements of backend servers by effect.")
	m.withdrawals = counter("gp_coordinator_withdrawals", "Announcements of leaving and ended backend servers by whether they were recorded.")
	m.rolloutOrders = counter("gp_coordinator_rollout_orders", "Orders of rollouts by outcome.")
	m.rolloutSteps = counter("gp_coordinator_rollout_steps", "Proposed steps of rollouts by state, reason and outcome.")
	_, err := meter.Float64ObservableGauge("gp_coordinator_rollout_share", metric.WithDescription("Share of the requests that go to the new version, by service, while a rollout is in progress."),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			if node := s.group.currentNode(); node != nil {
				records, _ := node.RolloutsAndChange()
				for _, r := range records {
					if r.State == rollout.InProgress {
						o.Observe(r.Share, metric.WithAttributes(attribute.String("service", r.Service)))
					}
				}
			}
			return nil
		}))
	errs = append(errs, err)
	histogram := func(name, description string) metric.Float64Histogram {
		h, err := meter.Float64Histogram(name, metric.WithDescription(description), metric.WithUnit("s"),
			metric.WithExplicitBucketBoundaries(.005, .01, .02, .05, .1, .2, .5, 1, 2, 4))
		errs = append(errs, err)
		return h
	}
	m.publishDuration = histogram("gp_coordinator_publish_duration", "Time until a publication was decided.")
	m.withdrawalDuration = histogram("gp_coordinator_withdrawal_duration", "Time until the announcement of a leaving or ended backend server was on enough disks, or was not acknowledged.")
	gauge := func(name, description string, value func(*control.Node) int64) {
		_, err := meter.Int64ObservableGauge(name, metric.WithDescription(description),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				if node := s.group.currentNode(); node != nil {
					o.Observe(value(node))
				}
				return nil
			}))
		errs = append(errs, err)
	}
	gauge("gp_coordinator_revision", "Revision of the publication applied here.", func(n *control.Node) int64 {
		return int64(n.Publication().Revision)
	})
	gauge("gp_coordinator_role", "0 learner, 1 follower, 2 candidate, 3 leader.", func(n *control.Node) int64 {
		return int64(n.Status().Role)
	})
	gauge("gp_coordinator_members", "Members of the control group.", func(n *control.Node) int64 { return int64(len(n.Status().Members)) })
	gauge("gp_coordinator_term", "Consensus term.", func(n *control.Node) int64 { return int64(n.Status().Term) })
	gauge("gp_coordinator_leader", "1 while this coordinator leads.", func(n *control.Node) int64 {
		if n.Status().Role == consensus.Leader {
			return 1
		}
		return 0
	})
	gauge("gp_coordinator_followers", "Gateways that follow.", func(*control.Node) int64 { return int64(s.hub.gatewayCount()) })
	s.metrics = m
	return eris.Wrap(errors.Join(errs...), "register the metrics of the coordinator")
}

// recordPublication counts a publication and records how long its decision took.
func (m *metrics) recordPublication(outcome control.Outcome, duration time.Duration) {
	if m == nil {
		return
	}
	m.publications.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", string(outcome))))
	m.publishDuration.Record(context.Background(), duration.Seconds())
}

// recordRolloutOrder counts an order.
func (m *metrics) recordRolloutOrder(outcome BeginOutcome) {
	if m != nil {
		m.rolloutOrders.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", string(outcome))))
	}
}

// recordRolloutStep counts a proposed step.
func (m *metrics) recordRolloutStep(d rollout.Decision, outcome control.Outcome) {
	if m != nil {
		m.rolloutSteps.Add(context.Background(), 1, metric.WithAttributes(
			attribute.String("state", d.State.String()), attribute.String("reason", d.Reason), attribute.String("outcome", string(outcome))))
	}
}

// recordAnnouncement counts an announcement of a backend server.
func (m *metrics) recordAnnouncement(effect directory.Effect) {
	if m != nil {
		m.announcements.Add(context.Background(), 1, metric.WithAttributes(attribute.String("effect", effect.String())))
	}
}

// recordWithdrawal counts an announcement of a leaving or ended backend server and records how long it took to put it on
// the disks.
func (m *metrics) recordWithdrawal(err error, duration time.Duration) {
	if m != nil {
		m.withdrawals.Add(context.Background(), 1, metric.WithAttributes(attribute.Bool("recorded", err == nil)))
		m.withdrawalDuration.Record(context.Background(), duration.Seconds())
	}
}
