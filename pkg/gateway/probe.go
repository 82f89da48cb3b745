package gateway

import (
	"context"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
)

// runProbes checks until ctx ends whether unreachable servers can be reached again.
func (g *Gateway) runProbes(ctx context.Context) {
	semaphore := make(chan struct{}, maxConcurrentProbes)
	for sleepContext(ctx, probeInterval) {
		now := time.Now()
		g.mu.Lock()
		dueProbes := map[string][]placement.Probe{}
		for service, pool := range g.pools {
			if probes := pool.DueProbes(now); len(probes) > 0 {
				dueProbes[service] = probes
			}
		}
		g.mu.Unlock()
		for service, probes := range dueProbes {
			for _, p := range probes {
				select {
				case semaphore <- struct{}{}:
					go func() { g.probe(ctx, service, p); <-semaphore }()
				default:
					// Too many probes are in flight; the server becomes due again soon.
				}
			}
		}
	}
}

// probe tries to connect to one server. The connection is kept for the next request.
func (g *Gateway) probe(ctx context.Context, service string, p placement.Probe) {
	reached := g.client.CanConnect(ctx, p.Address)
	if ctx.Err() != nil {
		return
	}
	g.mu.Lock()
	recovered := g.pool(service).RecordProbe(p.ID, reached, time.Now())
	if recovered {
		g.notifyServersChanged()
	}
	g.mu.Unlock()
	if recovered {
		g.log.Info("unreachable server can be reached again", "server", p.ID, "service", service, "address", p.Address)
	}
}
