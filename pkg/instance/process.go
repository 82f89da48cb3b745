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
	// goMemoryFraction is the fraction of the process memory that the Go runtime
	// may use; the rest is for the binary, stacks and buffers of the operating
	// system kernel.
	goMemoryFraction = 0.6
	// gcPercent is below the default of 100, which saves memory at the cost of CPU time:
	// the heap is small, and on small instances memory is the scarcer resource.
	gcPercent = 50
	// settingsPollInterval is the interval of checks for a changed settings file,
	// because the file may change without a SIGHUP.
	settingsPollInterval = 2 * time.Second
	// logFlushTimeout limits the time to write the last log lines.
	logFlushTimeout = 200 * time.Millisecond
	// metricsHeaderTimeout limits the time to read the headers of a metrics request.
	metricsHeaderTimeout = 2 * time.Second
)

// LimitMemory sets the GC percentage and the memory limit of the Go runtime for a
// process that may use the given number of megabytes; 0 sets no memory limit.
func LimitMemory(megabytes int) {
	debug.SetGCPercent(gcPercent)
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(float64(megabytes) * goMemoryFraction * (1 << 20)))
	}
}

// runLogged calls run with a bounded log on standard output. It logs the error of
// run and returns it after the log is flushed.
func runLogged(instance string, run func(log *slog.Logger) error) error {
	output, log := telemetry.NewBoundedLog(os.Stdout, instance)
	err := run(log)
	if err != nil {
		log.Error("process failed", "error", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), logFlushTimeout)
	defer cancel()
	output.Close(ctx)
	return err
}

// MetricsServer is a kernel service that serves metrics.
type MetricsServer struct {
	server *http.Server
	log    *slog.Logger
}

// NewMetricsServer returns a server for address, which Start binds.
func NewMetricsServer(address string, handler http.Handler, log *slog.Logger) *MetricsServer {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", handler)
	return &MetricsServer{server: &http.Server{Addr: address, Handler: mux, ReadHeaderTimeout: metricsHeaderTimeout}, log: log}
}

// ServiceName implements kernel.Service.
func (m *MetricsServer) ServiceName() string { return "metrics" }

// Start binds the address and serves in the background. A failure is only logged,
// because the process can work without metrics.
func (m *MetricsServer) Start(ctx context.Context) error {
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(ctx, "tcp", m.server.Addr)
	if err != nil {
		m.log.Error("failed to listen for metrics requests", "address", m.server.Addr, "error", err)
		return nil
	}
	go func() {
		if err := m.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			m.log.Error("metrics listener failed", "address", m.server.Addr, "error", err)
		}
	}()
	return nil
}

// Stop closes the listener.
func (m *MetricsServer) Stop(context.Context) error { return m.server.Close() }

// Run starts a kernel and calls reload on SIGHUP and when the settings file changes.
// When ctx ends or failed is closed, it stops the kernel within the grace period; in
// the latter case it returns an error.
func Run(ctx context.Context, k *kernel.Kernel, file string, reload func(), failed <-chan struct{}, gracePeriod time.Duration) error {
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	defer signal.Stop(sighup)
	if err := k.Start(ctx); err != nil {
		return err
	}
	k.Log().Info("started", "settings", file)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	settingsChanged := newChangeDetector(file, k.Log())
	var runErr error
	for running := true; running; {
		select {
		case <-ctx.Done():
			running = false
		case <-failed:
			runErr, running = errors.New("a service failed"), false
		case <-sighup:
			k.Log().Info("reloading settings", "cause", "signal")
			settingsChanged() // so that the next tick does not reload again
			reload()
		case <-ticker.C:
			if settingsChanged() {
				k.Log().Info("reloading settings", "cause", "the settings file changed")
				reload()
			}
		}
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), gracePeriod)
	defer cancel()
	k.Log().Info("stopping")
	k.Stop(stopCtx)
	k.Log().Info("stopped")
	return runErr
}

// newChangeDetector returns a function that reports whether the modification time
// of a file changed since its previous call.
func newChangeDetector(file string, log *slog.Logger) func() bool {
	var lastModTime time.Time
	check := func() bool {
		info, err := os.Stat(file)
		if err != nil {
			log.Warn("failed to stat the settings file", "file", file, "error", err)
			return false
		}
		changed := !info.ModTime().Equal(lastModTime)
		lastModTime = info.ModTime()
		return changed
	}
	check()
	return check
}
