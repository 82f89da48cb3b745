// Command gp-coordinator runs a coordinator, which agrees with its peers on the
// configuration of a deployment, receives announcements of backend servers and sends
// both to gateways.
//
// The exit status is 0 after a planned stop, 1 after a failure, and 2 on invalid
// usage or settings.
package main

import (
	"context"
	"log/slog"
	"os"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/coordinator"
	"github.com/geraniumpitch/geraniumpitch/pkg/instance"
	"github.com/geraniumpitch/geraniumpitch/pkg/kernel"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/settings"
	"github.com/geraniumpitch/geraniumpitch/pkg/telemetry"
	"github.com/geraniumpitch/geraniumpitch/platform"
)

func main() {
	program := instance.Program[settings.Coordinator]{
		Name: "gp-coordinator", Description: "a coordinator", SettingsFile: platform.SettingsFile(), Load: settings.LoadCoordinator, Default: settings.DefaultCoordinator,
		InstanceID: func(s settings.Coordinator) string { return s.Instance.ID }, Run: run,
	}
	os.Exit(program.Main())
}

// stopTimeout bounds a planned stop, which waits for pending proposals; these take one
// election at most.
const stopTimeout = 3 * time.Second

// run runs a coordinator until ctx ends. On a reload it adds new peers from the settings
// file; other settings take effect at the next start.
func run(ctx context.Context, file string, s settings.Coordinator, log *slog.Logger) error {
	instance.LimitMemory(s.MemoryMB)
	counters := &rpc.Counters{}
	dialer := rpc.NewDialer(nil, counters)
	defer dialer.Close()
	if err := dialer.BindSource(s.PeerAddress); err != nil {
		return err
	}
	coordinatorService := coordinator.New(s, dialer, rpc.NewServer(nil, counters, log), log)
	metrics, err := telemetry.New()
	if err != nil {
		return err
	}
	if err := coordinatorService.RegisterMetrics(metrics.Meter("coordinator")); err != nil {
		return err
	}
	k := kernel.New(log)
	if s.MetricsAddress != "" {
		if err := k.Register(instance.NewMetricsServer(s.MetricsAddress, metrics.Handler(), log)); err != nil {
			return err
		}
	}
	if err := k.Register(coordinatorService); err != nil {
		return err
	}
	operatorServer := coordinator.NewOperatorServer(s, platform.Handler(coordinatorService, log), platform.BodyLimit, log)
	if err := operatorServer.RegisterMetrics(metrics.Meter("operators")); err != nil {
		return err
	}
	if err := k.Register(operatorServer); err != nil {
		return err
	}
	reload := func() {
		reloaded, err := settings.LoadCoordinator(file)
		if err != nil {
			log.Error("the new settings are invalid, keeping the previous ones", "error", err)
			return
		}
		coordinatorService.SetSeeds(ctx, reloaded.PeerSeeds())
	}
	return instance.Run(ctx, k, file, reload, nil, stopTimeout)
}
