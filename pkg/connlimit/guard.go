package connlimit

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/geraniumpitch/geraniumpitch/pkg/membudget"
)

// RetryAfter is the Retry-After time of requests that were refused because the memory for callers, or the
// connections, are in use: the slowest holders are closed meanwhile.
const RetryAfter = 500 * time.Millisecond

// logInterval is the shortest time between two log lines about limits that had an effect.
const logInterval = time.Second

// Settings are the settings of a Guard; 0 means the default.
type Settings struct {
	// MemoryMB is the memory of the process, and CallerMemoryMB the part of it for what is held for callers.
	MemoryMB, CallerMemoryMB int
	// Connections bounds the connections of callers, and BufferKB what waits for each of them.
	Connections, BufferKB int
}

// Guard holds the limits for the callers of a process.
type Guard struct {
	// Memory is the budget for what is held for callers.
	Memory                   *membudget.Budget
	connections, bufferBytes int
	listener                 atomic.Pointer[Listener]
	// logged is what the latest log line reported. Only LogEffects uses it.
	logged   Effects
	loggedAt time.Time
}

// Effects counts what limits did since the start.
type Effects struct {
	// HoldersClosed counts bodies, heads and responses that were closed to make room, ShortOfMemory the
	// requests for room that found none in time.
	HoldersClosed, ShortOfMemory int64
	// ConnectionsClosed, ConnectionsRefused and ReadersStalled are as in Stats.
	ConnectionsClosed, ConnectionsRefused, ReadersStalled int64
}

// NewGuard returns the limits that follow from the settings and, where these name none, from the memory and the file
// descriptors of the process.
func NewGuard(s Settings) *Guard {
	limits := membudget.LimitsOf(membudget.Memory(s.MemoryMB), membudget.Descriptors())
	if s.CallerMemoryMB > 0 {
		limits.Bytes = int64(s.CallerMemoryMB) << 20
	}
	if s.Connections > 0 {
		limits.Connections = s.Connections
	}
	buffer := defaultBufferBytes
	if s.BufferKB > 0 {
		buffer = s.BufferKB << 10
	}
	return &Guard{Memory: membudget.New(limits.Bytes), connections: limits.Connections, bufferBytes: buffer}
}

// Limit returns a listener that bounds the connections of callers.
func (g *Guard) Limit(callers net.Listener) *Listener {
	l := NewListener(callers, g.Memory, g.connections, g.bufferBytes)
	g.listener.Store(l)
	return l
}

// connStats returns the counts of the listener, zero before it exists.
func (g *Guard) connStats() Stats {
	if l := g.listener.Load(); l != nil {
		return l.Stats()
	}
	return Stats{}
}

// Flushing returns the number of connections for whose callers a part of a response waits.
func (g *Guard) Flushing() int {
	if l := g.listener.Load(); l != nil {
		return l.Flushing()
	}
	return 0
}

// Effects returns what the limits did since the start.
func (g *Guard) Effects() Effects {
	memory, conns := g.Memory.Stats(), g.connStats()
	return Effects{
		HoldersClosed: memory.Evicted, ShortOfMemory: memory.Refused,
		ConnectionsClosed: conns.Evicted, ConnectionsRefused: conns.Refused, ReadersStalled: conns.Stalled,
	}
}

// LogEffects logs what the limits did since the latest line, at most once in logInterval.
func (g *Guard) LogEffects(log *slog.Logger, now time.Time) {
	effects, previous := g.Effects(), g.logged
	if effects == previous || now.Sub(g.loggedAt) < logInterval {
		return
	}
	g.logged, g.loggedAt = effects, now
	memory := g.Memory.Stats()
	log.Warn("limits for callers had an effect", "bytes_held", memory.Used, "bytes_limit", memory.Limit,
		"connections", g.connStats().Open, "connections_limit", g.connections,
		"holders_closed", effects.HoldersClosed-previous.HoldersClosed, "short_of_memory", effects.ShortOfMemory-previous.ShortOfMemory,
		"connections_closed", effects.ConnectionsClosed-previous.ConnectionsClosed,
		"connections_refused", effects.ConnectionsRefused-previous.ConnectionsRefused,
		"readers_stalled", effects.ReadersStalled-previous.ReadersStalled)
}

// MetricNames are the names of the metrics of a Guard.
type MetricNames struct {
	// BytesHeld and Connections are gauges, Effects is a counter by effect.
	BytesHeld, Connections, Effects string
}

// RegisterMetrics registers the metrics of the limits.
func (g *Guard) RegisterMetrics(meter metric.Meter, names MetricNames) error {
	gauge := func(name, description string, value func() int64) error {
		_, err := meter.Int64ObservableGauge(name, metric.WithDescription(description),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				o.Observe(value())
				return nil
			}))
		return err
	}
	_, err := meter.Int64ObservableCounter(names.Effects, metric.WithDescription("What limits for callers closed or refused, by effect."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			effects := g.Effects()
			for label, value := range map[string]int64{
				"holder_closed": effects.HoldersClosed, "short_of_memory": effects.ShortOfMemory,
				"connection_closed": effects.ConnectionsClosed, "connection_refused": effects.ConnectionsRefused,
				"reader_stalled": effects.ReadersStalled,
			} {
				o.Observe(value, metric.WithAttributes(effectKey.String(label)))
			}
			return nil
		}))
	return errors.Join(err,
		gauge(names.BytesHeld, "Bytes held for callers: bodies, large heads, waiting responses.", func() int64 { return g.Memory.Stats().Used }),
		gauge(names.Connections, "Open connections of callers.", func() int64 { return int64(g.connStats().Open) }))
}

// effectKey is the label of the counter of effects.
const effectKey = attribute.Key("effect")

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// ConnContext is the ConnContext function of a server whose listener is limited.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, Of(conn))
}

// OfRequest returns the connection of a request, nil in a server without limits.
func OfRequest(r *http.Request) *Conn {
	conn, _ := r.Context().Value(connKey{}).(*Conn)
	return conn
}
