package control

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/rollout"
)

// RepeatedOrderTime is the time after the acceptance of an order in which an identical one is a repetition,
// whatever became of the rollout. Operators repeat an order for at most 5 s.
const RepeatedOrderTime = 10 * time.Second

// RolloutOrder is an operator's order to move the traffic of a service to a version.
type RolloutOrder struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// Established is the version that has the traffic, as the leader that proposes the order knows it.
	Established string        `json:"established"`
	Duration    time.Duration `json:"duration"`
}

// RolloutStep changes the share or the state of a rollout in progress.
type RolloutStep struct {
	Service string        `json:"service"`
	Number  uint64        `json:"number"`
	Step    int           `json:"step"`
	Share   float64       `json:"share"`
	State   rollout.State `json:"state"`
}

// applyRolloutOrder records an order. One that repeats the order in progress, or one that was accepted shortly
// before, changes nothing; another one in progress is a conflict. The version of the result is the number of
// the rollout.
func (s *State) applyRolloutOrder(proposedAt time.Time, o RolloutOrder) Result {
	current, exists := s.rollouts[o.Service]
	identical := exists && current.Version == o.Version && current.Duration == o.Duration
	switch {
	case identical && (current.State == rollout.InProgress || proposedAt.Sub(current.AcceptedAt) < RepeatedOrderTime):
		return Result{Outcome: Accepted, Version: current.Number}
	case exists && current.State == rollout.InProgress:
		return Result{Outcome: Conflict, Version: current.Number, Message: fmt.Sprintf(
			"a rollout of service %q to version %q within %s is in progress", o.Service, current.Version, current.Duration)}
	}
	s.lastRollout++
	record := rollout.Record{
		Service: o.Service, Number: s.lastRollout, Version: o.Version, Established: o.Established, Duration: o.Duration,
		AcceptedAt: proposedAt.UTC(),
	}
	if o.Version == o.Established {
		record.Share = 1 // The version has all the traffic already.
	}
	s.setRollout(record)
	return Result{Outcome: Accepted, Version: record.Number}
}

// applyRolloutStep applies a step if its rollout is the latest of the service and in progress, and if the step
// is higher than the one in force: a former leader must not undo a step of its successor.
func (s *State) applyRolloutStep(step RolloutStep) Result {
	current, exists := s.rollouts[step.Service]
	if !exists || current.Number != step.Number || current.State != rollout.InProgress || step.Step <= current.Step {
		return Result{Outcome: Conflict, Version: current.Number, Message: "the step is not of the rollout in progress, or not the next one"}
	}
	current.Step, current.Share, current.State = step.Step, step.Share, step.State
	s.setRollout(current)
	return Result{Outcome: Accepted, Version: current.Number}
}

func (s *State) setRollout(r rollout.Record) {
	s.rollouts[r.Service] = r
	s.rolloutChanges++
}

// sortedRollouts returns the records of all services, by service.
func (s *State) sortedRollouts() []rollout.Record {
	records := make([]rollout.Record, 0, len(s.rollouts))
	for _, r := range s.rollouts {
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b rollout.Record) int { return cmp.Compare(a.Service, b.Service) })
	return records
}

// BeginRollout proposes an order at this instance without forwarding it. The outcome is Accepted once the order
// is in force on a quorum of disks, or was before, Conflict if another one is in progress, and Unavailable if
// this instance is not the leader. The version of the result is the number of the rollout.
func (n *Node) BeginRollout(ctx context.Context, o RolloutOrder) Result {
	return n.submitRollout(ctx, command{RolloutOrder: &o})
}

// StepRollout proposes a step at this instance. The outcome is Conflict if the step does not apply.
func (n *Node) StepRollout(ctx context.Context, step RolloutStep) Result {
	return n.submitRollout(ctx, command{RolloutStep: &step})
}

func (n *Node) submitRollout(ctx context.Context, c command) Result {
	n.inFlightProposals.Add(1)
	defer n.inFlightProposals.Add(-1)
	if n.draining.Load() {
		return Result{Outcome: Unavailable}
	}
	c.Time = n.deps.now().UTC()
	data, err := json.Marshal(c)
	if err != nil {
		n.log.Error("cannot encode a command of a rollout", "error", err)
		return Result{Outcome: Invalid, Message: err.Error()}
	}
	result := n.submit(ctx, &proposal{data: data})
	if result.outcome == Accepted {
		return result.output.result
	}
	return Result{Outcome: result.outcome}
}

// Rollout returns the rollout of a service that is applied at this instance, which may be stale.
func (n *Node) Rollout(service string) (rollout.Record, bool) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	r, ok := n.state.rollouts[service]
	return r, ok
}

// RolloutsAndChange returns the applied rollouts of all services, by service, and a channel that is closed when
// one of them, the publication or the configuration changes.
func (n *Node) RolloutsAndChange() ([]rollout.Record, <-chan struct{}) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.state.sortedRollouts(), n.changed
}
