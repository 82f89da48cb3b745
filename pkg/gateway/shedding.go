package gateway

import (
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/overload"
	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
	"github.com/geraniumpitch/geraniumpitch/pkg/routing"
	"github.com/geraniumpitch/geraniumpitch/pkg/usage"
)

// shedLogInterval bounds the log lines about an overload of one service.
const shedLogInterval = time.Second

// callControl is the state from which a gateway decides which calls of a service it refuses.
type callControl struct {
	overload.Calls
	// timeLimits counts the time limits of callers by route.
	timeLimits map[string]*overload.TimeLimits
	// shedSince counts the refused calls since the last log line, at loggedAt.
	shedSince int
	loggedAt  time.Time
}

// callControl returns the state of a service without engines; g.mu is held.
func (g *Gateway) callControl(service string) *callControl {
	c := g.callControls[service]
	if c == nil {
		c = &callControl{timeLimits: map[string]*overload.TimeLimits{}}
		g.callControls[service] = c
	}
	return c
}

// shedCall returns the refusal of a call that exceeds what the servers of its service serve in time, nil if the
// call is to be sent.
func (g *Gateway) shedCall(req *callerRequest) *reply {
	if req.service.Engine != nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now, pool, c := time.Now(), g.pool(req.service.Name), g.callControl(req.service.Name)
	limits := c.timeLimits[req.route.Name]
	if limits == nil {
		limits = &overload.TimeLimits{}
		c.timeLimits[req.route.Name] = limits
	}
	late := limits.IsLate(req.fields.Timeout, req.route.Timeout, req.route.Objective, pool.CallDuration(now))
	if c.Admit(req.organisation, late, pool.CallCapacity(now), g.rand.Float64(), now) {
		return nil
	}
	c.shedSince++
	if now.Sub(c.loggedAt) >= shedLogInterval {
		status := c.Status()
		g.log.Info("calls are refused: more arrive than the servers serve in time", "service", req.service.Name,
			"refused", c.shedSince, "offered", status.Offered, "target", status.Target, "capacity", status.Capacity,
			"queue_target", status.QueueTarget, "totals_age_ms", now.Sub(status.TotalsAt).Milliseconds())
		c.shedSince, c.loggedAt = 0, now
	}
	cause := "capacity"
	if late {
		cause = "late"
	}
	g.metrics.countShed(cause)
	return newRefusal("more calls arrive than the servers serve in time", overload.RetryAfter(0, req.deadline.Sub(now), g.rand.Float64()))
}

// recordCallLoad records what the response to a call says of the load of its server; g.mu is held.
func (g *Gateway) recordCallLoad(service *routing.Service, server *placement.Server, fields ResponseFields, now time.Time) {
	if service.Engine != nil {
		return
	}
	c := g.callControl(service.Name)
	if fields.Load != nil {
		c.RecordReport(fields.Load.Waiting, max(fields.Load.Slots, server.Slots), now)
	}
	if fields.NotRun && !fields.Misdirected && !fields.Leaving && g.pool(service.Name).IsBusy(server.ID, now) {
		c.RecordFull(now)
	}
	if c.NeedsExchange(now) {
		g.coordinators.ExchangeUsageSoon()
	}
}

// sheds reports whether calls of a service are refused at present.
func (g *Gateway) sheds(service *routing.Service) bool {
	if service.Engine != nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	return g.callControl(service.Name).Overloaded(g.pool(service.Name).CallCapacity(now), now)
}

// hasRoomElsewhere reports whether a server that a call has not tried may have room for it.
func (c *callState) hasRoomElsewhere() bool {
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	return c.g.pool(c.req.service.Name).HasRoomForCall(time.Now(), c.triedServerIDs)
}

// roomRetryAfter returns the Retry-After time of a request for which no server has room; g.mu is held.
func (g *Gateway) roomRetryAfter(req *callerRequest, now time.Time) time.Duration {
	pool, left := g.waitingPool(req, now), req.deadline.Sub(now)
	if req.service.Engine == nil {
		c, ready := g.callControl(req.service.Name), pool.CallCapacity(now)
		if c.Overloaded(ready, now) {
			return overload.RetryAfter(c.Room(ready, pool.CallDuration(now), now), left, g.rand.Float64())
		}
	}
	room := pool.RetryAfter(now)
	if pool.QueueWait(now) == 0 {
		// Nothing is known of queues: the servers are gone, and may be back after this time.
		return min(room, overload.LongestRetryAfter(left))
	}
	return overload.RetryAfter(room, left, g.rand.Float64())
}

// applyCallTotals applies the calls of all gateways; g.mu is held.
func (g *Gateway) applyCallTotals(totals usage.Totals, reported usage.Report, now time.Time) {
	if !totals.Settled {
		return
	}
	table := g.table.Load()
	for service, c := range g.callControls {
		pool := g.pool(service)
		if table != nil {
			c.SetObjective(shortestObjective(table, service), pool.CallDuration(now))
		}
		c.HandleTotals(totals.Services[service].Calls, reported.Services[service].Calls, totals.Organisations[service], pool.CallCapacity(now), now)
	}
}

// reportCalls adds the calls of this gateway to a report; g.mu is held.
func (g *Gateway) reportCalls(report *usage.Report, now time.Time) {
	for service, c := range g.callControls {
		s := report.Services[service]
		s.Calls = c.Rates(now)
		report.Services[service] = s
		if organisations := c.ReportOrganisations(now); len(organisations) > 0 {
			if report.Organisations == nil {
				report.Organisations = usage.Organisations{}
			}
			report.Organisations[service] = organisations
		}
	}
}

// shortestObjective returns the shortest objective of the routes to a service, 0 if none has one.
func shortestObjective(table *routing.Table, service string) (shortest time.Duration) {
	for i := range table.Config.Routes {
		r := &table.Config.Routes[i]
		for _, target := range r.Targets {
			if target.Service == service && r.Objective > 0 && (shortest == 0 || r.Objective < shortest) {
				shortest = r.Objective
			}
		}
	}
	return shortest
}

// admittedCallPercent returns the smallest share of calls that is admitted at present, of all services, in percent.
func (g *Gateway) admittedCallPercent() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	now, smallest := time.Now(), 1.0
	for service, c := range g.callControls {
		share, _ := c.Shares(g.pool(service).CallCapacity(now), now)
		smallest = min(smallest, share)
	}
	return int64(100 * smallest)
}
