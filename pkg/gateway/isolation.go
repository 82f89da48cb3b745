package gateway

import (
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
)

// updateIsolation marks this gateway as isolated when most coordinators are silent and
// a service has no reachable server. This indicates a partition of its data centre, while
// gateways in other data centres can probably still serve callers. When only the
// coordinators or only the servers have failed, all gateways are affected alike and stay
// ready.
func (g *Gateway) updateIsolation(now time.Time) {
	recent, expected := g.coordinators.CountCoordinators(now, coordinatorTimeout)
	isolated := 2*recent < expected && g.hasUnreachableService(now)
	if g.isolated.Swap(isolated) != isolated {
		g.mu.Lock()
		g.isolatedSince = now
		g.mu.Unlock()
		g.log.Warn("isolation changed", "isolated", isolated, "coordinators_heard", recent, "coordinators_known", expected)
	}
}

// hasUnreachableService reports whether a service of the configuration has no reachable
// server.
func (g *Gateway) hasUnreachableService(now time.Time) bool {
	table := g.table.Load()
	if table == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range table.Config.Services {
		if p := g.pools[s.Name]; p != nil && p.AllUnreachable(now) {
			return true
		}
	}
	return false
}

// checkIsolation returns a refusal if this gateway is isolated and can reach no server of the request's
// service. Attempts would only use up the caller's time, while gateways elsewhere can serve it.
func (g *Gateway) checkIsolation(req *callerRequest) *reply {
	if !g.isolated.Load() {
		return nil
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.pool(req.service.Name).AllUnreachable(now) {
		return nil
	}
	return newRefusal("this gateway is cut off from all servers of the service",
		placement.RetryElsewhereAfter(g.isolatedSince.Add(balancerDelay).Sub(now), req.deadline.Sub(now)))
}

// refuseUnknown returns the reply to a request that the configuration in force does not allow: one with a final status or,
// while no coordinator is heard, a refusal that lets the caller come back. A change may have been accepted meanwhile.
func (g *Gateway) refuseUnknown(status int, reason string) *reply {
	if recent, expected := g.coordinators.CountCoordinators(time.Now(), coordinatorTimeout); recent == 0 && expected > 0 {
		return newRefusal(reason+", and no coordinator is heard", configRetryAfter)
	}
	return newReply(status, reason)
}
