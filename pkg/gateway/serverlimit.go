package gateway

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
	"github.com/geraniumpitch/geraniumpitch/pkg/usage"
)

const (
	// limitPatienceShare bounds the wait for the limit of a server to a share of the route's objective,
	// so that the response can still be on time, and of the time left.
	limitPatienceShare = 0.5
	// resumeLimitPatience bounds the wait of a stream that has begun. Callers abandon a stream after a
	// gap of two seconds.
	resumeLimitPatience = time.Second
	// minLimitRetryAfter and maxLimitRetryAfter bound the Retry-After time of a request that a limit or
	// a pause keeps from the servers. Servers may appear or recover before a longer time has passed.
	minLimitRetryAfter = 50 * time.Millisecond
	maxLimitRetryAfter = 10 * time.Second
)

var errServerLimits = eris.New("the limits of all servers are used up")

// endLimitWait ends the wait of a stream for the limits of the engines.
func (s *streamState) endLimitWait() {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	s.limit.end()
}

// updateDemand tells the pool of a service the demand by which this gateway shares the limits of its
// servers; g.mu is held.
func (g *Gateway) updateDemand(service string, now time.Time) {
	pool := g.pool(service)
	if !pool.HasLimits(now) {
		return
	}
	own := g.budget(service).Usage(now)
	d := placement.ServiceDemand{Share: g.usage.Share(service, own.Demand, now)}
	if common, ok := g.usage.Common(service, own, now, usage.TotalsTTL); ok {
		d.PerServer = common.Total.Demand / float64(max(1, pool.CountReady()))
	}
	pool.SetDemand(d)
}

// recordLimit records the limit that a server named, or not, in the response to a request sent at
// sentAt, and wakes the requests that wait if it changed; g.mu is held.
func (g *Gateway) recordLimit(service string, process placement.Process, limit float64, sentAt time.Time) {
	g.updateDemand(service, time.Now())
	if g.pool(service).RecordLimit(process, limit, sentAt, time.Now()) {
		g.log.Info("limit of a backend server changed", "server", process.ID, "service", service, "requests_per_second", limit)
		g.coordinators.ExchangeUsageSoon()
		g.notifyServersChanged()
	}
}

// applyLimits applies the limits that all gateways know; g.mu is held.
func (g *Gateway) applyLimits(limits []usage.Limit, reported []usage.Limit, now time.Time) {
	sends := map[string]float64{}
	for _, l := range reported {
		sends[l.Server] = l.Sends
	}
	changed := false
	for _, l := range limits {
		if s, ok := g.servers.Lookup(l.Server); ok {
			g.updateDemand(s.Service, now)
			changed = g.pool(s.Service).ApplyPeerLimit(l, sends[l.Server], now) || changed
		}
	}
	if changed {
		g.notifyServersChanged()
	}
}

// limitWait is the wait of one request for the limits of a service's servers.
type limitWait struct {
	g   *Gateway
	req *callerRequest
	// waiter is nil while the request does not wait.
	waiter *placement.LimitWaiter
	// giveUpAt is when the request gives up.
	giveUpAt time.Time
}

func (g *Gateway) newLimitWait(req *callerRequest, patience time.Duration) *limitWait {
	now := time.Now()
	patience = min(patience, time.Duration(float64(req.deadline.Sub(now))*limitPatienceShare))
	return &limitWait{g: g, req: req, giveUpAt: now.Add(patience)}
}

// isWaiting reports whether the request waits; g.mu is held.
func (l *limitWait) isWaiting() bool { return l.waiter != nil }

// isNext reports whether no other waiting request holds this one up; g.mu is held.
func (l *limitWait) isNext() bool {
	return l.g.limitQueue(l.req.service.Name).IsNext(l.waiter, l.req.rank, time.Now())
}

// next returns the time to wait before the next try, or false if the limits do not let the request be
// sent in time, or are not what it waits for; g.mu is held.
func (l *limitWait) next(now time.Time, exclude []string) (time.Duration, bool) {
	estimate, wait, limited := l.g.limitEstimate(l.req, l.waiter, exclude, now)
	if !limited || now.Add(estimate).After(l.giveUpAt) {
		return 0, false
	}
	if l.waiter == nil {
		l.waiter = l.g.limitQueue(l.req.service.Name).Join(l.req.rank)
	}
	l.waiter.BlockedUntil = time.Time{}
	if len(exclude) > 0 {
		l.waiter.BlockedUntil = now.Add(wait)
	}
	return max(wait, time.Millisecond), true
}

// end ends the wait; g.mu is held.
func (l *limitWait) end() {
	if l.waiter != nil {
		l.g.limitQueue(l.req.service.Name).Leave(l.waiter)
		l.waiter = nil
	}
}

// limitEstimate returns the time until the limits of a service's servers let a request be sent, and
// the time until they let the first one be sent. It returns false if a limit is not what keeps
// requests from the servers; g.mu is held.
func (g *Gateway) limitEstimate(
	req *callerRequest, waiter *placement.LimitWaiter, exclude []string, now time.Time,
) (estimate, first time.Duration, limited bool) {
	first, rate, limited := g.waitingPool(req, now).LimitWait(now, exclude)
	if !limited {
		return 0, 0, false
	}
	queue := g.limitQueue(req.service.Name)
	ahead := queue.AheadOf(req.rank)
	if waiter != nil {
		ahead = queue.Ahead(waiter)
	}
	if ahead > 0 && rate > 0 {
		return first + time.Duration(float64(ahead)/rate*float64(time.Second)), first, true
	}
	return first, first, true
}

// limitRetryAfter returns the Retry-After time that the limits of the servers give, false if they are
// not what keeps requests from them; g.mu is held.
func (g *Gateway) limitRetryAfter(req *callerRequest, now time.Time) (time.Duration, bool) {
	g.updateDemand(req.service.Name, now)
	estimate, _, limited := g.limitEstimate(req, nil, nil, now)
	return min(maxLimitRetryAfter, max(minLimitRetryAfter, estimate)), limited
}

// limitQueue returns the queue of a service; g.mu is held.
func (g *Gateway) limitQueue(service string) *placement.LimitQueue {
	q := g.limitQueues[service]
	if q == nil {
		q = &placement.LimitQueue{}
		g.limitQueues[service] = q
	}
	return q
}

// waitFor waits for d or until servers change. It reports whether ctx is still active.
func waitFor(ctx context.Context, d time.Duration, changed <-chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-time.After(d):
	}
	return true
}
