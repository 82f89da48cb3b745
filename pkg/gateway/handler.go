package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/routing"
)

// job is one request of a caller on its way.
type job struct {
	fields RequestFields
	route  *routing.Route
	// service is the target that was picked for this request.
	service      *routing.Service
	organisation string
	rank         int
	method       string
	target       string
	host         string
	header       http.Header
	body         []byte
	started      time.Time
	// deadline is when the caller gives up or the route's timeout passes.
	deadline time.Time
}

// outcome is what the caller gets when no backend server's answer is passed on.
type outcome struct {
	status int
	// reason is logged; refusals tell that the request did not run.
	reason     string
	retryAfter time.Duration
	// servers lists the backend servers that were tried, for logs.
	servers []string
}

func refused(reason string, retryAfter time.Duration) *outcome {
	return &outcome{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter}
}

// unknown outcomes promise nothing: the request may have run.
func unknown(status int, reason string) *outcome { return &outcome{status: status, reason: reason} }

func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	if g.stopping.Load() || g.isolated.Load() {
		w.Header().Set("Connection", "close")
	}
	j, fault := g.accept(w, r, started)
	if fault == nil {
		ctx, cancel := context.WithDeadline(r.Context(), j.deadline)
		defer cancel()
		if j.route.Kind == routing.Stream {
			fault = g.stream(ctx, w, j)
		} else {
			fault = g.call(ctx, w, j)
		}
	}
	left := r.Context().Err() != nil
	g.metrics.request(kindOf(j), outcomeOf(fault, left), time.Since(started))
	if fault == nil || left {
		return
	}
	route, service := "", ""
	if j != nil {
		route, service = j.route.Name, j.service.Name
	}
	g.log.Info("request not served", "request", g.protocol.ParseRequest(r.Header).ID, "status", fault.status,
		"reason", fault.reason, "route", route, "service", service, "servers", fault.servers,
		"after_ms", time.Since(started).Milliseconds(), "revision", g.Revision(), "isolated", g.isolated.Load())
	g.answer(w, fault)
}

func (g *Gateway) answer(w http.ResponseWriter, o *outcome) {
	if o.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(o.retryAfter.Seconds(), 'f', -1, 64))
	}
	w.Header()["Date"] = nil
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(o.status)
}

// accept reads a request and decides whether the configuration allows it.
func (g *Gateway) accept(w http.ResponseWriter, r *http.Request, started time.Time) (*job, *outcome) {
	fields := g.protocol.ParseRequest(r.Header)
	table := g.awaitTable(r.Context(), fields)
	if table == nil {
		return nil, refused("no configuration yet", comeBack)
	}
	if limit := table.Config.Limits.HeaderBytes; limit > 0 && headerSize(r) > limit {
		return nil, unknown(http.StatusRequestHeaderFieldsTooLarge, "the headers are too large")
	}
	limit := table.Config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if r.ContentLength > limit {
		return nil, unknown(http.StatusRequestEntityTooLarge, "the body is too large")
	}
	body, err := readBody(w, r, limit)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, unknown(http.StatusRequestEntityTooLarge, "the body is too large")
	}
	if err != nil {
		return nil, unknown(http.StatusBadRequest, "the body cannot be read")
	}
	// The body may have taken long: the configuration in force now counts.
	table = g.table.Load()
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route := table.Match(r.Host, path)
	if route == nil {
		return nil, unknown(http.StatusNotFound, "no route")
	}
	j := &job{
		fields: fields, route: route, rank: route.Rank, method: r.Method, target: r.RequestURI, host: r.Host,
		header: r.Header, body: body, started: started,
	}
	if !route.Public && table.NeedsKeys() {
		owner := table.Owner(fields.Key)
		if owner == nil {
			return nil, unknown(http.StatusUnauthorized, "unknown key")
		}
		j.organisation = owner.Name
		if owner.Rank != nil {
			j.rank = *owner.Rank
		}
	}
	g.mu.Lock()
	point := g.rand.Float64()
	g.mu.Unlock()
	j.service = table.Service(route.Pick(point))
	if j.service == nil {
		return nil, refused("the route has no service", comeBack)
	}
	j.deadline = started.Add(route.Timeout)
	if d := started.Add(fields.Patience); fields.Patience > 0 && d.Before(j.deadline) {
		j.deadline = d
	}
	j.deadline = j.deadline.Add(-lastMoment)
	removeHopByHop(j.header)
	return j, nil
}

// awaitTable returns the configuration in force. A gateway that has just started
// waits a moment for its first one.
func (g *Gateway) awaitTable(ctx context.Context, fields RequestFields) *routing.Table {
	if t := g.table.Load(); t != nil {
		return t
	}
	limit := configWait
	if fields.Patience > 0 {
		limit = min(limit, time.Duration(float64(fields.Patience)*configShare))
	}
	select {
	case <-g.configured:
	case <-time.After(limit):
	case <-ctx.Done():
	}
	return g.table.Load()
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	reader := http.MaxBytesReader(w, r.Body, limit)
	if r.ContentLength < 0 {
		return io.ReadAll(reader)
	}
	body := make([]byte, r.ContentLength)
	_, err := io.ReadFull(reader, body)
	return body, err
}

// hopByHop headers concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// removeHopByHop removes the headers of one connection, those that Connection
// names included.
func removeHopByHop(h http.Header) {
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// copyHeader copies the headers of an answer to the caller.
func copyHeader(to, from http.Header) {
	named := []string{}
	for _, value := range from["Connection"] {
		for _, name := range strings.Split(value, ",") {
			named = append(named, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for name, values := range from {
		if !slices.Contains(hopByHop, name) && !slices.Contains(named, name) {
			to[name] = values
		}
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if from[name] == nil {
			// A nil value keeps net/http from adding one.
			to[name] = nil
		}
	}
}
