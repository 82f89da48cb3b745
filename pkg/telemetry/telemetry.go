// Package telemetry sets up the logs and metrics of a process.
package telemetry

import (
	"context"
	"io"
	"log/slog"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
)

// Telemetry provides the meters of a process and serves their metrics.
type Telemetry struct {
	registry *prometheus.Registry
	provider *sdkmetric.MeterProvider
}

// New returns a Telemetry with its own registry, whose metrics are exported in the Prometheus format.
func New() (*Telemetry, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry))
	if err != nil {
		return nil, eris.Wrap(err, "create the metrics exporter")
	}
	return &Telemetry{registry: registry, provider: sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))}, nil
}

// Meter returns the meter with this name. Each package uses a meter of its own.
func (t *Telemetry) Meter(name string) metric.Meter { return t.provider.Meter(name) }

// Handler returns the HTTP handler that serves the metrics.
func (t *Telemetry) Handler() http.Handler {
	return promhttp.HandlerFor(t.registry, promhttp.HandlerOpts{})
}

// NewLogger returns a JSON logger that adds the identifier of the instance to each line. Its lines are
// written at once; see BoundedLog for a logger that does not block.
func NewLogger(w io.Writer, instance string) *slog.Logger {
	return slog.New(slog.NewJSONHandler(w, nil)).With("instance", instance)
}

// RegisterPeerBytes registers a counter of the bytes on connections between the deployment's
// processes.
func RegisterPeerBytes(meter metric.Meter, sent, received func() uint64) error {
	_, err := meter.Int64ObservableCounter("peer_bytes",
		metric.WithUnit("By"), metric.WithDescription("Bytes on connections between our processes."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(int64(sent()), metric.WithAttributes(attribute.String("direction", "sent")))
			o.Observe(int64(received()), metric.WithAttributes(attribute.String("direction", "received")))
			return nil
		}))
	return eris.Wrap(err, "create the byte counter")
}
