package coordinator

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/metric"

	"github.com/geraniumpitch/geraniumpitch/pkg/connlimit"
	"github.com/geraniumpitch/geraniumpitch/pkg/settings"
)

// Timeouts of the HTTP server for operators and backend servers.
const (
	operatorHeaderTimeout = 5 * time.Second
	operatorReadTimeout   = 10 * time.Second
	operatorIdleTimeout   = 30 * time.Second
	// operatorHeaderBytes bounds the headers of a request; those of heartbeats have about 200 bytes.
	operatorHeaderBytes = 16 << 10
	// effectsLogInterval is the interval of log lines about limits that had an effect.
	effectsLogInterval = time.Second
)

// OperatorServer is the HTTP server for operators and backend servers.
type OperatorServer struct {
	address string
	server  *http.Server
	guard   *connlimit.Guard
	log     *slog.Logger
	// stopped ends the log lines about limits.
	stopped context.CancelFunc
}

// NewOperatorServer returns a server that is not started yet. bodyLimit returns the limit for the body of a request,
// in bytes.
func NewOperatorServer(s settings.Coordinator, handler http.Handler, bodyLimit func(*http.Request) int64, log *slog.Logger) *OperatorServer {
	guard := connlimit.NewGuard(connlimit.Settings{
		MemoryMB: s.MemoryMB, CallerMemoryMB: s.CallerMemoryMB, Connections: s.CallerConnections,
	})
	limited := newLimitedHandler(handler, bodyLimit, guard.Memory, log)
	return &OperatorServer{address: s.OperatorAddress, log: log, guard: guard, stopped: func() {}, server: &http.Server{
		Handler: limited, ReadHeaderTimeout: operatorHeaderTimeout, ReadTimeout: operatorReadTimeout, IdleTimeout: operatorIdleTimeout,
		MaxHeaderBytes: operatorHeaderBytes, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		ConnContext: connlimit.ConnContext, ConnState: connlimit.SetState,
	}}
}

// RegisterMetrics registers the metrics of the server. It is called before Start.
func (o *OperatorServer) RegisterMetrics(meter metric.Meter) error {
	return eris.Wrap(o.guard.RegisterMetrics(meter, connlimit.MetricNames{
		BytesHeld: "gp_coordinator_caller_bytes", Connections: "gp_coordinator_caller_connections", Effects: "gp_coordinator_caller_limits",
	}), "register the metrics of the server for operators")
}

// ServiceName implements kernel.Service.
func (o *OperatorServer) ServiceName() string { return "operators" }

// Start listens on the address and serves requests in the background.
func (o *OperatorServer) Start(ctx context.Context) error {
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var optionErr error
		err := c.Control(func(fd uintptr) { optionErr = connlimit.Control(fd) })
		return errors.Join(err, optionErr)
	}}
	listener, err := lc.Listen(ctx, "tcp", o.address)
	if err != nil {
		return eris.Wrapf(err, "listen for operators on %s", o.address)
	}
	limited := o.guard.Limit(listener)
	go func() {
		if err := o.server.Serve(limited); !errors.Is(err, http.ErrServerClosed) {
			o.log.Error("HTTP server for operators failed", "address", o.address, "error", err)
		}
	}()
	logCtx, stop := context.WithCancel(context.Background())
	o.stopped = stop
	go o.logEffects(logCtx)
	return nil
}

// logEffects logs what the limits do, until ctx ends.
func (o *OperatorServer) logEffects(ctx context.Context) {
	ticker := time.NewTicker(effectsLogInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			o.guard.LogEffects(o.log, now)
		}
	}
}

// Stop shuts the server down after the open requests are finished or ctx ends.
func (o *OperatorServer) Stop(ctx context.Context) error {
	o.stopped()
	return eris.Wrap(o.server.Shutdown(ctx), "stop serving operators")
}
