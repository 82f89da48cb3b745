// Package telemetry sets up logs and metrics of a process.
package telemetry

import (
	"io"
	"log/slog"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
)

// Telemetry holds the metric instruments of a process.
type Telemetry struct {
	registry *prometheus.Registry
	provider *sdkmetric.MeterProvider
}

// New returns a metric provider that is read in the Prometheus format.
func New() (*Telemetry, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry))
	if err != nil {
		return nil, eris.Wrap(err, "create the metrics exporter")
	}
	return &Telemetry{registry: registry, provider: sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))}, nil
}

// Meter returns the meter of one package.
func (t *Telemetry) Meter(name string) metric.Meter { return t.provider.Meter(name) }

// Handler serves the metrics.
func (t *Telemetry) Handler() http.Handler {
	return promhttp.HandlerFor(t.registry, promhttp.HandlerOpts{})
}

// NewLogger returns a JSON logger that adds the instance to each line.
func NewLogger(w io.Writer, instance string) *slog.Logger {
	return slog.New(slog.NewJSONHandler(w, nil)).With("instance", instance)
}
