package follow

import (
	"context"
	"slices"
	"time"

	"storj.io/drpc"

	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/usage"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

const (
	// minUsageInterval is the interval between two reports of a gateway whose usage changes.
	minUsageInterval = 100 * time.Millisecond
	// usageTimeout bounds one exchange, after which the next coordinator is asked.
	usageTimeout = 300 * time.Millisecond
	// maxUsageTargets bounds the coordinators that are asked in one interval.
	maxUsageTargets = 2
	// maxReportedUptime bounds the uptime in a report; only that of processes which have just started matters.
	maxReportedUptime = time.Hour
)

// UsageReporter is a gateway that exchanges its usage of the services.
type UsageReporter interface {
	// ReportUsage returns the present usage by this gateway.
	ReportUsage() usage.Report
	// HandleUsageTotals receives the totals, which include the given report of this gateway.
	HandleUsageTotals(totals usage.Totals, reported usage.Report)
}

// ExchangeUsageSoon asks for an exchange before the end of the interval. It does not block.
func (c *Client) ExchangeUsageSoon() {
	select {
	case c.usageChanged <- struct{}{}:
	default:
	}
}

// RunUsage exchanges the usage of a gateway with the coordinators until ctx ends.
func (c *Client) RunUsage(ctx context.Context, r UsageReporter) {
	ticker := time.NewTicker(usage.Interval)
	defer ticker.Stop()
	failed := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-c.usageChanged:
			select {
			case <-ctx.Done():
				return
			case <-time.After(minUsageInterval):
			}
		}
		report := r.ReportUsage()
		totals, err := c.exchangeUsage(ctx, report)
		if totals != nil {
			r.HandleUsageTotals(*totals, report)
		}
		if err != nil && !failed {
			c.log.Warn("failed to exchange the usage of services; using an equal share of common limits", "error", err)
		}
		failed = err != nil
	}
}

// exchangeUsage reports to the first coordinator that responds. All gateways ask the coordinators in
// the same order, so that the totals of one of them include all gateways.
func (c *Client) exchangeUsage(ctx context.Context, report usage.Report) (*usage.Totals, error) {
	request := encodeUsageReport(c.instance, report)
	var lastErr error
	for _, address := range c.usageTargets() {
		response, err := rpc.Call(ctx, c.dialer, address, usageTimeout,
			func(ctx context.Context, conn drpc.Conn) (*wire.UsageTotals, error) {
				return wire.NewDRPCCoordinatorClient(conn).ExchangeUsage(ctx, request)
			})
		if err == nil {
			return DecodeUsageTotals(response), nil
		}
		lastErr = err
	}
	return nil, lastErr
}

// usageTargets returns the coordinators with an open stream that are asked first by all gateways.
func (c *Client) usageTargets() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	connected := c.connectedAddressesLocked()
	slices.Sort(connected)
	return connected[:min(len(connected), maxUsageTargets)]
}

func encodeUsageReport(instance string, report usage.Report) *wire.UsageReport {
	request := &wire.UsageReport{
		Instance: instance, Incarnation: report.Incarnation, RetryRatio: report.RetryRatio, RetrySlack: report.RetrySlack,
		Gateways: uint32(report.Gateways), UptimeMs: uint32(min(report.Uptime, maxReportedUptime).Milliseconds()),
	}
	for name, s := range report.Services {
		request.Services = append(request.Services, encodeServiceUsage(name, s))
	}
	request.Limits, request.Organisations = encodeLimits(report.Limits), encodeOrganisations(report.Organisations)
	return request
}

func encodeLimits(limits []usage.Limit) []*wire.ServerLimit {
	encoded := make([]*wire.ServerLimit, 0, len(limits))
	for _, l := range limits {
		encoded = append(encoded, &wire.ServerLimit{
			Server: l.Server, StartedMs: l.StartedMS, Rate: l.Rate, AgeMs: uint32(max(0, l.Age.Milliseconds())), Sends: l.Sends,
		})
	}
	return encoded
}

func decodeLimits(limits []*wire.ServerLimit) []usage.Limit {
	var decoded []usage.Limit
	for _, l := range limits {
		decoded = append(decoded, usage.Limit{
			Server: l.Server, StartedMS: l.StartedMs, Rate: l.Rate, Age: time.Duration(l.AgeMs) * time.Millisecond, Sends: l.Sends,
		})
	}
	return decoded
}

func encodeServiceUsage(name string, s usage.Service) *wire.ServiceUsage {
	return &wire.ServiceUsage{Service: name, Requests: s.Requests, Retries: s.Retries, Demand: s.Demand, Ceiling: s.Ceiling, Wanted: s.Wanted, Calls: encodeCalls(s.Calls)}
}

func decodeServices(services []*wire.ServiceUsage) usage.Services {
	decoded := usage.Services{}
	for _, s := range services {
		decoded[s.Service] = usage.Service{Requests: s.Requests, Retries: s.Retries, Demand: s.Demand, Ceiling: s.Ceiling, Wanted: s.Wanted, Calls: decodeCalls(s.Calls)}
	}
	return decoded
}

// DecodeUsageReport converts the report of a gateway from its wire format.
func DecodeUsageReport(r *wire.UsageReport) usage.Report {
	return usage.Report{
		Incarnation: r.Incarnation, Services: decodeServices(r.Services), Limits: decodeLimits(r.Limits),
		RetryRatio: r.RetryRatio, RetrySlack: r.RetrySlack, Gateways: int(r.Gateways), Organisations: decodeOrganisations(r.Organisations),
		Uptime: time.Duration(r.UptimeMs) * time.Millisecond,
	}
}

// EncodeUsageTotals converts totals to their wire format.
func EncodeUsageTotals(t usage.Totals) *wire.UsageTotals {
	response := &wire.UsageTotals{Reporting: uint32(t.Reporting), Connected: uint32(t.Connected), Settled: t.Settled,
		Limits: encodeLimits(t.Limits), GrantsRetries: t.Ceilings != nil, Organisations: encodeOrganisations(t.Organisations)}
	for name, s := range t.Services {
		s.Ceiling = t.Ceilings[name]
		response.Services = append(response.Services, encodeServiceUsage(name, s))
	}
	return response
}

// DecodeUsageTotals converts totals from their wire format.
func DecodeUsageTotals(t *wire.UsageTotals) *usage.Totals {
	totals := &usage.Totals{Services: decodeServices(t.Services), Reporting: int(t.Reporting), Connected: int(t.Connected), Settled: t.Settled,
		Limits: decodeLimits(t.Limits), Organisations: decodeOrganisations(t.Organisations)}
	if t.GrantsRetries {
		totals.Ceilings = map[string]float64{}
		for _, s := range t.Services {
			totals.Ceilings[s.Service] = s.Ceiling
		}
	}
	return totals
}
