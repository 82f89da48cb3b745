// Command gp-gateway runs a gateway: it serves callers of a deployment whose
// configuration is published as a whole.
//
// Exit codes: 0 after a planned stop, 1 after a failure, 2 for faulty arguments
// or settings.
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
		Name: "gp-gateway", Job: "a gateway", File: platform.SettingsFile(), Load: settings.LoadGateway, Default: settings.DefaultGateway,
		Instance: func(s settings.Gateway) string { return s.Instance.ID }, Run: run,
	}
	os.Exit(program.Main())
}

func run(ctx context.Context, file string, s settings.Gateway, log *slog.Logger) error {
	instance.LimitMemory(s.MemoryMB)
	source, err := rpc.SourceOf(s.CallerAddress)
	if err != nil {
		return err
	}
	dialer := rpc.NewDialer(nil, &rpc.Counters{})
	defer dialer.Close()
	if err := dialer.BindSource(s.CallerAddress); err != nil {
		return err
	}
	g := gateway.New(s, platform.Protocol{}, upstream.NewClient(source), dialer, log)
	metrics, err := telemetry.New()
	if err != nil {
		return err
	}
	if err := g.Instrument(metrics.Meter("gateway")); err != nil {
		return err
	}
	k := kernel.New(log)
	if s.MetricsAddress != "" {
		if err := k.Register(instance.NewMetricsServer(s.MetricsAddress, metrics.Handler(), log)); err != nil {
			return err
		}
	}
	if err := k.Register(g); err != nil {
		return err
	}
	reload := func() {
		next, err := settings.LoadGateway(file)
		if err != nil {
			log.Error("the new settings are faulty, the old ones stay in force", "error", err)
			return
		}
		g.AddSeeds(ctx, next.PeerSeeds())
	}
	return instance.Run(ctx, k, file, reload, nil, time.Duration(s.GraceS*float64(time.Second)))
}
