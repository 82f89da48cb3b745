package instance

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/kernel"
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
)

// LimitMemory sets the limits of the Go runtime for a process with this many
// megabytes; 0 sets none.
func LimitMemory(megabytes int) {
	debug.SetGCPercent(garbagePercent)
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(float64(megabytes) * memoryShare * (1 << 20)))
	}
}

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
