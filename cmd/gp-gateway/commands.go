package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"time"

	"github.com/google/subcommands"

	"github.com/geraniumpitch/geraniumpitch/pkg/gateway"
	"github.com/geraniumpitch/geraniumpitch/pkg/instance"
	"github.com/geraniumpitch/geraniumpitch/pkg/kernel"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/settings"
	"github.com/geraniumpitch/geraniumpitch/pkg/telemetry"
	"github.com/geraniumpitch/geraniumpitch/pkg/upstream"
	"github.com/geraniumpitch/geraniumpitch/platform"
)

type runCommand struct{ file string }

func (*runCommand) Name() string     { return "run" }
func (*runCommand) Synopsis() string { return "run a gateway" }
func (*runCommand) Usage() string {
	return "run [-settings FILE]: run a gateway until SIGTERM\n\nExample: gp-gateway run -settings gateway.json\n"
}
func (c *runCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "settings", platform.SettingsFile(), "settings file")
}

func (c *runCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	s, err := settings.LoadGateway(c.file)
	if err != nil {
		fmt.Fprintln(os.Stderr, "gp-gateway:", err)
		return subcommands.ExitUsageError
	}
	err = instance.Main(s.Instance.ID, func(log *slog.Logger) error { return run(ctx, c.file, s, log) })
	if err != nil {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
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

type validateCommand struct{ file string }

func (*validateCommand) Name() string     { return "validate" }
func (*validateCommand) Synopsis() string { return "check a settings file" }
func (*validateCommand) Usage() string    { return "validate -settings FILE: check a settings file\n" }
func (c *validateCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "settings", platform.SettingsFile(), "settings file")
}

func (c *validateCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if _, err := settings.LoadGateway(c.file); err != nil {
		fmt.Fprintln(os.Stderr, "gp-gateway:", err)
		return subcommands.ExitUsageError
	}
	fmt.Println(c.file, "is valid")
	return subcommands.ExitSuccess
}

type defaultsCommand struct{}

func (*defaultsCommand) Name() string           { return "defaults" }
func (*defaultsCommand) Synopsis() string       { return "print the default settings" }
func (*defaultsCommand) Usage() string          { return "defaults: print the default settings\n" }
func (*defaultsCommand) SetFlags(*flag.FlagSet) {}

func (*defaultsCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	out, err := json.MarshalIndent(settings.DefaultGateway(), "", "  ")
	if err != nil {
		fmt.Fprintln(os.Stderr, "gp-gateway:", err)
		return subcommands.ExitFailure
	}
	fmt.Println(string(out))
	return subcommands.ExitSuccess
}
