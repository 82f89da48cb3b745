package generation

import "go.opentelemetry.io/otel/metric"

// metrics holds the instruments of a Service.
type metrics struct {
	resumeSeconds    metric.Float64Histogram
	attemptCount     metric.Int64Counter
	reconnectCount   metric.Int64Counter
	recomputedTokens metric.Int64Counter
}

func newMetrics(m metric.Meter) metrics {
	var r metrics
	r.resumeSeconds, _ = m.Float64Histogram("gp_generation_resume_seconds", metric.WithUnit("s"),
		metric.WithDescription("Time from the loss of an engine to the next token."),
		metric.WithExplicitBucketBoundaries(0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.5, 2, 3, 5, 10))
	r.attemptCount, _ = m.Int64Counter("gp_generation_attempts",
		metric.WithDescription("Attempts at engines."))
	r.reconnectCount, _ = m.Int64Counter("gp_generation_reconnects",
		metric.WithDescription("New connections to a running engine stream after silence."))
	r.recomputedTokens, _ = m.Int64Counter("gp_generation_recomputed_tokens",
		metric.WithDescription("Prefix tokens that another engine had to read again."))
	return r
}
