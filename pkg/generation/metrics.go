package generation

import "go.opentelemetry.io/otel/metric"

type metrics struct {
	resume     metric.Float64Histogram
	attempts   metric.Int64Counter
	reconnects metric.Int64Counter
	recomputed metric.Int64Counter
}

func newMetrics(m metric.Meter) metrics {
	var r metrics
	r.resume, _ = m.Float64Histogram("gp_generation_resume_seconds", metric.WithUnit("s"),
		metric.WithDescription("Time from the loss of an engine to the next token."),
		metric.WithExplicitBucketBoundaries(0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.5, 2, 3, 5, 10))
	r.attempts, _ = m.Int64Counter("gp_generation_attempts",
		metric.WithDescription("Attempts at engines."))
	r.reconnects, _ = m.Int64Counter("gp_generation_reconnects",
		metric.WithDescription("New connections to a running engine stream after silence."))
	r.recomputed, _ = m.Int64Counter("gp_generation_recomputed_tokens",
		metric.WithDescription("Prefix tokens that another engine had to read again."))
	return r
}
