package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
	"github.com/geraniumpitch/geraniumpitch/pkg/routing"
	"github.com/geraniumpitch/geraniumpitch/pkg/upstream"
)

// result is what became of one send to a backend server.
type result struct {
	server string
	// notSent tells that nothing reached the server, notRun that it refused.
	notSent, notRun bool
	err             error
	status          int
	header          http.Header
	body            []byte
	// rest is the remainder of an answer that is too large to be read as a whole.
	rest *upstream.Response
}

// describe tells what became of a send, for logs.
func (r *result) describe() string {
	if r.err != nil {
		return r.err.Error()
	}
	return "status " + strconv.Itoa(r.status)
}

// failed tells whether another send may give a better answer.
func (r *result) failed() bool { return r.err != nil || r.status >= http.StatusInternalServerError }

// call serves a request of a plain service.
func (g *Gateway) call(ctx context.Context, w http.ResponseWriter, j *job) *outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &calling{g: g, j: j, ctx: ctx, results: make(chan *result, maxSends)}
	defer c.abandon()
	best, fault := c.run()
	if fault != nil {
		fault.servers = c.tried
		return fault
	}
	return g.deliver(ctx, w, best)
}

// maxSends bounds the sends of one call, refusals included.
const maxSends = 8

// calling is the state of one call over all its sends.
type calling struct {
	g       *Gateway
	j       *job
	ctx     context.Context
	results chan *result
	// open counts the sends without a result, runs those that may have run.
	open, sends, runs, refusals int
	tried                       []string
	fallback                    *result
}

// run sends the call until an answer is good enough to be passed on.
func (c *calling) run() (*result, *outcome) {
	if fault := c.send(); fault != nil {
		return nil, fault
	}
	hedge := time.NewTimer(c.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return c.expired()
		case <-hedge.C:
			if c.mayRepeat() && c.takeBudget() {
				// A second server is a gain only; the first send goes on without it.
				_ = c.repeat("slow", "")
			}
		case r := <-c.results:
			c.open--
			done, fault := c.handle(r)
			if done != nil || fault != nil {
				return done, fault
			}
		}
	}
}

// handle decides on a result: an answer to pass on, an outcome, or neither while
// another send is under way.
func (c *calling) handle(r *result) (*result, *outcome) {
	switch {
	case r.notSent || r.notRun:
		c.runs--
		return c.handleRefusal(r)
	case !r.failed():
		return r, nil
	}
	if r.err == nil && c.fallback == nil {
		c.fallback = r
	}
	if c.open > 0 {
		return nil, nil
	}
	if c.mayRepeat() && c.takeBudget() && c.repeat("failure", r.describe()) == nil {
		return nil, nil
	}
	if c.fallback != nil {
		return c.fallback, nil
	}
	return nil, unknown(http.StatusBadGateway, "the backend server broke off: "+r.err.Error())
}

// handleRefusal sends a request that did not run elsewhere. It answers servers
// that are full or gone; when several refuse, the request is refused.
func (c *calling) handleRefusal(r *result) (*result, *outcome) {
	if c.open > 0 {
		return nil, nil
	}
	if r.notRun {
		c.refusals++
	}
	reason := "backend servers refused the request"
	if r.notSent {
		reason = "no backend server could be reached"
	}
	if c.sends < maxSends && c.refusals < maxRefusals && (r.notSent || c.takeBudget()) {
		if r.notRun && !pause(c.ctx, refusalPause) {
			return c.expired()
		}
		if c.repeat("refusal", r.describe()) == nil {
			return nil, nil
		}
	}
	if c.runs > 0 || c.fallback != nil {
		if c.fallback != nil {
			return c.fallback, nil
		}
		return nil, unknown(http.StatusBadGateway, reason+" after an earlier one broke off")
	}
	return nil, refused(reason, c.g.comeBackFor(c.j))
}

// expired answers a call whose limit passed.
func (c *calling) expired() (*result, *outcome) {
	switch {
	case c.fallback != nil:
		return c.fallback, nil
	case c.runs > 0 || c.open > 0:
		return nil, unknown(http.StatusGatewayTimeout, "no answer in time")
	}
	return nil, refused("no backend server in time", c.g.comeBackFor(c.j))
}

func (c *calling) hedgeDelay() time.Duration {
	if c.j.route.Kind != routing.Idempotent {
		return time.Hour
	}
	return time.Duration(float64(c.j.route.Objective) * hedgeShare)
}

// mayRepeat tells whether the request may run once more.
func (c *calling) mayRepeat() bool {
	return c.j.route.Repeatable() && c.runs < c.j.route.MaxServers && c.sends < maxSends
}

func (c *calling) takeBudget() bool {
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	return c.g.budget(c.j.service.Name).Repeat(time.Now())
}

// send sends the call to the best server that was not tried.
func (c *calling) send() *outcome {
	server := c.g.chooseForCall(c.ctx, c.j, c.tried, c.sends == 0)
	if server == nil {
		return refused("no backend server", c.g.comeBackFor(c.j))
	}
	c.tried = append(c.tried, server.ID)
	c.sends++
	c.runs++
	c.open++
	go func() { c.results <- c.g.sendCall(c.ctx, c.j, server) }()
	return nil
}

// repeat sends the call once more and logs why.
func (c *calling) repeat(cause, detail string) *outcome {
	if fault := c.send(); fault != nil {
		return fault
	}
	c.g.metrics.repeat(cause)
	c.g.log.Info("call sent again", "request", c.j.fields.ID, "cause", cause, "detail", detail,
		"servers", c.tried, "after_ms", time.Since(c.j.started).Milliseconds())
	return nil
}

// abandon gives up sends whose result no one waits for.
func (c *calling) abandon() {
	if c.open == 0 {
		return
	}
	go func(open int) {
		for range open {
			if r := <-c.results; r.rest != nil {
				r.rest.Abort()
			}
		}
	}(c.open)
}

// chooseForCall returns the server for a call. A first send waits a moment for a
// server to appear.
func (g *Gateway) chooseForCall(ctx context.Context, j *job, tried []string, wait bool) *placement.Server {
	limit := time.Now().Add(noServerWait)
	for {
		now := time.Now()
		g.mu.Lock()
		pool := g.pool(j.service.Name)
		if s := pool.Call(now, tried); s != nil {
			pool.Began(s.ID)
			if wait {
				g.budget(j.service.Name).Request(now)
			}
			chosen := *s
			g.mu.Unlock()
			return &chosen
		}
		changed := g.changed
		g.mu.Unlock()
		if !wait || !now.Before(limit) {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-time.After(limit.Sub(now)):
		}
	}
}

// comeBackFor returns when the caller of a refused request should come back.
func (g *Gateway) comeBackFor(j *job) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool(j.service.Name).ComeBack(time.Now())
}

// sendCall makes one send and reads the answer.
func (g *Gateway) sendCall(ctx context.Context, j *job, s *placement.Server) *result {
	began := time.Now()
	r := g.exchange(ctx, j, s)
	g.mu.Lock()
	pool := g.pool(j.service.Name)
	pool.Ended(s.ID)
	now := time.Now()
	switch {
	case r.notSent && ctx.Err() == nil && !errors.Is(r.err, upstream.ErrTooMany):
		pool.Unreachable(s.ID, now)
	case r.notSent || r.notRun:
	case r.err == nil && r.status < http.StatusInternalServerError:
		pool.Succeeded(s.ID, now.Sub(began), now)
	case ctx.Err() == nil || now.Sub(began) > time.Duration(float64(j.route.Objective)*hedgeShare):
		pool.Failed(s.ID)
	}
	g.mu.Unlock()
	if r.err != nil && !r.notSent && ctx.Err() != nil {
		g.client.Drop(s.Address)
	}
	return r
}

func (g *Gateway) exchange(ctx context.Context, j *job, s *placement.Server) *result {
	out := &result{server: s.ID}
	header := j.header.Clone()
	g.protocol.Prepare(header, ServerFields{
		Instance: s.ID, Organisation: j.organisation, Patience: time.Until(j.deadline), LastEvent: j.fields.LastEvent,
	})
	response, err := g.client.Do(ctx, s.Address, g.connectionLimit(j.service), g.request(j, header))
	if err != nil {
		var notSent *upstream.NotSentError
		out.err, out.notSent = err, errors.As(err, &notSent)
		return out
	}
	out.status, out.header = response.StatusCode, response.Header
	out.notRun = g.noteAnswer(j, s.ID, response).NotRun
	out.body, err = io.ReadAll(io.LimitReader(response, answerBytes))
	switch {
	case err != nil:
		out.err = err
		response.Abort()
	case len(out.body) == answerBytes:
		out.rest = response
	default:
		response.Finish()
	}
	return out
}

// noteAnswer notes what the head of an answer tells about its server.
func (g *Gateway) noteAnswer(j *job, server string, response *upstream.Response) AnswerFields {
	fields := g.protocol.ParseAnswer(response.StatusCode, response.Header)
	g.mu.Lock()
	defer g.mu.Unlock()
	pool := g.pool(j.service.Name)
	if fields.Load != nil {
		pool.Reported(server, *fields.Load, time.Now())
	}
	if fields.Misdirected {
		g.endServer(server)
	}
	return fields
}

// endServer notes that a server has ended although no one announced it; g.mu is held.
func (g *Gateway) endServer(id string) {
	s, known := g.servers.Lookup(id)
	if !known || s.State == directory.Gone {
		return
	}
	now := time.Now()
	s.State = directory.Gone
	g.servers.Apply(s, now)
	g.pool(s.Service).EndedUnannounced(id, now)
	g.pool(s.Service).Update(s, now)
	g.log.Info("backend server changed", "server", id, "service", s.Service, "state", directory.Gone.String(),
		"address", s.Address, "cause", "another server has its address")
}

func (g *Gateway) request(j *job, header http.Header) *upstream.Request {
	return &upstream.Request{
		Method: j.method, Target: j.target, Host: j.host, Header: header, Body: j.body,
		Own: func(h http.Header) bool { return g.protocol.ParseAnswer(0, h).RequestID == j.fields.ID },
	}
}

func (g *Gateway) connectionLimit(s *routing.Service) int { return s.MaxConnections / connectionShare }

// deliver passes an answer on.
func (g *Gateway) deliver(ctx context.Context, w http.ResponseWriter, r *result) *outcome {
	copyHeader(w.Header(), r.header)
	if r.rest == nil {
		w.Header().Set("Content-Length", strconv.Itoa(len(r.body)))
		w.WriteHeader(r.status)
		_, _ = w.Write(r.body) // A failure means that the caller has left.
		return nil
	}
	w.WriteHeader(r.status)
	_, err := w.Write(r.body)
	if err == nil {
		_, err = io.Copy(w, r.rest)
	}
	if err != nil {
		r.rest.Abort()
		// Closes the connection, so that the answer does not look complete.
		panic(http.ErrAbortHandler)
	}
	r.rest.Finish()
	return nil
}

// pause waits and reports whether ctx is still open.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
