package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/follow"
	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
	"github.com/geraniumpitch/geraniumpitch/pkg/rollout"
)

// rollouts is what a gateway knows of the rollouts of services; Gateway.mu guards it. It is nil if the
// settings do not enable rollouts.
type rollouts struct {
	services map[string]*serviceRollout
	// confirmedAt is the latest time at which a leader confirmed to a coordinator that the records are in
	// force.
	confirmedAt time.Time
	// lastEventAt is when the latest event arrived, and resumedAt when the first one after a silence did.
	lastEventAt, resumedAt time.Time
	// inFlight counts the requests at backend servers by service and version.
	inFlight map[string]map[string]int
	// runs holds the streams that are running at an engine.
	runs map[*streamState]*versionRun
}

// serviceRollout is the latest rollout of one service.
type serviceRollout struct {
	record    rollout.Record
	learnedAt time.Time
	counts    map[countsKey]*rollout.Counts
}

// countsKey identifies the counts of one route and the new or all other versions.
type countsKey struct {
	route string
	isNew bool
}

func newRollouts() *rollouts {
	return &rollouts{
		services: map[string]*serviceRollout{}, inFlight: map[string]map[string]int{}, runs: map[*streamState]*versionRun{},
	}
}

// HandleRollouts implements follow.Sink.
func (g *Gateway) HandleRollouts(records []rollout.Record, leaderAge time.Duration) {
	if g.rollouts == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.rollouts.recordEvent(now, leaderAge)
	changed := false
	for _, record := range records {
		changed = g.applyRollout(record, now) || changed
	}
	if changed {
		g.notifyServersChanged()
	}
}

// recordEvent records an event with a confirmation of the given age. Events that arrive at once after a
// silence, for example of a gateway that was stopped and goes on, may have been sent before it, so that they
// confirm nothing.
func (r *rollouts) recordEvent(now time.Time, leaderAge time.Duration) {
	if now.Sub(r.lastEventAt) > rollout.LapseTime {
		r.resumedAt = now
	}
	r.lastEventAt = now
	if confirmedAt := now.Add(-leaderAge); now.Sub(r.resumedAt) >= follow.HeartbeatInterval && confirmedAt.After(r.confirmedAt) {
		r.confirmedAt = confirmedAt
	}
}

// applyRollout puts a record in force unless it is older than the one in force, and reports whether it did;
// g.mu is held.
func (g *Gateway) applyRollout(record rollout.Record, now time.Time) bool {
	current := g.rollouts.services[record.Service]
	next := &serviceRollout{record: record, learnedAt: now, counts: map[countsKey]*rollout.Counts{}}
	if current != nil {
		if !record.Replaces(&current.record) {
			return false
		}
		if current.record.Number == record.Number {
			next.learnedAt, next.counts = current.learnedAt, current.counts
			// A coordinator that does not know when the order was accepted sends the present time.
			if current.record.AcceptedAt.Before(record.AcceptedAt) {
				next.record.AcceptedAt = current.record.AcceptedAt
			}
		}
	}
	g.rollouts.services[record.Service] = next
	g.log.Info("rollout changed", "service", record.Service, "number", record.Number, "version", record.Version,
		"established", record.Established, "state", record.State.String(), "step", record.Step, "share", record.Share,
		"old_in_flight", g.rollouts.oldInFlight(&next.record), "time_left_ms", next.timeLeft(now).Milliseconds())
	return true
}

// timeLeft returns the time until the time limit of the order.
func (s *serviceRollout) timeLeft(now time.Time) time.Duration {
	return s.record.AcceptedAt.Add(s.record.Duration).Sub(now)
}

// record returns the latest rollout of a service, nil if it never had one.
func (r *rollouts) record(service string) *rollout.Record {
	if s := r.services[service]; s != nil {
		return &s.record
	}
	return nil
}

// oldInFlight returns the number of requests in flight at servers of other versions than the new one.
func (r *rollouts) oldInFlight(record *rollout.Record) (total int) {
	for version, count := range r.inFlight[record.Service] {
		if version != record.Version {
			total += count
		}
	}
	return total
}

// versionChoice returns the versions that the next send of a request may use, and draws the version of the
// request if this is its first send; g.mu is held.
func (g *Gateway) versionChoice(req *callerRequest, pool *placement.Pool, now time.Time) rollout.Choice {
	if g.rollouts == nil {
		return rollout.Choice{Any: true}
	}
	record, age := g.rollouts.record(req.service.Name), now.Sub(g.rollouts.confirmedAt)
	if !req.versionDrawn {
		req.versionDraw, req.versionDrawn = rollout.DrawVersion(record, age, g.rand.Float64()), true
	}
	return rollout.Choose(record, age, req.versionDraw, pool.ReadyVersions())
}

// requestPool returns the pool of the service of a request, restricted to the version that its next send is
// to use, and the choice of the versions; g.mu is held.
func (g *Gateway) requestPool(req *callerRequest, now time.Time) (*placement.Pool, rollout.Choice) {
	pool := g.pool(req.service.Name)
	choice := g.versionChoice(req, pool, now)
	if choice.Any {
		pool.Unrestrict()
	} else {
		pool.Restrict(choice.Version)
	}
	return pool, choice
}

// waitingPool returns the pool of the service of a request, restricted to the version whose servers the
// request waits for if none can take it. A request drawn for the new version does not wait for that: it goes
// to the established one. g.mu is held.
func (g *Gateway) waitingPool(req *callerRequest, now time.Time) *placement.Pool {
	pool, choice := g.requestPool(req, now)
	if choice.HasFallback {
		pool.Restrict(choice.Fallback)
	}
	return pool
}

// copyPool returns the pool of the service of a request, restricted to the version whose engines may hold a
// copy of its run at an engine; g.mu is held.
func (g *Gateway) copyPool(req *callerRequest, engine *placement.Server, now time.Time) *placement.Pool {
	pool, choice := g.requestPool(req, now)
	if choice.HasFallback && engine.Version == choice.Fallback {
		pool.Restrict(choice.Fallback)
	}
	return pool
}

// isClosed reports whether no request of any kind goes to servers of a version any more; g.mu is held.
func (g *Gateway) isClosed(service, version string) bool {
	return g.rollouts != nil && g.rollouts.record(service).IsClosed(version)
}

// selectForCall selects the server for an attempt of a call, nil if there is none; g.mu is held. A call that
// was drawn for the new version leaves it for the established one after an attempt, so that a bad version
// costs it no more than that. isNext reports whether no waiting call holds this one up; calls that stay with
// the new version do not wait.
func (g *Gateway) selectForCall(req *callerRequest, tried []string, isNext func() bool, now time.Time) *placement.Server {
	pool, choice := g.requestPool(req, now)
	if choice.HasFallback && len(tried) == 0 {
		if s := pool.SelectForCall(now, tried); s != nil {
			return s
		}
	}
	if choice.HasFallback {
		pool.Restrict(choice.Fallback)
	}
	if isNext() {
		if s := pool.SelectForCall(now, tried); s != nil {
			return s
		}
	}
	if choice.HasFallback && len(tried) > 0 {
		pool.Restrict(choice.Version)
		return pool.SelectForCall(now, tried)
	}
	return nil
}

// versionSend is one send of a request, as far as rollouts count it. It is nil if they are off.
type versionSend struct {
	service, route, version string
	startedAt               time.Time
	// number is the number of the rollout in whose counts the send is, 0 if it is in none.
	number uint64
}

// sendOutcome is what became of a send.
type sendOutcome int

const (
	// sendVoid means that the caller left, or that the request certainly did not run.
	sendVoid sendOutcome = iota
	sendSucceeded
	sendFailed
)

// beginSend records that a request is about to be sent to a server. It is called while the lock is held under
// which the server was selected, so that no report misses the request; g.mu is held.
func (g *Gateway) beginSend(req *callerRequest, server *placement.Server, now time.Time) *versionSend {
	if g.rollouts == nil {
		return nil
	}
	versions := g.rollouts.inFlight[req.service.Name]
	if versions == nil {
		versions = map[string]int{}
		g.rollouts.inFlight[req.service.Name] = versions
	}
	versions[server.Version]++
	send := &versionSend{service: req.service.Name, route: req.route.Name, version: server.Version, startedAt: now}
	if counts := g.rollouts.countsOf(send); counts != nil {
		send.number = g.rollouts.services[send.service].record.Number
		counts.Sent++
		g.metrics.countVersionSend(send.service, counts.NewVersion)
	}
	return send
}

// countsOf returns the counts that a send belongs to, nil if no rollout of its service is in progress.
func (r *rollouts) countsOf(send *versionSend) *rollout.Counts {
	s := r.services[send.service]
	if s == nil || s.record.State != rollout.InProgress {
		return nil
	}
	key := countsKey{route: send.route, isNew: send.version == s.record.Version}
	counts := s.counts[key]
	if counts == nil {
		counts = &rollout.Counts{Route: send.route, NewVersion: key.isNew}
		s.counts[key] = counts
	}
	return counts
}

// counted returns the counts that contain a send, nil if there are none or the rollout has ended. Sends that
// began before the order are in none, so that the counts hold a start for each outcome.
func (r *rollouts) counted(send *versionSend) *rollout.Counts {
	if s := r.services[send.service]; send.number == 0 || s == nil || s.record.Number != send.number {
		return nil
	}
	return r.countsOf(send)
}

// endSend records the outcome of a send. latency is counted for a response that succeeded, unless it is
// negative; g.mu is held.
func (g *Gateway) endSend(send *versionSend, outcome sendOutcome, latency time.Duration) {
	if send == nil {
		return
	}
	versions := g.rollouts.inFlight[send.service]
	if versions[send.version]--; versions[send.version] <= 0 {
		delete(versions, send.version)
	}
	counts := g.rollouts.counted(send)
	if counts == nil {
		return
	}
	switch outcome {
	case sendSucceeded:
		counts.Succeeded++
		if latency >= 0 {
			counts.Latencies.Add(latency)
		}
	case sendFailed:
		counts.Failed++
	default:
		counts.Void++
	}
}

// ReportRollouts implements follow.RolloutReporter.
func (g *Gateway) ReportRollouts() (map[string]rollout.Report, uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	reports := map[string]rollout.Report{}
	for service, s := range g.rollouts.services {
		if s.record.State != rollout.InProgress {
			continue
		}
		report := rollout.Report{Number: s.record.Number, Step: s.record.Step, OldInFlight: g.rollouts.oldInFlight(&s.record)}
		for _, counts := range s.counts {
			report.Counts = append(report.Counts, *counts)
		}
		slices.SortFunc(report.Counts, func(a, b rollout.Counts) int {
			if byRoute := cmp.Compare(a.Route, b.Route); byRoute != 0 || a.NewVersion == b.NewVersion {
				return byRoute
			}
			if b.NewVersion {
				return -1
			}
			return 1
		})
		reports[service] = report
	}
	return reports, g.incarnation
}
