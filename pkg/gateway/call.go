package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
	"github.com/geraniumpitch/geraniumpitch/pkg/routing"
	"github.com/geraniumpitch/geraniumpitch/pkg/upstream"
)

// result is the outcome of one attempt at a backend server.
type result struct {
	serverID string
	// notSent means that no byte of the request was sent, notRun that the server refused it.
	notSent, notRun bool
	err             error
	status          int
	header          http.Header
	body            []byte
	// unread carries the rest of a response that is too large to be buffered as a whole.
	unread *upstream.Response
	// cut watches the forwarding of unread for rollouts, nil if they are off.
	cut *cutWatch
}

// summary returns the error or the status of the attempt, for logs.
func (r *result) summary() string {
	if r.err != nil {
		return r.err.Error()
	}
	return "status " + strconv.Itoa(r.status)
}

// failed reports whether another attempt may return a better response.
func (r *result) failed() bool { return r.err != nil || r.status >= http.StatusInternalServerError }

// serveCall serves a request whose route is not of kind Stream.
func (g *Gateway) serveCall(ctx context.Context, w http.ResponseWriter, req *callerRequest) *reply {
	if errReply := g.shedCall(req); errReply != nil {
		return errReply
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(errAnswered)
	state := &callState{g: g, req: req, ctx: ctx, results: make(chan *result, maxCallAttempts), sends: g.newSendLedger(req.service.Name)}
	defer state.discardPending()
	defer state.sends.release()
	res, errReply := state.execute()
	if errReply != nil {
		errReply.servers = state.triedServerIDs
		return errReply
	}
	return g.forwardResponse(ctx, w, req, res)
}

// maxCallAttempts bounds the attempts of one call, refused ones included.
const maxCallAttempts = 8

// callState is the state of one call across all its attempts.
type callState struct {
	g       *Gateway
	req     *callerRequest
	ctx     context.Context
	results chan *result
	sends   *sendLedger
	// inFlight counts the attempts without a result, possibleRuns those that the server
	// may have executed.
	inFlight, attempts, possibleRuns, refusals int
	triedServerIDs                             []string
	// errorResult is the first error response, forwarded if no attempt succeeds.
	errorResult *result
	// ends counts the servers that ended under this call.
	ends engineEnds
}

// execute makes attempts until one returns a response to forward.
func (c *callState) execute() (*result, *reply) {
	if errReply := c.startAttempt(placement.Restart); errReply != nil {
		return nil, errReply
	}
	hedge := time.NewTimer(c.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return c.handleTimeout()
		case <-hedge.C:
			if c.canRetry() && !c.g.sheds(c.req.service) {
				// Hedging is optional: otherwise the first attempt goes on alone.
				_ = c.retry(placement.Optional, "slow", "")
			}
		case r := <-c.results:
			c.inFlight--
			if r.notSent {
				c.sends.cancel()
			}
			final, errReply := c.handleResult(r)
			if final != nil || errReply != nil {
				return final, errReply
			}
		}
	}
}

// handleResult returns the response to forward, a reply of the gateway, or neither
// while another attempt is in flight.
func (c *callState) handleResult(r *result) (*result, *reply) {
	switch {
	case r.notSent || r.notRun:
		c.possibleRuns--
		return c.handleRefusal(r)
	case !r.failed():
		return r, nil
	}
	if r.err == nil && c.errorResult == nil {
		c.errorResult = r
	}
	if c.inFlight > 0 {
		return nil, nil
	}
	if c.canRetry() && c.retry(placement.Restart, "failure", r.summary()) == nil {
		return nil, nil
	}
	if c.errorResult != nil {
		return c.errorResult, nil
	}
	return nil, newReply(http.StatusBadGateway, "no complete response from the backend server: "+r.err.Error())
}

// handleRefusal handles an attempt in which the request did not run, as the server is
// full or gone, and retries at another server. After too many refusals, the gateway
// refuses the request.
func (c *callState) handleRefusal(r *result) (*result, *reply) {
	if c.inFlight > 0 {
		return nil, nil
	}
	if r.notRun {
		c.refusals++
	}
	reason := "backend servers refused the request"
	if r.notSent {
		reason = "no backend server could be reached"
	}
	if c.attempts < maxCallAttempts && c.refusals < maxRefusals && (r.notSent || c.hasRoomElsewhere()) {
		if r.notRun && !sleepContext(c.ctx, refusalRetryDelay) {
			return c.handleTimeout()
		}
		if c.retry(placement.Restart, "refusal", r.summary()) == nil {
			return nil, nil
		}
	}
	if c.possibleRuns > 0 || c.errorResult != nil {
		if c.errorResult != nil {
			return c.errorResult, nil
		}
		return nil, newReply(http.StatusBadGateway, reason+" after an earlier attempt failed")
	}
	return nil, newRefusal(reason, c.g.retryAfter(c.req))
}

// handleTimeout returns the result of a call whose deadline has passed.
func (c *callState) handleTimeout() (*result, *reply) {
	switch {
	case c.errorResult != nil:
		return c.errorResult, nil
	case c.possibleRuns > 0 || c.inFlight > 0:
		return nil, newReply(http.StatusGatewayTimeout, "no response before the deadline")
	}
	return nil, newRefusal("no backend server before the deadline", c.g.retryAfter(c.req))
}

// hedgeDelay returns the time after which the call is also sent to a second server. Other calls than
// idempotent ones are not hedged (see canRetry): the delay of an hour keeps the timer from firing.
func (c *callState) hedgeDelay() time.Duration {
	if c.req.route.Kind != routing.Idempotent {
		return time.Hour
	}
	return time.Duration(float64(c.req.route.Objective) * hedgeDelayShare)
}

// canRetry reports whether the request may run once more.
func (c *callState) canRetry() bool {
	return c.req.route.Retryable() && c.possibleRuns < c.req.route.MaxPossibleRuns && c.attempts < maxCallAttempts
}

// startAttempt sends the call to the best server that has not been tried, if the retry budget allows
// it.
func (c *callState) startAttempt(purpose placement.RetryPurpose) *reply {
	if admitted, retryAfter := c.g.admitParts(c.req.fields.SuspectParts()); !admitted {
		return newRefusal(errQuarantined.Error(), retryAfter)
	}
	if !c.sends.begin(purpose) {
		return newRefusal(errRetryBudget.Error(), c.g.retryAfter(c.req))
	}
	server, send := c.g.selectServer(c.ctx, c.req, c.triedServerIDs, c.attempts == 0)
	if server == nil {
		c.sends.cancel()
		return newRefusal("no backend server available for service "+c.req.service.Name, c.g.retryAfter(c.req))
	}
	c.triedServerIDs = append(c.triedServerIDs, server.ID)
	c.attempts++
	c.possibleRuns++
	c.inFlight++
	go func() {
		res := c.g.sendAttempt(c.ctx, c.req, server, send)
		c.recordPromptResult(server, res)
		c.results <- res
	}()
	return nil
}

// recordPromptResult records what became of a server that had a prompt. How far it had got with the response is not known,
// so that the evidence is uncertain.
func (c *callState) recordPromptResult(server *placement.Server, res *result) {
	parts := c.req.fields.SuspectParts()
	if len(parts) == 0 || res.notSent || res.notRun || c.ctx.Err() != nil {
		return
	}
	if res.err == nil {
		c.g.recordSound(parts)
		return
	}
	c.g.recordBrokenRun(c.ctx, server, res.err, brokenRun{requestID: c.req.fields.ID, parts: parts, uncertain: true, at: time.Now(), ends: &c.ends})
}

// retry starts another attempt and logs its cause.
func (c *callState) retry(purpose placement.RetryPurpose, cause, detail string) *reply {
	if errReply := c.startAttempt(purpose); errReply != nil {
		if purpose == placement.Optional {
			return errReply
		}
		c.g.log.Info("call not retried", "request", c.req.fields.ID, "cause", cause, "detail", detail, "reason", errReply.reason)
		return errReply
	}
	c.g.metrics.countRetry(cause)
	c.g.log.Info("call retried", "request", c.req.fields.ID, "cause", cause, "detail", detail,
		"servers", c.triedServerIDs, "after_ms", time.Since(c.req.startedAt).Milliseconds())
	return nil
}

// discardPending receives the results of attempts that are still in flight, and aborts
// the responses that were not read completely.
func (c *callState) discardPending() {
	if c.inFlight == 0 {
		return
	}
	go func(pending int) {
		for range pending {
			if r := <-c.results; r.unread != nil {
				r.unread.Abort()
			}
		}
	}(c.inFlight)
}

// selectServer returns the server for an attempt, nil if there is none. The initial attempt of a call
// waits up to maxServerWait for a server to appear, and for the limit of a server as long as it can be
// served on time.
func (g *Gateway) selectServer(ctx context.Context, req *callerRequest, tried []string, initial bool) (*placement.Server, *versionSend) {
	deadline := time.Now().Add(maxServerWait)
	limit := g.newLimitWait(req, time.Duration(float64(req.route.Objective)*limitPatienceShare))
	g.mu.Lock()
	defer g.mu.Unlock()
	defer limit.end()
	for {
		now := time.Now()
		pool := g.pool(req.service.Name)
		g.updateDemand(req.service.Name, now)
		if server := g.selectForCall(req, tried, func() bool { return !initial || limit.isNext() }, now); server != nil {
			pool.RecordRequestStart(server.ID)
			pool.RecordSend(server.ID, now)
			g.callControl(req.service.Name).RecordSend(now)
			selected := *server
			return &selected, g.beginSend(req, server, now)
		}
		if !initial {
			return nil, nil
		}
		wait, limited := limit.next(now, tried)
		if !limited {
			wait = deadline.Sub(now)
			if _, _, isLimited := g.waitingPool(req, now).LimitWait(now, tried); isLimited || wait <= 0 {
				return nil, nil
			}
		}
		changed := g.serversChanged
		g.mu.Unlock()
		active := waitFor(ctx, wait, changed)
		g.mu.Lock()
		if !active {
			return nil, nil
		}
	}
}

// retryAfter returns the time after which the caller of a refused request should retry.
func (g *Gateway) retryAfter(req *callerRequest) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if retryAfter, limited := g.limitRetryAfter(req, now); limited {
		return retryAfter
	}
	return g.roomRetryAfter(req, now)
}

// sendAttempt makes one attempt and records its outcome in the pool of the service. If ctx ended
// during the attempt, because another attempt succeeded, the caller disconnected or the deadline
// passed, it counts as a failure of the server only if it lasted longer than the hedge delay.
func (g *Gateway) sendAttempt(ctx context.Context, req *callerRequest, s *placement.Server, send *versionSend) *result {
	startedAt := time.Now()
	res := g.exchange(ctx, req, s)
	g.mu.Lock()
	pool := g.pool(req.service.Name)
	now := time.Now()
	pool.RecordRequestEnd(s.ID, now)
	if res.notSent {
		pool.RecordNotSent(s.ID, startedAt)
	}
	if res.err == nil && !res.notRun {
		g.callControl(req.service.Name).RecordServed(now)
	}
	switch {
	case res.notSent && ctx.Err() == nil && !errors.Is(res.err, upstream.ErrTooManyConnections):
		pool.RecordUnreachable(s.ID, now)
	case res.notSent || res.notRun:
	case res.err == nil && res.status < http.StatusInternalServerError:
		pool.RecordSuccess(s.ID, now.Sub(startedAt), now)
	case ctx.Err() == nil || now.Sub(startedAt) > time.Duration(float64(req.route.Objective)*hedgeDelayShare):
		pool.RecordFailure(s.ID)
	}
	g.endCallSend(ctx, req, send, res, now)
	g.mu.Unlock()
	if res.err != nil && !res.notSent && ctx.Err() != nil {
		g.client.CloseIdle(s.Address)
	}
	return res
}

// exchange sends the request to a server and reads the response, up to
// maxBufferedResponseBytes of its body.
func (g *Gateway) exchange(ctx context.Context, req *callerRequest, s *placement.Server) *result {
	res := &result{serverID: s.ID}
	sentAt := time.Now()
	header := req.header.Clone()
	g.protocol.PrepareHeaders(header, ServerFields{
		ServerID: s.ID, Organisation: req.organisation, TimeLeft: time.Until(req.deadline), LastEventID: req.fields.LastEventID,
	})
	response, err := g.client.Do(ctx, s.Address, g.connectionLimit(req.service), g.newUpstreamRequest(req, header))
	if err != nil {
		var notSent *upstream.NotSentError
		res.err, res.notSent = err, errors.As(err, &notSent)
		return res
	}
	res.status, res.header = response.StatusCode, response.Header
	res.notRun = g.recordResponse(req, s, response, sentAt).NotRun
	var whole bool
	res.body, whole, err = req.readResponse(ctx, response)
	if err == nil && response.EndsWithConnection() && hasSecondResponse(res.body, g.namesRequest) {
		err = errSecondResponse
	}
	switch {
	case err != nil:
		res.err = err
		response.Abort()
	case !whole:
		res.unread = response
	default:
		response.Release()
	}
	return res
}

// namesRequest reports whether the headers of a response name the request that it belongs to, as those
// of all backend servers do.
func (g *Gateway) namesRequest(h http.Header) bool {
	return g.protocol.ParseResponse(0, h).RequestID != ""
}

// recordResponse updates the state of a server from the head of its response to a request sent at
// sentAt.
func (g *Gateway) recordResponse(req *callerRequest, server *placement.Server, response *upstream.Response, sentAt time.Time) ResponseFields {
	fields := g.protocol.ParseResponse(response.StatusCode, response.Header)
	g.mu.Lock()
	defer g.mu.Unlock()
	pool := g.pool(req.service.Name)
	if fields.Load != nil {
		pool.RecordLoad(server.ID, *fields.Load, time.Now())
	}
	g.recordCallLoad(req.service, server, fields, time.Now())
	if fields.Misdirected {
		g.markServerGone(server.ID)
		return fields
	}
	if fields.Leaving && pool.RecordLeaving(server.Process()) {
		g.log.Info("backend server is leaving", "server", server.ID, "service", req.service.Name)
	}
	if fields.Pause > 0 {
		pool.RecordPause(server.Process(), time.Now().Add(fields.Pause))
		g.log.Info("backend server asks for a pause", "server", server.ID, "service", req.service.Name,
			"request", req.fields.ID, "pause_ms", fields.Pause.Milliseconds())
	}
	g.recordLimit(req.service.Name, server.Process(), fields.Limit, sentAt)
	return fields
}

// markServerGone marks a server as gone that has ended without an announcement; g.mu is held.
func (g *Gateway) markServerGone(id string) {
	s, ok := g.servers.Lookup(id)
	if !ok || s.State == directory.Gone {
		return
	}
	now := time.Now()
	g.recordReplacedProcess(s)
	s.State = directory.Gone
	g.servers.Apply(s, now)
	g.pool(s.Service).RecordUnannouncedEnd(id, now)
	g.pool(s.Service).Update(s, now)
	g.log.Info("backend server changed", "server", id, "service", s.Service, "state", directory.Gone.String(),
		"address", s.Address, "cause", "another server has its address")
}

// newUpstreamRequest returns the request to send to a backend server, with the given headers. The
// request identifier of a response is parsed from its headers alone, so its status is left at 0.
func (g *Gateway) newUpstreamRequest(req *callerRequest, header http.Header) *upstream.Request {
	request := &upstream.Request{
		ID: req.fields.ID, Method: req.method, Target: req.target, Host: req.host, Header: header, Body: req.body.First, BodyRest: req.body.Rest,
		MaxBytesInFlight: g.serverBytesLimit(req),
	}
	if req.fields.ID != "" {
		request.Matches = func(h http.Header) bool { return g.protocol.ParseResponse(0, h).RequestID == req.fields.ID }
	}
	return request
}

// connectionLimit returns the number of connections that this gateway may open to one server of a
// service, 0 for no limit. Of the connections that the server accepts from all gateways together, one
// half is shared equally, so that a gateway whose demand begins has some, and the rest by demand.
func (g *Gateway) connectionLimit(s *routing.Service) int {
	if s.MaxConnections <= 0 {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	gateways := g.usage.Gateways()
	if gateways == 0 {
		return max(minConnections, s.MaxConnections/assumedGateways)
	}
	now := time.Now()
	equal := max(minConnections, s.MaxConnections/2/gateways)
	rest := max(0, s.MaxConnections-equal*gateways)
	return equal + int(float64(rest)*g.usage.Share(s.Name, g.budget(s.Name).Usage(now).Demand, now))
}

// promisesNotRun reports whether a status tells callers that the request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// forwardResponse forwards a response to a request that may have run to the caller, and returns nil. If
// its status would promise that the request has not run, and it must not run twice, it returns a reply
// instead. If the rest of a large response fails, it panics with http.ErrAbortHandler.
func (g *Gateway) forwardResponse(ctx context.Context, w http.ResponseWriter, req *callerRequest, res *result) *reply {
	if promisesNotRun(res.status) && !req.route.Retryable() {
		if res.unread != nil {
			res.unread.Abort()
		}
		return newReply(http.StatusBadGateway, fmt.Sprintf("the backend server responded with status %d and does not say that the request has not run", res.status))
	}
	copyResponseHeaders(w.Header(), res.header)
	if res.unread == nil {
		w.Header().Set("Content-Length", strconv.Itoa(len(res.body)))
		w.WriteHeader(res.status)
		_, _ = w.Write(res.body) // A write error means that the caller has disconnected.
		return nil
	}
	w.WriteHeader(res.status)
	_, err := w.Write(res.body)
	if err == nil && res.cut != nil {
		_, err = io.Copy(w, res.cut)
	} else if err == nil {
		_, err = io.Copy(w, res.unread)
	}
	if err != nil {
		res.unread.Abort()
		// Closes the connection, so that the response does not look complete.
		panic(http.ErrAbortHandler)
	}
	res.unread.Release()
	return nil
}

// sleepContext waits for d and reports whether ctx was still active at the end.
func sleepContext(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
