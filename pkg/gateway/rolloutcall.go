package gateway

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/geraniumpitch/geraniumpitch/pkg/upstream"
)

// errAnswered ends the attempts of a call that are still in flight when it is answered.
var errAnswered = eris.New("the call is answered")

// endCallSend records the outcome of an attempt of a call for rollouts; ctx is that of all attempts of the
// call. A response that is too large to be buffered ends only when it has been forwarded; g.mu is held.
func (g *Gateway) endCallSend(ctx context.Context, req *callerRequest, send *versionSend, res *result, now time.Time) {
	if send == nil {
		return
	}
	latency := now.Sub(send.startedAt)
	if res.unread == nil || res.failed() {
		g.endSend(send, callOutcome(ctx, req, res, latency), latency)
		return
	}
	cut := &cutWatch{response: res.unread}
	res.cut = cut
	context.AfterFunc(ctx, func() {
		outcome := sendVoid
		switch {
		case cut.complete.Load():
			outcome = sendSucceeded
		case cut.broken.Load() && errors.Is(context.Cause(ctx), errAnswered), errors.Is(ctx.Err(), context.DeadlineExceeded):
			outcome = sendFailed
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		g.endSend(send, outcome, latency)
	})
}

// callOutcome classifies the result of an attempt. An attempt that lost against another one is known to be
// slow, unless it has just begun: the time that it had counts as its latency.
func callOutcome(ctx context.Context, req *callerRequest, res *result, latency time.Duration) sendOutcome {
	switch {
	case res.notSent || res.notRun:
		return sendVoid
	case res.err == nil && !res.failed():
		return sendSucceeded
	case res.err == nil || ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded):
		return sendFailed
	case errors.Is(context.Cause(ctx), errAnswered) && latency > time.Duration(float64(req.route.Objective)*hedgeDelayShare):
		return sendSucceeded
	}
	return sendVoid
}

// cutWatch reads the rest of a response and keeps how it ended.
type cutWatch struct {
	response *upstream.Response
	// complete is set at the end of the response, broken if it was cut off.
	complete, broken atomic.Bool
}

// Read implements io.Reader.
func (c *cutWatch) Read(p []byte) (int, error) {
	n, err := c.response.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		c.complete.Store(true)
	case err != nil:
		c.broken.Store(true)
	}
	return n, err
}
