package gateway

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/connlimit"
	"github.com/geraniumpitch/geraniumpitch/pkg/rollout"
	"github.com/geraniumpitch/geraniumpitch/pkg/routing"
)

// callerRequest is a request of a caller together with the route selected for it.
type callerRequest struct {
	fields RequestFields
	route  *routing.Route
	// service is the target of the route that was selected for this request.
	service      *routing.Service
	organisation string
	rank         int
	method       string
	target       string
	host         string
	header       http.Header
	body         *connlimit.Body
	startedAt    time.Time
	// deadline is the earlier of the caller's deadline and the route's timeout, less
	// responseMargin.
	deadline time.Time
	// versionDraw is the version drawn for the request, valid once versionDrawn is set.
	versionDraw  rollout.Draw
	versionDrawn bool
}

// reply is a response of the gateway itself, sent when no response of a backend server
// is forwarded.
type reply struct {
	status int
	// reason is only logged.
	reason     string
	retryAfter time.Duration
	// servers lists the identifiers of the backend servers that were tried, for logs.
	servers []string
}

// newRefusal returns the reply to a request that did not run.
func newRefusal(reason string, retryAfter time.Duration) *reply {
	return &reply{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter}
}

// newReply returns an error reply that does not say whether the request has run.
func newReply(status int, reason string) *reply { return &reply{status: status, reason: reason} }

// serve handles one request of a caller.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	startedAt := time.Now()
	if g.stopping() || g.isolated.Load() {
		w.Header().Set("Connection", "close")
	}
	req, errReply := g.admit(w, r, startedAt)
	if req != nil {
		defer req.body.Account.Close()
	} else {
		connlimit.OfRequest(r).DiscardBody(time.Now())
	}
	if errReply == nil {
		errReply = g.checkStop(req)
	}
	if errReply == nil {
		errReply = g.checkIsolation(req)
	}
	if errReply == nil {
		ctx, cancel := context.WithDeadline(r.Context(), req.deadline)
		defer cancel()
		defer context.AfterFunc(g.requestsEnded, cancel)()
		if req.route.Kind == routing.Stream {
			errReply = g.serveStream(ctx, w, req)
		} else {
			errReply = g.serveCall(ctx, w, req)
		}
	}
	callerLeft := r.Context().Err() != nil
	g.metrics.recordRequest(kindLabel(req), outcomeLabel(errReply, callerLeft), time.Since(startedAt))
	if errReply == nil {
		return
	}
	if callerLeft {
		// The caller may have closed only its side of the connection, and net/http would send it an empty
		// response with status 200.
		panic(http.ErrAbortHandler)
	}
	route, service := "", ""
	if req != nil {
		route, service = req.route.Name, req.service.Name
	}
	g.log.Info("request not served", "request", g.protocol.ParseRequest(r.Header).ID, "status", errReply.status,
		"reason", errReply.reason, "route", route, "service", service, "servers", errReply.servers,
		"after_ms", time.Since(startedAt).Milliseconds(), "revision", g.Revision(), "isolated", g.isolated.Load())
	g.writeReply(w, errReply)
}

// writeReply sends a reply, which has no body.
func (g *Gateway) writeReply(w http.ResponseWriter, r *reply) {
	if r.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', -1, 64))
	}
	w.Header()["Date"] = nil
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(r.status)
}

// admit reads a request, selects its route and service, and checks the organisation's
// key and the limits of the configuration.
func (g *Gateway) admit(w http.ResponseWriter, r *http.Request, startedAt time.Time) (req *callerRequest, _ *reply) {
	if errReply := checkOverflow(w, r); errReply != nil {
		return nil, errReply
	}
	fields := g.protocol.ParseRequest(r.Header)
	table := g.awaitTable(r.Context(), fields)
	if table == nil {
		return nil, newRefusal("no configuration received yet", configRetryAfter)
	}
	if limit := table.Config.Limits.HeaderBytes; limit > 0 && headerSize(r) > limit {
		return nil, newReply(http.StatusRequestHeaderFieldsTooLarge, fmt.Sprintf("headers exceed the configured limit of %d bytes", limit))
	}
	limit := table.Config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if r.ContentLength > limit {
		return nil, newReply(http.StatusRequestEntityTooLarge, fmt.Sprintf("body exceeds the limit of %d bytes", limit))
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route := table.Match(r.Host, path)
	body := &connlimit.Body{}
	if errReply := g.receiveBody(body, w, r, limit, bodyDeadline(route, fields, startedAt)); errReply != nil {
		return nil, errReply
	}
	defer func() {
		if req == nil {
			body.Account.Close()
		}
	}()
	// Receiving the body may have taken long: use the configuration in force now.
	if t := g.table.Load(); t != table {
		table, route = t, t.Match(r.Host, path)
	}
	if route == nil {
		return nil, g.refuseUnknown(http.StatusNotFound, "no route matches the host and path")
	}
	req = &callerRequest{
		fields: fields, route: route, rank: route.Rank, method: r.Method, target: r.RequestURI, host: r.Host,
		header: r.Header, body: body, startedAt: startedAt,
	}
	if !route.Public && table.RequiresKeys() {
		organisation := table.OrganisationByKey(fields.Key)
		if organisation == nil {
			return nil, g.refuseUnknown(http.StatusUnauthorized, fmt.Sprintf("the key belongs to no organisation, route %q", route.Name))
		}
		req.organisation = organisation.Name
		if organisation.Rank != nil {
			req.rank = *organisation.Rank
		}
	}
	g.mu.Lock()
	fraction := g.rand.Float64()
	g.mu.Unlock()
	req.service = table.Service(route.SelectService(fraction))
	if req.service == nil {
		return nil, newRefusal(fmt.Sprintf("route %q has no service", route.Name), configRetryAfter)
	}
	req.deadline = startedAt.Add(route.Timeout)
	if callerDeadline := startedAt.Add(fields.Timeout); fields.Timeout > 0 && callerDeadline.Before(req.deadline) {
		req.deadline = callerDeadline
	}
	req.deadline = req.deadline.Add(-responseMargin)
	removeHopByHopHeaders(req.header)
	return req, nil
}

// awaitTable returns the configuration in force. A gateway that has just started waits
// up to maxConfigWait for the first one, and returns nil if it does not arrive.
func (g *Gateway) awaitTable(ctx context.Context, fields RequestFields) *routing.Table {
	if t := g.table.Load(); t != nil {
		return t
	}
	wait := maxConfigWait
	if fields.Timeout > 0 {
		wait = min(wait, time.Duration(float64(fields.Timeout)*maxConfigWaitShare))
	}
	select {
	case <-g.configured:
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return g.table.Load()
}

// hopByHopHeaders lists the headers that apply to a single connection.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// removeHopByHopHeaders removes the headers that apply to a single connection, including
// those listed in the Connection header.
func removeHopByHopHeaders(h http.Header) {
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// copyResponseHeaders copies the headers of a backend server's response, except those
// that apply to a single connection.
func copyResponseHeaders(dst, src http.Header) {
	connectionHeaders := []string{}
	for _, value := range src["Connection"] {
		for _, name := range strings.Split(value, ",") {
			connectionHeaders = append(connectionHeaders, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for name, values := range src {
		if !slices.Contains(hopByHopHeaders, name) && !slices.Contains(connectionHeaders, name) {
			dst[name] = values
		}
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if src[name] == nil {
			// A nil value prevents net/http from adding the header.
			dst[name] = nil
		}
	}
}
