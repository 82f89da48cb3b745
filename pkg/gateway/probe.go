package gateway

import (
	"context"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
)

// runProbes looks for lost servers until ctx ends.
func (g *Gateway) runProbes(ctx context.Context) {
	free := make(chan struct{}, maxProbes)
	for pause(ctx, probeInterval) {
		now := time.Now()
		g.mu.Lock()
		due := map[string][]placement.Probe{}
		for service, pool := range g.pools {
			if probes := pool.Probes(now); len(probes) > 0 {
				due[service] = probes
			}
		}
		g.mu.Unlock()
		for service, probes := range due {
			for _, p := range probes {
				select {
				case free <- struct{}{}:
					go func() { g.probe(ctx, service, p); <-free }()
				default:
					// Too many are under way; the server is due again soon.
				}
			}
		}
	}
}

// probe tries to reach one server. The connection is kept for the next request.
func (g *Gateway) probe(ctx context.Context, service string, p placement.Probe) {
	reached := g.client.Reach(ctx, p.Address)
	if ctx.Err() != nil {
		return
	}
	g.mu.Lock()
	back := g.pool(service).Probed(p.ID, reached, time.Now())
	if back {
		g.announce()
	}
	g.mu.Unlock()
	if back {
		g.log.Info("reached a lost server again", "server", p.ID, "service", service, "address", p.Address)
	}
}
