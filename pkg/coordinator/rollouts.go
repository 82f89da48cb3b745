package coordinator

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc"

	"github.com/geraniumpitch/geraniumpitch/pkg/consensus"
	"github.com/geraniumpitch/geraniumpitch/pkg/control"
	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
	"github.com/geraniumpitch/geraniumpitch/pkg/follow"
	"github.com/geraniumpitch/geraniumpitch/pkg/rollout"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

const (
	// decisionInterval is the interval at which the leader decides on rollouts. Gateways report every 300 ms.
	decisionInterval = 100 * time.Millisecond
	// reportTimeout is the timeout of a report that is forwarded to the leader: the next one follows after
	// 300 ms and contains it.
	reportTimeout = 300 * time.Millisecond
	// unknownVersionIntervals is the number of announcement intervals after the first order for a version of
	// which no server is known during which the order may succeed later: the first announcements of the servers
	// may be in transit.
	unknownVersionIntervals = 1.5
	// unknownVersionTTL is the time after the last order for an unknown version after which it counts as new,
	// and maxUnknownVersions bounds how many are remembered.
	unknownVersionTTL  = time.Minute
	maxUnknownVersions = 1000
	// verdictLogInterval is the shortest time between two log lines on the verdict of a rollout, which can
	// change with every decision.
	verdictLogInterval = time.Second
	// liveOrderAge is the age of an order, by the clock of the leader that accepted it, up to which its
	// arrival here counts as its start. An older one was accepted before this coordinator started or caught up.
	liveOrderAge = 2 * time.Second
)

// BeginOutcome is the outcome of an operator's order.
type BeginOutcome string

// Outcomes of an order.
const (
	// BeginAccepted means that the order is durable on a quorum, now or before.
	BeginAccepted BeginOutcome = "accepted"
	// BeginConflict means that a different order for the service is in progress.
	BeginConflict BeginOutcome = "conflict"
	// BeginInvalid means that the order can never be accepted as it is.
	BeginInvalid BeginOutcome = "invalid"
	// BeginUnavailable means that the order was not proposed, or that its version is not known yet.
	BeginUnavailable BeginOutcome = "unavailable"
	// BeginUnknown means that the order may still be accepted.
	BeginUnknown BeginOutcome = "unknown"
)

var (
	beginToWire = map[BeginOutcome]wire.BeginRolloutStatus{
		BeginAccepted: wire.BeginRolloutStatus_BEGIN_ROLLOUT_ACCEPTED, BeginConflict: wire.BeginRolloutStatus_BEGIN_ROLLOUT_CONFLICT,
		BeginInvalid: wire.BeginRolloutStatus_BEGIN_ROLLOUT_INVALID, BeginUnavailable: wire.BeginRolloutStatus_BEGIN_ROLLOUT_UNAVAILABLE,
		BeginUnknown: wire.BeginRolloutStatus_BEGIN_ROLLOUT_UNKNOWN,
	}
	beginFromWire = map[wire.BeginRolloutStatus]BeginOutcome{}
)

func init() {
	for outcome, status := range beginToWire {
		beginFromWire[status] = outcome
	}
}

// rollouts holds what this coordinator knows of rollouts beside the records of the control group. All of it is
// soft state.
type rollouts struct {
	mu sync.Mutex
	// followed holds the rollouts in progress by number.
	followed map[uint64]*followedRollout
	// unknownVersions holds the orders for versions of which no server is known.
	unknownVersions map[[2]string]unknownVersion
	// leadingTerm is the term in which this coordinator leads since leadingSince, 0 if it does not lead.
	leadingTerm  uint64
	leadingSince time.Time
}

// unknownVersion holds the times of the first and the last order for a version.
type unknownVersion struct{ first, last time.Time }

// followedRollout is a rollout in progress.
type followedRollout struct {
	// orderedAt is the time of the order, and stepAt that at which the step in force was applied here, by
	// the local clock.
	orderedAt, stepAt time.Time
	step              int
	evidence          *rollout.Evidence
	// proposing is set while a step is proposed.
	proposing bool
	// suspect is the verdict that was logged last, at loggedAt.
	suspect  bool
	loggedAt time.Time
}

func newRollouts() rollouts {
	return rollouts{followed: map[uint64]*followedRollout{}, unknownVersions: map[[2]string]unknownVersion{}}
}

// observe records when orders and steps were applied here, and forgets the rollouts that have ended.
func (r *rollouts) observe(records []rollout.Record, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	inProgress := map[uint64]bool{}
	for _, record := range records {
		if record.State != rollout.InProgress {
			continue
		}
		inProgress[record.Number] = true
		f := r.followed[record.Number]
		if f == nil {
			f = &followedRollout{orderedAt: now, stepAt: now, step: record.Step, evidence: rollout.NewEvidence(record.Number)}
			if now.Sub(record.AcceptedAt) > liveOrderAge {
				f.orderedAt = record.AcceptedAt
			}
			r.followed[record.Number] = f
		}
		if record.Step > f.step {
			f.step, f.stepAt = record.Step, now
		}
	}
	for number := range r.followed {
		if !inProgress[number] {
			delete(r.followed, number)
		}
	}
}

// addReport takes in the report of a gateway.
func (r *rollouts) addReport(report *wire.RolloutReport, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, service := range follow.DecodeRolloutReport(report) {
		if f := r.followed[service.Number]; f != nil {
			f.evidence.Add(report.Instance, report.Incarnation, service, now)
		}
	}
}

// lead returns the time since which this coordinator leads.
func (r *rollouts) lead(term uint64, now time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leadingTerm != term {
		r.leadingTerm, r.leadingSince = term, now
	}
	return r.leadingSince
}

// stillUnknown records an order for a version of which no server is known, and reports whether its servers may
// still announce themselves.
func (r *rollouts) stillUnknown(service, version string, grace time.Duration, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, u := range r.unknownVersions {
		if now.Sub(u.last) > unknownVersionTTL {
			delete(r.unknownVersions, key)
		}
	}
	key := [2]string{service, version}
	u, known := r.unknownVersions[key]
	if !known {
		if len(r.unknownVersions) >= maxUnknownVersions {
			return false
		}
		u.first = now
	}
	u.last = now
	r.unknownVersions[key] = u
	return now.Sub(u.first) < grace
}

// RolloutsEnabled reports whether the settings allow rollouts.
func (s *Service) RolloutsEnabled() bool { return s.settings.Rollouts != nil }

// BeginRollout submits an operator's order at the leader, and returns its outcome and the reason for a refusal.
// The caller has checked that the service exists.
func (s *Service) BeginRollout(ctx context.Context, service, version string, duration time.Duration) (BeginOutcome, string) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	startedAt := time.Now()
	outcome, message := BeginUnavailable, ""
	for {
		outcome, message = s.tryBeginRollout(ctx, service, version, duration)
		// Only the leader gives a reason; its answer is final.
		if outcome != BeginUnavailable || message != "" || !sleepContext(ctx, retryDelay) {
			break
		}
	}
	if message == "" && outcome == BeginUnavailable {
		message = "no leader took the order"
	}
	s.metrics.recordRolloutOrder(outcome)
	s.log.Info("rollout ordered", "service", service, "version", version, "duration_ms", duration.Milliseconds(), "outcome", outcome,
		"reason", message, "after_ms", time.Since(startedAt).Milliseconds())
	return outcome, message
}

// tryBeginRollout submits an order locally or at the leader, once.
func (s *Service) tryBeginRollout(ctx context.Context, service, version string, duration time.Duration) (BeginOutcome, string) {
	if outcome, message := s.beginAtLeader(ctx, service, version, duration); outcome != BeginUnavailable || message != "" {
		return outcome, message
	}
	request := &wire.BeginRolloutRequest{Service: service, Version: version, DurationMs: uint64(duration.Milliseconds())}
	for _, address := range s.leaderCandidates() {
		response, err := rpc.Call(ctx, s.dialer, address, callTimeout,
			func(ctx context.Context, conn drpc.Conn) (*wire.BeginRolloutResponse, error) {
				return wire.NewDRPCRolloutServiceClient(conn).Begin(ctx, request)
			})
		var dialErr *rpc.DialError
		switch {
		case errors.As(err, &dialErr):
		case err != nil || response.Status == wire.BeginRolloutStatus_BEGIN_ROLLOUT_UNKNOWN:
			return BeginUnknown, "the order may still be accepted"
		case response.Status != wire.BeginRolloutStatus_BEGIN_ROLLOUT_UNAVAILABLE || response.Message != "":
			return beginFromWire[response.Status], response.Message
		}
	}
	return BeginUnavailable, ""
}

// beginAtLeader proposes an order at this instance. The outcome is Unavailable without a message if it is not the
// leader, or if the group is still growing.
func (s *Service) beginAtLeader(ctx context.Context, service, version string, duration time.Duration) (BeginOutcome, string) {
	node := s.group.currentNode()
	if node == nil || s.settings.Rollouts == nil || !s.group.acceptsPublications(time.Now()) || !node.ConfirmRead(ctx) {
		return BeginUnavailable, ""
	}
	now := time.Now()
	servers := s.hub.serversOf(service)
	previous, exists := node.Rollout(service)
	repeated := exists && previous.Version == version && previous.Duration == duration
	if !repeated && exists && previous.State == rollout.InProgress {
		return BeginConflict, fmt.Sprintf("a rollout of service %q to version %q is in progress", service, previous.Version)
	}
	// A repeated order needs no servers: the version may have been rolled back and ended in the meantime.
	recent := repeated && (previous.State == rollout.InProgress || now.Sub(previous.AcceptedAt) < control.RepeatedOrderTime)
	if !recent && !slices.ContainsFunc(servers, func(e directory.Entry) bool { return e.Server.Version == version }) {
		grace := time.Duration(unknownVersionIntervals * float64(s.settings.AnnounceIntervalMS) * float64(time.Millisecond))
		message := fmt.Sprintf("no server of service %q announces version %q", service, version)
		if s.rollouts.stillUnknown(service, version, grace, now) {
			return BeginUnavailable, message + " yet"
		}
		return BeginInvalid, message
	}
	result := node.BeginRollout(ctx, control.RolloutOrder{
		Service: service, Version: version, Established: establishedVersion(previous, servers), Duration: duration,
	})
	switch result.Outcome {
	case control.Accepted:
		return BeginAccepted, ""
	case control.Conflict:
		return BeginConflict, result.Message
	case control.Unavailable:
		return BeginUnavailable, ""
	}
	return BeginUnknown, "the order may still be accepted"
}

// establishedVersion returns the version that has the traffic of a service: that of its previous rollout, if it
// has a ready server, or else that of the ready server that started first.
func establishedVersion(previous rollout.Record, servers []directory.Entry) string {
	after := ""
	switch previous.State {
	case rollout.Complete:
		after = previous.Version
	case rollout.RolledBack:
		after = previous.Established
	}
	first := directory.Server{StartedMS: math.MaxInt64}
	for _, e := range servers {
		if e.Server.State != directory.Ready {
			continue
		}
		if previous.Number > 0 && e.Server.Version == after {
			return after
		}
		if e.Server.StartedMS < first.StartedMS || e.Server.StartedMS == first.StartedMS && e.Server.ID < first.ID {
			first = e.Server
		}
	}
	return first.Version
}

// ReadRollout returns the rollout of a service, and false if the service never had one. It is at least as new as
// every one that was returned before the call. ReadRollout returns ErrNotConfirmed if no leader confirms it in time.
func (s *Service) ReadRollout(ctx context.Context, service string) (rollout.Record, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	for {
		if r, exists, confirmed := s.tryReadRollout(ctx, service); confirmed {
			return r, exists, nil
		}
		if !sleepContext(ctx, retryDelay) {
			return rollout.Record{}, false, ErrNotConfirmed
		}
	}
}

func (s *Service) tryReadRollout(ctx context.Context, service string) (r rollout.Record, exists, confirmed bool) {
	if node := s.group.currentNode(); node != nil && node.Status().Role == consensus.Leader {
		if !node.ConfirmRead(ctx) {
			return rollout.Record{}, false, false
		}
		r, exists = node.Rollout(service)
		return r, exists, true
	}
	for _, address := range s.leaderCandidates() {
		response, err := rpc.Call(ctx, s.dialer, address, callTimeout,
			func(ctx context.Context, conn drpc.Conn) (*wire.ReadRolloutResponse, error) {
				return wire.NewDRPCRolloutServiceClient(conn).Read(ctx, &wire.ReadRolloutRequest{Service: service})
			})
		if err == nil && response.Confirmed {
			for _, r := range follow.DecodeRollouts([]*wire.Rollout{response.Rollout}, time.Now()) {
				return r, true, true
			}
			return rollout.Record{}, false, true
		}
	}
	return rollout.Record{}, false, false
}

// rolloutServer implements the RPC interface for rollouts.
type rolloutServer struct{ service *Service }

// Begin implements wire.DRPCRolloutServiceServer.
func (r *rolloutServer) Begin(ctx context.Context, request *wire.BeginRolloutRequest) (*wire.BeginRolloutResponse, error) {
	duration := time.Duration(min(request.DurationMs, math.MaxInt64/uint64(time.Millisecond))) * time.Millisecond
	outcome, message := r.service.beginAtLeader(ctx, request.Service, request.Version, duration)
	return &wire.BeginRolloutResponse{Status: beginToWire[outcome], Message: message}, nil
}

// Read implements wire.DRPCRolloutServiceServer.
func (r *rolloutServer) Read(ctx context.Context, request *wire.ReadRolloutRequest) (*wire.ReadRolloutResponse, error) {
	node := r.service.group.currentNode()
	if node == nil || !node.ConfirmRead(ctx) {
		return &wire.ReadRolloutResponse{}, nil
	}
	response := &wire.ReadRolloutResponse{Confirmed: true}
	if record, exists := node.Rollout(request.Service); exists {
		response.Rollout = follow.EncodeRollout(record, time.Now())
	}
	return response, nil
}

// Report implements wire.DRPCRolloutServiceServer.
func (r *rolloutServer) Report(ctx context.Context, report *wire.RolloutReport) (*wire.RolloutReportResponse, error) {
	s := r.service
	node := s.group.currentNode()
	if node != nil && node.Status().Role == consensus.Leader {
		s.rollouts.addReport(report, time.Now())
		return &wire.RolloutReportResponse{}, nil
	}
	leader := s.group.leaderAddress()
	if leader == "" {
		return nil, eris.New("this coordinator knows no leader")
	}
	return rpc.Call(ctx, s.dialer, leader, reportTimeout,
		func(ctx context.Context, conn drpc.Conn) (*wire.RolloutReportResponse, error) {
			return wire.NewDRPCRolloutServiceClient(conn).Report(ctx, report)
		})
}

// runRollouts follows the records of this member and decides on them while it leads, until ctx ends.
func (s *Service) runRollouts(ctx context.Context) {
	ticker := time.NewTicker(decisionInterval)
	defer ticker.Stop()
	for {
		var changed <-chan struct{}
		if node := s.group.currentNode(); node != nil {
			var records []rollout.Record
			records, changed = node.RolloutsAndChange()
			now := time.Now()
			s.rollouts.observe(records, now)
			if status := node.Status(); status.Role == consensus.Leader {
				leadingSince := s.rollouts.lead(status.Term, now)
				for _, r := range records {
					if r.State == rollout.InProgress {
						s.decideRollout(ctx, node, r, leadingSince, now)
					}
				}
			} else {
				s.rollouts.lead(0, now)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-changed:
		}
	}
}

// decideRollout decides on one rollout and proposes the step, if there is one.
func (s *Service) decideRollout(ctx context.Context, node *control.Node, r rollout.Record, leadingSince, now time.Time) {
	situation := rollout.Situation{Now: now, LeadingSince: leadingSince, Connected: s.hub.gatewayCount()}
	for _, e := range s.hub.serversOf(r.Service) {
		countServer(&situation, e, r.Version)
	}
	bounds := rollout.Bounds{
		ExposureShare: s.settings.Rollouts.ExposureShare, ExposureSlack: s.settings.Rollouts.ExposureSlack,
		RollbackTime: time.Duration(s.settings.Rollouts.RollbackMS) * time.Millisecond,
	}
	s.rollouts.mu.Lock()
	f := s.rollouts.followed[r.Number]
	if f == nil || f.proposing {
		s.rollouts.mu.Unlock()
		return
	}
	situation.OrderedAt, situation.StepAt = f.orderedAt, f.stepAt
	d := rollout.Decide(r, f.evidence, bounds, situation)
	f.proposing = d.Change
	verdictChanged := d.Verdict.Suspect != f.suspect && now.Sub(f.loggedAt) >= verdictLogInterval
	if verdictChanged {
		f.suspect, f.loggedAt = d.Verdict.Suspect, now
	}
	s.rollouts.mu.Unlock()
	if verdictChanged {
		s.log.Info("rollout verdict changed", "service", r.Service, "version", r.Version, "number", r.Number, "suspect", d.Verdict.Suspect,
			"share", r.Share, "verdict", verdictFigures(d.Verdict))
	}
	if d.Change {
		s.background.Go(func() { s.proposeStep(ctx, node, r, d, f, now.Sub(situation.OrderedAt)) })
	}
}

// countServer adds a ready server to the figures of a situation.
func countServer(situation *rollout.Situation, e directory.Entry, version string) {
	if e.Server.State != directory.Ready {
		return
	}
	if e.Server.Version != version {
		situation.OldSlots += e.Server.Slots
		return
	}
	situation.NewServers++
	situation.NewSlots += e.Server.Slots
	if situation.Now.Sub(e.ReceivedAt) < time.Duration(e.Server.WarmingMS)*time.Millisecond {
		situation.WarmingServers++
	}
}

// proposeStep proposes a step to the group, and logs it with the figures that decided it.
func (s *Service) proposeStep(ctx context.Context, node *control.Node, r rollout.Record, d rollout.Decision, f *followedRollout, age time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	startedAt := time.Now()
	result := node.StepRollout(ctx, control.RolloutStep{
		Service: r.Service, Number: r.Number, Step: r.Step + 1, Share: d.Share, State: d.State,
	})
	s.rollouts.mu.Lock()
	f.proposing = false
	s.rollouts.mu.Unlock()
	s.metrics.recordRolloutStep(d, result.Outcome)
	s.log.Info("rollout step", "service", r.Service, "version", r.Version, "number", r.Number, "step", r.Step+1, "share", d.Share,
		"state", d.State.String(), "reason", d.Reason, "outcome", result.Outcome, "order_age_ms", age.Milliseconds(),
		"commit_ms", time.Since(startedAt).Milliseconds(), "exposure", math.Round(d.Exposure), "allowed", math.Round(d.Allowed),
		"rate", math.Round(d.Rate), "verdict", verdictFigures(d.Verdict))
}

// verdictFigures returns the figures of a verdict for a log line.
func verdictFigures(v rollout.Verdict) slog.Value {
	return slog.GroupValue(
		slog.String("fault", string(v.Fault)), slog.String("route", v.Route), slog.Int64("window_ms", v.Window.Milliseconds()),
		slog.Int("responses", v.Responses), slog.Int("bad", v.BadResponses), slog.Float64("expected_bad", v.Expected),
		slog.Float64("probability", v.Probability))
}

// sentRollouts holds the number and the step of the rollout of each service that was sent on a stream.
type sentRollouts map[string][2]uint64

// changed returns the rollouts that are newer than those sent before, and records them as sent. A member that
// replaces its node may hold older ones for a while.
func (sent sentRollouts) changed(records []rollout.Record, now time.Time) (encoded []*wire.Rollout) {
	for _, r := range records {
		version, previous := [2]uint64{r.Number, uint64(r.Step)}, sent[r.Service]
		if version[0] > previous[0] || version[0] == previous[0] && version[1] > previous[1] {
			sent[r.Service] = version
			encoded = append(encoded, follow.EncodeRollout(r, now))
		}
	}
	return encoded
}
