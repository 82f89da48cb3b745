package follow

import (
	"context"
	"math"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc"

	"github.com/geraniumpitch/geraniumpitch/pkg/pace"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

const (
	// PaceInterval is the interval at which gateways exchange what they learn of the speed of engines. An
	// estimate follows a change within 3 s or so; a shorter interval would cost more than it gains.
	PaceInterval = 2 * time.Second
	// MaxPaceEntries bounds the entries of one response: with 142 engines, a gateway gets 1.2 KB per second at
	// most. The rest follows with the next responses.
	MaxPaceEntries = 100
	// MaxPaceSamples bounds the samples of a report that a coordinator reads.
	MaxPaceSamples = 200
	// paceUnit is the unit of logarithms and weights in messages.
	paceUnit = 0.01
	// paceAgeUnit is the unit of ages in messages.
	paceAgeUnit = 100 * time.Millisecond
)

var errNoCoordinator = eris.New("no coordinator is connected")

// PaceReporter is a gateway that exchanges what it learns of the speed of engines.
type PaceReporter interface {
	// TakePaceSamples returns the samples since the last call.
	TakePaceSamples() []pace.Sample
	// HandlePaceEntries receives the estimates of all gateways that have changed.
	HandlePaceEntries(entries []pace.Entry)
}

// RunPaces exchanges the samples of a gateway with the coordinators until ctx ends. While it fails, the gateway
// keeps the estimates that it has, which lose weight with their age; samples that could not be sent are lost.
func (c *Client) RunPaces(ctx context.Context, r PaceReporter) {
	ticker := time.NewTicker(PaceInterval)
	defer ticker.Stop()
	var table, version uint64
	failed := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		request := EncodePaceReport(c.instance, r.TakePaceSamples(), time.Now())
		request.Table, request.Version = table, version
		changes, err := c.exchangePaces(ctx, request)
		if err == nil {
			table, version = changes.Table, changes.Version
			r.HandlePaceEntries(DecodePaceEntries(changes.Entries))
		} else if !failed {
			c.log.Warn("failed to exchange the speed of engines; keeping the estimates of this gateway", "error", err)
		}
		failed = err != nil
	}
}

// exchangePaces asks the first coordinator that responds, in the same order as all gateways, so that its table has
// the samples of all of them.
func (c *Client) exchangePaces(ctx context.Context, request *wire.PaceReport) (*wire.PaceChanges, error) {
	lastErr := errNoCoordinator
	for _, address := range c.usageTargets() {
		response, err := rpc.Call(ctx, c.dialer, address, usageTimeout,
			func(ctx context.Context, conn drpc.Conn) (*wire.PaceChanges, error) {
				return wire.NewDRPCPaceClient(conn).Exchange(ctx, request)
			})
		if err == nil {
			return response, nil
		}
		lastErr = err
	}
	return nil, lastErr
}

// EncodePaceReport converts samples to their wire format.
func EncodePaceReport(instance string, samples []pace.Sample, now time.Time) *wire.PaceReport {
	report := &wire.PaceReport{Instance: instance, Samples: make([]*wire.PaceSample, 0, len(samples))}
	for _, s := range samples {
		report.Samples = append(report.Samples, &wire.PaceSample{
			Server: s.Process.ID, StartedMs: s.Process.StartedMS, Log: int32(math.Round(s.Log / paceUnit)),
			Weight: uint32(math.Round(min(1, s.Weight) / paceUnit)), Age: uint32(max(0, now.Sub(s.At)) / paceAgeUnit),
		})
	}
	return report
}

// DecodePaceSamples converts samples from their wire format, at most MaxPaceSamples.
func DecodePaceSamples(report *wire.PaceReport, now time.Time) []pace.Sample {
	encoded := report.Samples[:min(len(report.Samples), MaxPaceSamples)]
	samples := make([]pace.Sample, 0, len(encoded))
	for _, s := range encoded {
		samples = append(samples, pace.Sample{
			Process: pace.Process{ID: s.Server, StartedMS: s.StartedMs}, Log: float64(s.Log) * paceUnit,
			Weight: float64(s.Weight) * paceUnit, At: now.Add(-time.Duration(s.Age) * paceAgeUnit),
		})
	}
	return samples
}

// EncodePaceEntries converts entries to their wire format.
func EncodePaceEntries(entries []pace.Entry) []*wire.PaceEntry {
	encoded := make([]*wire.PaceEntry, 0, len(entries))
	for _, e := range entries {
		encoded = append(encoded, &wire.PaceEntry{
			Server: e.Process.ID, StartedMs: e.Process.StartedMS, Log: int32(math.Round(e.Log / paceUnit)),
			Weight: uint32(math.Round(e.Weight / paceUnit)), Samples: uint32(e.Samples), Gateways: uint32(e.Gateways),
		})
	}
	return encoded
}

// DecodePaceEntries converts entries from their wire format.
func DecodePaceEntries(encoded []*wire.PaceEntry) []pace.Entry {
	entries := make([]pace.Entry, 0, len(encoded))
	for _, e := range encoded {
		entries = append(entries, pace.Entry{
			Process: pace.Process{ID: e.Server, StartedMS: e.StartedMs}, Log: float64(e.Log) * paceUnit,
			Weight: float64(e.Weight) * paceUnit, Samples: int(e.Samples), Gateways: int(e.Gateways),
		})
	}
	return entries
}
