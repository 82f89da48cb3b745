package instance

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/kernel"
	"github.com/geraniumpitch/geraniumpitch/pkg/telemetry"
)

const (
	// memoryShare is the part of a process's memory that the Go runtime may use;
	// the rest is for its binary, stacks and the kernel's buffers.
	memoryShare = 0.6
	// garbagePercent trades processor time for memory: the heap is small and
	// memory costs more on small instances.
	garbagePercent = 50
	// settingsPoll is the interval at which the settings file is looked at; it
	// may change without a signal.
	settingsPoll = 2 * time.Second
	// logFlush bounds the writing of the last log lines.
	logFlush = 200 * time.Millisecond
	// metricsTimeout bounds the headers of a request for metrics.
	metricsTimeout = 2 * time.Second
)

// LimitMemory sets the limits of the Go runtime for a process with this many
// megabytes; 0 sets none.
func LimitMemory(megabytes int) {
	debug.SetGCPercent(garbagePercent)
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(float64(megabytes) * memoryShare * (1 << 20)))
	}
}

// runLogged runs body with a bounded log on the standard output and returns its
// error after the log was written.
func runLogged(instance string, body func(log *slog.Logger) error) error {
	output, log := telemetry.NewBoundedLog(os.Stdout, instance)
	err := body(log)
	if err != nil {
		log.Error("failed", "error", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), logFlush)
	defer cancel()
	output.Close(ctx)
	return err
}

// MetricsServer serves metrics as a service of the kernel.
type MetricsServer struct {
	server *http.Server
	log    *slog.Logger
}

// NewMetricsServer returns a server at address that is not started.
func NewMetricsServer(address string, handler http.Handler, log *slog.Logger) *MetricsServer {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", handler)
	return &MetricsServer{server: &http.Server{Addr: address, Handler: mux, ReadHeaderTimeout: metricsTimeout}, log: log}
}

// ServiceName implements kernel.Service.
func (m *MetricsServer) ServiceName() string { return "metrics" }

// Start binds the address. A process without metrics still does its work, so a
// failure is only logged.
func (m *MetricsServer) Start(ctx context.Context) error {
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", m.server.Addr)
	if err != nil {
		m.log.Error("metrics are not served", "address", m.server.Addr, "error", err)
		return nil
	}
	go func() {
		if err := m.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			m.log.Error("metrics listener failed", "error", err)
		}
	}()
	return nil
}

// Stop closes the listener.
func (m *MetricsServer) Stop(context.Context) error { return m.server.Close() }

// Run starts a kernel, calls reload on SIGHUP and when the settings file changed,
// and stops the kernel gracefully when ctx ends or failed is closed.
func Run(ctx context.Context, k *kernel.Kernel, file string, reload func(), failed <-chan struct{}, grace time.Duration) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	if err := k.Start(ctx); err != nil {
		return err
	}
	k.Log().Info("started", "settings", file)
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	changed := changeOf(file, k.Log())
	var failure error
	for running := true; running; {
		select {
		case <-ctx.Done():
			running = false
		case <-failed:
			failure, running = errors.New("a service failed"), false
		case <-hangups:
			k.Log().Info("reload", "cause", "signal")
			changed()
			reload()
		case <-ticker.C:
			if changed() {
				k.Log().Info("reload", "cause", "the settings file changed")
				reload()
			}
		}
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	k.Log().Info("stopping")
	k.Stop(stopCtx)
	k.Log().Info("stopped")
	return failure
}

// changeOf returns a function that tells whether a file changed since its last call.
func changeOf(file string, log *slog.Logger) func() bool {
	var last time.Time
	look := func() bool {
		info, err := os.Stat(file)
		if err != nil {
			log.Warn("the settings file cannot be looked at", "file", file, "error", err)
			return false
		}
		changed := !info.ModTime().Equal(last)
		last = info.ModTime()
		return changed
	}
	look()
	return look
}
