package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
	"github.com/geraniumpitch/geraniumpitch/pkg/routing"
)

const (
	// balancerDelay is how long a gateway accepts new connections after the start of a
	// planned stop: until then the load balancer may not have noticed it.
	balancerDelay = 2500 * time.Millisecond
	// shutdownMargin is the part of the grace period that is reserved for the exit of the
	// process.
	shutdownMargin = 300 * time.Millisecond
	// finalResponseMargin is the time to send final responses to the requests that are ended before the
	// connections are closed.
	finalResponseMargin = 150 * time.Millisecond
	// stopRetryAfter is the Retry-After time of requests that a stopping gateway does not take. Other
	// gateways take them at once; the delay spreads those that were waiting.
	stopRetryAfter = 50 * time.Millisecond
	// activeCheckInterval is the interval at which a stopping gateway looks for requests in flight.
	activeCheckInterval = 20 * time.Millisecond
)

// Stop finishes the requests in flight. The load balancer sends new callers for a while
// after the readiness check fails; their connections are closed after the response. Requests that are
// still in flight at the end of the grace period get a final response.
//
// Until no request is in flight, requests on open connections are answered too, if only by a refusal:
// http.Server.Shutdown would close such a connection after it has read the request. Connections are closed
// once they read no further request and the last one that they read has its response.
func (g *Gateway) Stop(ctx context.Context) error {
	closesAt := time.Now().Add(time.Duration(g.settings.GracePeriodS*float64(time.Second)) - shutdownMargin)
	endsAt := closesAt.Add(-finalResponseMargin)
	g.stopsAt.Store(&endsAt)
	g.log.Info("planned stop: no longer ready", "ends_requests_after_ms", time.Until(endsAt).Milliseconds())
	endRequests := time.AfterFunc(time.Until(endsAt), g.endRequests)
	defer endRequests.Stop()
	ctx, cancel := context.WithDeadline(ctx, closesAt)
	defer cancel()
	sleepContext(ctx, balancerDelay)
	g.callersStopped.Store(true)
	err := g.callerListener.Close()
	for g.callerConns.active()+g.guard.Flushing() > 0 && sleepContext(ctx, activeCheckInterval) {
	}
	err = errors.Join(err, g.callerConns.stopReading())
	lastResponses, cancelLast := context.WithDeadline(context.Background(), laterOf(closesAt, time.Now().Add(finalResponseMargin)))
	defer cancelLast()
	// net/http closes a connection once its read has ended without a request, so none is left that has read
	// one and has not said so yet.
	for g.callerConns.open()+g.guard.Flushing() > 0 && sleepContext(lastResponses, activeCheckInterval) {
	}
	if active := g.callerConns.active(); active > 0 {
		g.log.Warn("planned stop: requests were still in flight at the end of the grace period", "requests", active)
	}
	g.endRequests()
	err = errors.Join(err, g.callerServer.Close())
	g.cancel()
	return errors.Join(err, g.readinessServer.Close())
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// callerConns holds the open connections of callers. The value tells whether net/http reports a request in
// flight.
type callerConns struct {
	mu    sync.Mutex
	conns map[net.Conn]bool
}

// track records the state of a connection as net/http reports it. A connection is active until the whole
// response has been written.
func (c *callerConns) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		c.conns[conn] = false
	case http.StateActive:
		c.conns[conn] = true
	default:
		delete(c.conns, conn)
	}
}

// active returns the number of connections on which a request, or a part of one, was read and its whole
// response has not been written.
func (c *callerConns) active() (count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, inFlight := range c.conns {
		if own, ok := conn.(*callerConn); inFlight || ok && own.unanswered.Load() {
			count++
		}
	}
	return count
}

// open returns the number of open connections.
func (c *callerConns) open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// stopReading ends the wait for another request on all connections. To close them instead could cut off
// a request that was read and that net/http has not reported yet.
func (c *callerConns) stopReading() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	var errs []error
	for conn := range c.conns {
		if own, ok := conn.(*callerConn); ok {
			errs = append(errs, own.stopReading())
		}
	}
	return errors.Join(errs...)
}

// stopping reports whether a planned stop has begun.
func (g *Gateway) stopping() bool { return g.stopsAt.Load() != nil }

// checkStop returns a refusal if a planned stop leaves no time for the request.
func (g *Gateway) checkStop(req *callerRequest) *reply {
	stopsAt := g.stopsAt.Load()
	if stopsAt == nil {
		return nil
	}
	_, longest := g.streamDurations(req.route.Name)
	r := placement.StopRequest{
		Left: time.Until(*stopsAt), Limit: time.Until(req.deadline), LongestDuration: longest,
		Resumable: req.route.Kind == routing.Stream && req.route.Resumable, OthersInUse: g.callersStopped.Load(),
	}
	if placement.FitsBeforeStop(r) {
		return nil
	}
	return newRefusal("the gateway stops before the request would end", stopRetryAfter)
}

// recordDuration records the duration of a complete stream.
func (g *Gateway) recordDuration(route string, d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.durations[route] == nil {
		g.durations[route] = &placement.DurationHistory{}
	}
	g.durations[route].Record(d)
}

// streamDurations returns the moving average and the longest of the durations of a route's recent streams,
// both 0 if none has ended.
func (g *Gateway) streamDurations(route string) (average, longest time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if h := g.durations[route]; h != nil {
		return h.Average(), h.Longest()
	}
	return 0, 0
}
