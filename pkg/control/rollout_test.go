package control

import (
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/rollout"
)

var orderedAt = time.Unix(1_700_000_000, 0)

func applyCommand(t *testing.T, s *State, c command) Result {
	t.Helper()
	data, err := json.Marshal(c)
	qt.Assert(t, err, qt.IsNil)
	return s.apply(data).result
}

func order(t *testing.T, s *State, after time.Duration, service, version string, duration time.Duration) Result {
	t.Helper()
	return applyCommand(t, s, command{Time: orderedAt.Add(after), RolloutOrder: &RolloutOrder{
		Service: service, Version: version, Established: "v1", Duration: duration,
	}})
}

func step(t *testing.T, s *State, number uint64, step int, share float64, state rollout.State) Result {
	t.Helper()
	return applyCommand(t, s, command{RolloutStep: &RolloutStep{Service: "app", Number: number, Step: step, Share: share, State: state}})
}

// Guards against a repeated order that starts a second rollout, against a different order that replaces one in
// progress, and against rollouts that share a number.
func TestRolloutOrders(t *testing.T) {
	s := NewState()
	for i, tt := range []struct {
		after    time.Duration
		service  string
		version  string
		duration time.Duration
		finish   bool
		outcome  Outcome
		number   uint64
	}{
		{0, "app", "v2", 12 * time.Second, false, Accepted, 1},
		{time.Second, "app", "v2", 12 * time.Second, false, Accepted, 1},
		{30 * time.Second, "app", "v2", 12 * time.Second, false, Accepted, 1},
		{time.Second, "app", "v3", 12 * time.Second, false, Conflict, 1},
		{time.Second, "app", "v2", 13 * time.Second, false, Conflict, 1},
		{time.Second, "pool", "v2", 12 * time.Second, false, Accepted, 2},
		{9 * time.Second, "app", "v2", 12 * time.Second, true, Accepted, 1},
		{-time.Second, "app", "v2", 12 * time.Second, false, Accepted, 1},
		{10 * time.Second, "app", "v2", 12 * time.Second, false, Accepted, 3},
		{11 * time.Second, "app", "v3", 12 * time.Second, true, Accepted, 4},
	} {
		if tt.finish {
			qt.Assert(t, step(t, s, s.rollouts["app"].Number, 9, 0, rollout.RolledBack).Outcome, qt.Equals, Accepted)
		}
		result := order(t, s, tt.after, tt.service, tt.version, tt.duration)
		qt.Assert(t, result.Outcome, qt.Equals, tt.outcome, qt.Commentf("order %d: %+v", i, result))
		qt.Assert(t, result.Version, qt.Equals, tt.number, qt.Commentf("order %d", i))
	}
	qt.Assert(t, s.rollouts["app"], qt.DeepEquals, rollout.Record{
		Service: "app", Number: 4, Version: "v3", Established: "v1", Duration: 12 * time.Second, AcceptedAt: orderedAt.Add(11 * time.Second).UTC(),
	})
	order(t, s, 0, "idle", "v1", time.Second)
	qt.Assert(t, s.rollouts["idle"].Share, qt.Equals, 1.0)
}

// Guards against a step of a former leader, or of an earlier rollout, that undoes a later one, and against a
// change of a rollout that has ended.
func TestRolloutStepsApplyInOrder(t *testing.T) {
	s := NewState()
	qt.Assert(t, step(t, s, 0, 1, 1, rollout.Complete).Outcome, qt.Equals, Conflict)
	order(t, s, 0, "app", "v2", time.Minute)
	for i, tt := range []struct {
		number  uint64
		step    int
		share   float64
		state   rollout.State
		outcome Outcome
		want    float64
	}{
		{1, 1, 0.02, rollout.InProgress, Accepted, 0.02}, {1, 1, 0.5, rollout.InProgress, Conflict, 0.02},
		{2, 2, 0.5, rollout.InProgress, Conflict, 0.02}, {1, 3, 1, rollout.InProgress, Accepted, 1},
		{1, 2, 0, rollout.RolledBack, Conflict, 1}, {1, 4, 1, rollout.Complete, Accepted, 1},
		{1, 5, 0, rollout.RolledBack, Conflict, 1},
	} {
		result := step(t, s, tt.number, tt.step, tt.share, tt.state)
		qt.Assert(t, result.Outcome, qt.Equals, tt.outcome, qt.Commentf("step %d", i))
		qt.Assert(t, s.rollouts["app"].Share, qt.Equals, tt.want, qt.Commentf("step %d", i))
	}
	qt.Assert(t, s.rollouts["app"].State, qt.Equals, rollout.Complete)
}

// Guards against a snapshot that loses an accepted order or the highest number, and against one of an earlier
// version that no longer decodes.
func TestRolloutsInSnapshot(t *testing.T) {
	s := NewState()
	order(t, s, 0, "app", "v2", time.Minute)
	order(t, s, 0, "pool", "v2", time.Minute)
	step(t, s, 1, 2, 0.25, rollout.InProgress)
	data, err := s.encode()
	qt.Assert(t, err, qt.IsNil)
	restored, err := decodeState(data)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, restored.rollouts, qt.DeepEquals, s.rollouts)
	order(t, restored, 0, "other", "v2", time.Minute)
	qt.Assert(t, restored.rollouts["other"].Number, qt.Equals, uint64(3))

	old, err := decodeState([]byte(`{"document":{"version":0},"audit":null,"last_seq":0,"lease":{"number":0,"holder":"","duration_ms":0,"renewals":0},"publication":{"revision":7}}`))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, old.publication.Revision, qt.Equals, uint64(7))
	qt.Assert(t, order(t, old, 0, "app", "v2", time.Minute).Version, qt.Equals, uint64(1))
}
