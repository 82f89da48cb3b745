package coordinator

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"storj.io/drpc"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
	"github.com/geraniumpitch/geraniumpitch/pkg/rollout"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/settings"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

var testRolloutBounds = settings.Rollouts{ExposureShare: 0.1, ExposureSlack: 50, RollbackMS: 5000}

// announceVersions announces one server of each version of a service to all coordinators, and renews it until
// the test ends.
func (g *testGroup) announceVersions(service string, versions ...string) {
	started := time.Now().Add(-time.Hour).UnixMilli()
	announce := func(sequence uint64) {
		for i, version := range versions {
			for _, c := range g.running() {
				c.Announce(directory.Server{
					ID: service + version, Service: service, Version: version, Address: fmt.Sprintf("10.0.%d.%d:80", len(service), i+1),
					StartedMS: started + int64(i), Sequence: sequence, Slots: 10,
				})
			}
		}
	}
	announce(1)
	go func() {
		for sequence := uint64(2); sleepContext(g.t.Context(), 500*time.Millisecond); sequence++ {
			announce(sequence)
		}
	}()
}

// simulatedGateway follows all coordinators and reports 200 requests per second for each rollout in progress. It
// has requests in flight at old servers until share 1 is in force.
type simulatedGateway struct {
	group    *testGroup
	dialer   *rpc.Dialer
	instance string
	// bad makes the responses of the new version failures.
	bad bool

	mu       sync.Mutex
	rollouts map[string]*wire.Rollout
	// shares are the shares that came into force, by service.
	shares map[string][]float64
	// leaderAge is that of the latest event, by coordinator, and firstEvents the rollouts of first events.
	leaderAge   map[int]uint32
	firstEvents map[int]int
	counts      map[string]map[bool]*wire.VersionCounts
	owed        float64
}

func (g *testGroup) startGateway(instance string, bad bool) *simulatedGateway {
	w := &simulatedGateway{
		group: g, dialer: rpc.NewDialer(nil, &rpc.Counters{}), instance: instance, bad: bad, rollouts: map[string]*wire.Rollout{},
		shares: map[string][]float64{}, leaderAge: map[int]uint32{}, firstEvents: map[int]int{}, counts: map[string]map[bool]*wire.VersionCounts{},
	}
	g.t.Cleanup(func() { _ = w.dialer.Close() })
	for i := 1; i <= len(g.seeds); i++ {
		go w.follow(g.t.Context(), i)
	}
	go func() {
		for sleepContext(g.t.Context(), 100*time.Millisecond) {
			w.report(g.t.Context())
		}
	}()
	return w
}

// follow keeps a stream of one coordinator open.
func (w *simulatedGateway) follow(ctx context.Context, coordinator int) {
	for sleepContext(ctx, 50*time.Millisecond) {
		stream, err := wire.NewDRPCCoordinatorClient(w.dialer.Conn(w.group.address(coordinator))).Follow(ctx, &wire.FollowRequest{Instance: w.instance})
		for first := true; err == nil; first = false {
			var event *wire.FollowEvent
			if event, err = stream.Recv(); err == nil {
				w.handle(coordinator, event, first)
			}
		}
		w.mu.Lock()
		delete(w.leaderAge, coordinator)
		w.mu.Unlock()
	}
}

func (w *simulatedGateway) handle(coordinator int, event *wire.FollowEvent, first bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaderAge[coordinator] = event.LeaderAgeMs
	if first {
		w.firstEvents[coordinator] = len(event.Rollouts)
	}
	for _, r := range event.Rollouts {
		known := w.rollouts[r.Service]
		if known == nil || r.Number > known.Number || r.Number == known.Number && r.Step > known.Step {
			w.rollouts[r.Service] = r
			w.shares[r.Service] = append(w.shares[r.Service], r.Share)
		}
	}
}

// report adds the requests since the previous report and sends it to the first coordinator that takes it.
func (w *simulatedGateway) report(ctx context.Context) {
	w.mu.Lock()
	report := &wire.RolloutReport{Instance: w.instance, Incarnation: 1}
	for service, r := range w.rollouts {
		if r.State != wire.RolloutState_ROLLOUT_IN_PROGRESS {
			continue
		}
		if w.counts[service] == nil {
			w.counts[service] = map[bool]*wire.VersionCounts{
				false: {Route: "r", Latencies: make([]uint32, 10)}, true: {Route: "r", NewVersion: true, Latencies: make([]uint32, 10)},
			}
		}
		const requests = 20
		w.owed += requests * r.Share
		moved := uint64(w.owed)
		w.owed -= float64(moved)
		for newVersion, c := range w.counts[service] {
			n := requests - moved
			if newVersion {
				n = moved
			}
			c.Sent += n
			if newVersion && w.bad {
				c.Failed += n
				continue
			}
			c.Succeeded += n
			c.Latencies[4] += uint32(n)
		}
		s := &wire.ServiceRolloutReport{Service: service, Number: r.Number, Step: r.Step}
		if r.Share < 1 {
			s.OldInFlight = 2
		}
		for _, c := range w.counts[service] {
			s.Counts = append(s.Counts, &wire.VersionCounts{
				Route: c.Route, NewVersion: c.NewVersion, Sent: c.Sent, Succeeded: c.Succeeded, Failed: c.Failed,
				Latencies: append([]uint32(nil), c.Latencies...),
			})
		}
		report.Services = append(report.Services, s)
	}
	w.mu.Unlock()
	if len(report.Services) == 0 {
		return
	}
	for i := 1; i <= len(w.group.seeds); i++ {
		_, err := rpc.Call(ctx, w.dialer, w.group.address(i), time.Second,
			func(ctx context.Context, conn drpc.Conn) (*wire.RolloutReportResponse, error) {
				return wire.NewDRPCRolloutServiceClient(conn).Report(ctx, report)
			})
		if err == nil {
			return
		}
	}
}

func (w *simulatedGateway) sharesOf(service string) []float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]float64(nil), w.shares[service]...)
}

// begin orders a rollout at one coordinator until it is accepted.
func (g *testGroup) begin(i int, service, version string, duration time.Duration) {
	g.t.Helper()
	g.eventually("the order is accepted", func() bool {
		outcome, _ := g.coordinators[i].BeginRollout(context.Background(), service, version, duration)
		return outcome == BeginAccepted
	})
}

// rolloutAt waits for a confirmed read at one coordinator and returns the record.
func (g *testGroup) rolloutAt(i int, service string) (r rollout.Record, exists bool) {
	g.t.Helper()
	g.eventually("a confirmed read of a rollout", func() bool {
		var err error
		r, exists, err = g.coordinators[i].ReadRollout(context.Background(), service)
		return err == nil
	})
	return r, exists
}

func (g *testGroup) awaitState(i int, service string, want rollout.State) {
	g.t.Helper()
	g.eventually(want.String(), func() bool {
		r, exists := g.rolloutAt(i, service)
		return exists && r.State == want
	})
}

// Guards against an order that only the leader takes, reports that do not reach the leader, a good version that
// is not complete within its time limit, and a gateway that misses a step or learns of none with its first event.
func TestGoodRolloutCompletes(t *testing.T) {
	g := newTestGroup(t, 3)
	g.publish(1, 1, "one")
	g.announceVersions("app", "v1", "v2")
	w := g.startGateway("g1", false)
	follower := g.leader()%3 + 1
	_, exists := g.rolloutAt(follower, "app")
	qt.Assert(t, exists, qt.IsFalse)
	startedAt := time.Now()
	g.begin(follower, "app", "v2", 5*time.Second)
	r, _ := g.rolloutAt(follower%3+1, "app")
	qt.Assert(t, r.State, qt.Equals, rollout.InProgress)
	qt.Assert(t, r.Established, qt.Equals, "v1")
	g.awaitState(follower, "app", rollout.Complete)
	qt.Check(t, time.Since(startedAt) < 5*time.Second+rollout.RollbackReserve, qt.IsTrue, qt.Commentf("after %s", time.Since(startedAt)))
	for i := range g.coordinators {
		r, _ := g.rolloutAt(i, "app")
		qt.Assert(t, r.State, qt.Equals, rollout.Complete)
		qt.Assert(t, r.Version, qt.Equals, "v2")
	}
	shares := w.sharesOf("app")
	qt.Assert(t, len(shares) >= 4, qt.IsTrue, qt.Commentf("%v", shares))
	qt.Assert(t, shares[0], qt.Equals, 0.0)
	qt.Assert(t, shares[len(shares)-1], qt.Equals, 1.0)
	late := g.startGateway("g2", false)
	g.eventually("the first events hold the record", func() bool {
		late.mu.Lock()
		defer late.mu.Unlock()
		return late.firstEvents[1] == 1 && late.firstEvents[2] == 1 && late.firstEvents[3] == 1
	})
}

// Guards against a bad version that keeps its share, and against a state that is undone: the version may not get
// another share after it was rolled back.
func TestBadRolloutRollsBack(t *testing.T) {
	g := newTestGroup(t, 3)
	g.publish(1, 1, "one")
	g.announceVersions("app", "v1", "v2")
	w := g.startGateway("g1", true)
	g.begin(1, "app", "v2", 10*time.Second)
	g.awaitState(2, "app", rollout.RolledBack)
	g.eventually("the gateway knows", func() bool {
		shares := w.sharesOf("app")
		return len(shares) > 1 && shares[len(shares)-1] == 0
	})
	w.mu.Lock()
	sent := w.counts["app"][true].Sent
	w.mu.Unlock()
	qt.Assert(t, sent < 60, qt.IsTrue, qt.Commentf("%d requests", sent))
	r, _ := g.rolloutAt(3, "app")
	qt.Assert(t, r.State, qt.Equals, rollout.RolledBack)
}

// Guards against a repeated order that starts anew, a different one that replaces it, a version that is refused for
// good before its servers had time to announce themselves, and services that hold up each other.
func TestRolloutOrders(t *testing.T) {
	g := newTestGroup(t, 3)
	g.publish(1, 1, "one")
	g.announceVersions("app", "v1", "v2")
	g.announceVersions("pool2", "v1", "v2")
	begin := func(i int, service, version string, duration time.Duration) BeginOutcome {
		outcome, message := g.coordinators[i].BeginRollout(context.Background(), service, version, duration)
		qt.Check(t, message != "", qt.Equals, outcome != BeginAccepted)
		return outcome
	}
	firstOrderAt := time.Now()
	outcome, message := g.coordinators[1].BeginRollout(context.Background(), "app", "v3", time.Minute)
	qt.Assert(t, outcome, qt.Equals, BeginUnavailable)
	qt.Assert(t, message, qt.Equals, `no server of service "app" announces version "v3" yet`)
	g.eventually("the version stays unknown", func() bool { return begin(2, "app", "v3", time.Minute) == BeginInvalid })
	qt.Assert(t, time.Since(firstOrderAt) > time.Second, qt.IsTrue)
	_, exists := g.rolloutAt(1, "app")
	qt.Assert(t, exists, qt.IsFalse)

	g.begin(1, "app", "v2", time.Minute)
	for i := range g.coordinators {
		qt.Assert(t, begin(i, "app", "v2", time.Minute), qt.Equals, BeginAccepted)
		qt.Assert(t, begin(i, "app", "v2", 2*time.Minute), qt.Equals, BeginConflict)
		qt.Assert(t, begin(i, "app", "v1", time.Minute), qt.Equals, BeginConflict)
	}
	g.begin(2, "pool2", "v2", time.Minute)
	r, _ := g.rolloutAt(3, "app")
	qt.Assert(t, r.Number, qt.Equals, uint64(1))
	qt.Assert(t, r.Duration, qt.Equals, time.Minute)
	r, _ = g.rolloutAt(3, "pool2")
	qt.Assert(t, r.Number, qt.Equals, uint64(2))
}

// Guards against an accepted order that is lost when all members restart and one of them lost its disk, against one
// that starts anew when it is repeated then, and against a rollout that never ends although no gateway reports.
func TestRolloutSurvivesRestarts(t *testing.T) {
	g := newTestGroup(t, 3)
	g.publish(1, 1, "one")
	g.announceVersions("app", "v1", "v2")
	g.begin(2, "app", "v2", 5*time.Second)
	for i := 1; i <= 3; i++ {
		g.stop(i)
	}
	g.loseDisk(3)
	for i := 1; i <= 3; i++ {
		g.start(i, false)
	}
	r, exists := g.rolloutAt(1, "app")
	qt.Assert(t, exists, qt.IsTrue)
	qt.Assert(t, r.State, qt.Equals, rollout.InProgress)
	g.begin(2, "app", "v2", 5*time.Second)
	r, _ = g.rolloutAt(1, "app")
	qt.Assert(t, r.Number, qt.Equals, uint64(1))
	g.eventually("3 has its disk again", func() bool {
		node := g.coordinators[3].group.currentNode()
		return node != nil && node.HasLeader()
	})
	g.awaitState(3, "app", rollout.RolledBack)
	g.stop(1)
	r, _ = g.rolloutAt(3, "app")
	qt.Assert(t, r.State, qt.Equals, rollout.RolledBack)
}

// Guards against a rollout that stops, starts again or goes back when the leader ends.
func TestRolloutContinuesAtTheNextLeader(t *testing.T) {
	g := newGrowingTestGroup(t, 5, 5, 2)
	g.publish(1, 1, "one")
	g.announceVersions("app", "v1", "v2")
	w := g.startGateway("g1", false)
	leader := g.leader()
	g.begin(leader%5+1, "app", "v2", 6*time.Second)
	g.eventually("the canary", func() bool { return len(w.sharesOf("app")) > 1 })
	g.stop(leader)
	next := leader%5 + 1
	g.awaitState(next, "app", rollout.Complete)
	r, _ := g.rolloutAt(next, "app")
	qt.Assert(t, r.Number, qt.Equals, uint64(1))
	w.mu.Lock()
	defer w.mu.Unlock()
	qt.Assert(t, w.rollouts["app"].Number, qt.Equals, uint64(1))
}

// Guards against a coordinator without a leader that keeps confirming shares to its gateways, answers reads or takes
// orders.
func TestRolloutsWithoutLeader(t *testing.T) {
	g := newTestGroup(t, 3)
	g.publish(1, 1, "one")
	g.announceVersions("app", "v1", "v2")
	w := g.startGateway("g1", false)
	g.begin(1, "app", "v2", time.Minute)
	age := func(check func(uint32) bool) func() bool {
		return func() bool {
			w.mu.Lock()
			defer w.mu.Unlock()
			age, ok := w.leaderAge[1]
			return ok && check(age)
		}
	}
	g.eventually("a recent leader", age(func(ms uint32) bool { return ms < 300 }))
	g.stop(2)
	g.stop(3)
	g.eventually("the leader is missing", age(func(ms uint32) bool { return ms >= 1500 }))
	_, _, err := g.coordinators[1].ReadRollout(context.Background(), "app")
	qt.Assert(t, err, qt.Equals, ErrNotConfirmed)
	outcome, _ := g.coordinators[1].BeginRollout(context.Background(), "app", "v2", time.Minute)
	qt.Assert(t, outcome == BeginUnavailable || outcome == BeginUnknown, qt.IsTrue, qt.Commentf("%s", outcome))
}

// Guards against an established version that changes with the order of announcements, that has no ready server, or
// that forgets the previous rollout.
func TestEstablishedVersion(t *testing.T) {
	server := func(id, version string, started int64, state directory.State) directory.Entry {
		return directory.Entry{Server: directory.Server{ID: id, Version: version, StartedMS: started, State: state}}
	}
	servers := []directory.Entry{
		server("a", "v3", 30, directory.Ready), server("b", "v1", 5, directory.Leaving), server("c", "v2", 10, directory.Ready),
	}
	complete := rollout.Record{Number: 1, State: rollout.Complete, Version: "v3", Established: "v2"}
	rolledBack := complete
	rolledBack.State = rollout.RolledBack
	gone := rollout.Record{Number: 1, State: rollout.Complete, Version: "v9"}
	for want, previous := range map[string][]rollout.Record{"v2": {{}, rolledBack, gone}, "v3": {complete}} {
		for _, p := range previous {
			qt.Check(t, establishedVersion(p, servers), qt.Equals, want, qt.Commentf("%+v", p))
		}
	}
	qt.Check(t, establishedVersion(rollout.Record{}, nil), qt.Equals, "")
}

// Guards against an order whose time starts again with a new leader, or lies in the future because of its clock.
func TestTimeOfAnOrder(t *testing.T) {
	now := time.Now()
	for _, tt := range []struct{ accepted, want time.Duration }{
		{-time.Second, 0}, {time.Hour, 0}, {-5 * time.Second, -5 * time.Second},
	} {
		r := newRollouts()
		r.observe([]rollout.Record{{Number: 1, AcceptedAt: now.Add(tt.accepted)}}, now)
		qt.Check(t, r.followed[1].orderedAt, qt.Equals, now.Add(tt.want), qt.Commentf("%s", tt.accepted))
		r.observe([]rollout.Record{{Number: 1, Step: 2}}, now.Add(time.Second))
		qt.Check(t, r.followed[1].stepAt, qt.Equals, now.Add(time.Second))
		r.observe([]rollout.Record{{Number: 1, Step: 3, State: rollout.Complete}}, now.Add(time.Second))
		qt.Check(t, r.followed, qt.HasLen, 0)
	}
}

// Guards against a stream that sends a rollout again, or an older one after a newer one.
func TestSentRollouts(t *testing.T) {
	sent := sentRollouts{}
	for _, tt := range []struct {
		number uint64
		step   int
		want   int
	}{{1, 0, 1}, {1, 0, 0}, {1, 2, 1}, {1, 1, 0}, {2, 0, 1}, {1, 9, 0}} {
		qt.Check(t, sent.changed([]rollout.Record{{Service: "app", Number: tt.number, Step: tt.step}}, time.Now()), qt.HasLen, tt.want)
	}
}

// Guards against a coordinator without bounds that takes orders forwarded by one with them.
func TestRolloutsWithoutBounds(t *testing.T) {
	g := newTestGroupWithout(t, 3)
	g.publish(1, 1, "one")
	g.announceVersions("app", "v1", "v2")
	outcome, _ := g.coordinators[1].BeginRollout(context.Background(), "app", "v2", time.Minute)
	qt.Assert(t, outcome, qt.Equals, BeginUnavailable)
	qt.Assert(t, g.coordinators[1].RolloutsEnabled(), qt.IsFalse)
}
