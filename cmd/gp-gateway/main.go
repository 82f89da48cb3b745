// Command gp-gateway runs a gateway, which forwards callers' requests to backend
// servers. It receives its configuration, which operators publish as a whole, and
// the announcements of backend servers from coordinators.
//
// The exit status is 0 after a planned stop, 1 after a failure, and 2 on invalid
// usage or settings.
package main

import (
	"context"
	"log/slog"
	"os"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/gateway"
	"github.com/geraniumpitch/geraniumpitch/pkg/instance"
	"github.com/geraniumpitch/geraniumpitch/pkg/kernel"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/settings"
	"github.com/geraniumpitch/geraniumpitch/pkg/telemetry"
	"github.com/geraniumpitch/geraniumpitch/pkg/upstream"
	"github.com/geraniumpitch/geraniumpitch/platform"
)

func main() {
	program := instance.Program[settings.Gateway]{
		Name: "gp-gateway", Description: "a gateway", SettingsFile: platform.SettingsFile(), Load: settings.LoadGateway, Default: settings.DefaultGateway,
		InstanceID: func(s settings.Gateway) string { return s.Instance.ID }, Run: run,
	}
	os.Exit(program.Main())
}

// run runs a gateway until ctx ends. On a reload it adds new coordinators from the settings
// file; other settings take effect at the next start.
func run(ctx context.Context, file string, s settings.Gateway, log *slog.Logger) error {
	instance.LimitMemory(s.MemoryMB)
	source, err := rpc.SourceAddr(s.CallerAddress)
	if err != nil {
		return err
	}
	dialer := rpc.NewDialer(nil, &rpc.Counters{})
	defer dialer.Close()
	if err := dialer.BindSource(s.CallerAddress); err != nil {
		return err
	}
	gatewayService := gateway.New(s, platform.Protocol{}, upstream.NewClient(source), dialer, log)
	metrics, err := telemetry.New()
	if err != nil {
		return err
	}
	if err := gatewayService.RegisterMetrics(metrics.Meter("gateway")); err != nil {
		return err
	}
	k := kernel.New(log)
	if s.MetricsAddress != "" {
		if err := k.Register(instance.NewMetricsServer(s.MetricsAddress, metrics.Handler(), log)); err != nil {
			return err
		}
	}
	if err := k.Register(gatewayService); err != nil {
		return err
	}
	reload := func() {
		reloaded, err := settings.LoadGateway(file)
		if err != nil {
			log.Error("the new settings are invalid, keeping the previous ones", "error", err)
			return
		}
		gatewayService.SetSeeds(ctx, reloaded.PeerSeeds())
	}
	return instance.Run(ctx, k, file, reload, nil, time.Duration(s.GracePeriodS*float64(time.Second)))
}
