package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// metrics are the instruments of a gateway. Label sets are bounded: kinds of
// routes, outcomes and causes have fixed names.
type metrics struct {
	requests, repeats, resumes, copies metric.Int64Counter
	whole, firstEvent, pause           metric.Float64Histogram
}

// seconds are the histogram bounds for latencies, from a usual call (20 ms) to
// the longest stream.
var seconds = metric.WithExplicitBucketBoundaries(.01, .02, .05, .1, .2, .5, .7, 1, 2, 4, 10, 25)

// newMetrics registers the instruments and the values that are read from g.
func newMetrics(meter metric.Meter, g *Gateway) (*metrics, error) {
	m := &metrics{}
	var failures []error
	counter := func(name, description string) metric.Int64Counter {
		c, err := meter.Int64Counter(name, metric.WithDescription(description))
		failures = append(failures, err)
		return c
	}
	histogram := func(name, description string) metric.Float64Histogram {
		h, err := meter.Float64Histogram(name, metric.WithDescription(description), metric.WithUnit("s"), seconds)
		failures = append(failures, err)
		return h
	}
	m.requests = counter("gp_gateway_requests", "Callers' requests by kind of route and outcome.")
	m.repeats = counter("gp_gateway_repeats", "Sends beyond the first of a request, by cause.")
	m.resumes = counter("gp_gateway_stream_resumes", "Streams that went on at another engine, by cause.")
	m.copies = counter("gp_gateway_copy_orders", "Copies of runs ordered from engines, by outcome.")
	m.whole = histogram("gp_gateway_request_duration", "Time to the end of an answer, by kind of route.")
	m.firstEvent = histogram("gp_gateway_first_event", "Time to the first event of a stream.")
	m.pause = histogram("gp_gateway_longest_pause", "Longest pause between events of a served stream.")
	gauge := func(name, description string, value func() int64) {
		_, err := meter.Int64ObservableGauge(name, metric.WithDescription(description),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				o.Observe(value())
				return nil
			}))
		failures = append(failures, err)
	}
	gauge("gp_gateway_revision", "Revision of the configuration in force.", func() int64 { return int64(g.Revision()) })
	gauge("gp_gateway_ready", "1 while new callers should come here.", func() int64 { return toInt(g.Ready()) })
	gauge("gp_gateway_isolated", "1 while callers do better elsewhere.", func() int64 { return toInt(g.isolated.Load()) })
	gauge("gp_gateway_coordinators_heard", "Coordinators heard of lately.", func() int64 {
		fresh, _ := g.follow.Fresh(time.Now(), coordinatorSilence)
		return int64(fresh)
	})
	gauge("gp_gateway_servers", "Backend servers that are known.", func() int64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		known := 0
		for _, p := range g.pools {
			known += p.Len()
		}
		return int64(known)
	})
	gauge("gp_gateway_inflight", "Requests sent to backend servers and not answered.", func() int64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		open := 0
		for _, p := range g.pools {
			open += p.Inflight()
		}
		return int64(open)
	})
	return m, eris.Wrap(errors.Join(failures...), "register the metrics of the gateway")
}

func toInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// Label values of outcomes.
const (
	outcomeServed   = "served"
	outcomeFailure  = "server_failure"
	outcomeRefused  = "refused"
	outcomeRejected = "rejected"
	outcomeUnknown  = "unknown"
	outcomeLeft     = "caller_left"
)

// outcomeOf returns the label of a fault, nil for an answer that was passed on.
func outcomeOf(fault *outcome, callerLeft bool) string {
	switch {
	case callerLeft:
		return outcomeLeft
	case fault == nil:
		return outcomeServed
	case fault.status == http.StatusServiceUnavailable:
		return outcomeRefused
	case fault.status < http.StatusInternalServerError:
		return outcomeRejected
	}
	return outcomeUnknown
}

// request counts a finished request. Kind is empty if no route was found.
func (m *metrics) request(kind, outcome string, took time.Duration) {
	if m == nil {
		return
	}
	ctx := context.Background()
	m.requests.Add(ctx, 1, metric.WithAttributes(attribute.String("kind", kind), attribute.String("outcome", outcome)))
	m.whole.Record(ctx, took.Seconds(), metric.WithAttributes(attribute.String("kind", kind)))
}

func (m *metrics) repeat(cause string) {
	m.count(func() metric.Int64Counter { return m.repeats }, cause)
}

func (m *metrics) resume(cause string) {
	m.count(func() metric.Int64Counter { return m.resumes }, cause)
}

func (m *metrics) copyOrder(outcome string) {
	m.count(func() metric.Int64Counter { return m.copies }, outcome)
}

// count adds to a counter with one label; a gateway without metrics counts nothing.
func (m *metrics) count(counter func() metric.Int64Counter, cause string) {
	if m != nil {
		counter().Add(context.Background(), 1, metric.WithAttributes(attribute.String("cause", cause)))
	}
}

func (m *metrics) stream(p pauses) {
	if m == nil {
		return
	}
	m.firstEvent.Record(context.Background(), p.first.Seconds())
	m.pause.Record(context.Background(), p.longest.Seconds())
}

// kindOf returns the label of a job's route.
func kindOf(j *job) string {
	if j == nil {
		return "none"
	}
	return j.route.Kind.String()
}
