package follow

import (
	"context"
	"log/slog"
	"math"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rotisserie/eris"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
	"github.com/geraniumpitch/geraniumpitch/pkg/quarantine"
	"github.com/geraniumpitch/geraniumpitch/pkg/rollout"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// rolloutCoordinator is a coordinator that sends given events and records reports.
type rolloutCoordinator struct {
	wire.DRPCCoordinatorUnimplementedServer
	wire.DRPCRolloutServiceUnimplementedServer
	address string
	events  chan *wire.FollowEvent

	mu      sync.Mutex
	reports []*wire.RolloutReport
	refuses bool
}

func (c *rolloutCoordinator) Follow(_ *wire.FollowRequest, stream wire.DRPCCoordinator_FollowStream) error {
	for {
		select {
		case <-stream.Context().Done():
			return nil
		case event := <-c.events:
			if err := stream.Send(event); err != nil {
				return err
			}
		case <-time.After(HeartbeatInterval):
			if err := stream.Send(&wire.FollowEvent{LeaderAgeMs: math.MaxUint32}); err != nil {
				return err
			}
		}
	}
}

func (c *rolloutCoordinator) Report(_ context.Context, report *wire.RolloutReport) (*wire.RolloutReportResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refuses {
		return nil, eris.New("refused")
	}
	c.reports = append(c.reports, report)
	return &wire.RolloutReportResponse{}, nil
}

func (c *rolloutCoordinator) reportCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.reports)
}

func newRolloutCoordinator(t *testing.T) *rolloutCoordinator {
	t.Helper()
	c := &rolloutCoordinator{events: make(chan *wire.FollowEvent, 8)}
	server := rpc.NewServer(nil, &rpc.Counters{}, slog.New(slog.DiscardHandler))
	qt.Assert(t, wire.DRPCRegisterCoordinator(server.Mux(), c), qt.IsNil)
	qt.Assert(t, wire.DRPCRegisterRolloutService(server.Mux(), c), qt.IsNil)
	free, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	c.address = free.Addr().String()
	qt.Assert(t, free.Close(), qt.IsNil)
	qt.Assert(t, server.Listen(t.Context(), c.address), qt.IsNil)
	return c
}

// rolloutSink records the rollouts and the latest age of the leader's confirmation.
type rolloutSink struct {
	mu        sync.Mutex
	records   []rollout.Record
	leaderAge time.Duration
	calls     int
}

func (*rolloutSink) HandlePublication(uint64, []byte)       {}
func (*rolloutSink) HandleAnnouncements([]directory.Server) {}
func (*rolloutSink) HandlePlacement(placement.Placement)    {}
func (*rolloutSink) HandlePromptReport(quarantine.Report)   {}
func (*rolloutSink) Revision() uint64                       { return 0 }
func (s *rolloutSink) HandleRollouts(records []rollout.Record, leaderAge time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records, s.leaderAge, s.calls = append(s.records, records...), leaderAge, s.calls+1
}

func (s *rolloutSink) snapshot() ([]rollout.Record, time.Duration, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]rollout.Record(nil), s.records...), s.leaderAge, s.calls
}

// fixedReporter reports the same each time.
type fixedReporter map[string]rollout.Report

func (r fixedReporter) ReportRollouts() (map[string]rollout.Report, uint64) { return r, 77 }

func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%s", what))
	}
}

// followRollouts starts a follow client that sends the given reports.
func followRollouts(t *testing.T, reports fixedReporter, coordinators ...*rolloutCoordinator) *rolloutSink {
	sink := &rolloutSink{}
	dialer := rpc.NewDialer(nil, &rpc.Counters{})
	t.Cleanup(func() { _ = dialer.Close() })
	c := NewClient("g", dialer, sink, slog.New(slog.DiscardHandler))
	for _, coordinator := range coordinators {
		c.Add(t.Context(), []string{coordinator.address})
	}
	go c.RunRollouts(t.Context(), reports)
	return sink
}

// Guards against rollouts that do not reach the gateway, and against a gateway that cannot tell whether a
// leader still confirms them: events without rollouts pass on the age of the confirmation as well.
func TestRolloutsAreReceived(t *testing.T) {
	c := newRolloutCoordinator(t)
	sink := followRollouts(t, nil, c)
	sent := rollout.Record{
		Service: "pool", Number: 3, Version: "v2", Established: "v1", State: rollout.InProgress, Step: 2, Share: 0.05, Duration: 12 * time.Second,
		AcceptedAt: time.Now().Add(-4 * time.Second),
	}
	unknown := &wire.Rollout{Service: "pool", State: 99}
	c.events <- &wire.FollowEvent{Rollouts: []*wire.Rollout{EncodeRollout(sent, time.Now()), unknown}, LeaderAgeMs: 250}
	waitUntil(t, "the rollout", func() bool { records, _, _ := sink.snapshot(); return len(records) > 0 })
	records, age, _ := sink.snapshot()
	qt.Assert(t, age, qt.Equals, 250*time.Millisecond)
	qt.Assert(t, records, qt.HasLen, 1)
	received := records[0]
	qt.Assert(t, sent.AcceptedAt.Sub(received.AcceptedAt).Abs() < 2*time.Second, qt.IsTrue)
	received.AcceptedAt = sent.AcceptedAt
	qt.Assert(t, received, qt.Equals, sent)
	waitUntil(t, "an event without rollouts", func() bool { _, age, _ := sink.snapshot(); return age > 40*24*time.Hour })
}

// Guards against reports that are lost with the coordinator that all gateways report to first, and against
// reports while no rollout is in progress.
func TestRolloutReportsGoToTheNextCoordinator(t *testing.T) {
	a, b := newRolloutCoordinator(t), newRolloutCoordinator(t)
	first, second := a, b
	if b.address < a.address {
		first, second = b, a
	}
	counts := rollout.Counts{Route: "once", NewVersion: true, Sent: 9, Succeeded: 6, Failed: 2, Void: 1}
	counts.Latencies.Add(20 * time.Millisecond)
	reports := fixedReporter{"pool": {Number: 3, Step: 2, OldInFlight: 4, Counts: []rollout.Counts{counts, {Route: "safe", Sent: 1}}}}
	sink := followRollouts(t, reports, a, b)
	a.events <- &wire.FollowEvent{}
	b.events <- &wire.FollowEvent{}
	waitUntil(t, "both streams", func() bool { _, _, calls := sink.snapshot(); return calls >= 2 })
	waitUntil(t, "a report", func() bool { return first.reportCount() > 0 })
	first.mu.Lock()
	report := first.reports[len(first.reports)-1]
	first.refuses = true
	first.mu.Unlock()
	qt.Assert(t, report.Instance, qt.Equals, "g")
	qt.Assert(t, report.Incarnation, qt.Equals, uint64(77))
	qt.Assert(t, DecodeRolloutReport(report), qt.DeepEquals, map[string]rollout.Report(reports))
	before := second.reportCount()
	waitUntil(t, "a report to the second coordinator", func() bool { return second.reportCount() > before })

	idle := newRolloutCoordinator(t)
	idleSink := followRollouts(t, fixedReporter{}, idle)
	idle.events <- &wire.FollowEvent{}
	waitUntil(t, "the stream", func() bool { _, _, calls := idleSink.snapshot(); return calls >= 2 })
	qt.Assert(t, idle.reportCount(), qt.Equals, 0)
}
