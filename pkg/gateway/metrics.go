package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/geraniumpitch/geraniumpitch/pkg/connlimit"
	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
)

// metrics holds the instruments of a gateway. The cardinality of labels is bounded:
// kinds of routes, outcomes and causes have fixed names.
type metrics struct {
	requests, retries, resumes, copyRequests       metric.Int64Counter
	quarantined, retriesDenied, versionSends, shed metric.Int64Counter
	requestDuration, firstEventDelay, longestPause metric.Float64Histogram
	admissionWait                                  metric.Float64Histogram
}

// latencyBuckets are the histogram boundaries for latencies in seconds, from a typical
// call (20 ms) to the longest stream.
var latencyBuckets = metric.WithExplicitBucketBoundaries(.01, .02, .05, .1, .2, .5, .7, 1, 2, 4, 10, 25)

// newMetrics registers the instruments and the gauges that read their values from g.
func newMetrics(meter metric.Meter, g *Gateway) (*metrics, error) {
	m := &metrics{}
	var errs []error
	counter := func(name, description string) metric.Int64Counter {
		c, err := meter.Int64Counter(name, metric.WithDescription(description))
		errs = append(errs, err)
		return c
	}
	histogram := func(name, description string) metric.Float64Histogram {
		h, err := meter.Float64Histogram(name, metric.WithDescription(description), metric.WithUnit("s"), latencyBuckets)
		errs = append(errs, err)
		return h
	}
	m.requests = counter("gp_gateway_requests", "Callers' requests by kind of route and outcome.")
	m.retries = counter("gp_gateway_repeats", "Sends beyond the first of a request, by cause.")
	m.retriesDenied = counter("gp_gateway_repeats_denied", "Sends beyond the first of a request that the retry budget did not allow, by purpose.")
	m.shed = counter("gp_gateway_shed", "Requests that were refused at once because the servers cannot serve them in time, by cause.")
	m.resumes = counter("gp_gateway_stream_resumes", "Streams that went on at another engine, by cause.")
	m.quarantined = counter("gp_gateway_quarantined", "Streams kept from engines because parts of their prompts are suspected.")
	m.versionSends = counter("gp_gateway_rollout_sends", "Sends to backend servers during a rollout, by service and whether the server has the new version.")
	m.copyRequests = counter("gp_gateway_copy_orders", "Copies of runs ordered from engines, by outcome.")
	m.requestDuration = histogram("gp_gateway_request_duration", "Time to the end of an answer, by kind of route.")
	m.firstEventDelay = histogram("gp_gateway_first_event", "Time to the first event of a stream.")
	m.longestPause = histogram("gp_gateway_longest_pause", "Longest pause between events of a served stream.")
	m.admissionWait = histogram("gp_gateway_admission_wait", "Time that a stream waited at the gateway for a place at an engine.")
	gauge := func(name, description string, value func() int64) {
		_, err := meter.Int64ObservableGauge(name, metric.WithDescription(description),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				o.Observe(value())
				return nil
			}))
		errs = append(errs, err)
	}
	gauge("gp_gateway_revision", "Revision of the configuration in force.", func() int64 { return int64(g.Revision()) })
	gauge("gp_gateway_ready", "1 while new callers should come here.", func() int64 { return boolToInt(g.Ready()) })
	gauge("gp_gateway_isolated", "1 while callers do better elsewhere.", func() int64 { return boolToInt(g.isolated.Load()) })
	gauge("gp_gateway_coordinators_heard", "Coordinators heard of lately.", func() int64 {
		recent, _ := g.coordinators.CountCoordinators(time.Now(), coordinatorTimeout)
		return int64(recent)
	})
	gauge("gp_gateway_servers", "Backend servers that are known.", func() int64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		total := 0
		for _, p := range g.pools {
			total += p.Len()
		}
		return int64(total)
	})
	gauge("gp_gateway_inflight", "Requests sent to backend servers and not answered.", func() int64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		total := 0
		for _, p := range g.pools {
			total += p.Inflight()
		}
		return int64(total)
	})
	_, err := meter.Int64ObservableGauge("gp_gateway_server_paces", metric.WithDescription("Engines by class of their learned speed."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			counts := g.paceClasses(time.Now())
			for _, class := range placement.PaceClasses {
				o.Observe(counts[class], metric.WithAttributes(attribute.String("class", string(class))))
			}
			return nil
		}))
	errs = append(errs, err)
	gauge("gp_gateway_waiting_streams", "Streams that wait for a place at an engine.", func() int64 { return int64(g.waitingStreams()) })
	errs = append(errs, g.guard.RegisterMetrics(meter, connlimit.MetricNames{
		BytesHeld: "gp_gateway_caller_bytes", Connections: "gp_gateway_caller_connections", Effects: "gp_gateway_caller_limits",
	}))
	gauge("gp_gateway_calls_admitted_percent", "Smallest share of the calls of a service that is admitted, in percent.", g.admittedCallPercent)
	return m, eris.Wrap(errors.Join(errs...), "register the metrics of the gateway")
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// Values of the outcome label. A request is served if a response of a backend server was forwarded,
// error responses included; no request is counted as outcomeFailure.
const (
	outcomeServed     = "served"
	outcomeFailure    = "server_failure"
	outcomeRefused    = "refused"
	outcomeRejected   = "rejected"
	outcomeUnknown    = "unknown"
	outcomeCallerLeft = "caller_left"
)

// outcomeLabel returns the outcome label of a request; errReply is nil if a response of a
// backend server was forwarded.
func outcomeLabel(errReply *reply, callerLeft bool) string {
	switch {
	case callerLeft:
		return outcomeCallerLeft
	case errReply == nil:
		return outcomeServed
	case errReply.status == http.StatusServiceUnavailable:
		return outcomeRefused
	case errReply.status < http.StatusInternalServerError:
		return outcomeRejected
	}
	return outcomeUnknown
}

// recordRequest counts a finished request and records its duration. The kind is "none" if
// no route was found.
func (m *metrics) recordRequest(kind, outcome string, duration time.Duration) {
	if m == nil {
		return
	}
	ctx := context.Background()
	m.requests.Add(ctx, 1, metric.WithAttributes(attribute.String("kind", kind), attribute.String("outcome", outcome)))
	m.requestDuration.Record(ctx, duration.Seconds(), metric.WithAttributes(attribute.String("kind", kind)))
}

func (m *metrics) countRetry(cause string) {
	m.increment(func() metric.Int64Counter { return m.retries }, cause)
}

func (m *metrics) countRetryDenied(purpose string) {
	m.increment(func() metric.Int64Counter { return m.retriesDenied }, purpose)
}

func (m *metrics) countShed(cause string) {
	m.increment(func() metric.Int64Counter { return m.shed }, cause)
}

func (m *metrics) countResume(cause string) {
	m.increment(func() metric.Int64Counter { return m.resumes }, cause)
}

func (m *metrics) countCopyRequest(outcome string) {
	m.increment(func() metric.Int64Counter { return m.copyRequests }, outcome)
}

// increment adds 1 to a counter with the label "cause", which for copy requests holds the
// outcome and for denied retries the purpose. It does nothing in a gateway without metrics, where m is nil.
func (m *metrics) increment(counter func() metric.Int64Counter, label string) {
	if m != nil {
		counter().Add(context.Background(), 1, metric.WithAttributes(attribute.String("cause", label)))
	}
}

// recordStream records the delays of a completed stream.
func (m *metrics) recordStream(p pauseStats) {
	if m == nil {
		return
	}
	m.firstEventDelay.Record(context.Background(), p.firstEvent.Seconds())
	m.longestPause.Record(context.Background(), p.longest.Seconds())
}

// recordAdmissionWait records how long a stream waited for a place.
func (m *metrics) recordAdmissionWait(d time.Duration) {
	if m != nil {
		m.admissionWait.Record(context.Background(), d.Seconds())
	}
}

// kindLabel returns the label of the route's kind, "none" for a request without a route.
func kindLabel(req *callerRequest) string {
	if req == nil {
		return "none"
	}
	return req.route.Kind.String()
}

// countQuarantined counts a stream that is kept from the engines.
func (m *metrics) countQuarantined() {
	if m != nil {
		m.quarantined.Add(context.Background(), 1)
	}
}

// countVersionSend counts a send during a rollout. The services are those of the configuration.
func (m *metrics) countVersionSend(service string, isNew bool) {
	if m != nil {
		m.versionSends.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.Bool("new", isNew)))
	}
}
