package follow

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc"

	"github.com/geraniumpitch/geraniumpitch/pkg/rollout"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

const (
	// rolloutReportInterval is the interval of the reports while a rollout is in progress. A new leader has
	// the counts of all gateways after one interval, and a bad version is noticed within a few of them.
	rolloutReportInterval = 300 * time.Millisecond
	// rolloutReportTimeout bounds one report, after which the next coordinator is tried.
	rolloutReportTimeout = 300 * time.Millisecond
)

var (
	rolloutStateToWire = map[rollout.State]wire.RolloutState{
		rollout.InProgress: wire.RolloutState_ROLLOUT_IN_PROGRESS, rollout.Complete: wire.RolloutState_ROLLOUT_COMPLETE,
		rollout.RolledBack: wire.RolloutState_ROLLOUT_ROLLED_BACK,
	}
	rolloutStateFromWire = map[wire.RolloutState]rollout.State{
		wire.RolloutState_ROLLOUT_IN_PROGRESS: rollout.InProgress, wire.RolloutState_ROLLOUT_COMPLETE: rollout.Complete,
		wire.RolloutState_ROLLOUT_ROLLED_BACK: rollout.RolledBack,
	}
)

// EncodeRollout converts a rollout to its wire format; now is the time by the clock of AcceptedAt.
func EncodeRollout(r rollout.Record, now time.Time) *wire.Rollout {
	return &wire.Rollout{
		Service: r.Service, Number: r.Number, Version: r.Version, Established: r.Established, State: rolloutStateToWire[r.State],
		Step: uint32(r.Step), Share: r.Share, DurationMs: uint64(r.Duration.Milliseconds()), AgeMs: uint64(max(0, now.Sub(r.AcceptedAt).Milliseconds())),
	}
}

// DecodeRollouts converts rollouts from their wire format. It leaves out those without a service, and
// those in a state that this version does not know. AcceptedAt is set by the clock of now.
func DecodeRollouts(rollouts []*wire.Rollout, now time.Time) []rollout.Record {
	var records []rollout.Record
	for _, r := range rollouts {
		state, ok := rolloutStateFromWire[r.GetState()]
		if !ok || r.GetService() == "" {
			continue
		}
		records = append(records, rollout.Record{
			Service: r.Service, Number: r.Number, Version: r.Version, Established: r.Established, State: state, Step: int(r.Step),
			Share: r.Share, Duration: time.Duration(r.DurationMs) * time.Millisecond, AcceptedAt: now.Add(-time.Duration(r.AgeMs) * time.Millisecond),
		})
	}
	return records
}

// RolloutReporter is a gateway that reports what it sees of rollouts.
type RolloutReporter interface {
	// ReportRollouts returns the reports on the rollouts in progress by service, and the incarnation of the
	// process of the gateway.
	ReportRollouts() (reports map[string]rollout.Report, incarnation uint64)
}

// RunRollouts reports on the rollouts in progress until ctx ends.
func (c *Client) RunRollouts(ctx context.Context, r RolloutReporter) {
	ticker := time.NewTicker(rolloutReportInterval)
	defer ticker.Stop()
	failed := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		reports, incarnation := r.ReportRollouts()
		if len(reports) == 0 {
			continue
		}
		err := c.reportRollouts(ctx, EncodeRolloutReport(c.instance, incarnation, reports))
		if err != nil && !failed {
			c.log.Warn("failed to report on rollouts", "error", err)
		}
		failed = err != nil
	}
}

// reportRollouts sends a report to the first coordinator that accepts it. All gateways try the coordinators
// in the same order.
func (c *Client) reportRollouts(ctx context.Context, report *wire.RolloutReport) error {
	lastErr := eris.New("no coordinator is connected")
	for _, address := range c.usageTargets() {
		_, err := rpc.Call(ctx, c.dialer, address, rolloutReportTimeout,
			func(ctx context.Context, conn drpc.Conn) (*wire.RolloutReportResponse, error) {
				return wire.NewDRPCRolloutServiceClient(conn).Report(ctx, report)
			})
		if err == nil {
			return nil
		}
		lastErr = err
	}
	return lastErr
}

// EncodeRolloutReport converts the reports of a gateway to their wire format.
func EncodeRolloutReport(instance string, incarnation uint64, reports map[string]rollout.Report) *wire.RolloutReport {
	encoded := &wire.RolloutReport{Instance: instance, Incarnation: incarnation}
	for service, r := range reports {
		s := &wire.ServiceRolloutReport{Service: service, Number: r.Number, Step: uint32(r.Step), OldInFlight: uint32(r.OldInFlight)}
		for _, counts := range r.Counts {
			s.Counts = append(s.Counts, &wire.VersionCounts{
				Route: counts.Route, NewVersion: counts.NewVersion, Sent: counts.Sent, Succeeded: counts.Succeeded, Failed: counts.Failed,
				Void: counts.Void, Latencies: trimZeros(counts.Latencies[:]),
			})
		}
		encoded.Services = append(encoded.Services, s)
	}
	return encoded
}

// trimZeros returns a list without its last zeros, which need not be sent.
func trimZeros(counts []uint32) []uint32 {
	for len(counts) > 0 && counts[len(counts)-1] == 0 {
		counts = counts[:len(counts)-1]
	}
	return counts
}

// DecodeRolloutReport converts the reports of a gateway from their wire format, by service.
func DecodeRolloutReport(report *wire.RolloutReport) map[string]rollout.Report {
	reports := map[string]rollout.Report{}
	for _, s := range report.Services {
		r := rollout.Report{Number: s.Number, Step: int(s.Step), OldInFlight: int(s.OldInFlight)}
		for _, counts := range s.Counts {
			decoded := rollout.Counts{Route: counts.Route, NewVersion: counts.NewVersion, Sent: counts.Sent, Succeeded: counts.Succeeded, Failed: counts.Failed, Void: counts.Void}
			copy(decoded.Latencies[:], counts.Latencies)
			r.Counts = append(r.Counts, decoded)
		}
		reports[s.Service] = r
	}
	return reports
}
