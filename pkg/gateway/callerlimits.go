package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/connlimit"
	"github.com/geraniumpitch/geraniumpitch/pkg/routing"
	"github.com/geraniumpitch/geraniumpitch/pkg/settings"
	"github.com/geraniumpitch/geraniumpitch/pkg/upstream"
)

const (
	// freeResponseBytes is the part of a response that the fixed size of a connection covers; most are smaller.
	freeResponseBytes = 4 << 10
	// responseWait bounds the wait of a response for room in the memory for callers. It is forwarded as it
	// arrives otherwise.
	responseWait = 50 * time.Millisecond
	// smallRequestBytes is the size of a body up to which the bytes at a server are not limited: 30 requests of
	// this size, as many as a server for calls holds, have 2 MB.
	smallRequestBytes = 64 << 10
	// maxReadinessConnections bounds the connections of the load balancer, which has a few, and
	// readinessBufferBytes what waits for each of them.
	maxReadinessConnections = 64
	readinessBufferBytes    = 4 << 10
	// bodyTimeout bounds the time to receive the body of a request without a route.
	bodyTimeout = 60 * time.Second
)

func newGuard(s settings.Gateway) *connlimit.Guard {
	return connlimit.NewGuard(connlimit.Settings{
		MemoryMB: s.MemoryMB, CallerMemoryMB: s.CallerMemoryMB, Connections: s.CallerConnections, BufferKB: s.ResponseBufferKB,
	})
}

// receiveBody reads the body of a request. If it returns a reply, the request has not run.
func (g *Gateway) receiveBody(body *connlimit.Body, w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) *reply {
	switch err := body.Receive(g.guard.Memory, w, r, limit, deadline); {
	case err == nil:
		return nil
	case errors.Is(err, connlimit.ErrTooLarge):
		body.Account.Close()
		return newReply(http.StatusRequestEntityTooLarge, fmt.Sprintf("body exceeds the limit of %d bytes", limit))
	case errors.Is(err, connlimit.ErrNoMemory), errors.Is(err, connlimit.ErrLate):
		return newRefusal(err.Error(), connlimit.RetryAfter)
	default:
		return newReply(http.StatusBadRequest, "failed to read the body: "+err.Error())
	}
}

// bodyDeadline returns the time by which the body of a request has to arrive: the end of its time limit.
func bodyDeadline(route *routing.Route, fields RequestFields, startedAt time.Time) time.Time {
	limit := bodyTimeout
	if route != nil {
		limit = route.Timeout
	}
	if fields.Timeout > 0 {
		limit = min(limit, fields.Timeout)
	}
	return startedAt.Add(limit)
}

// checkOverflow returns a refusal if all connections are in use.
func checkOverflow(w http.ResponseWriter, r *http.Request) *reply {
	if !connlimit.OfRequest(r).Overflow() {
		return nil
	}
	w.Header().Set("Connection", "close")
	return newRefusal("all connections for callers are in use", connlimit.RetryAfter)
}

// serverBytesLimit returns the bytes of requests that this gateway may have sent to one server without a complete
// answer, 0 for no limit. As with connections, one half of what the server takes from all gateways together is shared
// equally and the rest by demand. Small requests are counted, but not limited: the server's queue bounds them.
func (g *Gateway) serverBytesLimit(req *callerRequest) int64 {
	if req.body.Size() <= smallRequestBytes || g.settings.ServerRequestMB <= 0 {
		return 0
	}
	total := g.settings.ServerRequestMB << 20
	g.mu.Lock()
	defer g.mu.Unlock()
	gateways := g.usage.Gateways()
	if gateways == 0 {
		return int64(total / assumedGateways)
	}
	now := time.Now()
	equal := total / 2 / gateways
	return int64(equal) + int64(float64(total-equal*gateways)*g.usage.Share(req.service.Name, g.budget(req.service.Name).Usage(now).Demand, now))
}

// readResponse reads a response, up to maxBufferedResponseBytes. It reports whether that is all of it: the rest of a
// large one, or of one for which the memory for callers has no room, is forwarded as it arrives.
func (req *callerRequest) readResponse(ctx context.Context, response *upstream.Response) (body []byte, whole bool, err error) {
	body, err = io.ReadAll(io.LimitReader(response, freeResponseBytes))
	if err != nil || len(body) < freeResponseBytes {
		return body, true, err
	}
	for len(body) < maxBufferedResponseBytes {
		size := min(2*len(body), maxBufferedResponseBytes)
		if req.body.Account.Grow(ctx, int64(size-len(body)), responseWait) != nil {
			return body, false, nil
		}
		grown := make([]byte, size)
		n, err := connlimit.ReadFull(response, grown[copy(grown, body):])
		body = grown[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, true, nil
		}
		if err != nil {
			return body, true, err
		}
	}
	return body, false, nil
}
